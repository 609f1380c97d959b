// Package launch reads what the platform tells a proxy when it starts.
package launch

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"

	"lockloom/internal/discovery"
	"lockloom/internal/figures"
)

// Launch is what a proxy is told.
type Launch struct {
	Name      string
	Listen    string // where clients connect
	Discovery string
	figures.Figures
	Known  discovery.List // perhaps old
	Limits Limits
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
)

// Read reads the variables, by get, and the file that they name. An error names what is missing or unusable.
func Read(get func(string) string) (Launch, error) {
	for _, name := range []string{varName, varListen, varDiscovery, varFile} {
		if get(name) == "" {
			return Launch{}, fmt.Errorf("%s: missing", name)
		}
	}
	for _, name := range []string{varListen, varDiscovery} {
		if err := address(get(name)); err != nil {
			return Launch{}, fmt.Errorf("%s: %w", name, err)
		}
	}
	text, err := os.ReadFile(get(varFile))
	if err != nil {
		return Launch{}, fmt.Errorf("%s: %w", varFile, err)
	}
	l, err := Parse(text)
	if err != nil {
		return Launch{}, fmt.Errorf("%s: %s: %w", varFile, get(varFile), err)
	}
	l.Name, l.Listen = get(varName), get(varListen)
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
func Parse(text []byte) (Launch, error) {
	var in struct {
		Seed      string
		Discovery string
		Limits    struct {
			Cores    float64
			MemoryMB float64 `json:"memory_mb"`
			Sockets  int
		}
		Known    *discovery.List
		Settings map[string]any
	}
	dec := json.NewDecoder(bytes.NewReader(text))
	dec.UseNumber()
	if err := dec.Decode(&in); err != nil {
		return Launch{}, err
	}
	if in.Known == nil || in.Settings == nil {
		return Launch{}, fmt.Errorf("known or settings: missing")
	}
	seed, err := strconv.ParseUint(in.Seed, 16, 64)
	if err != nil {
		return Launch{}, fmt.Errorf("seed: no hex number: %q", in.Seed)
	}
	if !(in.Limits.Cores > 0) || !(in.Limits.MemoryMB > 0) || in.Limits.Sockets <= 0 {
		return Launch{}, fmt.Errorf("limits: missing, or not above 0")
	}
	if in.Discovery != "" {
		if err := address(in.Discovery); err != nil {
			return Launch{}, fmt.Errorf("discovery: %w", err)
		}
	}
	values := map[string]string{}
	flatten(values, "", in.Settings)
	f, err := figures.Read(values, seed)
	if err != nil {
		return Launch{}, fmt.Errorf("settings: %w", err)
	}
	return Launch{Discovery: in.Discovery, Figures: f, Known: *in.Known,
		Limits: Limits{in.Limits.Cores, int64(in.Limits.MemoryMB * (1 << 20)), in.Limits.Sockets}}, nil
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
