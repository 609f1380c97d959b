// Package bootstrap reads what the platform gives a proxy at its start: variables of the environment and the launch
// file that they name. Both forms are published.
package bootstrap

import (
	"fmt"
	"net"
	"os"

	"lockloom/internal/discovery"
	"lockloom/internal/settings"
)

// Config is what a proxy gets at its start.
type Config struct {
	Name          string
	Listen        string // the address of the platform listener
	Discovery     string // the address of the discovery service
	AdminAddress  string // of the admin endpoint; empty: none
	HotRestartDir string // where the next process of this proxy finds this one; empty: nowhere
	settings.Settings
	Known  discovery.List // the endpoint list at the writing of the launch file, perhaps out of date
	Limits Limits
	Fleet  Fleet
}

// Fleet is the addresses for gossip with the other proxies, if the fleet's proxies send any.
type Fleet struct {
	Listen string         `json:"Listen"`
	Peers  map[int]string `json:"Peers"` // by number
}

// Limits are those of the proxy's machine.
type Limits struct {
	Cores   float64
	Memory  int64 // bytes
	Sockets int   // file descriptors
}

// The variables of the environment; the last two are optional.
const (
	varName       = "ROUTER_NAME"
	varListen     = "ROUTER_LISTEN"
	varDiscovery  = "ROUTER_DISCOVERY"
	varFile       = "ROUTER_CONFIG"
	varAdmin      = "ROUTER_OPERATOR"
	varHotRestart = "TMPDIR"
)

// Read reads the variables, by getenv, and the launch file that they name. An error names what is missing or unusable.
func Read(getenv func(string) string) (Config, error) {
	if err := checkVariables(getenv); err != nil {
		return Config{}, err
	}
	text, err := os.ReadFile(getenv(varFile))
	if err != nil {
		return Config{}, fmt.Errorf("%s: %w", varFile, err)
	}
	config, err := Parse(text)
	if err != nil {
		return Config{}, fmt.Errorf("%s: %s: %w", varFile, getenv(varFile), err)
	}
	config.Name = getenv(varName)
	config.Listen = getenv(varListen)
	config.HotRestartDir = getenv(varHotRestart)
	if addr := getenv(varAdmin); addr != "" {
		if err := checkAddress(addr); err != nil {
			return Config{}, fmt.Errorf("%s: %w", varAdmin, err)
		}
		config.AdminAddress = addr
	}
	if config.Discovery == "" {
		config.Discovery = getenv(varDiscovery)
	}
	return config, nil
}

// checkVariables checks the variables that must be set.
func checkVariables(getenv func(string) string) error {
	for _, name := range []string{varName, varListen, varDiscovery, varFile} {
		if getenv(name) == "" {
			return fmt.Errorf("%s: missing", name)
		}
	}
	for _, name := range []string{varListen, varDiscovery} {
		if err := checkAddress(getenv(name)); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	return nil
}

func checkAddress(addr string) error {
	_, _, err := net.SplitHostPort(addr)
	return err
}
