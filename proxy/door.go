package proxy

import (
	"math"
	"slices"
	"sync"
	"time"

	"lockloom/duty"
	"lockloom/internal/backends"
)

// door knows the clients' connections, and which wait for a request, those for longest first.
type door struct {
	mu   sync.Mutex
	room sync.Cond
	bounds
	whole   bounds // where no other process of this proxy has a part
	kept    int    // idle between requests
	all     map[*client]bool
	idle    []*client
	crowded int // connections taken over the bound
	closed  bool
}

// bounds are how many connections are served, how many further ones dismissed at once, and how many kept idle between requests.
type bounds struct{ most, over, keep int }

// wait blocks while there is room for no connection at all and none is idle, unless the door was woken to stop.
// One that was idle then may be so no more when the next comes: there is one more than the bound at most.
func (d *door) wait(stops func() bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for len(d.all) >= d.most+d.over && d.idlest() < 0 && !stops() {
		look := time.AfterFunc(freshFor, d.wake) // fresh ones may turn out to be idle
		d.room.Wait()
		look.Stop()
	}
}

// idlest is the place of a connection that may go, idle for longest, or -1. Danger: a new one looks idle while its
// first request is on the way; but one that never sends it, or sends a part only, must not keep others out. One whose
// request has come and was not read yet, because the core is busy, would be lost.
func (d *door) idlest() int {
	for i, c := range d.idle {
		if (!c.fresh || time.Since(c.since) >= freshFor) && !backends.Pending(c.nc) {
			return i
		}
	}
	return -1
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
	if i := d.idlest(); i >= 0 {
		idle := d.idle[i]
		idle.end()
		d.unrest(idle)
		return false
	}
	d.crowded++
	return true
}

func (d *door) leave(c *client) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.all, c)
	d.unrest(c)
	d.room.Signal()
}

// rest notes that a connection is idle: fresh where its first request is on the way, kept where a later one may come.
func (d *door) rest(c *client, fresh, kept bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		c.end()
		return
	}
	c.begun, c.fresh, c.kept, c.since = false, fresh, kept, time.Now()
	d.idle = append(d.idle, c)
	if kept {
		d.kept++
	}
	d.room.Signal()
}

// begin notes that its request has begun to come. It is false where it was closed in the meantime. Danger: one that
// has been served before is lost if it is closed now; whoever connects only to begin is not.
func (d *door) begin(c *client, first bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	c.begun, c.fresh, c.since = true, true, time.Now()
	if !first {
		d.unrest(c)
	}
	return !c.closed
}

// rouse notes that its request has come whole. It is false where it was closed in the meantime.
func (d *door) rouse(c *client) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.unrest(c)
	return !c.closed
}

func (d *door) unrest(c *client) {
	if i := slices.Index(d.idle, c); i >= 0 {
		d.idle = slices.Delete(d.idle, i, i+1)
		if c.kept {
			d.kept--
		}
	}
}

// full tells whether as many connections are idle between requests as are kept. Danger: clients that ask once and stay
// take up all that their side may open, and nobody can ask any more.
func (d *door) full() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.kept >= d.keep
}

// thin closes, where there are so many, those that have been idle for long.
func (d *door) thin() {
	for i := 0; i < len(d.idle) && d.kept >= d.keep && time.Since(d.idle[i].since) >= keptIdle; {
		if c := d.idle[i]; c.kept && !c.begun && !backends.Pending(c.nc) {
			c.end()
			d.unrest(c)
		} else {
			i++
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
	n := int(math.Ceil(share * float64(len(d.idle))))
	for i := 0; i < len(d.idle) && n > 0; {
		c := d.idle[i]
		if c.begun || backends.Pending(c.nc) || c.fresh && (!fresh || time.Since(c.since) < seconds(duty.Fresh)) {
			i++
			continue
		}
		c.end()
		d.unrest(c)
		n--
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
	for _, c := range d.idle {
		if !c.begun {
			c.end()
		}
	}
}

// cut closes every connection.
func (d *door) cut() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for c := range d.all {
		c.end()
	}
}

// counted tells how many connections there are, and how many came over the bound.
func (d *door) counted() (int, int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.all), d.crowded
}

// end closes a connection; the caller holds the door.
func (c *client) end() {
	c.closed = true
	c.nc.Close()
}
