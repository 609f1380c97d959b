package hotrestart

import (
	"fmt"

	"lockloom/balance"
	"lockloom/internal/discovery"
	"lockloom/lifecycle"
)

// FormatVersion is the version of the frame format; a peer with another version is rejected.
const FormatVersion = 1

// Identity identifies the proxy that a process belongs to. Both sides compare it because two proxies may have their
// sockets in one directory, and a process that took over another proxy's sockets would not serve its own proxy's
// clients.
type Identity struct {
	Format int    `json:"Format"`
	Name   string `json:"Name"`
	Listen string `json:"Listen"` // the address of the platform listener
}

// check returns an error unless other is the identity of a process of this proxy that uses the same frame format.
func (i Identity) check(other Identity) error {
	switch {
	case other.Format != FormatVersion:
		return fmt.Errorf("the peer uses frame format %d, expected %d", other.Format, FormatVersion)
	case other != i:
		return fmt.Errorf("the peer belongs to proxy %q at %s", other.Name, other.Listen)
	}
	return nil
}

// State is what the serving process hands over to its successor.
type State struct {
	Identity
	Listeners  []string             `json:"Listeners"`        // addresses of the listening sockets, in the order sent
	Gossip     string               `json:"Gossip,omitempty"` // address of the socket for gossip, sent last; empty: none
	AdminState lifecycle.AdminState `json:"Orders"`
	IDs        []uint64             `json:"IDs"` // hashes of all server ids that were ever in the endpoint list
	List       discovery.List       `json:"List"`
	HasList    bool                 `json:"Listed"` // whether an endpoint list was received; if not, List is empty
	Snapshot   balance.Snapshot     `json:"Learned"`

	// RequestIDs are the ids of requests that must not run at the successor.
	RequestIDs []RequestID `json:"RequestIDs,omitempty"`
}

// RequestID is the hash of the id of a request that one process has, or has had, and that must not run at another for
// some time. Times are in seconds from when the message was written.
type RequestID struct {
	Hash  string  `json:"Hash"`  // 32 hexadecimal digits
	From  float64 `json:"From"`  // when it must not run any more; before, servers drop a repeat
	Until float64 `json:"Until"` // when it may run again; 0: from now on
}

// Update is what one process reports to the other after the handover.
type Update struct {
	Serving    bool                  `json:"Serving"` // the successor accepts clients
	AdminState *lifecycle.AdminState `json:"Orders"`  // the whole admin state; nil: no change to report

	// GossipReleased reports that the predecessor reads no gossip any more, since the successor serves: the successor
	// reads it from now on, or the predecessor again once the successor has ended.
	GossipReleased bool `json:"GossipReleased,omitempty"`

	// RequestIDs are changes of the ids of requests that must not run at the receiver, in their order.
	RequestIDs []RequestID `json:"RequestIDs,omitempty"`
}
