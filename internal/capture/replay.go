package capture

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"lockloom/balance"
	"lockloom/internal/graphcodec"
)

// Player has the decisions of a capture again, file after file of one proxy. It is a Visitor.
type Player struct {
	// Before and After are called round each call with the pool that it is on; nil: nobody listens.
	Before func(p *Pool, x *Call)
	After  func(p *Pool, x *Call, o *balance.Actions)
	// Loose goes on past orders that differ, as they do where other decisions replay; else that is an error.
	Loose bool
	// Warn is told what cannot be proved, and from where; nil: nobody.
	Warn func(text string)

	Pools    map[int]*Pool
	Played   uint64 // calls
	Skipped  uint64 // that stand before a state, or are of a request that is not known
	Differ   uint64 // orders, where it is loose
	Lookups  uint64
	First    float64 // the time of the first call
	Last     float64
	Began    Head
	proved   bool // since the last state nothing is missing
	foreign  bool // made by a program whose decisions have another form of state
	segments int
}

// Pool is one Balancer in replay.
type Pool struct {
	Number int
	Name   string
	B      *balance.Balancer
	Hand   map[uint64]*balance.Request // requests in hand, by their number
	Last   *balance.Request            // the one that the last call was on; nil: none
}

// restore builds the pool of a stored state.
func (s *state) restore() (*Pool, error) {
	if s.Balancer == nil {
		return nil, errors.New("a pool's state: it has none")
	}
	b, requests, err := s.Balancer.Restore(s.Requests)
	if err != nil {
		return nil, fmt.Errorf("a pool's state: %w", err)
	}
	return &Pool{Number: s.Pool, Name: s.Name, B: b, Hand: requests}, nil
}

// errDiffers is where a replay stops.
type errDiffers struct {
	call *Call
	got  uint16
	n    uint64
	pool string
	said string
}

func (e *errDiffers) Error() string {
	return fmt.Sprintf("call %d, %s at %.6f on pool %q: the orders differ: digest %04x was recorded, %04x came of it: %s",
		e.n, e.call.Kind, e.call.Now, e.pool, e.call.Digest, e.got, e.said)
}

// Head begins a file.
func (p *Player) Head(h Head) error {
	form, err := stateForm()
	if err != nil {
		return err
	}
	p.foreign = h.Module != form
	p.Began, p.proved = h, false
	p.Pools = map[int]*Pool{}
	p.segments++
	return nil
}

// State takes over a pool as it was.
func (p *Player) State(text []byte) error {
	if p.Pools == nil { // its head was broken: what form this has is not known
		p.Skipped++
		return nil
	}
	if p.foreign {
		return fmt.Errorf("it was made by a program (%s) whose decisions have another form of state: replay it with that one", p.Began.Program)
	}
	s, err := graphcodec.Read[state](text)
	if err != nil {
		return fmt.Errorf("a pool's state: %w", err)
	}
	pool, err := s.restore()
	if err != nil {
		return err
	}
	p.Pools[pool.Number] = pool
	p.proved = true
	return nil
}

// born is a pool as it was made.
type born struct {
	Pool       int                `json:"pool"`
	Name       string             `json:"name"`
	At         float64            `json:"at"`
	Deployment balance.Deployment `json:"deployment"`
}

// Born makes a pool.
func (p *Player) Born(text []byte) error {
	var b born
	if err := json.Unmarshal(text, &b); err != nil {
		return fmt.Errorf("a pool as it was made: %w", err)
	}
	made, err := balance.New(b.Deployment, b.At)
	if err != nil {
		return fmt.Errorf("a pool as it was made: %w", err)
	}
	if p.Pools == nil {
		return nil
	}
	p.Pools[b.Pool] = &Pool{Number: b.Pool, Name: b.Name, B: made, Hand: map[uint64]*balance.Request{}}
	p.proved = true
	return nil
}

// Gap tells that calls are missing; a state follows.
func (p *Player) Gap(missed uint64) error {
	p.warn(fmt.Sprintf("%d calls or more are missing before part %d, which begins with a state of its own", missed, p.Began.Part))
	return nil
}

// Broken tells of a block that was passed over: what follows cannot be proved until the next state.
func (p *Player) Broken(at int64, why string) error {
	p.warn(fmt.Sprintf("at byte %d: %s; what follows is not replayed until the next state", at, why))
	p.proved = false
	return nil
}

func (p *Player) warn(text string) {
	if p.Warn != nil {
		p.Warn(text)
	}
}

// Calls plays a block's.
func (p *Player) Calls(text []byte) error {
	return calls(text, func(x *Call) error {
		pool := p.Pools[x.Pool]
		if pool == nil || !p.proved {
			p.Skipped++
			return nil
		}
		if p.Played == 0 {
			p.First = x.Now
		}
		p.Last = x.Now
		if p.Before != nil {
			p.Before(pool, x)
		}
		o, ok := pool.apply(x)
		if !ok {
			p.Skipped++
			return nil
		}
		p.Played++
		if x.Kind == Take {
			p.Lookups++
		}
		got := Digest(o)
		if got != x.Digest {
			if p.Differ++; !p.Loose {
				return &errDiffers{x, got, p.Played, pool.Name, told(o)}
			}
		}
		if p.After != nil {
			p.After(pool, x, o)
		}
		return nil
	})
}

// told is what orders say, in short.
func told(o *balance.Actions) string {
	if o == nil {
		return "none"
	}
	text := ""
	for _, s := range o.Requests {
		switch {
		case s.Send:
			text += fmt.Sprintf("lookup %d to backend %d; ", s.Ref, s.Endpoint)
		case s.Reply == balance.Rejected:
			text += fmt.Sprintf("lookup %d dismissed; ", s.Ref)
		case s.Reply == balance.Failed:
			text += fmt.Sprintf("lookup %d forfeited; ", s.Ref)
		case s.CancelAttempt > 0:
			text += fmt.Sprintf("lookup %d calls off leg %d; ", s.Ref, s.CancelAttempt)
		}
	}
	if text == "" {
		return "none"
	}
	return text
}

// apply makes a call. It is false for one of a request that is not known.
func (p *Pool) apply(x *Call) (*balance.Actions, bool) {
	b := p.B
	p.Last = nil
	if x.Kind == Take {
		l, o := b.RequestArrived(x.Now, x.Arrival)
		p.Hand[x.Lookup] = l
		return p.after(x, l, o), true
	}
	if x.Kind >= Ended && x.Kind <= LookupWake {
		l := p.Hand[x.Lookup]
		if l == nil {
			return nil, false
		}
		var o *balance.Actions
		switch x.Kind {
		case Ended:
			o = l.AttemptEnded(x.Now, x.Leg, x.Outcome, x.Latency, x.Over)
		case Left:
			o = l.ClientDisconnected(x.Now)
		case Started:
			o = l.ResponseStarted(x.Now, x.Leg)
		case Whole:
			o = l.BodyCompleted(x.Now)
		case LookupWake:
			o = l.TimerFired(x.Now)
		}
		return p.after(x, l, o), true
	}
	switch x.Kind {
	case Wake:
		return b.TimerFired(x.Now), true
	case Listed:
		return b.EndpointsUpdated(x.Now, x.Full, x.First, x.List), true
	case ListFailed:
		return b.PollFailed(x.Now), true
	case Probed:
		return b.HealthChecked(x.Now, x.Backend, x.OK, x.Report), true
	case Heard:
		return b.GossipReceived(x.Now, x.From, x.Note), true
	case Reported:
		b.OutcomesReported(x.Now, x.Results)
	case Part:
		b.SetBudgetShare(x.Part)
	case Slack:
		b.SetLocalDelay(x.Slack, x.Lag)
	case Remember:
		b.Restore(x.Now, x.Memory)
	case Look:
		b.ServerStatuses(x.Now)
	}
	return nil, true
}

func (p *Pool) after(x *Call, l *balance.Request, o *balance.Actions) *balance.Actions {
	p.Last = l
	if l.Done() {
		delete(p.Hand, x.Lookup)
	}
	return o
}

// Play replays files in order.
func (p *Player) Play(files []string, open func(name string) (io.ReadCloser, error)) error {
	for _, name := range files {
		f, err := open(name)
		if err != nil {
			return err
		}
		err = Read(f, p)
		f.Close()
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	if p.segments == 0 {
		return errors.New("there is nothing to replay")
	}
	return nil
}
