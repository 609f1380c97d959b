package proxy

import (
	"math"
	"sync"
	"time"

	"lockloom/internal/upstream"
	"lockloom/lifecycle"
)

// connTable knows the clients' connections, and which wait for a request.
type connTable struct {
	mu      sync.Mutex
	changed sync.Cond
	connLimits
	totalLimits connLimits // where no other process of this proxy has a part
	all         map[*clientConn]bool
	pending     connQueue // no request has come whole yet, or none will: rejected, read on
	idle        connQueue // idle between requests, but not for long
	longIdle    connQueue // the same for long
	overBound   int       // connections taken over the bound
	closed      bool
}

// connQueue is connections in the order of the time since when they wait, linked through themselves.
type connQueue struct {
	first, last *clientConn
	n           int
}

func (q *connQueue) append(c *clientConn) { q.insert(c, q.last) }

// insert puts a connection behind another, or first.
func (q *connQueue) insert(c, prev *clientConn) {
	c.queue, c.prev, c.next = q, prev, q.first
	if prev != nil {
		c.next = prev.next
		prev.next = c
	} else {
		q.first = c
	}
	if c.next != nil {
		c.next.prev = c
	} else {
		q.last = c
	}
	q.n++
}

func (q *connQueue) remove(c *clientConn) {
	if c.prev != nil {
		c.prev.next = c.next
	} else {
		q.first = c.next
	}
	if c.next != nil {
		c.next.prev = c.prev
	} else {
		q.last = c.prev
	}
	c.queue, c.prev, c.next = nil, nil, nil
	q.n--
}

// connLimits are how many connections are served, how many further ones rejected at once, and how many kept idle between requests.
type connLimits struct{ maxServed, maxOverflow, maxIdle int }

// clientWait blocks while there is room for no connection at all and none is idle, unless the door was woken to stop. Where the core is
// behind there is none past the bound. Danger: a connection that is taken in to be rejected costs as much as three requests.
// Where one is idle it goes first, and its place is waited for: descriptors are bounded too.
func (t *connTable) waitForCapacity(ending, overloaded func() bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var lastEviction time.Time
	for (len(t.all) >= t.maxServed+t.maxOverflow || len(t.all) >= t.maxServed && overloaded()) && !ending() {
		if now := time.Now(); now.Sub(lastEviction) >= evictionInterval { // danger: it is woken by every connection that rests or goes
			lastEviction = now
			t.evict()
		}
		recheck := time.AfterFunc(newConnectionGracePeriod, t.wakeAcceptors) // recent ones may turn out to be idle
		t.changed.Wait()
		recheck.Stop()
	}
}

// evictionCandidate is a connection that may go, idle for longest, or nil. Danger: a new one looks idle while its first request is on the
// way; but one that never sends it, or sends a part only, must not keep others out. One whose request has come and was not read
// yet, because the core is busy, would be lost, as would one that crosses the close: so one that was served goes only when it
// seems to be used no more. No more than a few are looked at: each look is a system call, and there is one for every connection
// that comes while there is no room.
func (t *connTable) evictionCandidate() *clientConn {
	t.moveLongIdle()
	for _, queue := range []*connQueue{&t.pending, &t.longIdle} { // danger: those that send on what nobody reads must not hide those that say nothing
		checks := maxIdleChecks
		for c := queue.first; c != nil && checks > 0; c = c.next {
			if c.recent && time.Since(c.queuedAt) < newConnectionGracePeriod {
				break
			}
			if !upstream.HasUnreadBytes(c.conn) {
				return c
			}
			checks--
		}
	}
	return nil
}

// moveLongIdle moves what has been idle for long to the stale ones.
func (t *connTable) moveLongIdle() {
	for c := t.idle.first; c != nil && time.Since(c.queuedAt) >= longIdleDelay; c = t.idle.first {
		t.idle.remove(c)
		t.longIdle.append(c)
	}
}

func (t *connTable) wakeAcceptors() { t.changed.Broadcast() }

// add takes a connection in, and closes an idle one where there are too many. It tells whether even so there
// is one too many.
func (t *connTable) add(c *clientConn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.all[c] = true
	t.closeLongIdle()
	if len(t.all) <= t.maxServed {
		return false
	}
	if t.evict() {
		return false
	}
	t.overBound++
	return true
}

// evict has the connection that may go make room, if there is one. It does not linger: what it was answered it has had for long.
func (t *connTable) evict() bool {
	c := t.evictionCandidate()
	if c == nil {
		return false
	}
	c.evicted.Store(true)
	c.requestClose()
	t.dequeue(c)
	return true
}

func (t *connTable) remove(c *clientConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.all, c)
	t.dequeue(c)
	t.changed.Signal()
}

// markIdle notes that a connection is idle: before its first request, or after.
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

// initialize notes that its request has begun to come. Danger: one that has been served before is lost if it is closed now; whoever
// connects only to begin is not.
func (t *connTable) requestBegun(c *clientConn, first bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c.requestBegun, c.recent, c.queuedAt = true, true, time.Now()
	t.dequeue(c)
	if first {
		t.pending.append(c)
	}
}

// markLingering notes that a connection's last answer is written and what still comes is dropped: where room is wanted it goes first.
// Danger: many that are rejected would keep others out while they are read on.
func (t *connTable) markLingering(c *clientConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dequeue(c)
	c.requestBegun, c.recent, c.lingering, c.queuedAt = false, false, true, time.Now()
	c.closeAt = c.queuedAt.Add(clientIdleTimeout)
	t.pending.insert(c, nil)
	t.changed.Signal()
}

// requestComplete notes that its request has come whole.
func (t *connTable) requestComplete(c *clientConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dequeue(c)
	c.readNoMore.Store(false)
	c.evicted.Store(false) // its answer is to arrive
}

func (t *connTable) dequeue(c *clientConn) {
	if c.queue != nil {
		c.queue.remove(c)
	}
}

// closesFirstResponse tells whether a first answer is to close its connection: as many are idle between requests as are kept, and seem to be used no
// more, or the door is nearly full. Danger: clients that ask once and stay take up all that their side may open, and nobody can ask
// any more; those that write slowly are cut off for them meanwhile. One that was used again stays: closing it costs its client and
// this core more than its next request does.
func (t *connTable) closesFirstResponse() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.moveLongIdle()
	return t.longIdle.n >= t.maxIdle || t.longIdle.n+t.idle.n >= t.maxIdle && float64(len(t.all)) >= nearlyFullFraction*float64(t.maxServed)
}

// closeLongIdle closes, where there are so many, those that have been idle for long.
func (t *connTable) closeLongIdle() {
	t.moveLongIdle()
	checks := maxIdleChecks
	for c := t.longIdle.first; c != nil && t.longIdle.n >= t.maxIdle && checks > 0 && time.Since(c.queuedAt) >= crowdedIdleTimeout; checks-- {
		next := c.next
		if !upstream.HasUnreadBytes(c.conn) {
			c.requestClose()
			t.dequeue(c)
		}
		c = next
	}
}

// closeExpired closes those whose time is over.
func (t *connTable) closeExpired() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	for _, queue := range []*connQueue{&t.longIdle, &t.idle, &t.pending} {
		for c := queue.first; c != nil && (queue == &t.pending || !c.closeAt.After(now)); {
			next := c.next
			if !c.requestBegun && !c.closeAt.After(now) && !upstream.HasUnreadBytes(c.conn) {
				c.requestClose()
				t.dequeue(c)
			}
			c = next
		}
	}
}

// routeNumber gives the door its part of the connections.
func (t *connTable) setShare(share float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	of := func(n int) int { return max(int(share*float64(n)), 1) }
	t.connLimits = connLimits{of(t.totalLimits.maxServed), of(t.totalLimits.maxOverflow), of(t.totalLimits.maxIdle)}
	t.changed.Broadcast()
}

// closeIdleFraction closes a share of the idle connections, those idle for longest first; with fresh, new ones too that say nothing. Danger:
// all at once they would cross many requests that are on their way, and the clients would come back all at once.
func (t *connTable) closeIdleFraction(fraction float64, includeNew bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.moveLongIdle()
	n := int(math.Ceil(fraction * float64(t.pending.n+t.idle.n+t.longIdle.n)))
	for _, queue := range []*connQueue{&t.longIdle, &t.idle, &t.pending} {
		for c := queue.first; c != nil && n > 0; {
			next := c.next
			if !c.requestBegun && !upstream.HasUnreadBytes(c.conn) && !(c.recent && (!includeNew || time.Since(c.queuedAt) < seconds(lifecycle.NewConnectionCloseSpread))) {
				c.requestClose()
				t.dequeue(c)
				n--
			}
			c = next
		}
	}
}

// waitUntilEmpty waits until no connection is left, but no longer than this.
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
			if !c.requestBegun && !c.lingering { // that ends by itself, or is cut
				c.requestClose()
			}
		}
	}
}

// closeAll closes every connection.
func (t *connTable) closeAll() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.all {
		c.closeRequested.Store(true)
		c.conn.Close()
		c.wakeUp()
	}
}

// counters tells how many connections there are, and how many came over the bound.
func (t *connTable) counts() (int, int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.all), t.overBound
}

// requestClose has a connection go once what has come on it is answered; the caller holds the door. Danger: a request that was read, and not
// begun yet, is seen by nobody but its reader; closed by another's hand, it would be lost.
func (c *clientConn) requestClose() {
	c.closeRequested.Store(true)
	if c.requestBegun { // its client is slow: what is not there yet is not waited for
		c.readNoMore.Store(true)
	}
	c.conn.SetReadDeadline(pastDeadline)
	c.wakeUp()
}
