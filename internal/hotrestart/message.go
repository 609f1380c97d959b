package hotrestart

import (
	"fmt"

	"lockloom/balance"
	"lockloom/internal/discovery"
	"lockloom/lifecycle"
)

// Format is the version of the frames; a process that speaks another is rejected.
const Format = 1

// Identity names the proxy that a process belongs to. It is compared because two proxies may share a directory, and one
// that took over the other's sockets would serve nobody.
type Identity struct {
	Format int    `json:"Format"`
	Name   string `json:"Name"`
	Listen string `json:"Listen"` // the address of the platform listener
}

// check reports why a process of another identity is no process of this proxy.
func (i Identity) check(other Identity) error {
	switch {
	case other.Format != Format:
		return fmt.Errorf("format %d, not %d", other.Format, Format)
	case other != i:
		return fmt.Errorf("it is proxy %q at %s", other.Name, other.Listen)
	}
	return nil
}

// State is what the process that serves hands over.
type State struct {
	Identity
	Listeners  []string             `json:"Listeners"` // the addresses of the sockets that come with it, in their order
	AdminState lifecycle.AdminState `json:"Orders"`
	IDs        []uint64             `json:"IDs"` // the hashes of the server ids that the endpoint list ever named
	List       discovery.List       `json:"List"`
	Listed     bool                 `json:"Listed"` // an endpoint list was received; without one List is empty
	Snapshot   balance.Snapshot     `json:"Learned"`
}

// Update is what one process reports to the other later.
type Update struct {
	Serving    bool                  `json:"Serving"` // the successor takes clients
	AdminState *lifecycle.AdminState `json:"Orders"`  // nil: unchanged
}
