package proxy

import "sync"

// door knows the clients' connections, and which have been idle since an answer, those for longest first.
// Danger: a new one is not idle, though it looks so: its request is on the way.
type door struct {
	mu         sync.Mutex
	room       sync.Cond
	most, over int   // connections served; further ones that are dismissed at once
	held       int64 // bytes that may be kept to be sent to backends
	all        map[*client]bool
	idle       []*client
	crowded    int // connections taken over the bound
	closed     bool
}

// wait blocks while there is room for no connection at all and none is idle, unless the door was woken to stop.
// One that was idle then may be so no more when the next comes: there is one more than the bound at most.
func (d *door) wait(stops func() bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for len(d.all) >= d.most+d.over && len(d.idle) == 0 && !stops() {
		d.room.Wait()
	}
}

func (d *door) wake() { d.room.Broadcast() }

// enter takes a connection in, and closes an idle one where there are too many. It tells whether even so there
// is one too many.
func (d *door) enter(c *client) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.all[c] = true
	if len(d.all) <= d.most {
		return false
	}
	if len(d.idle) > 0 {
		d.idle[0].end()
		d.idle = d.idle[1:]
		return false
	}
	d.crowded++
	return true
}

func (d *door) leave(c *client) {
	d.mu.Lock()
	delete(d.all, c)
	d.room.Signal()
	d.mu.Unlock()
}

// rest notes that a connection waits for a request, its first or a later one.
func (d *door) rest(c *client, first bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c.waits = true
	if d.closed {
		c.end()
	} else if !first {
		d.idle = append(d.idle, c)
		d.room.Signal()
	}
}

// rouse notes that it waits no more. It is false where it was closed in the meantime.
func (d *door) rouse(c *client) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	c.waits = false
	for i, o := range d.idle {
		if o == c {
			d.idle = append(d.idle[:i], d.idle[i+1:]...)
			break
		}
	}
	return !c.closed
}

// shut closes the connections without a request, from now on as soon as they have none.
func (d *door) shut() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = true
	for c := range d.all {
		if c.waits {
			c.end()
		}
	}
	d.idle = nil
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
