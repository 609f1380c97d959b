// Package bootstrap reads the configuration that the platform gives a proxy at its start: environment variables, and
// the launch file that one of them names. The platform publishes both formats.
package bootstrap

import (
	"fmt"
	"net"
	"os"

	"lockloom/internal/discovery"
	"lockloom/internal/settings"
)

// Config is the configuration of a proxy at its start.
type Config struct {
	Name          string
	Listen        string // host:port of the platform listener
	Discovery     string // host:port of the discovery service
	AdminAddress  string // host:port of the admin endpoint; empty: none
	HotRestartDir string // the directory of the hot restart socket; empty: no hot restarts
	settings.Settings
	KnownEndpoints discovery.List // the endpoint list when the launch file was written; may be out of date
	Limits         Limits
	Fleet          Fleet
}

// Fleet holds the addresses for gossip between the proxies of a fleet. It is empty if they send no gossip.
type Fleet struct {
	Listen string         `json:"Listen"` // the IP address and port on which this proxy receives gossip
	Peers  map[int]string `json:"Peers"`  // the same for each other proxy, by the number of that proxy, from 0
}

// Limits are the limits of the proxy's machine.
type Limits struct {
	Cores   float64
	Memory  int64 // bytes
	Sockets int   // file descriptors
}

// The environment variables; varAdmin and varHotRestart are optional.
const (
	varName       = "ROUTER_NAME"
	varListen     = "ROUTER_LISTEN"
	varDiscovery  = "ROUTER_DISCOVERY"
	varFile       = "ROUTER_CONFIG"
	varAdmin      = "ROUTER_OPERATOR"
	varHotRestart = "TMPDIR"
)

// Read reads the environment variables, using getenv, and the launch file. An error names the variable or the setting
// that is missing or invalid.
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

// checkVariables returns an error if a required environment variable is missing, or if one that holds an address is not
// of the form host:port.
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
