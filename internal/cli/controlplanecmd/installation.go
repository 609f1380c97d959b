package controlplanecmd

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
)

// launchFile is the launch file of an installation for trying out the control plane.
const launchFile = `{"seed": "1",
 "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
 "known": {"version": 0, "full": true, "servers": []},
 "settings": {"Ceilings": {"MaxLegs": 3, "Cancel": true},
  "Rules": {"StopSendingWithinMs": 2500, "ColdFrom": 0.2, "ColdMs": 20000, "FallMultiple": 3, "OverloadForMs": 1000},
  "Profiles": [{"Name": "call", "Effect": "retryable", "HardStopMs": 1000, "Value": 1}]}}
`

// operatorFileFormat is its operator file, formatted with the control plane's address, status address and snapshot file
// and with the servers.
const operatorFileFormat = `[control]
address = "%s"
status = "%s"
memory = "%s"

[[tariff]]
name = "call"
hard_stop = 1.0

[[pool]]
name = "try"
servers = %s

[[route]]
name = "all"
under = "/"
pool = "try"
`

// addresses holds the loopback addresses of a proxy and its control plane.
type addresses struct{ control, status, listen, discovery, admin string }

// writeInstallation writes the files of an installation with one pool, "try", of these servers: launch.json,
// operator.toml and loomd.env.
func writeInstallation(dir string, servers []string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	addrs, err := freeAddresses()
	if err != nil {
		return err
	}
	serversList, err := json.Marshal(servers)
	if err != nil {
		return err
	}
	snapshot := filepath.ToSlash(filepath.Join(dir, "memory.json"))
	for name, text := range map[string]string{
		"launch.json":   launchFile,
		"operator.toml": fmt.Sprintf(operatorFileFormat, addrs.control, addrs.status, snapshot, serversList),
		"loomd.env":     addrs.environment(filepath.Join(dir, "launch.json")),
	} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o644); err != nil {
			return err
		}
	}
	return nil
}

// environment returns the environment variables that serve and its clients need, one per line.
func (a addresses) environment(launchFile string) string {
	return fmt.Sprintf("ROUTER_NAME=n0\nROUTER_LISTEN=%s\nROUTER_DISCOVERY=%s\nROUTER_OPERATOR=%s\n"+
		"ROUTER_CONFIG=%s\nLOOMD_CONTROL=%s\nLOOMD_STATUS=%s\n",
		a.listen, a.discovery, a.admin, launchFile, a.control, a.status)
}

// freeAddresses returns unused addresses. The listeners stay open until all addresses are found, so that they differ.
func freeAddresses() (free addresses, err error) {
	for _, addr := range []*string{&free.control, &free.status, &free.listen, &free.discovery, &free.admin} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return addresses{}, err
		}
		defer ln.Close()
		*addr = ln.Addr().String()
	}
	return free, nil
}
