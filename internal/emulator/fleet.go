package emulator

import (
	"fmt"
	"math"

	"lockloom/balance"
)

// Member is a server with what the list says of it.
type Member struct {
	*Server
	Name, Zone, Model string
	Pod               int
	Seat, Slot        int // the place it fills; the address it listens at
	State             balance.EndpointState
	Group             int // of the scenario's
	changed           int64
	since             float64
	resets            int
}

// Made is a kind of server that a fleet can start.
type Made struct {
	Name, Zone, Model string
	Pod               int
	Group             int
	Build             Build
}

// What an Act does.
type Deed uint8

const (
	SetSlow    Deed = iota // Value: the factor on its speed
	SetPause               // Value: for so long
	SetFail                // Value: the share; Class
	SetHang                // Value: 0 or 1; Class
	SetCut                 // Value: 0 or 1
	SetCrash               // Value: is back so much later; 0: never
	SetDrain               // Value: is gone so much later
	SetGone                // by itself, after SetDrain
	SetRenew               // a new server takes the seat, the old one drains. Value: the old is gone so much later
	SetRenewAt             // the same at its address, once the old one is gone
)

// deeds are their names in timelines.
var deeds = [...]string{"slow", "pause", "fail", "hang", "cut", "crash", "drain", "gone", "renew", "renew at its address"}

func (d Deed) String() string { return deeds[d] }

// Act is one thing that happens to the server in a seat.
type Act struct {
	At     float64
	Deed   Deed
	Seat   int
	Member int // for SetGone
	Tariff int // -1: all
	Value  float64
}

// Effect is what came of a call on one member.
type Effect struct {
	Member int
	Ends   []End // of its jobs, valid until its next call
	Reset  bool  // its connections are to be reset
	Listed bool  // the list has changed
}

// Fleet is servers under a list. Members are numbered as they came and stay in it when they are gone.
type Fleet struct {
	Members []*Member
	Version int64
	Slots   int
	Marks   map[int]*Marks // by group that drops repeats, as the caller numbers them

	made  []Made // by seat
	seats []int  // the member in each
	seed  uint64
}

// NewFleet is empty; chance comes from the seed.
func NewFleet(seed uint64) *Fleet { return &Fleet{seed: seed, Version: 1, Marks: map[int]*Marks{}} }

// Seat adds a seat with a server that has long been up or, cold, starts now.
func (f *Fleet) Seat(now float64, m Made, warm bool) int {
	f.made = append(f.made, m)
	f.seats = append(f.seats, 0)
	seat := len(f.made) - 1
	f.start(now, seat, f.slot(), warm)
	return seat
}

// Member is the one that fills a seat.
func (f *Fleet) Member(seat int) *Member { return f.Members[f.seats[seat]] }

// Index is the number of the member in a seat.
func (f *Fleet) Index(seat int) int { return f.seats[seat] }

func (f *Fleet) slot() int {
	f.Slots++
	return f.Slots - 1
}

func (f *Fleet) start(now float64, seat, slot int, warm bool) int {
	made := f.made[seat]
	i := len(f.Members)
	m := &Member{Server: New(made.Build, f.seed+uint64(i)), Name: made.Name, Zone: made.Zone, Model: made.Model, Pod: made.Pod,
		Seat: seat, Slot: slot, Group: made.Group}
	for _, old := range f.Members {
		if old.Seat == seat {
			m.Name = fmt.Sprintf("%s.%d", made.Name, i)
		}
	}
	m.Start(now, warm)
	m.since = m.Since()
	f.Members, f.seats[seat] = append(f.Members, m), i
	f.list(m)
	return i
}

func (f *Fleet) list(m *Member) {
	f.Version++
	m.changed = f.Version
}

// Do carries out an act. It returns what came of it, and acts that are due later, all at one time, in this order.
func (f *Fleet) Do(now float64, a Act) (Effect, []Act) {
	i, version := f.seats[a.Seat], f.Version
	if a.Deed == SetGone {
		i = a.Member
	}
	m := f.Members[i]
	var ends []End
	var later []Act
	reset := false
	switch a.Deed {
	case SetSlow:
		ends = m.Slow(now, a.Value)
	case SetPause:
		ends = m.Pause(now, now+a.Value)
	case SetFail:
		ends = m.Fail(now, a.Tariff, a.Value)
	case SetHang:
		ends = m.Hang(now, a.Tariff, a.Value > 0)
	case SetCut:
		ends, reset = m.Cut(now, a.Value > 0), a.Value == 0
	case SetCrash:
		back := math.Inf(1)
		if a.Value > 0 {
			back = now + a.Value
		}
		ends, reset = m.Crash(now, back), true
	case SetGone:
		m.State = balance.Removed
		f.list(m)
		ends, reset = m.Crash(now, math.Inf(1)), true
	case SetDrain, SetRenew, SetRenewAt:
		if m.State == balance.Ready {
			m.State = balance.Draining
			f.list(m)
			later = append(later, Act{At: now + a.Value, Deed: SetGone, Seat: a.Seat, Member: i})
			if a.Deed == SetRenewAt {
				later = append(later, Act{At: now + a.Value, Deed: SetRenewAt, Seat: a.Seat})
			}
		} else if a.Deed == SetRenewAt && m.State == balance.Removed {
			f.start(now, a.Seat, m.Slot, false)
		}
		if a.Deed == SetRenew {
			f.start(now, a.Seat, f.slot(), false)
		}
	}
	e := f.Settle(i, ends)
	e.Reset, e.Listed = e.Reset || reset, f.Version != version
	return e, later
}

// Settle looks at what a call on a member changed by itself: it fell over, or came back.
func (f *Fleet) Settle(i int, ends []End) Effect {
	m := f.Members[i]
	e := Effect{Member: i, Ends: ends}
	if since := m.Since(); since != m.since && m.State != balance.Removed {
		m.since, e.Listed = since, true
		f.list(m)
	}
	if m.Falls != m.resets {
		m.resets, e.Reset = m.Falls, true
	}
	return e
}

// Changed tells whether a member's entry changed after a version of the list.
func (m *Member) Changed(after int64) bool { return m.changed > after }

// Group is the Marks of a number, made when first asked for.
func (f *Fleet) Group(i int) *Marks {
	if f.Marks[i] == nil {
		f.Marks[i] = &Marks{}
	}
	return f.Marks[i]
}
