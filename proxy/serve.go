package proxy

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"lockloom/internal/invariant"
)

// firstListTimeout is how long the proxy waits for the first list from discovery before it is ready with the list of
// its bootstrap configuration.
const firstListTimeout = 300 * time.Millisecond

// The schedule of a shutdown, from the order to stop to the time when the platform kills the process.
const (
	maxShutdownWait     = 3 * time.Second        // maximum time that the platform waits for the longest class deadline
	killMargin          = 700 * time.Millisecond // time from the end of that wait to the kill
	acceptShutdownDelay = 500 * time.Millisecond // time until accepting ends: the load balancer in front notices in 0.4 s
	finalAcceptDuration = 20 * time.Millisecond  // time of accepting past all limits: closing would reset the queue
	idleCloseMargin     = 350 * time.Millisecond // from this long before the kill, connections close once idle or answered
	finalDeadlineMargin = 150 * time.Millisecond // latest deadline of all requests is this long before the kill
	connectionCutMargin = 75 * time.Millisecond  // all remaining connections are closed this long before the kill
)

// shutdownState is the progress of a shutdown. Any goroutine may use it.
type shutdownState struct {
	deadline     atomic.Pointer[time.Time] // latest deadline of any request; nil until the order to stop
	acceptEnding atomic.Bool               // accepting is about to end: connection limits are ignored
}

// bound returns the earlier one of a deadline, in seconds since 1970, and the deadline of the shutdown, if there is
// one.
func (s *shutdownState) bound(deadline float64, clk clock) float64 {
	if at := s.deadline.Load(); at != nil {
		return min(deadline, clk.toUnixSeconds(*at))
	}
	return deadline
}

// Serve serves the listener's connections, and those of the listeners given to Configure, until the context ends. Then
// it answers all requests that it has accepted, and those that arrive for a short time after that, and returns. It
// closes the listeners.
func (p *Proxy) Serve(ctx context.Context, ln net.Listener) error {
	if err := p.openGossip(); err != nil {
		ln.Close()
		return err
	}
	p.startOwner()
	go p.dispatchQueued()
	go p.turns.run(p.loop.quit)
	go p.sendSharedIDs()
	go p.waitForFirstList()
	accepting := p.startAccepting(ln)
	p.log.WithFields(logrus.Fields{
		"listen":      ln.Addr().String(),
		"servers":     len(p.bootstrap.KnownEndpoints.Entries),
		"clients":     p.conns.totalLimits.maxServed,
		"connections": p.maxServerConns,
		"asserted":    invariant.PanicsWhenBroken,
	}).Info("serving")
	var err error
	select {
	case err = <-accepting.result:
	case <-ctx.Done():
		p.log.Info("stopping")
		stopCut := p.drainClients(accepting)
		defer stopCut()
	}
	p.finish()
	return err
}

// startOwner initializes the owner's state from the bootstrap configuration and a predecessor's state, then starts its
// goroutine.
func (p *Proxy) startOwner() {
	p.applyAdminState()
	p.applyEndpointList(p.bootstrap.KnownEndpoints, true)
	if inherited := p.process.inheritedState; inherited != nil {
		p.pools.platform.decisions.Restore(p.now(), inherited.Snapshot)
	}
	p.subscribe(p.bootstrap.Discovery)
	p.applyResourceShare()
	go p.runOwner()
}

// runOwner is the owner's goroutine.
func (p *Proxy) runOwner() {
	p.loop.runEvery(sweepInterval, p.upstream.CloseExpired)
	p.loop.runEvery(sweepInterval, p.closeIdleForDrain)
	p.loop.runEvery(sweepInterval, p.updateLocalDelay)
	p.loop.runEvery(sweepInterval, p.conns.closeExpired)
	p.loop.runEvery(countsLogInterval, func() {
		go p.countsLogger()() // the writer of the log may be slow, and the owner must not block
	})
	if p.routing.Load() != nil {
		p.loop.runEvery(sweepInterval, p.updateFailover)
	}
	if p.estimates.observe != nil {
		p.loop.runEvery(estimateInterval, p.reportEstimates)
	}
	if p.debugEnabled() {
		p.loop.runEvery(serverStatusLogInterval, p.logServerStatuses)
	}
	p.loop.run(p.process.adminChanged, p.applyAdminState)
	p.endpoints.endSubscriptions()
	p.upstream.Close()
	p.countsLogger()()
	close(p.loop.ended)
}

// waitForFirstList makes the proxy ready once discovery has sent a list or firstListTimeout is over. A list that a
// predecessor has handed over counts as one from discovery.
func (p *Proxy) waitForFirstList() {
	if inherited := p.process.inheritedState; inherited == nil || !inherited.HasList {
		select {
		case <-p.endpoints.firstReceived:
		case <-time.After(firstListTimeout):
		}
	}
	p.post(p.startedServing)
}

// acceptLoops tracks the goroutines that accept client connections.
type acceptLoops struct {
	listeners []net.Listener
	result    chan error     // receives the result of acceptConnections on the platform listener
	others    sync.WaitGroup // the goroutines of the operator's listeners
}

func (p *Proxy) startAccepting(platform net.Listener) *acceptLoops {
	loops := &acceptLoops{listeners: append([]net.Listener{platform}, p.listeners...), result: make(chan error, 1)}
	go func() { loops.result <- p.acceptConnections(platform, false) }()
	for _, ln := range p.listeners {
		loops.others.Go(func() {
			if err := p.acceptConnections(ln, true); err != nil {
				p.log.WithError(err).Error("operator listener stopped accepting connections")
			}
		})
	}
	return loops
}

// drainClients ends accepting and waits until the clients have gone, or until shortly before the platform kills the
// process. A timer closes the connections that remain then; the returned function stops it.
func (p *Proxy) drainClients(accepting *acceptLoops) (stopCut func()) {
	// The platform waits for requests no longer than maxShutdownWait, even if a class has a longer deadline.
	killAt := time.Now().Add(min(p.maxDeadline, maxShutdownWait) + killMargin)
	deadline := killAt.Add(-finalDeadlineMargin)
	p.shutdown.deadline.Store(&deadline)
	p.post(func() { p.limitDeadlines(p.toUnixSeconds(deadline)) })
	if successorServing := p.beginShutdown(killAt.Add(-idleCloseMargin)); !successorServing {
		time.Sleep(acceptShutdownDelay) // the load balancer in front still sends connections here for a while
	}
	p.shutdown.acceptEnding.Store(true)
	p.conns.wakeAcceptors()
	time.Sleep(finalAcceptDuration)
	for _, ln := range accepting.listeners {
		ln.Close()
	}
	<-accepting.result //nolint:errcheck // the error only says that the listener is closed
	accepting.others.Wait()
	// Connections are not closed earlier, since their clients may find no other proxy.
	p.conns.waitUntilEmpty(time.Until(killAt.Add(-idleCloseMargin)))
	cut := time.AfterFunc(time.Until(killAt.Add(-connectionCutMargin)), p.conns.closeAll)
	return func() { cut.Stop() }
}

// finish ends the client connections, then the links to other processes, the owner, the poller of idle connections and
// the gossip link.
func (p *Proxy) finish() {
	p.beginTermination()
	p.conns.closeUnused()
	p.conns.group.Wait()
	p.awaitPredecessorEnd()
	p.process.closeLinks()
	close(p.loop.quit)
	<-p.loop.ended
	p.conns.idleConns.Close()
	p.gossip.close()
}
