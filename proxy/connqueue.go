package proxy

import "time"

// connQueue is client connections in the order in which they began to wait, linked through themselves. A connection is
// in one queue at most. The lock of the connTable protects it.
type connQueue struct {
	first, last *clientConn
	n           int
}

// queueState is where a client connection stands in the connTable, whose lock protects it.
type queueState struct {
	requestBegun bool        // a request has begun to come and is not complete
	lingering    bool        // the last response is written; what still comes is dropped
	recent       bool        // new, or its request has just begun: it is given time to go on
	queuedAt     time.Time   // when it began to wait
	closeAt      time.Time   // then it is closed, unless a request has begun
	queue        *connQueue  // nil: none
	prev, next   *clientConn // in queue
}

// append adds a connection at the end.
func (q *connQueue) append(c *clientConn) { q.insert(c, q.last) }

// insert adds a connection behind another one, or at the front if that is nil.
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
