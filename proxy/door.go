package proxy

import (
	"math"
	"sync"
	"time"

	"lockloom/internal/upstream"
	"lockloom/lifecycle"
)

// door knows the clients' connections, and which wait for a request.
type door struct {
	mu   sync.Mutex
	room sync.Cond
	bounds
	whole   bounds // where no other process of this proxy has a part
	all     map[*client]bool
	quiet   line // no request has come whole yet, or none will: rejected, read on
	kept    line // idle between requests, but not for long
	stale   line // the same for long
	crowded int  // connections taken over the bound
	closed  bool
}

// line is connections in the order of the time since when they wait, linked through themselves.
type line struct {
	first, last *client
	n           int
}

func (l *line) append(c *client) { l.insert(c, l.last) }

// insert puts a connection behind another, or first.
func (l *line) insert(c, behind *client) {
	c.line, c.before, c.after = l, behind, l.first
	if behind != nil {
		c.after = behind.after
		behind.after = c
	} else {
		l.first = c
	}
	if c.after != nil {
		c.after.before = c
	} else {
		l.last = c
	}
	l.n++
}

func (l *line) remove(c *client) {
	if c.before != nil {
		c.before.after = c.after
	} else {
		l.first = c.after
	}
	if c.after != nil {
		c.after.before = c.before
	} else {
		l.last = c.before
	}
	c.line, c.before, c.after = nil, nil, nil
	l.n--
}

// bounds are how many connections are served, how many further ones rejected at once, and how many kept idle between requests.
type bounds struct{ most, over, keep int }

// wait blocks while there is room for no connection at all and none is idle, unless the door was woken to stop. Where the core is
// behind there is none past the bound. Danger: a connection that is taken in to be rejected costs as much as three requests.
// Where one is idle it goes first, and its place is waited for: descriptors are bounded too.
func (d *door) wait(stops, behind func() bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var looked time.Time
	for (len(d.all) >= d.most+d.over || len(d.all) >= d.most && behind()) && !stops() {
		if now := time.Now(); now.Sub(looked) >= lookEach { // danger: it is woken by every connection that rests or goes
			looked = now
			d.evict()
		}
		look := time.AfterFunc(freshFor, d.wake) // fresh ones may turn out to be idle
		d.room.Wait()
		look.Stop()
	}
}

// idlest is a connection that may go, idle for longest, or nil. Danger: a new one looks idle while its first request is on the
// way; but one that never sends it, or sends a part only, must not keep others out. One whose request has come and was not read
// yet, because the core is busy, would be lost, as would one that crosses the close: so one that was served goes only when it
// seems to be used no more. No more than a few are looked at: each look is a system call, and there is one for every connection
// that comes while there is no room.
func (d *door) idlest() *client {
	d.age()
	for _, l := range []*line{&d.quiet, &d.stale} { // danger: those that send on what nobody reads must not hide those that say nothing
		looks := looksMost
		for c := l.first; c != nil && looks > 0; c = c.after {
			if c.fresh && time.Since(c.since) < freshFor {
				break
			}
			if !upstream.HasUnreadBytes(c.nc) {
				return c
			}
			looks--
		}
	}
	return nil
}

// age moves what has been idle for long to the stale ones.
func (d *door) age() {
	for c := d.kept.first; c != nil && time.Since(c.since) >= staleAfter; c = d.kept.first {
		d.kept.remove(c)
		d.stale.append(c)
	}
}

func (d *door) wake() { d.room.Broadcast() }

// enter takes a connection in, and closes an idle one where there are too many. It tells whether even so there
// is one too many.
func (d *door) enter(c *client) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.all[c] = true
	d.thin()
	if len(d.all) <= d.most {
		return false
	}
	if d.evict() {
		return false
	}
	d.crowded++
	return true
}

// evict has the connection that may go make room, if there is one. It does not linger: what it was answered it has had for long.
func (d *door) evict() bool {
	idle := d.idlest()
	if idle == nil {
		return false
	}
	idle.evicted.Store(true)
	idle.end()
	d.unrest(idle)
	return true
}

func (d *door) leave(c *client) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.all, c)
	d.unrest(c)
	d.room.Signal()
}

// rest notes that a connection is idle: before its first request, or after.
func (d *door) rest(c *client, first bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		c.end()
		return
	}
	d.unrest(c)
	c.begun, c.fresh, c.since = false, first, time.Now()
	if first {
		c.goes = c.met.Add(firstBegun)
		d.quiet.append(c)
	} else {
		c.goes = c.since.Add(clientIdle)
		d.kept.append(c)
		d.thin()
	}
	d.room.Signal()
}

// begin notes that its request has begun to come. Danger: one that has been served before is lost if it is closed now; whoever
// connects only to begin is not.
func (d *door) begin(c *client, first bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c.begun, c.fresh, c.since = true, true, time.Now()
	d.unrest(c)
	if first {
		d.quiet.append(c)
	}
}

// lingers notes that a connection's last answer is written and what still comes is dropped: where room is wanted it goes first.
// Danger: many that are rejected would keep others out while they are read on.
func (d *door) lingers(c *client) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.unrest(c)
	c.begun, c.fresh, c.lingering, c.since = false, false, true, time.Now()
	c.goes = c.since.Add(clientIdle)
	d.quiet.insert(c, nil)
	d.room.Signal()
}

// rouse notes that its request has come whole.
func (d *door) rouse(c *client) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.unrest(c)
	c.hurried.Store(false)
	c.evicted.Store(false) // its answer is to arrive
}

func (d *door) unrest(c *client) {
	if c.line != nil {
		c.line.remove(c)
	}
}

// full tells whether a first answer is to close its connection: as many are idle between requests as are kept, and seem to be used no
// more, or the door is nearly full. Danger: clients that ask once and stay take up all that their side may open, and nobody can ask
// any more; those that write slowly are cut off for them meanwhile. One that was used again stays: closing it costs its client and
// this core more than its next request does.
func (d *door) full() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.age()
	return d.stale.n >= d.keep || d.stale.n+d.kept.n >= d.keep && float64(len(d.all)) >= fullPart*float64(d.most)
}

// thin closes, where there are so many, those that have been idle for long.
func (d *door) thin() {
	d.age()
	looks := looksMost
	for c := d.stale.first; c != nil && d.stale.n >= d.keep && looks > 0 && time.Since(c.since) >= keptIdle; looks-- {
		next := c.after
		if !upstream.HasUnreadBytes(c.nc) {
			c.end()
			d.unrest(c)
		}
		c = next
	}
}

// expire closes those whose time is over.
func (d *door) expire() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	for _, l := range []*line{&d.stale, &d.kept, &d.quiet} {
		for c := l.first; c != nil && (l == &d.quiet || !c.goes.After(now)); {
			next := c.after
			if !c.begun && !c.goes.After(now) && !upstream.HasUnreadBytes(c.nc) {
				c.end()
				d.unrest(c)
			}
			c = next
		}
	}
}

// share gives the door its part of the connections.
func (d *door) share(part float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	of := func(n int) int { return max(int(part*float64(n)), 1) }
	d.bounds = bounds{of(d.whole.most), of(d.whole.over), of(d.whole.keep)}
	d.room.Broadcast()
}

// empty closes a share of the idle connections, those idle for longest first; with fresh, new ones too that say nothing. Danger:
// all at once they would cross many requests that are on their way, and the clients would come back all at once.
func (d *door) empty(share float64, fresh bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.age()
	n := int(math.Ceil(share * float64(d.quiet.n+d.kept.n+d.stale.n)))
	for _, l := range []*line{&d.stale, &d.kept, &d.quiet} {
		for c := l.first; c != nil && n > 0; {
			next := c.after
			if !c.begun && !upstream.HasUnreadBytes(c.nc) && !(c.fresh && (!fresh || time.Since(c.since) < seconds(lifecycle.NewConnectionCloseSpread))) {
				c.end()
				d.unrest(c)
				n--
			}
			c = next
		}
	}
}

// drain waits until no connection is left, but no longer than this.
func (d *door) drain(most time.Duration) {
	end := time.Now().Add(most)
	defer time.AfterFunc(most, d.wake).Stop()
	d.mu.Lock()
	defer d.mu.Unlock()
	for len(d.all) > 0 && time.Now().Before(end) {
		d.room.Wait()
	}
}

// shut closes the connections without a request, from now on as soon as they have none.
func (d *door) shut() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = true
	for _, l := range []*line{&d.quiet, &d.kept, &d.stale} {
		for c := l.first; c != nil; c = c.after {
			if !c.begun && !c.lingering { // that ends by itself, or is cut
				c.end()
			}
		}
	}
}

// cut closes every connection.
func (d *door) cut() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for c := range d.all {
		c.closed.Store(true)
		c.nc.Close()
		c.rouse()
	}
}

// counted tells how many connections there are, and how many came over the bound.
func (d *door) counted() (int, int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.all), d.crowded
}

// end has a connection go once what has come on it is answered; the caller holds the door. Danger: a request that was read, and not
// begun yet, is seen by nobody but its reader; closed by another's hand, it would be lost.
func (c *client) end() {
	c.closed.Store(true)
	if c.begun { // its client is slow: what is not there yet is not waited for
		c.hurried.Store(true)
	}
	c.nc.SetReadDeadline(past)
	c.rouse()
}
