// Package proxy serves requests on sockets round the decisions of package balance.
//
// A request passes six stages, each in a file of its own: it is taken in from its client, admitted to the
// decisions, routed as they order, sent to a server, its answer relayed, and what came of it booked. One
// goroutine, the owner, makes every call on the Balancer and keeps all that is about requests; each connection
// accepts goroutines of its own that tell the owner what happened. The owner never waits for a socket.
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
	maxQueuedEvents          = 1024                    // events not yet taken by the owner; then connections wait
	maxEventsBeforeTimers    = 256                     // of them, taken before what has come due
	defaultMaxSockets        = 1024                    // descriptors where the limit is not told
	reservedSockets          = 64                      // descriptors for files, listener, discovery and what is just closing
	clientSocketFraction     = 0.75                    // of the other descriptors: a request may wait longer than its attempts take
	overflowFraction         = 0.2                     // of the clients': taken over the bound, to be rejected at once
	maxIdleFraction          = 0.25                    // of the clients': idle between requests; further ones close with their answer
	nearlyFullFraction       = 0.75                    // of the clients': with so many the door is nearly full
	bufferMemoryFraction     = 0.25                    // of the memory limit, for what is kept to be sent to servers
	serverIdleMargin         = 250 * time.Millisecond  // before a server closes an idle connection: the way there, and a look that comes late
	defaultServerIdleTimeout = 2 * time.Second         // where that time is not told
	defaultConnectTimeout    = time.Second             // where the deployment does not tell it
	sweepInterval            = 100 * time.Millisecond  // between looks for connections idle too long
	serverStatusLogInterval  = time.Second             // between lines of beliefs, where that is logged
	countsLogInterval        = 10 * time.Second        // between lines of counts in the log
	firstListTimeout         = 300 * time.Millisecond  // to wait for discovery before being ready with the known list
	clientIdleTimeout        = 75 * time.Second        // a client's connection between requests
	crowdedIdleTimeout       = 2 * time.Second         // the same where there are as many idle as are kept
	longIdleDelay            = 250 * time.Millisecond  // source its answer a connection seems to be used no more: busy clients come back at once
	evictionInterval         = 20 * time.Millisecond   // between looks for such a one while no connection may be accepted
	maxIdleChecks            = 8                       // connections looked at for one that may go
	firstByteTimeout         = 2100 * time.Millisecond // from a connection's start to its first request's first byte
	firstHeadTimeout         = 2700 * time.Millisecond // and to its head's end: who says nothing, or trickles, is told or closed within 3 s
	headTimeout              = 2500 * time.Millisecond // for any head: some clients take 2 s
	bodyGracePeriod          = 2300 * time.Millisecond // that a body may be behind its pace, in all and at once: some clients pause for 2 s
	minBodyGracePeriod       = 1200 * time.Millisecond // the same where a connection's first head was slow
	firstBodyGraceDeadline   = 2900 * time.Millisecond // from a connection's start to the end of the grace of its first body
	minBodyBytesPerSecond    = 24_000                  // bytes a second that a body comes at, at least, while it is waited for
	maxBodyBytes             = 40 << 20                // bytes of a body by the platform's door
	maxUploadDuration        = 15 * time.Minute        // that a flowing body may take, all told
	uploadResponseMargin     = 15 * time.Millisecond   // from when the attempt of a flowing request is given up to its deadline
	newConnectionGracePeriod = 100 * time.Millisecond  // for the first request of a connection, where others wait to be accepted
	initialHeadBytes         = 512                     // bytes of a head that goes on; a longer one grows
	clientWatchDelay         = 10 * time.Millisecond   // from a request's taking in: until then nobody looks whether its client has gone
	clientCheckInterval      = 50 * time.Millisecond   // between looks at a client whose end can't be read; one that went less before an attempt is not looked for
	maxCachedHeadBytes       = 2 << 10                 // bytes of an answer's head that a connection keeps for the next
	clientWriteTimeout       = 5 * time.Second         // for an answer to be taken
	streamBufferBytes        = 16 << 10                // of an answer that flows, between reading and writing
	streamWriteTimeout       = 30 * time.Second        // for a piece of it to be taken
	maxClientWaitSeconds     = 60.0                    // s; a client that says it waits longer is taken to wait so long
	acceptRetryDelay         = 10 * time.Millisecond   // after accepting failed: out of descriptors, it would spin
	lingerTimeout            = 500 * time.Millisecond  // to read on after a connection's last answer, so that the client can read that
	maxLingerBytes           = 8 << 20                 // bytes; the same
	backstopMarginSeconds    = 0.002                   // s before the deadline when a request with no answer is failed
	acceptShutdownDelay      = 500 * time.Millisecond  // from the order to stop to the end of accepting: the front needs 0.4 s
	finalAcceptDuration      = 20 * time.Millisecond   // then, for those that wait to be accepted, room or none: closed on, they would be reset
	maxShutdownWait          = 3 * time.Second         // of the longest deadline, that a proxy told to stop is left for: the platform's
	killMargin               = 700 * time.Millisecond  // from the order to stop to being killed, past that
	idleCloseMargin          = 350 * time.Millisecond  // before that: connections close between requests, and with their answers
	finalDeadlineMargin      = 150 * time.Millisecond  // before that: the deadline of whatever is in hand
	connectionCutMargin      = 75 * time.Millisecond   // before that: what a client has not taken is cut
	bodyBytesPerWorkUnit     = 32 << 10                // of a body cost this core as much as all else of its request
	requestsPerCore          = 8                       // requests in the hands of each core, from reading to sending
	minDelayFactorStep       = 1.1                     // times a change of the slack, to tell the decisions
	minLagStepSeconds        = 0.001                   // s; the same of the lag
	lateEventSeconds         = 0.02                    // s from an event to the owner's call: more is counted
)

// Proxy is one proxy of the fleet.
type Proxy struct {
	// Dial opens the connections to discovery and servers; whoever embeds a proxy may set it before Serve.
	Dial func(ctx context.Context, addr string) (net.Conn, error)

	// OnShareChanged is told this process's part, from 0 to 1, of what the proxy may use, when another process of it comes or goes; it
	// may be nil. It may be set before Listen.
	OnShareChanged func(part float64)

	bootstrap   BootstrapConfig
	log         logrus.FieldLogger
	startedAt   time.Time
	maxDeadline time.Duration // the longest deadline

	listeners []net.Listener // of the ordinary door

	// The owner's.
	platformPool        *serverPool        // the platform's: all that is listed
	serverPools         []*serverPool      // it, and the operator's pools
	registry            *settings.Registry // of classes and tenants, which never change, clients' goroutines read too
	upstream            *upstream.Pool
	maxUpstreamConns    int // connections to servers, where no other process of this proxy has a part
	timers              timerHeap
	requests            []*request // by Arrival.Ref
	freeRefs            []int
	openIDs             map[string]bool // ids of the requests in slots
	routing             atomic.Pointer[routingConfig]
	knownEntries        map[int]discovery.Entry                          // what is listed, by index, as discovery says
	listReceived        bool                                             // a list was taken in
	removedNames        []string                                         // rememberID as gone, since opinions were told last
	capture             func(pool string, b *balance.Balancer) Decisions // nil: nobody captures
	onEstimates         func(now float64, pools map[string]assignment.Observation)
	adminState          lifecycle.AdminState // those that were obeyed
	staticServers       map[int]bool         // servers that an operator wrote out: no list takes them away
	deferred            []func()             // what came up while orders were carried out
	stopSendAt          []float64
	counters            counters
	listVersion         int64 // of the list
	subscription        *subscription
	pendingSubscription *subscription // begun, has not answered yet

	events            chan func()
	quit              chan struct{} // closed when the owner is to end
	ended             chan struct{} // closed when it has
	firstListReceived chan struct{} // closed, by first, when discovery has told a list
	markListReceived  func()
	process           *processState
	shutdownDeadline  atomic.Pointer[time.Time] // once ordered to stop: the deadline of all requests
	acceptEnding      atomic.Bool               // accepting is about to end
	conns             connTable
	connGroup         sync.WaitGroup // clientConn connections

	gossipLink *gossip.Link // to the fleet's other proxies; nil: they are told nothing

	overload  overloadMonitor
	idleConns poller.Set // clients' connections without a request

	reservedBytes        atomic.Int64 // bytes kept: to be sent to servers, and of large answers
	maxReservedBytes     atomic.Int64
	totalReservableBytes float64 // bytes, where no other process of this proxy has a part
}

// New makes a proxy that is not serving yet.
func New(cfg BootstrapConfig, log logrus.FieldLogger) (*Proxy, error) {
	p := &Proxy{bootstrap: cfg, log: log.WithField("proxy", cfg.Name), startedAt: time.Now(), registry: cfg.NewRegistry(),
		events: make(chan func(), maxQueuedEvents), quit: make(chan struct{}),
		ended: make(chan struct{}), firstListReceived: make(chan struct{}), Dial: dial, process: newProcessState(), knownEntries: map[int]discovery.Entry{}}
	b, err := balance.New(cfg.Deployment, p.now())
	if err != nil {
		return nil, err
	}
	p.platformPool = &serverPool{decisions: uncaptured{b}, classes: cfg.Classes}
	p.serverPools = []*serverPool{p.platformPool}
	p.markListReceived = sync.OnceFunc(func() { close(p.firstListReceived) })
	for _, t := range cfg.Classes {
		p.maxDeadline = max(p.maxDeadline, seconds(t.Deadline))
	}
	if cfg.Limits.Sockets == 0 {
		cfg.Limits.Sockets = defaultMaxSockets
	}
	most := max(cfg.Limits.Sockets-reservedSockets, 4)
	clients := max(int(clientSocketFraction*float64(most)), 2)
	p.conns.maxOverflow = max(int(overflowFraction*float64(clients)), 1)
	p.conns.maxServed = clients - p.conns.maxOverflow
	p.conns.maxIdle = max(int(maxIdleFraction*float64(p.conns.maxServed)), 1)
	p.upstream = upstream.New(func(ctx context.Context, addr string) (net.Conn, error) { return p.Dial(ctx, addr) }, p.post)
	p.maxUpstreamConns = most - clients
	p.upstream.MaxConnections, p.upstream.ReserveMemory = p.maxUpstreamConns, p.reserveMemory
	p.upstream.ConnectTimeout, p.upstream.IdleTimeout = defaultConnectTimeout, defaultServerIdleTimeout
	if cfg.ConnectTimeout > 0 {
		p.upstream.ConnectTimeout = seconds(cfg.ConnectTimeout)
	}
	if cfg.ServerIdleTimeout > 0 {
		p.upstream.IdleTimeout = max(seconds(cfg.ServerIdleTimeout)-serverIdleMargin, seconds(cfg.ServerIdleTimeout/2)) // danger: in a large fleet most new connections replace lapsed ones
	}
	p.conns.totalLimits = p.conns.connLimits
	if p.totalReservableBytes = bufferMemoryFraction * float64(cfg.Limits.Memory); p.totalReservableBytes == 0 {
		p.totalReservableBytes = math.MaxInt64 / 2
	}
	p.maxReservedBytes.Store(int64(p.totalReservableBytes))
	p.overload.init(p)
	p.openIDs, p.staticServers = map[string]bool{}, map[int]bool{}
	p.conns.all = map[*clientConn]bool{}
	p.conns.changed.L = &p.conns.mu
	return p, nil
}

func dial(ctx context.Context, addr string) (net.Conn, error) {
	return (&net.Dialer{}).DialContext(ctx, "tcp", addr)
}

// Serve serves the listener's connections until the context ends; then it answers all it has taken and what
// still comes for a short time, and returns.
func (p *Proxy) Serve(ctx context.Context, ln net.Listener) error {
	if p.bootstrap.Gossip {
		link, err := gossip.Open(p.bootstrap.Fleet.Listen, p.bootstrap.Self, p.bootstrap.Fleet.Peers, p.gossipReceived)
		if err != nil {
			ln.Close()
			return err
		}
		p.gossipLink = link
	}
	p.applyAdminState()
	p.applyEndpointList(p.bootstrap.Known, true)
	if s := p.process.inheritedState; s != nil {
		p.platformPool.decisions.Restore(p.now(), s.Snapshot)
	}
	p.subscribe(p.bootstrap.Discovery)
	p.applyResourceShare()
	go p.runOwner()
	go p.dispatchWaiting()
	go func() {
		if p.process.inheritedState == nil || !p.process.inheritedState.Listed {
			select {
			case <-p.firstListReceived:
			case <-time.After(firstListTimeout):
			}
		}
		p.post(p.startedServing)
	}()
	accepted := make(chan error, 1)
	go func() { accepted <- p.acceptConnections(ln, false) }()
	var others sync.WaitGroup
	more := p.listeners
	for _, ln := range more {
		others.Go(func() {
			if err := p.acceptConnections(ln, true); err != nil {
				p.log.WithError(err).Error("a listener has ended")
			}
		})
	}
	p.log.WithFields(logrus.Fields{"listen": ln.Addr().String(), "backends": len(p.bootstrap.Known.Entries),
		"clients": p.conns.totalLimits.maxServed, "connections": p.maxUpstreamConns, "asserted": invariant.Asserted}).Info("serving")
	var err error
	select {
	case err = <-accepted:
	case <-ctx.Done():
		p.log.Info("stopping")
		killed := time.Now().Add(min(p.maxDeadline, maxShutdownWait) + killMargin) // danger: a request that waits for longer would be in hand then
		last := killed.Add(-finalDeadlineMargin)
		p.shutdownDeadline.Store(&last)
		p.post(func() { p.limitDeadlines(p.stamp(last)) })
		if !p.beginShutdown(killed.Add(-idleCloseMargin)) { // danger: the front deals out connections for a while yet
			time.Sleep(acceptShutdownDelay)
		}
		p.acceptEnding.Store(true)
		p.conns.wakeAcceptors()
		time.Sleep(finalAcceptDuration)
		for _, ln := range append(more, ln) {
			ln.Close()
		}
		<-accepted
		others.Wait()
		p.conns.waitUntilEmpty(time.Until(killed.Add(-idleCloseMargin))) // danger: clients sent away early may find no other proxy
		defer time.AfterFunc(time.Until(killed.Add(-connectionCutMargin)), p.conns.closeAll).Stop()
	}
	p.beginTermination()
	p.conns.closeUnused()
	p.connGroup.Wait()
	p.process.closeLinks()
	close(p.quit)
	<-p.ended
	p.idleConns.Close()
	if p.gossipLink != nil {
		p.gossipLink.Close()
	}
	return err
}

// gossipReceived takes in what a peer tells.
func (p *Proxy) gossipReceived(from int, n balance.GossipMessage) {
	p.post(func() {
		p.decide(p.platformPool, func(now float64) *balance.Actions { return p.platformPool.decisions.GossipReceived(now, from, n) })
	})
}

// ReloadBootstrap takes in what the proxy is told anew. Only discovery may be another; the rest holds until the next start,
// queuedAt requests were taken by it.
func (p *Proxy) ReloadBootstrap(cfg BootstrapConfig) {
	p.post(func() {
		log := p.log.WithField("discovery", cfg.Discovery)
		old, now := p.bootstrap.Settings, cfg.Settings
		old.Seed, now.Seed = 0, 0
		if cfg.Limits != p.bootstrap.Limits || !reflect.DeepEqual(old, now) || !reflect.DeepEqual(cfg.Fleet, p.bootstrap.Fleet) {
			log.Warn("limits, peers or settings differ: they count from the next start")
		}
		log.Info("told anew")
		p.subscribe(cfg.Discovery)
	})
}

// reserveMemory asks for room to keep so many bytes; whoever got it gives it back.
func (p *Proxy) reserveMemory(bytes int64) bool {
	if p.reservedBytes.Add(bytes) <= p.maxReservedBytes.Load() {
		return true
	}
	p.reservedBytes.Add(-bytes)
	return false
}

// now is the time in seconds since 1970, as the servers' starts are told. It never steps back.
func (p *Proxy) now() float64 { return p.stamp(time.Now()) }

func (p *Proxy) stamp(t time.Time) float64 {
	return float64(p.startedAt.UnixMicro())/1e6 + t.Sub(p.startedAt).Seconds()
}

// endedAt is the time of a stamp.
func (p *Proxy) at(stamp float64) time.Time {
	return p.startedAt.Add(seconds(stamp - float64(p.startedAt.UnixMicro())/1e6))
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
