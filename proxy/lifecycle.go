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
	maxKnownIDs        = 16 << 10               // ids kept of servers ever listed, more only if more are in use
	acceptPollInterval = 10 * time.Millisecond  // between checks of whether this process accepts connections again
	overlapShare       = 0.5                    // share of every limit, while another process of this proxy runs
	snapshotTimeout    = 300 * time.Millisecond // time limit for the owner to return the state to be handed over
)

// processState is the lifecycle and admin state of this process and its links to other processes of the same proxy. Any
// goroutine may change it under the lock, which must be held only briefly; the owner then applies the admin state, see
// applyAdminState.
type processState struct {
	mu           sync.Mutex
	lifecycle    lifecycle.Process
	ids          *lifecycle.IDSet // ids of servers that were ever listed
	adminChanged chan struct{}    // holds a value while the owner has not applied the admin state
	disabled     disabledServers  // by the admin state of lifecycle; read without the lock
	hotRestart
}

// hotRestart is a process's state in hot restarts: what it takes over from a predecessor and hands over to successors.
type hotRestart struct {
	predecessor   *hotrestart.Link          // nil: none
	successors    map[*hotrestart.Link]bool // processes that took over, and whether they serve
	listeners     []*net.TCPListener        // listeners to be handed over
	addrs         []string                  // configured addresses of listeners: a successor looks them up by these
	handover      *hotrestart.Server        // serves successors; nil: none
	takeOverTried bool

	inheritedListeners map[string]net.Listener // listeners by configured address, until Listen returns them
	inheritedState     *hotrestart.State       // nil: none
}

func newProcessState() *processState {
	return &processState{
		ids:          lifecycle.NewIDSet(maxKnownIDs),
		adminChanged: make(chan struct{}, 1),
		hotRestart:   hotRestart{successors: map[*hotrestart.Link]bool{}},
	}
}

// readLifecycle returns what read returns for the process's lifecycle, under the lock.
func readLifecycle[T any](s *processState, read func(*lifecycle.Process) T) T {
	s.mu.Lock()
	defer s.mu.Unlock()
	return read(&s.lifecycle)
}

// pinKnownID records the id of a server that was listed, so that admin calls may name it. It is not dropped before
// unpinKnownID is called for it.
func (s *processState) pinKnownID(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ids.Pin(settings.NameHash(id))
}

// unpinKnownID allows the id of a server that is no longer used to be dropped, once maxKnownIDs later ones are known.
func (s *processState) unpinKnownID(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ids.Unpin(settings.NameHash(id))
}

// knowsServer reports whether an admin call may name a server: it was listed, or an earlier call named it. The caller
// holds the lock.
func (s *processState) knowsServer(id string) bool {
	_, named := s.lifecycle.Servers[id]
	return named || s.ids.Has(settings.NameHash(id))
}

// shuttingDown reports whether this process has been ordered to stop.
func (p *Proxy) shuttingDown() bool {
	return readLifecycle(p.process, func(l *lifecycle.Process) bool { return l.StoppedAt > 0 })
}

// closesAfterResponse reports whether each client connection closes after its next response.
func (p *Proxy) closesAfterResponse() bool {
	now := p.now()
	return readLifecycle(p.process, func(l *lifecycle.Process) bool { return l.ClosesAfterResponse(now) })
}

// admitsRequests reports whether a request that is completely received is admitted.
func (p *Proxy) admitsRequests() bool {
	now := p.now()
	return readLifecycle(p.process, func(l *lifecycle.Process) bool { return l.AdmitsRequests(now) })
}

// readinessResponse is the response to a readiness check: 200 if the load balancer in front should send clients here,
// else 503.
func (p *Proxy) readinessResponse() response {
	if readLifecycle(p.process, (*lifecycle.Process).AcceptsNewClients) {
		return response{status: 200, body: []byte("up\n")}
	}
	return response{status: 503, body: []byte("not up\n")}
}

// beginShutdown records the order to stop and the time by which all idle connections are closed, and reports whether a
// successor serves already.
func (p *Proxy) beginShutdown(idleCloseAt time.Time) (successorServing bool) {
	s, now := p.process, p.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lifecycle.StoppedAt == 0 {
		s.lifecycle.StoppedAt, s.lifecycle.IdleCloseDeadline = now, p.toUnixSeconds(idleCloseAt)
	}
	return s.lifecycle.SuccessorServing
}

// beginTermination makes connections close with their next response from now on.
func (p *Proxy) beginTermination() {
	p.beginShutdown(time.Now())
	p.process.mu.Lock()
	defer p.process.mu.Unlock()
	p.process.lifecycle.Terminating = true
}

// closeIdleForDrain closes a share of the idle connections at each sweep while the process is drained or shut down.
func (p *Proxy) closeIdleForDrain() {
	p.process.mu.Lock()
	fraction, includeNew := p.process.lifecycle.IdleCloseFraction(p.now(), sweepInterval.Seconds())
	p.process.mu.Unlock()
	if fraction > 0 {
		p.conns.closeIdleFraction(fraction, includeNew)
	}
}

// resourceShare returns this process's share of the proxy's resources.
func (p *Proxy) resourceShare() float64 {
	if p.process.overlaps() {
		return overlapShare
	}
	return 1
}

// applyResourceShare applies this process's share to every limit that the processes of the proxy divide among
// themselves.
func (p *Proxy) applyResourceShare() {
	share := p.resourceShare()
	p.conns.setShare(share)
	p.memory.setShare(share)
	if p.OnShareChanged != nil {
		p.OnShareChanged(share)
	}
	go p.post(func() {
		share := p.resourceShare() // read again: posted calls may run in any order, and the last must set the latest share
		p.upstream.SetMaxConnections(int(share * float64(p.maxServerConns)))
		for _, pool := range p.pools.all {
			pool.decisions.SetSlowStartShare(share)
		}
	})
}
