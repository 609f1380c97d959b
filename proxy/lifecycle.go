package proxy

import (
	"net"
	"sync"
	"time"

	"lockloom/internal/hotrestart"
	"lockloom/internal/settings"
	"lockloom/lifecycle"
)

const (
	maxKnownIDs        = 16 << 10               // ids of servers that were ever listed, 0.6 MB of them
	acceptPollInterval = 10 * time.Millisecond  // between checks whether this process accepts again
	overlapShare       = 0.5                    // of all bounds, while another process of this proxy runs
	snapshotTimeout    = 300 * time.Millisecond // for the owner to return the list to be handed over
)

// processState is the lifecycle and admin state of this process and its links to other processes of the same proxy.
// Any goroutine may change it under the lock, for a moment only; the owner then applies the admin state, see
// applyAdminState.
type processState struct {
	mu           sync.Mutex
	lifecycle    lifecycle.Process
	ids          *lifecycle.IDSet // of servers that were ever listed
	adminChanged chan struct{}    // holds a value while the owner has not applied the admin state
	hotRestart
}

// hotRestart is a process's part in hot restarts: taking over from a predecessor, offering to a successor.
type hotRestart struct {
	predecessor   *hotrestart.Link          // nil: none
	successors    map[*hotrestart.Link]bool // those that took over, and whether they serve
	listeners     []*net.TCPListener        // to be handed over
	addrs         []string                  // of listeners, as configured: a successor looks them up by these
	offer         *hotrestart.Server
	takeOverTried bool

	inheritedListeners map[string]net.Listener // by address, until they are asked for
	inheritedState     *hotrestart.State       // nil: none
}

func newProcessState() *processState {
	return &processState{
		ids:          lifecycle.NewIDSet(maxKnownIDs),
		adminChanged: make(chan struct{}, 1),
		hotRestart:   hotRestart{successors: map[*hotrestart.Link]bool{}},
	}
}

// readLifecycle reads something of a process's lifecycle.
func readLifecycle[T any](s *processState, read func(*lifecycle.Process) T) T {
	s.mu.Lock()
	defer s.mu.Unlock()
	return read(&s.lifecycle)
}

// addKnownID notes that a server was listed.
func (s *processState) addKnownID(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ids.Add(settings.NameHash(id))
}

// shuttingDown reports whether this process was told to end.
func (p *Proxy) shuttingDown() bool {
	return readLifecycle(p.process, func(l *lifecycle.Process) bool { return l.StoppedAt > 0 })
}

// closesAfterResponse reports whether connections close with their responses.
func (p *Proxy) closesAfterResponse() bool {
	now := p.now()
	return readLifecycle(p.process, func(l *lifecycle.Process) bool { return l.ClosesAfterResponse(now) })
}

// admitsRequests reports whether a complete request is admitted.
func (p *Proxy) admitsRequests() bool {
	now := p.now()
	return readLifecycle(p.process, func(l *lifecycle.Process) bool { return l.AdmitsRequests(now) })
}

// readinessResponse answers whether the proxy wants clients.
func (p *Proxy) readinessResponse() response {
	if readLifecycle(p.process, (*lifecycle.Process).WantsClients) {
		return response{status: 200, body: []byte("up\n")}
	}
	return response{status: 503, body: []byte("not up\n")}
}

// beginShutdown notes the order to end and reports whether a successor serves already. Idle connections are closed by
// idleCloseAt.
func (p *Proxy) beginShutdown(idleCloseAt time.Time) (successorServing bool) {
	s, now := p.process, p.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lifecycle.StoppedAt == 0 {
		s.lifecycle.StoppedAt, s.lifecycle.IdleCloseDeadline = now, p.stamp(idleCloseAt)
	}
	return s.lifecycle.SuccessorServing
}

// beginTermination notes that connections close with their responses from now on.
func (p *Proxy) beginTermination() {
	p.beginShutdown(time.Now())
	p.process.mu.Lock()
	defer p.process.mu.Unlock()
	p.process.lifecycle.Terminating = true
}

// closeIdleForDrain closes idle connections while the process is drained or shut down.
func (p *Proxy) closeIdleForDrain() {
	p.process.mu.Lock()
	fraction, includeNew := p.process.lifecycle.IdleCloseFraction(p.now(), sweepInterval.Seconds())
	p.process.mu.Unlock()
	if fraction > 0 {
		p.conns.closeIdleFraction(fraction, includeNew)
	}
}

// resourceShare is this process's share of the proxy's resources.
func (p *Proxy) resourceShare() float64 {
	s := p.process
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.predecessor != nil || len(s.successors) > 0 {
		return overlapShare
	}
	return 1
}

// applyResourceShare gives this process its share of all that is bounded for the proxy.
func (p *Proxy) applyResourceShare() {
	share := p.resourceShare()
	p.conns.setShare(share)
	p.memory.setShare(share)
	if p.OnShareChanged != nil {
		p.OnShareChanged(share)
	}
	go p.post(func() {
		share := p.resourceShare() // two such calls may come in either order
		p.upstream.SetMaxConnections(int(share * float64(p.maxServerConns)))
		for _, pool := range p.pools.all {
			pool.decisions.SetBudgetShare(share)
		}
	})
}
