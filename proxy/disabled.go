package proxy

import (
	"sync/atomic"

	"lockloom/lifecycle"
)

// disabledServers holds when each disabled server was disabled, in seconds since 1970, by the server's name. It is kept
// beside the endpoint list and the indexes, because a server stays disabled whatever the list does with it: names it,
// drops it, or names it anew. Any goroutine may read it.
type disabledServers struct {
	since atomic.Pointer[map[string]float64] // never changed once stored; nil: none was ever disabled
}

// store takes the disabled servers of an admin state.
func (d *disabledServers) store(state *lifecycle.AdminState) {
	disabled := map[string]float64{}
	for name := range state.Servers {
		if since, on := state.DisabledSince(name); on {
			disabled[name] = since
		}
	}
	d.since.Store(&disabled)
}

// get returns when a server was disabled, and whether it is disabled.
func (d *disabledServers) get(name string) (since float64, disabled bool) {
	servers := d.since.Load()
	if servers == nil {
		return 0, false
	}
	since, disabled = (*servers)[name]
	return since, disabled
}

// count returns the number of disabled servers.
func (d *disabledServers) count() int {
	if servers := d.since.Load(); servers != nil {
		return len(*servers)
	}
	return 0
}

// isDisabled reports whether a server is disabled. Any goroutine may call it.
func (p *Proxy) isDisabled(name string) bool {
	_, disabled := p.process.disabled.get(name)
	return disabled
}

// disabledPastGrace reports whether a server is disabled and the grace of a drain has passed since, so that nothing may
// be written to it any more. It is also called just before an attempt's first byte, on the goroutine of its connection:
// an admin call is in force once it is answered, even if the owner has not applied it yet.
func (p *Proxy) disabledPastGrace(name string) bool {
	since, disabled := p.process.disabled.get(name)
	return disabled && p.now() > since+p.bootstrap.DrainGrace
}
