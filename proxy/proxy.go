// Package proxy serves requests on sockets round the decisions of package balance.
//
// A request passes six stages, each in a file of its own: it is taken in from its client, admitted to the
// decisions, routed as they order, sent to a server, its answer relayed, and what came of it booked. One
// goroutine, the owner, makes every call on the Balancer and keeps all that is about requests; each connection
// has goroutines of its own that tell the owner what happened. The owner never waits for a socket.
package proxy

import (
	"context"
	"math"
	"net"
	"reflect"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"lockloom/assignment"
	"lockloom/balance"
	"lockloom/internal/bootstrap"
	"lockloom/internal/discovery"
	"lockloom/internal/gossip"
	"lockloom/internal/invariant"
	"lockloom/internal/poller"
	"lockloom/internal/settings"
	"lockloom/internal/upstream"
	"lockloom/lifecycle"
)

// What a proxy is told when it starts.
type (
	BootstrapConfig = bootstrap.Config
	Limits          = bootstrap.Limits
	Settings        = settings.Settings
	List            = discovery.List
)

// ReadBootstrap reads it from the environment's variables, by get, and the file that they name.
func ReadBootstrap(get func(string) string) (BootstrapConfig, error) { return bootstrap.Read(get) }

// Every constant of the network code but those of a package's own wire.
const (
	eventsKept  = 1024                    // events not yet taken by the owner; then connections wait
	eventsFirst = 256                     // of them, taken before what has come due
	socketsFor  = 1024                    // descriptors where the limit is not told
	reserve     = 64                      // descriptors for files, listener, discovery and what is just closing
	clientPart  = 0.75                    // of the other descriptors: a request may wait longer than its attempts take
	overPart    = 0.2                     // of the clients': taken over the bound, to be rejected at once
	keptPart    = 0.25                    // of the clients': idle between requests; further ones close with their answer
	fullPart    = 0.75                    // of the clients': with so many the door is nearly full
	heldPart    = 0.25                    // of the memory limit, for what is kept to be sent to servers
	idleMargin  = 250 * time.Millisecond  // before a server closes an idle connection: the way there, and a look that comes late
	idleUntold  = 2 * time.Second         // where that time is not told
	connectFor  = time.Second             // where the deployment does not tell it
	sweepEvery  = 100 * time.Millisecond  // between looks for connections idle too long
	traceEvery  = time.Second             // between lines of beliefs, where that is logged
	reportEvery = 10 * time.Second        // between lines of counts in the log
	firstList   = 300 * time.Millisecond  // to wait for discovery before being ready with the known list
	clientIdle  = 75 * time.Second        // a client's connection between requests
	keptIdle    = 2 * time.Second         // the same where there are as many idle as are kept
	staleAfter  = 250 * time.Millisecond  // from its answer a connection seems to be used no more: busy clients come back at once
	lookEach    = 20 * time.Millisecond   // between looks for such a one while no connection may be accepted
	looksMost   = 8                       // connections looked at for one that may go
	firstBegun  = 2100 * time.Millisecond // from a connection's start to its first request's first byte
	firstHead   = 2700 * time.Millisecond // and to its head's end: who says nothing, or trickles, is told or closed within 3 s
	headFor     = 2500 * time.Millisecond // for any head: some clients take 2 s
	bodyGrace   = 2300 * time.Millisecond // that a body may be behind its pace, in all and at once: some clients pause for 2 s
	bodyLeast   = 1200 * time.Millisecond // the same where a connection's first head was slow
	firstBody   = 2900 * time.Millisecond // from a connection's start to the end of the grace of its first body
	bodyPace    = 24_000                  // bytes a second that a body comes at, at least, while it is waited for
	bodyMost    = 40 << 20                // bytes of a body by the platform's door
	bodyFor     = 15 * time.Minute        // that a flowing body may take, all told
	bodyEnd     = 15 * time.Millisecond   // from when the attempt of a flowing request is given up to its deadline
	freshFor    = 100 * time.Millisecond  // for the first request of a connection, where others wait to be accepted
	headGuess   = 512                     // bytes of a head that goes on; a longer one grows
	watchAfter  = 10 * time.Millisecond   // from a request's taking in: until then nobody looks whether its client has gone
	lookEvery   = 50 * time.Millisecond   // between looks at a client whose end can't be read; one that went less before an attempt is not looked for
	outMost     = 2 << 10                 // bytes of an answer's head that a connection keeps for the next
	clientSlow  = 5 * time.Second         // for an answer to be taken
	flowBytes   = 16 << 10                // of an answer that flows, between reading and writing
	flowSlow    = 30 * time.Second        // for a piece of it to be taken
	longestWait = 60.0                    // s; a client that says it waits longer is taken to wait so long
	acceptPause = 10 * time.Millisecond   // after accepting failed: out of descriptors, it would spin
	lingerFor   = 500 * time.Millisecond  // to read on after a connection's last answer, so that the client can read that
	lingerMost  = 8 << 20                 // bytes; the same
	backstop    = 0.002                   // s before the deadline when a request with no answer is failed
	closeAfter  = 500 * time.Millisecond  // from the order to stop to the end of accepting: the front needs 0.4 s
	lastAccept  = 20 * time.Millisecond   // then, for those that wait to be accepted, room or none: closed on, they would be reset
	stopMost    = 3 * time.Second         // of the longest deadline, that a proxy told to stop is left for: the platform's
	killAfter   = 700 * time.Millisecond  // from the order to stop to being killed, past that
	lastServe   = 350 * time.Millisecond  // before that: connections close between requests, and with their answers
	lastAnswer  = 150 * time.Millisecond  // before that: the deadline of whatever is in hand
	lastCut     = 75 * time.Millisecond   // before that: what a client has not taken is cut
	workBytes   = 32 << 10                // of a body cost this core as much as all else of its request
	handsEach   = 8                       // requests in the hands of each core, from reading to sending
	slackStep   = 1.1                     // times a change of the slack, to tell the decisions
	lagStep     = 0.001                   // s; the same of the lag
	lateEvent   = 0.02                    // s from an event to the owner's call: more is counted
)

// Proxy is one proxy of the fleet.
type Proxy struct {
	// Dial opens the connections to discovery and servers; whoever embeds a proxy may set it before Serve.
	Dial func(ctx context.Context, addr string) (net.Conn, error)

	// OnShareChanged is told this process's part, from 0 to 1, of what the proxy may use, when another process of it comes or goes; it
	// may be nil. It may be set before Listen.
	OnShareChanged func(part float64)

	launch  BootstrapConfig
	log     logrus.FieldLogger
	began   time.Time
	longest time.Duration // the longest deadline

	listeners []net.Listener // of the ordinary door

	// The owner's.
	main     *branch            // the platform's: all that is listed
	branches []*branch          // it, and the operator's pools
	names    *settings.Registry // of classes and tenants, which never change, clients' goroutines read too
	pool     *upstream.Pool
	poolMost int // connections to servers, where no other process of this proxy has a part
	timers   timers
	slots    []*lookup // by Arrival.Ref
	free     []int
	open     map[string]bool // ids of the requests in slots
	ordinary atomic.Pointer[ordinary]
	known    map[int]discovery.Entry                          // what is listed, by index, as discovery says
	listed   bool                                             // a list was taken in
	gone     []string                                         // listed as gone, since opinions were told last
	through  func(pool string, b *balance.Balancer) Decisions // nil: nobody captures
	opined   func(now float64, pools map[string]assignment.Observation)
	orders   lifecycle.AdminState // those that were obeyed
	written  map[int]bool         // servers that an operator wrote out: no list takes them away
	later    []func()             // what came up while orders were carried out
	stopSend []float64
	counts   counts
	version  int64 // of the list
	watched  *watch
	sought   *watch // begun, has not answered yet

	events  chan func()
	quit    chan struct{} // closed when the owner is to end
	ended   chan struct{} // closed when it has
	heard   chan struct{} // closed, by first, when discovery has told a list
	first   func()
	life    *life
	last    atomic.Pointer[time.Time] // once ordered to stop: the deadline of all requests
	closing atomic.Bool               // accepting is about to end
	door    door
	work    sync.WaitGroup // client connections

	link *gossip.Link // to the fleet's other proxies; nil: they are told nothing

	strained strained
	idle     poller.Set // clients' connections without a request

	held      atomic.Int64 // bytes kept: to be sent to servers, and of large answers
	heldMost  atomic.Int64
	heldWhole float64 // bytes, where no other process of this proxy has a part
}

// New makes a proxy that is not serving yet.
func New(l BootstrapConfig, log logrus.FieldLogger) (*Proxy, error) {
	p := &Proxy{launch: l, log: log.WithField("proxy", l.Name), began: time.Now(), names: l.NewRegistry(),
		events: make(chan func(), eventsKept), quit: make(chan struct{}),
		ended: make(chan struct{}), heard: make(chan struct{}), Dial: dial, life: newLife(), known: map[int]discovery.Entry{}}
	b, err := balance.New(l.Deployment, p.now())
	if err != nil {
		return nil, err
	}
	p.main = &branch{b: uncaptured{b}, rows: l.Classes}
	p.branches = []*branch{p.main}
	p.first = sync.OnceFunc(func() { close(p.heard) })
	for _, t := range l.Classes {
		p.longest = max(p.longest, seconds(t.Deadline))
	}
	if l.Limits.Sockets == 0 {
		l.Limits.Sockets = socketsFor
	}
	most := max(l.Limits.Sockets-reserve, 4)
	clients := max(int(clientPart*float64(most)), 2)
	p.door.over = max(int(overPart*float64(clients)), 1)
	p.door.most = clients - p.door.over
	p.door.keep = max(int(keptPart*float64(p.door.most)), 1)
	p.pool = upstream.New(func(ctx context.Context, addr string) (net.Conn, error) { return p.Dial(ctx, addr) }, p.post)
	p.poolMost = most - clients
	p.pool.MaxConnections, p.pool.ReserveMemory = p.poolMost, p.hold
	p.pool.ConnectTimeout, p.pool.IdleTimeout = connectFor, idleUntold
	if l.ConnectTimeout > 0 {
		p.pool.ConnectTimeout = seconds(l.ConnectTimeout)
	}
	if l.ServerIdleTimeout > 0 {
		p.pool.IdleTimeout = max(seconds(l.ServerIdleTimeout)-idleMargin, seconds(l.ServerIdleTimeout/2)) // danger: in a large fleet most new connections replace lapsed ones
	}
	p.door.whole = p.door.bounds
	if p.heldWhole = heldPart * float64(l.Limits.Memory); p.heldWhole == 0 {
		p.heldWhole = math.MaxInt64 / 2
	}
	p.heldMost.Store(int64(p.heldWhole))
	p.strained.begin(p)
	p.open, p.written = map[string]bool{}, map[int]bool{}
	p.door.all = map[*client]bool{}
	p.door.room.L = &p.door.mu
	return p, nil
}

func dial(ctx context.Context, addr string) (net.Conn, error) {
	return (&net.Dialer{}).DialContext(ctx, "tcp", addr)
}

// Serve serves the listener's connections until the context ends; then it answers all it has taken and what
// still comes for a short time, and returns.
func (p *Proxy) Serve(ctx context.Context, ln net.Listener) error {
	if p.launch.Gossip {
		link, err := gossip.Open(p.launch.Fleet.Listen, p.launch.Self, p.launch.Fleet.Peers, p.heardOf)
		if err != nil {
			ln.Close()
			return err
		}
		p.link = link
	}
	p.obey()
	p.list(p.launch.Known, true)
	if s := p.life.state; s != nil {
		p.main.b.Restore(p.now(), s.Snapshot)
	}
	p.follow(p.launch.Discovery)
	p.shares()
	go p.own()
	go p.turns()
	go func() {
		if p.life.state == nil || !p.life.state.Listed {
			select {
			case <-p.heard:
			case <-time.After(firstList):
			}
		}
		p.post(p.serves)
	}()
	accepted := make(chan error, 1)
	go func() { accepted <- p.accept(ln, false) }()
	var others sync.WaitGroup
	more := p.listeners
	for _, ln := range more {
		others.Go(func() {
			if err := p.accept(ln, true); err != nil {
				p.log.WithError(err).Error("a listener has ended")
			}
		})
	}
	p.log.WithFields(logrus.Fields{"listen": ln.Addr().String(), "backends": len(p.launch.Known.Entries),
		"clients": p.door.whole.most, "connections": p.poolMost, "asserted": invariant.Asserted}).Info("serving")
	var err error
	select {
	case err = <-accepted:
	case <-ctx.Done():
		p.log.Info("stopping")
		killed := time.Now().Add(min(p.longest, stopMost) + killAfter) // danger: a request that waits for longer would be in hand then
		last := killed.Add(-lastAnswer)
		p.last.Store(&last)
		p.post(func() { p.curtail(p.stamp(last)) })
		if !p.stop(killed.Add(-lastServe)) { // danger: the front deals out connections for a while yet
			time.Sleep(closeAfter)
		}
		p.closing.Store(true)
		p.door.wake()
		time.Sleep(lastAccept)
		for _, ln := range append(more, ln) {
			ln.Close()
		}
		<-accepted
		others.Wait()
		p.door.drain(time.Until(killed.Add(-lastServe))) // danger: clients sent away early may find no other proxy
		defer time.AfterFunc(time.Until(killed.Add(-lastCut)), p.door.cut).Stop()
	}
	p.end()
	p.door.shut()
	p.work.Wait()
	p.life.leave()
	close(p.quit)
	<-p.ended
	p.idle.Close()
	if p.link != nil {
		p.link.Close()
	}
	return err
}

// heardOf takes in what a peer tells.
func (p *Proxy) heardOf(from int, n balance.GossipMessage) {
	p.post(func() {
		p.decide(p.main, func(now float64) *balance.Actions { return p.main.b.GossipReceived(now, from, n) })
	})
}

// ReloadBootstrap takes in what the proxy is told anew. Only discovery may be another; the rest holds until the next start,
// since requests were taken by it.
func (p *Proxy) ReloadBootstrap(l BootstrapConfig) {
	p.post(func() {
		log := p.log.WithField("discovery", l.Discovery)
		old, now := p.launch.Settings, l.Settings
		old.Seed, now.Seed = 0, 0
		if l.Limits != p.launch.Limits || !reflect.DeepEqual(old, now) || !reflect.DeepEqual(l.Fleet, p.launch.Fleet) {
			log.Warn("limits, peers or settings differ: they count from the next start")
		}
		log.Info("told anew")
		p.follow(l.Discovery)
	})
}

// hold asks for room to keep so many bytes; whoever got it gives it back.
func (p *Proxy) hold(bytes int64) bool {
	if p.held.Add(bytes) <= p.heldMost.Load() {
		return true
	}
	p.held.Add(-bytes)
	return false
}

// now is the time in seconds since 1970, as the servers' starts are told. It never steps back.
func (p *Proxy) now() float64 { return p.stamp(time.Now()) }

func (p *Proxy) stamp(t time.Time) float64 {
	return float64(p.began.UnixMicro())/1e6 + t.Sub(p.began).Seconds()
}

// at is the time of a stamp.
func (p *Proxy) at(stamp float64) time.Time {
	return p.began.Add(seconds(stamp - float64(p.began.UnixMicro())/1e6))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// post has the owner run a function soon. Only the owner itself must not call it: it would wait for itself.
func (p *Proxy) post(f func()) {
	select {
	case p.events <- f:
		return
	default: // a choice of two costs as much again
	}
	select {
	case p.events <- f:
	case <-p.quit:
	}
}
