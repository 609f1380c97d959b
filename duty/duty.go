// Package duty holds what operators have ordered of one proxy, and says what follows from it: whether the proxy is up, what it
// takes in, when its clients' connections close and which backends are banned. Up to two processes, or more where starts follow
// one another, are one proxy for a while; each keeps Orders, and merging them settles what holds. It keeps no clock: times are
// passed in, in seconds since 1970, alike at all processes of a machine. A Life is not safe for concurrent use.
package duty

import "maps"

// Every constant of a drain and of a hand-over, in seconds from the order. Four seconds after a drain no connection may be idle,
// or have a request of the last two.
const (
	Notice = 0.5 // connections stay as they are for so long: the front notices within 0.3 s, and till then deals out new ones
	Spread = 1.1 // and the idle ones go within this, one after the other
	Take   = 1.8 // what comes whole later is turned away at once
	Fresh  = 0.3 // after Take, a connection without a request goes within this
)

// Order is the last that was said of the proxy, or of one backend.
type Order struct {
	On    bool    `json:"On"`    // drained; disabled
	At    float64 `json:"At"`    // when it was said last
	Since float64 `json:"Since"` // of a disabled backend, or one that was: when it was disabled
}

// later says whether another order holds over this one. Danger: two said at the same moment must come out alike at both
// processes; the one that stops more is the one that breaks no rule.
func (o Order) later(other Order) bool {
	return other.At > o.At || other.At == o.At && other.On && !o.On
}

// Orders are the last of each kind.
type Orders struct {
	Drain    Order            `json:"Drain"`
	Backends map[string]Order `json:"Backends,omitempty"` // by id
}

// Clone is a copy that shares nothing.
func (o *Orders) Clone() Orders { return Orders{Drain: o.Drain, Backends: maps.Clone(o.Backends)} }

// Merge takes in what another process of the proxy has heard, and tells whether it was news. It comes to the same in whatever
// order and however often it is called.
func (o *Orders) Merge(other Orders) bool {
	news := o.Drain.later(other.Drain)
	if news {
		o.Drain = other.Drain
	}
	for id, order := range other.Backends {
		if own, known := o.Backends[id]; !known || own.later(order) {
			o.set(id, order)
			news = true
		}
	}
	return news
}

func (o *Orders) set(id string, order Order) {
	if o.Backends == nil {
		o.Backends = map[string]Order{}
	}
	o.Backends[id] = order
}

// Disable bans a backend. It may be repeated.
func (o *Orders) Disable(id string, now float64) {
	order := Order{On: true, At: now, Since: now}
	if old := o.Backends[id]; old.On {
		order.Since = old.Since
	}
	o.set(id, order)
}

// Enable ends a backend's ban, however often it was said.
func (o *Orders) Enable(id string, now float64) {
	if old := o.Backends[id]; old.On {
		o.set(id, Order{At: max(now, old.At), Since: old.Since})
	}
}

// Drains sets whether the proxy is drained. Repeated, it changes nothing: the time is that of the first.
func (o *Orders) Drains(on bool, now float64) {
	if o.Drain.On != on {
		o.Drain = Order{On: on, At: max(now, o.Drain.At)}
	}
}

// Banned says whether a backend is banned, and when the decisions are to take it to have started, which the list says it did at
// started (0: long ago). Danger: it is disabled to be restarted, and the list may not tell; once enabled it counts as started just
// then unless a later start than the ban was told. While it is banned such a start is not passed on: enabled, it is a new one.
func (o *Orders) Banned(id string, started float64) (bool, float64) {
	order, known := o.Backends[id]
	switch {
	case !known:
		return false, started
	case order.On:
		return true, min(started, order.Since)
	case started <= order.Since:
		return false, order.At
	}
	return false, started
}

// Life is one process of the proxy: the orders, and how far it has come itself.
type Life struct {
	Orders
	Serving bool    // it takes clients
	Stopped float64 // when it was told to end; 0: it was not
	Before  bool    // another process of this proxy serves beside this one
	Ending  bool    // no connection is served any longer than to its answer
	Heir    bool    // another process of this proxy takes clients in its stead
	Last    float64 // once it is stopped and has an heir: when its last idle connection is to close
}

// Up is the answer to the front: whether the proxy, by this process or its heir, wants clients.
func (l *Life) Up() bool { return !l.Drain.On && (l.Heir || (l.Serving || l.Before) && l.Stopped == 0) }

// Ready is the answer to operators: whether this process takes clients. A drain does not change it.
func (l *Life) Ready() bool { return l.Serving && l.Stopped == 0 }

// Accepts says whether this process accepts connections.
func (l *Life) Accepts() bool { return !l.Heir }

// Closes says whether a connection closes with its answer.
func (l *Life) Closes(now float64) bool {
	return l.Ending || l.Drain.On && now >= l.Drain.At+Notice || l.Stopped > 0 && l.Heir
}

// Takes says whether a request that has come whole is a lookup; else it is turned away at once.
func (l *Life) Takes(now float64) bool { return !l.Drain.On || now < l.Drain.At+Take }

// Idle is the share of the idle connections that are to close until the next look, after so long, and whether new ones that say
// nothing go too.
func (l *Life) Idle(now, next float64) (share float64, fresh bool) {
	end := 0.0
	switch {
	case l.Drain.On && now >= l.Drain.At+Notice:
		end = l.Drain.At + Notice + Spread
	case l.Stopped > 0 && l.Heir:
		end = l.Last
	default:
		return 0, false
	}
	if share = 1; now+next < end {
		share = next / (end - now)
	}
	return share, !l.Takes(now)
}
