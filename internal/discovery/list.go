// Package discovery follows the endpoint list of a discovery service: it decodes and encodes lists in the JSON format
// of the service, and watches for changes. Package notification decides when a change counts as received.
package discovery

import (
	"time"

	"lockloom/internal/settings"
)

// List is an endpoint list, or a set of changes to one.
type List struct {
	Version    int64
	Full       bool      // the list is complete: endpoints not in Entries are removed
	NotifiedAt time.Time // earliest time at which the list may count as received; zero: the time it is applied
	Entries    []Entry
}

// Entry is an endpoint and the address on which it listens.
type Entry struct {
	settings.Entry
	Addr string
}
