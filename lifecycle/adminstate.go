package lifecycle

import "maps"

// AdminSwitch records the last admin call that drained the proxy or ended its drain, or the last one that disabled or
// enabled a server.
type AdminSwitch struct {
	On        bool    `json:"On"`    // the proxy is drained, or the server is disabled
	ChangedAt float64 `json:"At"`    // time of that admin call, in seconds since 1970
	Since     float64 `json:"Since"` // when the server was last disabled, in seconds since 1970; 0 for the proxy
}

// supersededBy reports whether other replaces s. Of two calls at the same time, all processes must choose the same one.
// They choose the one that drains or disables, since it cannot break a rule.
func (s AdminSwitch) supersededBy(other AdminSwitch) bool {
	return other.ChangedAt > s.ChangedAt || other.ChangedAt == s.ChangedAt && other.On && !s.On
}

// AdminState holds the last admin calls of operators: the one for the proxy, and one for each server.
type AdminState struct {
	Drain   AdminSwitch            `json:"Drain"`
	Servers map[string]AdminSwitch `json:"Backends,omitempty"` // by the server's id
}

// Clone returns a copy that shares no memory with the original.
func (a *AdminState) Clone() AdminState {
	return AdminState{Drain: a.Drain, Servers: maps.Clone(a.Servers)}
}

// Merge merges the state of another process of the proxy into a: each switch in other that supersedes the one in a
// replaces it. It reports whether a changed. Merging is commutative, associative and idempotent.
func (a *AdminState) Merge(other AdminState) bool {
	changed := a.Drain.supersededBy(other.Drain)
	if changed {
		a.Drain = other.Drain
	}
	for id, theirs := range other.Servers {
		if own, known := a.Servers[id]; !known || own.supersededBy(theirs) {
			a.set(id, theirs)
			changed = true
		}
	}
	return changed
}

func (a *AdminState) set(id string, s AdminSwitch) {
	if a.Servers == nil {
		a.Servers = map[string]AdminSwitch{}
	}
	a.Servers[id] = s
}

// Disable disables a server. If the server is disabled already, Since keeps its value.
func (a *AdminState) Disable(id string, now float64) {
	s := AdminSwitch{On: true, ChangedAt: now, Since: now}
	if old := a.Servers[id]; old.On {
		s.Since = old.Since
	}
	a.set(id, s)
}

// Enable enables a server that is disabled. For any other server it does nothing.
func (a *AdminState) Enable(id string, now float64) {
	if old := a.Servers[id]; old.On {
		a.set(id, AdminSwitch{ChangedAt: max(now, old.ChangedAt), Since: old.Since})
	}
}

// SetDraining sets whether the proxy is drained. If that does not change, ChangedAt keeps the time of the first call.
func (a *AdminState) SetDraining(on bool, now float64) {
	if a.Drain.On != on {
		a.Drain = AdminSwitch{On: on, ChangedAt: max(now, a.Drain.ChangedAt)}
	}
}

// DisabledSince returns when a server was disabled, in seconds since 1970, and whether it is disabled.
func (a *AdminState) DisabledSince(id string) (since float64, disabled bool) {
	s := a.Servers[id]
	return s.Since, s.On
}

// Disabled reports whether a server is disabled, and the start time that the load balancing must assume for it. The
// start time in the endpoint list is startedAt, in seconds since 1970; 0 means long ago.
//
// Operators disable a server to restart it, and the endpoint list may not report the restart. An enabled server is
// therefore assumed to have started when it was enabled, unless the list reports a start after it was disabled. Such a
// start is not returned while the server is disabled, so that slow start begins only once the server is enabled.
func (a *AdminState) Disabled(id string, startedAt float64) (disabled bool, assumedStart float64) {
	s, known := a.Servers[id]
	switch {
	case !known:
		return false, startedAt
	case s.On:
		return true, min(startedAt, s.Since)
	case startedAt <= s.Since:
		return false, s.ChangedAt
	}
	return false, startedAt
}
