// Package discovery follows the endpoint list of a discovery service: it reads and writes lists in the service's form,
// and keeps a watch on their changes. When a change counts as received is decided by package notification.
package discovery

import (
	"time"

	"lockloom/internal/settings"
)

// List is an endpoint list, or the changes of one.
type List struct {
	Version    int64
	Full       bool      // endpoints that it does not name are gone
	NotifiedAt time.Time // the earliest time at which it may have counted as received; zero: when it is applied
	Entries    []Entry
}

// Entry is an endpoint and the address where it listens.
type Entry struct {
	settings.Entry
	Addr string
}
