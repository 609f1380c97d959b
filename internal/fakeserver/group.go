// Package fakeserver puts emulated servers and their endpoint list on loopback sockets: each server speaks the
// platform's HTTP/1.1, and a discovery agent for each proxy serves the list in discovery's form. The servers' behavior
// is the emulator's; this package only translates between bytes and its calls.
package fakeserver

import (
	"math"
	"sync"
	"time"

	"lockloom/balance"
	"lockloom/internal/emulator"
)

const (
	listDelay        = 20 * time.Millisecond // from a change of the list to its notification, as in virtual time
	maxClockInterval = time.Second           // between looks at the servers when no event of theirs is due
)

// Observer is notified of what servers and agents see as it happens, by several goroutines. An attempt is known by its
// request's id; times are in seconds since 1970.
type Observer interface {
	AttemptReceived(now float64, id string, proxy, member, dedupGroup int)
	AttemptRejected(id string)
	// MemberNotReady is called for each member that is draining or removed whenever the list has changed.
	MemberNotReady(now float64, member int)
	// ProxyNotified is called for each such member once its proxy counts as notified.
	ProxyNotified(now float64, proxy, member int)
	ServerCrashed(now float64, member int)
	// AttemptServed is called when an attempt's answer has been written.
	AttemptServed(id string, work float64)
}

// RequestClass is what a server must know of a class's requests.
type RequestClass struct {
	Number      int
	Work        float64 // s of a core at speed 1, unless the request says otherwise
	DedupWindow float64 // s
	// DedupGroup is the group by which a member drops duplicates; -1: none.
	DedupGroup func(m *emulator.Member) int
}

// ServerGroup is a fleet on sockets. Its methods are safe for concurrent use.
type ServerGroup struct {
	Fleet       *emulator.Fleet
	OnLate      func(seconds float64) // by how much a completion was acted on late
	IndentLists bool                  // lists are sent over several lines; set before anybody watches

	observer Observer
	classes  map[string]RequestClass // by name
	proxies  int
	clock    clock
	wake     chan struct{} // an event is due sooner than run knew
	quit     chan struct{}
	work     sync.WaitGroup
	agents   []*Agent

	mu        sync.Mutex // guards what follows, and Fleet
	ports     portFinder
	addresses []*address // by the fleet's index of addresses
	members   int        // those that have an address; the fleet may have more for a moment
	jobs      jobTable
	nextEvent float64
	err       error
}

// clock tells the time in seconds since 1970, never stepping back.
type clock struct{ start time.Time }

func (c clock) now() float64 { return float64(c.start.UnixMicro())/1e6 + time.Since(c.start).Seconds() }

// jobTable holds the connection that waits for each job; a job's Ref is its index.
type jobTable struct {
	waiting []*conn
	free    []int
}

func (t *jobTable) add(c *conn) int {
	n := len(t.free)
	if n == 0 {
		t.waiting = append(t.waiting, c)
		return len(t.waiting) - 1
	}
	ref := t.free[n-1]
	t.free = t.free[:n-1]
	t.waiting[ref] = c
	return ref
}

// abandon records that nobody waits for a job that has still to complete.
func (t *jobTable) abandon(ref int) { t.waiting[ref] = nil }

// release frees the Ref of a job that is over, and returns the connection that waited for it; nil: none.
func (t *jobTable) release(ref int) *conn {
	c := t.waiting[ref]
	t.waiting[ref] = nil
	t.free = append(t.free, ref)
	return c
}

// Open puts a fleet, whose times are seconds since 1970, on sockets for so many proxies. It serves until Close.
func Open(f *emulator.Fleet, proxies int, classes map[string]RequestClass, observer Observer) (*ServerGroup, error) {
	g := &ServerGroup{
		Fleet:     f,
		OnLate:    func(float64) {},
		observer:  observer,
		classes:   classes,
		proxies:   proxies,
		clock:     clock{time.Now()},
		wake:      make(chan struct{}, 1),
		quit:      make(chan struct{}),
		ports:     newPortFinder(),
		nextEvent: math.Inf(1),
	}
	if err := g.listenAll(); err != nil {
		g.Close()
		return nil, err
	}
	g.work.Add(1)
	go g.run()
	return g, nil
}

func (g *ServerGroup) listenAll() error {
	for i := range g.proxies {
		a, err := g.newAgent(i)
		if err != nil {
			return err
		}
		g.agents = append(g.agents, a)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.addMembers()
}

// Now is the time in seconds since 1970, never stepping back.
func (g *ServerGroup) Now() float64 { return g.clock.now() }

// Agent is the discovery agent of a proxy.
func (g *ServerGroup) Agent(proxy int) *Agent { return g.agents[proxy] }

// Apply carries out a change, and later the changes that follow from it.
func (g *ServerGroup) Apply(change emulator.Change) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	effect, followUps := g.Fleet.Apply(g.Now(), change)
	if err := g.addMembers(); err != nil {
		return err
	}
	g.carryOut(effect)
	if len(followUps) > 0 {
		// One timer for all: with one each, a new server could ask for an address before the old one has left it.
		delay := time.Duration((followUps[0].At - g.Now()) * float64(time.Second))
		time.AfterFunc(delay, func() { g.applyInOrder(followUps) })
	}
	return nil
}

func (g *ServerGroup) applyInOrder(changes []emulator.Change) {
	for _, change := range changes {
		select {
		case <-g.quit:
			return
		default:
		}
		if err := g.Apply(change); err != nil {
			g.recordError(err)
		}
	}
}

// Inspect calls back with the fleet advanced to now, while nothing else happens to it.
func (g *ServerGroup) Inspect(call func(f *emulator.Fleet)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.advance()
	call(g.Fleet)
}

// Err is the first error that keeps the group from doing what it should; nil: none.
func (g *ServerGroup) Err() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.err
}

func (g *ServerGroup) recordError(err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.err == nil {
		g.err = err
	}
}

// Close ends everything and waits for it.
func (g *ServerGroup) Close() {
	close(g.quit)
	g.mu.Lock()
	for _, a := range g.agents {
		a.close()
	}
	for _, a := range g.addresses {
		a.close()
	}
	g.mu.Unlock()
	g.work.Wait()
}

// run advances the servers' time with the clock.
func (g *ServerGroup) run() {
	defer g.work.Done()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-g.quit:
			return
		case <-g.wake:
		case <-timer.C:
		}
		g.mu.Lock()
		g.advance()
		wait := min(time.Duration((g.nextEvent-g.Now())*float64(time.Second)), maxClockInterval)
		g.mu.Unlock()
		timer.Reset(max(wait, 0))
	}
}

// advance carries out all that is due. Here and below the caller holds the lock.
func (g *ServerGroup) advance() {
	now := g.Now()
	g.nextEvent = math.Inf(1)
	for i := range g.members {
		m := g.Fleet.Members[i]
		if m.NextEvent() <= now {
			g.reconcile(i, m.Advance(now))
		}
		g.nextEvent = min(g.nextEvent, m.NextEvent())
	}
}

func (g *ServerGroup) reconcile(member int, completions []emulator.Completion) {
	g.carryOut(g.Fleet.Reconcile(member, completions))
}

// carryOut brings the effect of a call on a member to the sockets.
func (g *ServerGroup) carryOut(effect emulator.Effect) {
	now := g.Now()
	m := g.Fleet.Members[effect.Member]
	for _, c := range effect.Completions {
		g.complete(now, m, c)
	}
	if effect.ResetConnections {
		if m.Crashes > 0 && m.Reachability() == emulator.Refusing && m.State != balance.Removed {
			g.observer.ServerCrashed(now, effect.Member)
		}
		g.addresses[m.AddressIndex].reset(effect.Member)
	}
	if g.addresses[m.AddressIndex].member == effect.Member {
		if err := g.updateReachability(m.AddressIndex); err != nil && g.err == nil {
			g.err = err
		}
	}
	if effect.ListChanged {
		g.listChanged(now)
	}
	g.scheduleBy(m.NextEvent())
}

// complete passes a completion on to the connection that waits for it.
func (g *ServerGroup) complete(now float64, m *emulator.Member, completion emulator.Completion) {
	g.OnLate(now - completion.At)
	c := g.jobs.release(completion.Ref)
	if c == nil {
		return
	}
	if completion.Outcome == balance.ServerRejected {
		g.observer.AttemptRejected(c.id)
	}
	c.job = noJob
	if m.Reachability() != emulator.Unreachable {
		c.completions <- completion // has capacity: a connection has one job at a time
	}
}

func (g *ServerGroup) listChanged(now float64) {
	for i, m := range g.Fleet.Members {
		if m.State != balance.Ready {
			g.observer.MemberNotReady(now, i)
		}
	}
	for _, a := range g.agents {
		a.listChanged(g.Fleet.Version, time.Now())
	}
}

// scheduleBy makes run look at the servers at a time, if not sooner.
func (g *ServerGroup) scheduleBy(at float64) {
	if at >= g.nextEvent {
		return
	}
	g.nextEvent = at
	select {
	case g.wake <- struct{}{}:
	default:
	}
}
