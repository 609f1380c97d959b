package lifecycle

import "maps"

// Switch is the last order that was given for the proxy or for one server.
type Switch struct {
	On        bool    `json:"On"`    // drained, or disabled
	ChangedAt float64 `json:"At"`    // when the order was given, in seconds since 1970
	Since     float64 `json:"Since"` // when a server that is or was disabled was disabled, in seconds since 1970
}

// supersededBy reports whether another order holds over this one. Of two orders given at the same moment both
// processes must choose the same one; the one that stops more is chosen, since it cannot break a rule.
func (s Switch) supersededBy(other Switch) bool {
	return other.ChangedAt > s.ChangedAt || other.ChangedAt == s.ChangedAt && other.On && !s.On
}

// AdminState is what operators have ordered of a proxy: the last order of each kind.
type AdminState struct {
	Drain   Switch            `json:"Drain"`
	Servers map[string]Switch `json:"Backends,omitempty"` // by server id
}

// Clone returns a copy that shares nothing with the original.
func (a *AdminState) Clone() AdminState {
	return AdminState{Drain: a.Drain, Servers: maps.Clone(a.Servers)}
}

// Merge adopts every order of another process of the proxy that supersedes the own one, and reports whether there was
// one. Merging is commutative, associative and idempotent.
func (a *AdminState) Merge(other AdminState) bool {
	changed := a.Drain.supersededBy(other.Drain)
	if changed {
		a.Drain = other.Drain
	}
	for id, order := range other.Servers {
		if own, known := a.Servers[id]; !known || own.supersededBy(order) {
			a.set(id, order)
			changed = true
		}
	}
	return changed
}

func (a *AdminState) set(id string, order Switch) {
	if a.Servers == nil {
		a.Servers = map[string]Switch{}
	}
	a.Servers[id] = order
}

// Disable disables a server. Repeated, it keeps the time since when the server is disabled.
func (a *AdminState) Disable(id string, now float64) {
	order := Switch{On: true, ChangedAt: now, Since: now}
	if old := a.Servers[id]; old.On {
		order.Since = old.Since
	}
	a.set(id, order)
}

// Enable enables a server that is disabled; for any other it changes nothing.
func (a *AdminState) Enable(id string, now float64) {
	if old := a.Servers[id]; old.On {
		a.set(id, Switch{ChangedAt: max(now, old.ChangedAt), Since: old.Since})
	}
}

// SetDraining sets whether the proxy is drained. Repeated, it changes nothing: the time is that of the first order.
func (a *AdminState) SetDraining(on bool, now float64) {
	if a.Drain.On != on {
		a.Drain = Switch{On: on, ChangedAt: max(now, a.Drain.ChangedAt)}
	}
}

// Disabled reports whether a server is disabled, and the start time that the decisions are to assume for it. The
// endpoint list's start time is startedAt, in seconds since 1970; 0 is long ago.
//
// Operators disable a server to restart it, and the list may not report the restart. Once enabled, a server therefore
// counts as started at that moment, unless the list reports a start after the disabling. While it is disabled such a
// start is held back, so that the server is warming up once it is enabled.
func (a *AdminState) Disabled(id string, startedAt float64) (disabled bool, assumedStart float64) {
	order, known := a.Servers[id]
	switch {
	case !known:
		return false, startedAt
	case order.On:
		return true, min(startedAt, order.Since)
	case startedAt <= order.Since:
		return false, order.ChangedAt
	}
	return false, startedAt
}
