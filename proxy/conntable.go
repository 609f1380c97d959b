package proxy

import (
	"sync"
	"time"

	"lockloom/internal/poller"
)

const (
	overflowFraction   = 0.2                     // of all client connections: accepted over the bound
	maxIdleFraction    = 0.25                    // of the client connections served: idle between requests
	nearlyFullFraction = 0.75                    // of the client connections served
	firstByteTimeout   = 2100 * time.Millisecond // from a connection's start to its first request's first byte
	clientIdleTimeout  = 75 * time.Second        // of a connection between requests
)

// connTable holds the client connections and bounds their number. All methods may be called by any goroutine.
//
// Connections without a complete request wait in one of three queues: pending before their first request is complete,
// and after the last response; idle between requests; longIdle when they have been idle for so long that they seem to
// be used no more.
type connTable struct {
	mu      sync.Mutex
	changed sync.Cond // a connection has gone or become idle, or acceptors are to look again
	connLimits
	totalLimits connLimits // for all processes of this proxy together
	all         map[*clientConn]bool
	pending     connQueue
	idle        connQueue
	longIdle    connQueue
	overBound   int  // connections accepted over the bound, in all
	closed      bool // connections close as soon as they have no request

	group     sync.WaitGroup // the connections' goroutines
	idleConns poller.Set     // connections that wait for a request without a goroutine's read
}

// connLimits are how many client connections are served, how many further ones are accepted to be rejected at once, and
// how many stay idle between requests.
type connLimits struct{ maxServed, maxOverflow, maxIdle int }

// init divides so many connections.
func (t *connTable) init(clients int) {
	t.maxOverflow = max(int(overflowFraction*float64(clients)), 1)
	t.maxServed = clients - t.maxOverflow
	t.maxIdle = max(int(maxIdleFraction*float64(t.maxServed)), 1)
	t.totalLimits = t.connLimits
	t.all = map[*clientConn]bool{}
	t.changed.L = &t.mu
}

// setShare gives this process its share, from 0 to 1, of the connections.
func (t *connTable) setShare(share float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	of := func(n int) int { return max(int(share*float64(n)), 1) }
	total := &t.totalLimits
	t.connLimits = connLimits{of(total.maxServed), of(total.maxOverflow), of(total.maxIdle)}
	t.changed.Broadcast()
}

// add takes a connection in, and closes an idle one if there are too many. It reports whether there still is one too
// many.
func (t *connTable) add(c *clientConn) (overflow bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.all[c] = true
	t.closeLongIdle()
	if len(t.all) <= t.maxServed || t.evict() {
		return false
	}
	t.overBound++
	return true
}

func (t *connTable) remove(c *clientConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.all, c)
	t.dequeue(c)
	t.changed.Signal()
}

// markIdle notes that a connection waits for a request: the first one, or another.
func (t *connTable) markIdle(c *clientConn, first bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		c.requestClose()
		return
	}
	t.dequeue(c)
	c.requestBegun, c.recent, c.queuedAt = false, first, time.Now()
	if first {
		c.closeAt = c.acceptedAt.Add(firstByteTimeout)
		t.pending.append(c)
	} else {
		c.closeAt = c.queuedAt.Add(clientIdleTimeout)
		t.idle.append(c)
		t.closeLongIdle()
	}
	t.changed.Signal()
}

// markBegun notes that a connection's request has begun to come. One that was served before leaves the queues: closed
// now, it would lose its request. One that has never had a complete request stays evictable.
func (t *connTable) markBegun(c *clientConn, first bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c.requestBegun, c.recent, c.queuedAt = true, true, time.Now()
	t.dequeue(c)
	if first {
		t.pending.append(c)
	}
}

// markComplete notes that a connection's request is complete: its response is to arrive.
func (t *connTable) markComplete(c *clientConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dequeue(c)
	c.readNoMore.Store(false)
	c.evicted.Store(false)
}

// markLingering notes that a connection's last response is written and what still comes is dropped. It is the first to
// be evicted: many that were rejected would otherwise keep others out while they are read on.
func (t *connTable) markLingering(c *clientConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dequeue(c)
	c.requestBegun, c.recent, c.lingering, c.queuedAt = false, false, true, time.Now()
	c.closeAt = c.queuedAt.Add(clientIdleTimeout)
	t.pending.insert(c, nil)
	t.changed.Signal()
}

// dequeue takes a connection out of its queue, if it is in one. The caller holds the lock.
func (t *connTable) dequeue(c *clientConn) {
	if c.queue != nil {
		c.queue.remove(c)
	}
}

// closesFirstResponse reports whether a connection's first response is to close it: as many as may stay idle seem to be
// used no more, or are idle while the table is nearly full. Clients that ask once and stay would otherwise take up all
// connections that their side may open, so that nobody can ask any more, and those that write slowly would be cut off
// for them meanwhile. One that was used again stays: closing it costs its client and this core more than its next
// request.
func (t *connTable) closesFirstResponse() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.moveLongIdle()
	if t.longIdle.n >= t.maxIdle {
		return true
	}
	nearlyFull := float64(len(t.all)) >= nearlyFullFraction*float64(t.maxServed)
	return nearlyFull && t.longIdle.n+t.idle.n >= t.maxIdle
}

// wakeAcceptors has waitForCapacity look again.
func (t *connTable) wakeAcceptors() { t.changed.Broadcast() }

// waitUntilEmpty waits until no connection is left, but no longer than a timeout.
func (t *connTable) waitUntilEmpty(timeout time.Duration) {
	end := time.Now().Add(timeout)
	defer time.AfterFunc(timeout, t.wakeAcceptors).Stop()
	t.mu.Lock()
	defer t.mu.Unlock()
	for len(t.all) > 0 && time.Now().Before(end) {
		t.changed.Wait()
	}
}

// closeUnused closes the connections without a request, from now on as soon as they have none.
func (t *connTable) closeUnused() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	for _, queue := range []*connQueue{&t.pending, &t.idle, &t.longIdle} {
		for c := queue.first; c != nil; c = c.next {
			if !c.requestBegun && !c.lingering { // these end by themselves, or are cut
				c.requestClose()
			}
		}
	}
}

// closeAll closes every connection at once.
func (t *connTable) closeAll() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.all {
		c.closeRequested.Store(true)
		c.conn.Close()
		c.wakeUp()
	}
}

// counts returns how many connections there are, and how many were accepted over the bound so far.
func (t *connTable) counts() (open, overBound int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.all), t.overBound
}
