package proxy

import (
	"math"
	"time"

	"lockloom/internal/upstream"
	"lockloom/lifecycle"
)

const (
	crowdedIdleTimeout       = 2 * time.Second        // of an idle connection while as many are idle as may be
	longIdleDelay            = 250 * time.Millisecond // after its response a connection seems to be used no more
	newConnectionGracePeriod = 100 * time.Millisecond // for a first request, while others wait to be accepted
	evictionInterval         = 20 * time.Millisecond  // between evictions while no connection may be accepted
	maxIdleChecks            = 8                      // connections looked at for one to close: each costs a system call
)

// waitForCapacity waits until a connection may be accepted, or ending reports true. While this core is overloaded no
// connection is accepted over the bound: accepting one to reject it costs as much as three requests. Where one is idle
// it is closed first and its descriptor waited for, since descriptors are bounded too.
func (t *connTable) waitForCapacity(ending, overloaded func() bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var lastEviction time.Time
	for t.atCapacity(overloaded) && !ending() {
		// Every connection that becomes idle or goes wakes this loop.
		if now := time.Now(); now.Sub(lastEviction) >= evictionInterval {
			lastEviction = now
			t.evict()
		}
		recheck := time.AfterFunc(newConnectionGracePeriod, t.wakeAcceptors) // recent ones may turn out to be idle
		t.changed.Wait()
		recheck.Stop()
	}
}

func (t *connTable) atCapacity(overloaded func() bool) bool {
	return len(t.all) >= t.maxServed+t.maxOverflow || len(t.all) >= t.maxServed && overloaded()
}

// evictionCandidate is the connection that has been idle for longest and may go, or nil. The caller holds the lock.
//
// A new connection looks idle while its first request is on the way; but one that never sends it, or a part only, must
// not keep others out. One whose request has come and is not read yet, because the core is busy, would lose it, as
// would one whose request crosses the close: so one that was served goes only when it seems to be used no more. Only a
// few are looked at, since each look is a system call and this runs for every connection that comes while there is no
// capacity; those in the first queue that send on what nobody reads must not hide the second one's.
func (t *connTable) evictionCandidate() *clientConn {
	t.moveLongIdle()
	for _, queue := range []*connQueue{&t.pending, &t.longIdle} {
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

// evict closes the connection that may go, if there is one, and reports whether there was. It does not linger: it has
// had its response for long. The caller holds the lock.
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

// moveLongIdle moves connections that have been idle for long to their queue. The caller holds the lock.
func (t *connTable) moveLongIdle() {
	for c := t.idle.first; c != nil && time.Since(c.queuedAt) >= longIdleDelay; c = t.idle.first {
		t.idle.remove(c)
		t.longIdle.append(c)
	}
}

// closeLongIdle closes connections that have been idle for long, where as many are as may be. The caller holds the
// lock.
func (t *connTable) closeLongIdle() {
	t.moveLongIdle()
	c := t.longIdle.first
	for checks := maxIdleChecks; checks > 0 && t.longIdle.n >= t.maxIdle; checks-- {
		if c == nil || time.Since(c.queuedAt) < crowdedIdleTimeout {
			return
		}
		next := c.next
		if !upstream.HasUnreadBytes(c.conn) {
			c.requestClose()
			t.dequeue(c)
		}
		c = next
	}
}

// closeExpired closes connections whose time is over.
func (t *connTable) closeExpired() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	for _, queue := range []*connQueue{&t.longIdle, &t.idle, &t.pending} {
		ordered := queue != &t.pending // by closeAt
		for c := queue.first; c != nil && (!ordered || !c.closeAt.After(now)); {
			next := c.next
			if !c.requestBegun && !c.closeAt.After(now) && !upstream.HasUnreadBytes(c.conn) {
				c.requestClose()
				t.dequeue(c)
			}
			c = next
		}
	}
}

// closeIdleFraction closes a fraction of the idle connections, those idle for longest first, and with includeNew also
// new ones that send nothing. All at once they would cross many requests on their way, and their clients would come
// back all at once.
func (t *connTable) closeIdleFraction(fraction float64, includeNew bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.moveLongIdle()
	n := int(math.Ceil(fraction * float64(t.pending.n+t.idle.n+t.longIdle.n)))
	for _, queue := range []*connQueue{&t.longIdle, &t.idle, &t.pending} {
		for c := queue.first; c != nil && n > 0; {
			next := c.next
			if !c.requestBegun && !upstream.HasUnreadBytes(c.conn) && c.mayDrain(includeNew) {
				c.requestClose()
				t.dequeue(c)
				n--
			}
			c = next
		}
	}
}

// mayDrain reports whether a connection without a request may be closed in a drain: a new one is given some time.
func (c *clientConn) mayDrain(includeNew bool) bool {
	return !c.recent || includeNew && time.Since(c.queuedAt) >= seconds(lifecycle.NewConnectionCloseSpread)
}
