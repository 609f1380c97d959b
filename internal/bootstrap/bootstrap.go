// Package bootstrap reads what the platform tells a proxy when it starts.
package bootstrap

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"strconv"
	"strings"

	"lockloom/internal/discovery"
	"lockloom/internal/settings"
)

// Config is what a proxy is told.
type Config struct {
	Name          string
	Listen        string // where clients connect
	Discovery     string
	AdminAddress  string // where operators call; empty: nowhere
	HotRestartDir string // where a next process of this proxy finds this one; empty: nowhere
	settings.Settings
	Known  discovery.List // perhaps old
	Limits Limits
	Fleet  Fleet
}

// Fleet is where this proxy hears its peers and where they hear it, in a fleet that tells one another.
type Fleet struct {
	Listen string         `json:"Listen"`
	Peers  map[int]string `json:"Peers"` // by number
}

// Limits are those of the proxy's machine; 0: not told.
type Limits struct {
	Cores   float64
	Memory  int64 // bytes
	Sockets int   // file descriptors
}

// The variables of the environment.
const (
	varName      = "ROUTER_NAME"
	varListen    = "ROUTER_LISTEN"
	varDiscovery = "ROUTER_DISCOVERY"
	varFile      = "ROUTER_CONFIG"
	varOperator  = "ROUTER_OPERATOR" // may be left out, as may the next
	varDir       = "TMPDIR"
)

// Read reads the variables, by get, and the file that they name. An error names what is missing or unusable.
func Read(get func(string) string) (Config, error) {
	for _, name := range []string{varName, varListen, varDiscovery, varFile} {
		if get(name) == "" {
			return Config{}, fmt.Errorf("%s: missing", name)
		}
	}
	for _, name := range []string{varListen, varDiscovery} {
		if err := address(get(name)); err != nil {
			return Config{}, fmt.Errorf("%s: %w", name, err)
		}
	}
	text, err := os.ReadFile(get(varFile))
	if err != nil {
		return Config{}, fmt.Errorf("%s: %w", varFile, err)
	}
	l, err := Parse(text)
	if err != nil {
		return Config{}, fmt.Errorf("%s: %s: %w", varFile, get(varFile), err)
	}
	l.Name, l.Listen, l.HotRestartDir = get(varName), get(varListen), get(varDir)
	if at := get(varOperator); at != "" {
		if err := address(at); err != nil {
			return Config{}, fmt.Errorf("%s: %w", varOperator, err)
		}
		l.AdminAddress = at
	}
	if l.Discovery == "" {
		l.Discovery = get(varDiscovery)
	}
	return l, nil
}

func address(s string) error {
	_, _, err := net.SplitHostPort(s)
	return err
}

// Parse reads the file. The name and where clients connect are the variables'. Discovery's address is the file's
// where it has one: a file may be replaced while the program runs, its variables may not.
func Parse(text []byte) (Config, error) {
	var in struct {
		Seed      string `json:"Seed"`
		Discovery string `json:"Discovery"`
		Operator  string `json:"Operator"`
		Limits    struct {
			Cores    float64 `json:"Cores"`
			MemoryMB float64 `json:"memory_mb"`
			Sockets  int     `json:"Sockets"`
		} `json:"Limits"`
		Known    *discovery.List `json:"Known"`
		Peers    Fleet           `json:"Peers"`
		Settings map[string]any  `json:"Settings"`
	}
	dec := json.NewDecoder(bytes.NewReader(text))
	dec.UseNumber()
	if err := dec.Decode(&in); err != nil {
		return Config{}, err
	}
	if in.Known == nil || in.Settings == nil {
		return Config{}, fmt.Errorf("known or settings: missing")
	}
	seed, err := strconv.ParseUint(in.Seed, 16, 64)
	if err != nil {
		return Config{}, fmt.Errorf("seed: no hex number: %q", in.Seed)
	}
	if !(in.Limits.Cores > 0) || !(in.Limits.MemoryMB > 0) || in.Limits.Sockets <= 0 {
		return Config{}, fmt.Errorf("limits: missing, or not above 0")
	}
	if in.Discovery != "" {
		if err := address(in.Discovery); err != nil {
			return Config{}, fmt.Errorf("discovery: %w", err)
		}
	}
	if in.Operator != "" {
		if err := address(in.Operator); err != nil {
			return Config{}, fmt.Errorf("operator: %w", err)
		}
	}
	values := map[string]string{}
	flatten(values, "", in.Settings)
	f, err := settings.Read(values, seed)
	if err != nil {
		return Config{}, fmt.Errorf("settings: %w", err)
	}
	if err := shape(f, values, in.Peers); err != nil {
		return Config{}, fmt.Errorf("settings: %w", err)
	}
	return Config{Fleet: in.Peers, Discovery: in.Discovery, AdminAddress: in.Operator, Settings: f, Known: *in.Known,
		Limits: Limits{in.Limits.Cores, int64(in.Limits.MemoryMB * (1 << 20)), in.Limits.Sockets}}, nil
}

// shape refuses settings that mix two shapes of a deployment, or ask for what this program does not do, by their key. A
// fleet behind a pool (any KindOfService but mesh, or none told) tells and probes nothing; where each client process has a
// proxy of its own (mesh), proxies may do both.
func shape(f settings.Settings, values map[string]string, bank Fleet) error {
	var wrong string
	_, listens := netip.ParseAddrPort(bank.Listen) // danger: a name passes for an address here and is refused when it is opened
	switch {
	case f.Sidecar && values["Feedback.Via"] == "inline":
		wrong = "Feedback.Via: inline, but KindOfService is mesh"
	case f.Sidecar && f.CacheAffinity:
		wrong = "FamilyInfo.WarmKeys: true, but KindOfService is mesh"
	case f.Sidecar && f.Deployment.Zone < 0:
		wrong = fmt.Sprintf("Zone: not among Zones: %q", values["Zone"])
	case f.Gossip && (f.Self < 0 || f.Self >= f.Proxies):
		wrong = fmt.Sprintf("SlotNo: %d: no number of a proxy of %d", f.Self, f.Proxies)
	case f.StreamsPerConnection < 1:
		wrong = "Ceilings.StreamsPerConn: under 1"
	case f.StreamsPerConnection > 1:
		wrong = fmt.Sprintf("Ceilings.StreamsPerConn: %d: this program sends one lookup at a time on a connection", f.StreamsPerConnection)
	case !f.Gossip && (bank.Listen != "" || len(bank.Peers) > 0):
		wrong = "Ceilings.PeerMessages: not true, but there are peers"
	case f.Gossip && listens != nil:
		wrong = fmt.Sprintf("Ceilings.PeerMessages: true, but peers.listen is no address: %q", bank.Listen)
	case f.Gossip && len(bank.Peers) == 0 && f.Proxies > 1:
		wrong = "Ceilings.PeerMessages: true, but peers.peers has none"
	}
	if wrong != "" {
		return errors.New(wrong)
	}
	for i, addr := range bank.Peers {
		if _, err := netip.ParseAddrPort(addr); err != nil {
			return fmt.Errorf("peers.peers: %d: %w", i, err)
		}
		if i == f.Self || i < 0 || i >= f.Proxies {
			return fmt.Errorf("peers.peers: %d: no other proxy's number of %d", i, f.Proxies)
		}
	}
	return nil
}

// flatten lays nested values out by path, as figures.Read takes them.
func flatten(values map[string]string, path string, value any) {
	switch v := value.(type) {
	case map[string]any:
		for name, inner := range v {
			flatten(values, strings.TrimPrefix(path+"."+name, "."), inner)
		}
	case []any:
		var plain []string
		for i, inner := range v {
			switch inner.(type) {
			case map[string]any, []any:
				flatten(values, fmt.Sprintf("%s.%d", path, i), inner)
			default:
				plain = append(plain, fmt.Sprint(inner))
			}
		}
		values[path+".count"] = strconv.Itoa(len(v))
		values[path] = strings.Join(plain, ",")
	case nil:
	default:
		values[path] = fmt.Sprint(v)
	}
}
