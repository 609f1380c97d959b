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

	Pools       map[int]*Pool
	Played      uint64 // calls
	Skipped     uint64 // that stand before a state, or are of a request that is not known
	Different   uint64 // orders, where it is loose
	Requests    uint64
	FirstCallAt float64 // the time of the first call
	LastCallAt  float64
	FileHead    Head
	proved      bool // since the last state nothing is missing
	foreign     bool // made by a program whose decisions have another form of state
	segments    int
}

// Pool is one Balancer in replay.
type Pool struct {
	Number      int
	Name        string
	Balancer    *balance.Balancer
	InFlight    map[uint64]*balance.Request // requests in hand, by their number
	LastRequest *balance.Request            // the one that the last call was on; nil: none
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
	return &Pool{Number: s.Pool, Name: s.Name, Balancer: b, InFlight: requests}, nil
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
	p.FileHead, p.proved = h, false
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
		return fmt.Errorf("it was made by a program (%s) whose decisions have another form of state: replay it with that one", p.FileHead.Program)
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

// creation is a pool as it was made.
type creation struct {
	Pool       int                `json:"pool"`
	Name       string             `json:"name"`
	At         float64            `json:"at"`
	Deployment balance.Deployment `json:"deployment"`
}

// Created makes a pool.
func (p *Player) Created(text []byte) error {
	var b creation
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
	p.Pools[b.Pool] = &Pool{Number: b.Pool, Name: b.Name, Balancer: made, InFlight: map[uint64]*balance.Request{}}
	p.proved = true
	return nil
}

// Gap tells that calls are missing; a state follows.
func (p *Player) Gap(missed uint64) error {
	p.warn(fmt.Sprintf("%d calls or more are missing before part %d, which begins with a state of its own", missed, p.FileHead.Part))
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
			p.FirstCallAt = x.Now
		}
		p.LastCallAt = x.Now
		if p.Before != nil {
			p.Before(pool, x)
		}
		o, ok := pool.apply(x)
		if !ok {
			p.Skipped++
			return nil
		}
		p.Played++
		if x.Kind == RequestArrived {
			p.Requests++
		}
		got := Digest(o)
		if got != x.Digest {
			if p.Different++; !p.Loose {
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
	b := p.Balancer
	p.LastRequest = nil
	if x.Kind == RequestArrived {
		l, o := b.RequestArrived(x.Now, x.Arrival)
		p.InFlight[x.Request] = l
		return p.after(x, l, o), true
	}
	if x.Kind >= AttemptEnded && x.Kind <= RequestTimerFired {
		l := p.InFlight[x.Request]
		if l == nil {
			return nil, false
		}
		var o *balance.Actions
		switch x.Kind {
		case AttemptEnded:
			o = l.AttemptEnded(x.Now, x.Attempt, x.Outcome, x.Latency, x.BodyComplete)
		case ClientDisconnected:
			o = l.ClientDisconnected(x.Now)
		case ResponseStarted:
			o = l.ResponseStarted(x.Now, x.Attempt)
		case BodyCompleted:
			o = l.BodyCompleted(x.Now)
		case RequestTimerFired:
			o = l.TimerFired(x.Now)
		}
		return p.after(x, l, o), true
	}
	switch x.Kind {
	case TimerFired:
		return b.TimerFired(x.Now), true
	case EndpointsUpdated:
		return b.EndpointsUpdated(x.Now, x.Full, x.First, x.Endpoints), true
	case PollFailed:
		return b.PollFailed(x.Now), true
	case HealthChecked:
		return b.HealthChecked(x.Now, x.Endpoint, x.OK, x.LoadReport), true
	case GossipReceived:
		return b.GossipReceived(x.Now, x.GossipPeer, x.Gossip), true
	case OutcomesReported:
		b.OutcomesReported(x.Now, x.Outcomes)
	case BudgetShareSet:
		b.SetBudgetShare(x.BudgetShare)
	case LocalDelaySet:
		b.SetLocalDelay(x.DelayStretch, x.Delay)
	case SnapshotRestored:
		b.Restore(x.Now, x.Snapshot)
	case StateRead:
		b.ServerStatuses(x.Now)
	}
	return nil, true
}

func (p *Pool) after(x *Call, l *balance.Request, o *balance.Actions) *balance.Actions {
	p.LastRequest = l
	if l.Done() {
		delete(p.InFlight, x.Request)
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
