// Package lifecycle holds what operators have ordered of one proxy, and says what follows from it: whether the proxy is up, what it
// takes in, when its clients' connections close and which servers are disabled. Up to two processes, or more where starts follow
// one another, are one proxy for a while; each keeps Orders, and merging them settles what holds. It keeps no clock: times are
// passed in, in seconds since 1970, alike at all processes of a machine. A Life is not safe for concurrent use.
package lifecycle

import "maps"

// Every constant of a drain and of a hot restart, in seconds from the order. Four seconds after a drain no connection may be idle,
// or have a request of the last two.
const (
	DrainNotice              = 0.5 // connections stay as they are for so long: the front notices within 0.3 s, and till then deals out new ones
	IdleCloseSpread          = 1.1 // and the idle ones go within this, one after the other
	AdmitDuration            = 1.8 // what comes whole later is rejected at once
	NewConnectionCloseSpread = 0.3 // after Take, a connection without a request goes within this
)

// Switch is the last that was said of the proxy, or of one server.
type Switch struct {
	On        bool    `json:"On"`    // drained; disabled
	ChangedAt float64 `json:"At"`    // when it was said last
	Since     float64 `json:"Since"` // of a disabled server, or one that was: when it was disabled
}

// supersededBy says whether another order holds over this one. Danger: two said at the same moment must come out alike at both
// processes; the one that stops more is the one that breaks no rule.
func (o Switch) supersededBy(other Switch) bool {
	return other.ChangedAt > o.ChangedAt || other.ChangedAt == o.ChangedAt && other.On && !o.On
}

// AdminState are the last of each kind.
type AdminState struct {
	Drain   Switch            `json:"Drain"`
	Servers map[string]Switch `json:"Backends,omitempty"` // by id
}

// Clone is a copy that shares nothing.
func (o *AdminState) Clone() AdminState {
	return AdminState{Drain: o.Drain, Servers: maps.Clone(o.Servers)}
}

// Merge takes in what another process of the proxy has heard, and tells whether it was news. It comes to the same in whatever
// order and however often it is called.
func (o *AdminState) Merge(other AdminState) bool {
	news := o.Drain.supersededBy(other.Drain)
	if news {
		o.Drain = other.Drain
	}
	for id, order := range other.Servers {
		if own, known := o.Servers[id]; !known || own.supersededBy(order) {
			o.set(id, order)
			news = true
		}
	}
	return news
}

func (o *AdminState) set(id string, order Switch) {
	if o.Servers == nil {
		o.Servers = map[string]Switch{}
	}
	o.Servers[id] = order
}

// Disable bans a server. It may be repeated.
func (o *AdminState) Disable(id string, now float64) {
	order := Switch{On: true, ChangedAt: now, Since: now}
	if old := o.Servers[id]; old.On {
		order.Since = old.Since
	}
	o.set(id, order)
}

// Enable ends a server's ban, however often it was said.
func (o *AdminState) Enable(id string, now float64) {
	if old := o.Servers[id]; old.On {
		o.set(id, Switch{ChangedAt: max(now, old.ChangedAt), Since: old.Since})
	}
}

// SetDraining sets whether the proxy is drained. Repeated, it changes nothing: the time is that of the first.
func (o *AdminState) SetDraining(on bool, now float64) {
	if o.Drain.On != on {
		o.Drain = Switch{On: on, ChangedAt: max(now, o.Drain.ChangedAt)}
	}
}

// Disabled says whether a server is disabled, and when the decisions are to take it to have started, which the list says it did at
// started (0: long ago). Danger: it is disabled to be restarted, and the list may not tell; once enabled it counts as started just
// then unless a later start than the ban was told. While it is disabled such a start is not passed on: enabled, it is a new one.
func (o *AdminState) Disabled(id string, started float64) (bool, float64) {
	order, known := o.Servers[id]
	switch {
	case !known:
		return false, started
	case order.On:
		return true, min(started, order.Since)
	case started <= order.Since:
		return false, order.ChangedAt
	}
	return false, started
}

// Process is one process of the proxy: the orders, and how far it has come itself.
type Process struct {
	AdminState
	Serving            bool    // it takes clients
	StoppedAt          float64 // when it was told to end; 0: it was not
	PredecessorServing bool    // another process of this proxy serves beside this one
	Terminating        bool    // no connection is served any longer than to its answer
	SuccessorServing   bool    // another process of this proxy takes clients in its stead
	IdleCloseDeadline  float64 // once it is stopped and has an successor: when its last idle connection is to close
}

// WantsClients is the answer to the front: whether the proxy, by this process or its successor, wants clients.
func (l *Process) WantsClients() bool {
	return !l.Drain.On && (l.SuccessorServing || (l.Serving || l.PredecessorServing) && l.StoppedAt == 0)
}

// Ready is the answer to operators: whether this process takes clients. A drain does not change it.
func (l *Process) Ready() bool { return l.Serving && l.StoppedAt == 0 }

// AcceptsConnections says whether this process accepts connections.
func (l *Process) AcceptsConnections() bool { return !l.SuccessorServing }

// ClosesAfterResponse says whether a connection closes with its answer.
func (l *Process) ClosesAfterResponse(now float64) bool {
	return l.Terminating || l.Drain.On && now >= l.Drain.ChangedAt+DrainNotice || l.StoppedAt > 0 && l.SuccessorServing
}

// AdmitsRequests says whether a request that has come whole is a request; else it is rejected at once.
func (l *Process) AdmitsRequests(now float64) bool {
	return !l.Drain.On || now < l.Drain.ChangedAt+AdmitDuration
}

// IdleCloseFraction is the share of the idle connections that are to close until the next look, after so long, and whether new ones that say
// nothing go too.
func (l *Process) IdleCloseFraction(now, next float64) (share float64, fresh bool) {
	end := 0.0
	switch {
	case l.Drain.On && now >= l.Drain.ChangedAt+DrainNotice:
		end = l.Drain.ChangedAt + DrainNotice + IdleCloseSpread
	case l.StoppedAt > 0 && l.SuccessorServing:
		end = l.IdleCloseDeadline
	default:
		return 0, false
	}
	if share = 1; now+next < end {
		share = next / (end - now)
	}
	return share, !l.AdmitsRequests(now)
}
