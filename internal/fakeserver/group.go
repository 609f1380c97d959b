// Package fakeserver serves emulated servers and their endpoint list on loopback sockets: each server speaks the
// platform's HTTP/1.1, and a discovery agent for each proxy serves the list in the format of package discovery. Package
// emulator defines how the servers behave; this package only translates between bytes and calls of the emulator.
package fakeserver

import (
	"math"
	"sync"
	"time"

	"lockloom/balance"
	"lockloom/internal/emulator"
)

const (
	listDelay        = 20 * time.Millisecond // from a list change to its notification, as in virtual-time simulations
	maxClockInterval = time.Second           // between calls of advance while no event of a server is due
)

// Observer is notified of events at servers and agents as they happen. Its methods may be called concurrently. An
// attempt is identified by the id of its request; times are in seconds since 1970.
type Observer interface {
	AttemptReceived(now float64, id string, proxy, member, dedupGroup int)
	AttemptRejected(id string)
	// MemberNotReady is called for each member that is draining or removed whenever the list has changed.
	MemberNotReady(now float64, member int)
	// ProxyNotified is called for each draining or removed member once a proxy counts as notified of that state.
	ProxyNotified(now float64, proxy, member int)
	ServerCrashed(now float64, member int)
	// AttemptServed is called when the response to a successful attempt has been written.
	AttemptServed(id string, work float64)
}

// RequestClass describes how servers process the requests of a class.
type RequestClass struct {
	Number      int     // index of the class, as in emulator.Job
	Work        float64 // of a request without X-Work, in seconds of a core at speed 1
	DedupWindow float64 // in seconds
	// DedupGroup returns the number of the deduplication group that a member belongs to for this class; -1: none.
	DedupGroup func(m *emulator.Member) int
}

// ServerGroup serves a fleet on loopback sockets. Its methods are safe for concurrent use.
type ServerGroup struct {
	Fleet *emulator.Fleet
	// OnCompletionDelay is called for each completion with the delay from its due time to its processing.
	OnCompletionDelay func(seconds float64)
	IndentLists       bool // send lists as indented JSON over several lines; to be set before a watch is opened

	observer Observer
	classes  map[string]RequestClass // by class name
	proxies  int
	clock    clock
	wake     chan struct{} // makes run call advance
	quit     chan struct{}
	wg       sync.WaitGroup
	agents   []*Agent

	mu        sync.Mutex // guards the fields below, and Fleet
	ports     portFinder
	addresses []*address // by Member.AddressIndex
	members   int        // number of members with an address; Fleet may briefly have more
	jobs      jobTable
	nextEvent float64 // time of the next server event that is due
	err       error   // first error, returned by Err
}

// clock is a monotonic clock in seconds since 1970.
type clock struct{ start time.Time }

func (c clock) now() float64 { return float64(c.start.UnixMicro())/1e6 + time.Since(c.start).Seconds() }

// jobTable maps the Ref of each job to the connection that waits for its completion.
type jobTable struct {
	conns []*conn // by Ref; nil: none
	free  []int   // Refs that no job has
}

func (t *jobTable) add(c *conn) int {
	n := len(t.free)
	if n == 0 {
		t.conns = append(t.conns, c)
		return len(t.conns) - 1
	}
	ref := t.free[n-1]
	t.free = t.free[:n-1]
	t.conns[ref] = c
	return ref
}

// abandon records that no connection waits any longer for a job that has yet to complete.
func (t *jobTable) abandon(ref int) { t.conns[ref] = nil }

// release frees the Ref of a job that has ended, and returns the connection that waited for it; nil: none.
func (t *jobTable) release(ref int) *conn {
	c := t.conns[ref]
	t.conns[ref] = nil
	t.free = append(t.free, ref)
	return c
}

// Open serves a fleet, whose times are in seconds since 1970, to the given number of proxies until Close.
func Open(f *emulator.Fleet, proxies int, classes map[string]RequestClass, observer Observer) (*ServerGroup, error) {
	g := &ServerGroup{
		Fleet:             f,
		OnCompletionDelay: func(float64) {},
		observer:          observer,
		classes:           classes,
		proxies:           proxies,
		clock:             clock{time.Now()},
		wake:              make(chan struct{}, 1),
		quit:              make(chan struct{}),
		ports:             newPortFinder(),
		nextEvent:         math.Inf(1),
	}
	if err := g.listenAll(); err != nil {
		g.Close()
		return nil, err
	}
	g.wg.Add(1)
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

// Now returns the time in seconds since 1970. It never decreases.
func (g *ServerGroup) Now() float64 { return g.clock.now() }

// Agent returns the discovery agent of a proxy.
func (g *ServerGroup) Agent(proxy int) *Agent { return g.agents[proxy] }

// Apply carries out a change now, and its follow-up changes when they are due.
func (g *ServerGroup) Apply(change emulator.Change) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	effect, followUps := g.Fleet.Apply(g.Now(), change)
	if err := g.addMembers(); err != nil {
		return err
	}
	g.carryOut(effect)
	if len(followUps) > 0 {
		// All share one timer: with one each, a new server could listen on an address before the old one has left it.
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

// Inspect advances the fleet to now and calls fn with it while no other goroutine uses it.
func (g *ServerGroup) Inspect(fn func(f *emulator.Fleet)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.advance()
	fn(g.Fleet)
}

// Err returns the first error that prevented the group from applying a change of the fleet to its listeners, such as a
// port that could not be opened again; nil: none.
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

// Close closes all listeners and connections, and waits for the group's goroutines.
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
	g.wg.Wait()
}

// run calls advance whenever an event of a server is due.
func (g *ServerGroup) run() {
	defer g.wg.Done()
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

// advance carries out all server events that are due. The caller of this method and of those below holds g.mu.
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

// carryOut applies the effect of a call on a member to its connections and listeners, and notifies the agents of a
// changed list.
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
	g.OnCompletionDelay(now - completion.At)
	c := g.jobs.release(completion.Ref)
	if c == nil {
		return
	}
	if completion.Outcome == balance.ServerRejected {
		g.observer.AttemptRejected(c.id)
	}
	c.job = noJob
	if m.Reachability() != emulator.Unreachable {
		c.completions <- completion // does not block: a connection has one job at a time
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

// scheduleBy makes run call advance at the given time or earlier.
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
