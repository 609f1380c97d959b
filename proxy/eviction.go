package proxy

import (
	"math"
	"time"

	"lockloom/internal/socket"
	"lockloom/lifecycle"
)

const (
	crowdedIdleTimeout       = 2 * time.Second        // idle timeout while maxIdle connections are in longIdle
	longIdleDelay            = 250 * time.Millisecond // time after a response until its connection moves to longIdle
	newConnectionGracePeriod = 100 * time.Millisecond // time in which a new or receiving connection is not evicted
	evictionInterval         = 20 * time.Millisecond  // minimum interval between evictions while the table is at capacity
	maxIdleChecks            = 8                      // connections checked, a system call each, to find one to close
)

// waitForCapacity waits until a connection may be accepted, or stopAccepting reports true. While overloaded reports
// true, no connection is accepted over maxServed: accepting one and rejecting its request costs as much as three
// requests. At capacity an idle connection is evicted first, and the caller waits until its descriptor is closed, since
// the number of descriptors is bounded too.
func (t *connTable) waitForCapacity(stopAccepting, overloaded func() bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var lastEviction time.Time
	for t.atCapacity(overloaded) && !stopAccepting() {
		// This loop wakes whenever a connection becomes idle or closes; evictionInterval bounds the evictions.
		if now := time.Now(); now.Sub(lastEviction) >= evictionInterval {
			lastEviction = now
			t.evict()
		}
		recheck := time.AfterFunc(newConnectionGracePeriod, t.wakeAcceptors) // a recent connection becomes evictable
		t.changed.Wait()
		recheck.Stop()
	}
}

func (t *connTable) atCapacity(overloaded func() bool) bool {
	return len(t.all) >= t.maxServed+t.maxOverflow || len(t.all) >= t.maxServed && overloaded()
}

// evictionCandidate returns the evictable connection that has been idle for longest, or nil. The caller holds the lock.
//
// A new connection looks idle while its first request is on the way, so it gets newConnectionGracePeriod; after that a
// client that sends nothing, or a part of a request only, must not keep others out. A connection with unread bytes is
// skipped: its request was received but not read yet, because the core is busy, and would be lost; but not if what was
// received is an incomplete request that waits for memory. A request that is
// still on the way when the connection closes would be lost too, so a connection that has had a response is evicted
// only from longIdle. At most maxIdleChecks connections of each queue are checked, since each check is a system call
// and this runs for every connection that arrives at capacity. The limit counts for each queue, so that lingering
// connections in pending, whose clients keep sending, do not hide the candidates in longIdle.
func (t *connTable) evictionCandidate() *clientConn {
	t.moveLongIdle()
	for _, queue := range []*connQueue{&t.pending, &t.longIdle} {
		checks := maxIdleChecks
		for c := queue.first; c != nil && checks > 0; c = c.next {
			if c.recent && time.Since(c.queuedAt) < newConnectionGracePeriod {
				break
			}
			if c.awaitsMemory.Load() || !socket.HasUnread(c.conn) {
				return c
			}
			checks--
		}
	}
	return nil
}

// evict closes the eviction candidate and reports whether there was one. The connection does not linger: its last
// response, if any, was written long ago. The caller holds the lock.
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

// moveLongIdle moves connections that have been idle for longIdleDelay from idle to longIdle. The caller holds the
// lock.
func (t *connTable) moveLongIdle() {
	for c := t.idle.first; c != nil && time.Since(c.queuedAt) >= longIdleDelay; c = t.idle.first {
		t.idle.remove(c)
		t.longIdle.append(c)
	}
}

// closeLongIdle closes connections that have been idle for crowdedIdleTimeout while longIdle holds maxIdle or more. The
// caller holds the lock.
func (t *connTable) closeLongIdle() {
	t.moveLongIdle()
	c := t.longIdle.first
	for checks := maxIdleChecks; checks > 0 && t.longIdle.n >= t.maxIdle; checks-- {
		if c == nil || time.Since(c.queuedAt) < crowdedIdleTimeout {
			return
		}
		next := c.next
		if !socket.HasUnread(c.conn) {
			c.requestClose()
			t.dequeue(c)
		}
		c = next
	}
}

// closeExpired closes connections without a request whose closeAt has passed.
func (t *connTable) closeExpired() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	for _, queue := range []*connQueue{&t.longIdle, &t.idle, &t.pending} {
		ordered := queue != &t.pending // pending is not ordered by closeAt
		for c := queue.first; c != nil && (!ordered || !c.closeAt.After(now)); {
			next := c.next
			if !c.receivingRequest && !c.closeAt.After(now) && !socket.HasUnread(c.conn) {
				c.requestClose()
				t.dequeue(c)
			}
			c = next
		}
	}
}

// closeIdleFraction closes a fraction of the idle connections, those idle for longest first, and with includeNew also
// new ones whose clients send nothing. Closing all of them at once would lose many requests that are on their way, and
// all clients would reconnect at the same time.
func (t *connTable) closeIdleFraction(fraction float64, includeNew bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.moveLongIdle()
	n := int(math.Ceil(fraction * float64(t.pending.n+t.idle.n+t.longIdle.n)))
	for _, queue := range []*connQueue{&t.longIdle, &t.idle, &t.pending} {
		for c := queue.first; c != nil && n > 0; {
			next := c.next
			if !c.receivingRequest && !socket.HasUnread(c.conn) && c.mayDrain(includeNew) {
				c.requestClose()
				t.dequeue(c)
				n--
			}
			c = next
		}
	}
}

// mayDrain reports whether a connection without a request may be closed in a drain. A new one may be closed only with
// includeNew, and after lifecycle.NewConnectionCloseSpread.
func (c *clientConn) mayDrain(includeNew bool) bool {
	return !c.recent || includeNew && time.Since(c.queuedAt) >= seconds(lifecycle.NewConnectionCloseSpread)
}
