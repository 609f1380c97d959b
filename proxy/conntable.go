package proxy

import (
	"sync"
	"time"

	"lockloom/internal/poller"
)

const (
	overflowFraction   = 0.2                     // share of all client connections that are accepted over maxServed
	maxIdleFraction    = 0.25                    // share of maxServed that may stay idle between requests
	nearlyFullFraction = 0.75                    // the table is nearly full at this share of maxServed
	firstByteTimeout   = 2100 * time.Millisecond // time from accepting a connection to the first byte of its first request
	clientIdleTimeout  = 75 * time.Second        // time limit for a connection between requests
)

// connTable holds the client connections and bounds their number. It is safe for concurrent use, except for init.
//
// Connections without a complete request are in one of three queues: pending before the first request is complete and
// while lingering after the last response; idle between requests; longIdle after longIdleDelay without a request, when
// the client is unlikely to use the connection again.
type connTable struct {
	mu      sync.Mutex
	changed sync.Cond // signals a closed or newly idle connection, changed limits, or wakeAcceptors
	connLimits
	totalLimits connLimits // for all processes of this proxy together; connLimits is this process's share
	all         map[*clientConn]bool
	pending     connQueue
	idle        connQueue
	longIdle    connQueue
	overBound   int  // count of connections accepted over maxServed since the start
	closed      bool // closeUnused was called: a connection closes as soon as it has no request

	group     sync.WaitGroup // waits for the connections' goroutines
	idleConns poller.Set     // idle connections, watched by a poller, without a goroutine blocked in a read for each
}

// connLimits bounds the client connections: how many are served, how many more are accepted only for their requests to
// be rejected, and how many may stay idle between requests.
type connLimits struct{ maxServed, maxOverflow, maxIdle int }

// init sets the limits for a total number of client connections.
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
	scale := func(n int) int { return max(int(share*float64(n)), 1) }
	total := &t.totalLimits
	t.connLimits = connLimits{scale(total.maxServed), scale(total.maxOverflow), scale(total.maxIdle)}
	t.changed.Broadcast()
}

// add adds a connection and, if that exceeds maxServed, evicts another one. It reports whether none could be evicted:
// the requests of the added connection are then rejected.
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

// markIdle records that a connection waits for a request; first is set for the first request of the connection.
func (t *connTable) markIdle(c *clientConn, first bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		c.requestClose()
		return
	}
	t.dequeue(c)
	c.receivingRequest, c.recent, c.queuedAt = false, first, time.Now()
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

// markReceiving records that the first byte of a request was received; first is set for the first request of the
// connection. A connection that has had a response before leaves its queue and so cannot be evicted, since closing it
// now would lose the request. A connection that has never sent a complete request stays evictable.
func (t *connTable) markReceiving(c *clientConn, first bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c.receivingRequest, c.recent, c.queuedAt = true, true, time.Now()
	t.dequeue(c)
	if first {
		t.pending.append(c)
	}
}

// markComplete records that a request is completely received, or streams its body. The connection is not closed before
// the response.
func (t *connTable) markComplete(c *clientConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dequeue(c)
	c.abortReads.Store(false)
	c.evicted.Store(false)
}

// markLingering records that the last response is written and bytes still received are dropped. The connection becomes
// the first candidate for eviction: otherwise many connections whose requests were rejected could keep new ones out
// while they linger.
func (t *connTable) markLingering(c *clientConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dequeue(c)
	c.receivingRequest, c.recent, c.lingering, c.queuedAt = false, false, true, time.Now()
	c.closeAt = c.queuedAt.Add(clientIdleTimeout)
	t.pending.insert(c, nil)
	t.changed.Signal()
}

// dequeue removes a connection from its queue, if it is in one. The caller holds the lock.
func (t *connTable) dequeue(c *clientConn) {
	if c.queue != nil {
		c.queue.remove(c)
	}
}

// closesFirstResponse reports whether a connection is to close after its first response: maxIdle connections are in
// longIdle, or the table is nearly full and maxIdle connections are idle. Otherwise clients that send one request and
// keep the connection open would use up all connections that their side may open, so that no client could send a
// request, and clients that send slowly would be evicted meanwhile. A connection that has carried more than one request
// stays open: closing it would cost the client and this core more than its next request.
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

// wakeAcceptors makes every waitForCapacity check its condition again. It takes the lock, since one that has just
// checked its condition and does not wait yet would miss the wake-up.
func (t *connTable) wakeAcceptors() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.changed.Broadcast()
}

// waitUntilEmpty waits until no connection is left or the timeout has passed.
func (t *connTable) waitUntilEmpty(timeout time.Duration) {
	end := time.Now().Add(timeout)
	defer time.AfterFunc(timeout, t.wakeAcceptors).Stop()
	t.mu.Lock()
	defer t.mu.Unlock()
	for len(t.all) > 0 && time.Now().Before(end) {
		t.changed.Wait()
	}
}

// closeUnused closes all connections without a request. Connections that have one close as soon as it is answered.
func (t *connTable) closeUnused() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	for _, queue := range []*connQueue{&t.pending, &t.idle, &t.longIdle} {
		for c := queue.first; c != nil; c = c.next {
			if !c.receivingRequest && !c.lingering { // connections in these states close by themselves, or closeAll closes them
				c.requestClose()
			}
		}
	}
}

// closeAll immediately closes every connection.
func (t *connTable) closeAll() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.all {
		c.closeRequested.Store(true)
		c.conn.Close()
		c.wakeUp()
	}
}

// counts returns how many connections are open, and how many the process has accepted over maxServed since its start.
func (t *connTable) counts() (open, overBound int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.all), t.overBound
}
