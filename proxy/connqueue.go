package proxy

import "time"

// connQueue is an intrusive doubly linked list of client connections in the order in which they were queued, except
// that lingering ones are at the front. A connection is in at most one queue. Protected by the connTable's lock.
type connQueue struct {
	first, last *clientConn
	n           int
}

// queueState is a client connection's state in the connTable. Protected by the connTable's lock.
type queueState struct {
	receivingRequest bool        // a part of a request was received, but not all of it
	lingering        bool        // the last response is written; bytes still received are dropped
	recent           bool        // new, or a request has just started: not evictable for newConnectionGracePeriod
	queuedAt         time.Time   // when the connection entered its present state
	closeAt          time.Time   // when the connection is closed, unless a request has started by then
	queue            *connQueue  // nil: in no queue
	prev, next       *clientConn // neighbors in queue
}

// append adds a connection at the back.
func (q *connQueue) append(c *clientConn) { q.insert(c, q.last) }

// insert adds a connection after prev, or at the front if prev is nil.
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
