package proxy

import (
	"errors"
	"io"
	"os"
	"time"
)

const (
	// memoryPollInterval is the interval at which a request that waits for memory looks for it.
	memoryPollInterval = 20 * time.Millisecond
	// maxCompleteWait is how long a request waits for memory once it was received completely.
	maxCompleteWait = 100 * time.Millisecond
)

// errMemoryFull means that a request could not be read because the memory budget is used up.
var errMemoryFull = errors.New("no memory to read the request")

// requestMemory is the part of the memory budget that the current request of a connection holds. It is reserved before
// the request's bytes are read, so that a client cannot make the proxy store bytes that are not counted; what is not
// read yet remains in the system's socket buffer, and the client has to wait. It belongs to the connection's goroutine.
type requestMemory struct {
	conn       *clientConn
	reserved   int64         // bytes
	completeAt time.Time     // when a wait found the request received completely; zero: none has
	clientWait time.Duration // how long the client waits for a response; 0: unknown
}

// reserve raises the reservation to a total, and waits for that until the given time, or until a request that was
// received completely has waited for maxWait. body is the http1 reader of the request's body, nil while its head is
// read. The error is errMemoryFull if the memory was not available in time, and os.ErrDeadlineExceeded if the
// connection is to close.
func (m *requestMemory) reserve(total int64, use memoryUse, body io.Reader, until time.Time) error {
	if total <= m.reserved || m.raise(total, use) {
		return nil
	}
	m.conn.proxy.memory.waits.Add(1)
	defer m.conn.awaitsMemory.Store(false)
	rest := newUnreceivedRest(m.conn, body) // nothing is read while this waits
	for {
		now := time.Now()
		// Once the client has closed its sending side, reading the rest does not wait for it either.
		if m.completeAt.IsZero() && (m.conn.peerHasGone() || rest.arrival(0) == arrivalComplete) {
			m.completeAt = now
		}
		complete := !m.completeAt.IsZero()
		m.conn.awaitsMemory.Store(!complete)
		switch {
		case m.raise(total, use) || complete && m.raise(total, useComplete):
			return nil
		case m.conn.abortReads.Load():
			return os.ErrDeadlineExceeded
		case !now.Before(until) || complete && now.Sub(m.completeAt) >= m.maxWait():
			return errMemoryFull
		}
		time.Sleep(memoryPollInterval)
	}
}

// maxWait returns how long the request may wait for memory after it was received completely, in all its waits together.
func (m *requestMemory) maxWait() time.Duration {
	if m.clientWait > 0 {
		return min(m.clientWait, maxCompleteWait)
	}
	return maxCompleteWait
}

// raise raises the reservation to a total if the memory is available now.
func (m *requestMemory) raise(total int64, use memoryUse) bool {
	if !m.conn.proxy.memory.reserve(total-m.reserved, use) {
		return false
	}
	m.reserved = total
	return true
}

// settle sets the reservation to what the request holds now.
func (m *requestMemory) settle(total int64) {
	m.conn.proxy.memory.release(m.reserved - total)
	m.reserved = total
}

// take ends the reservation, for the next request to begin anew, and returns it. The caller releases it.
func (m *requestMemory) take() int64 {
	taken := m.reserved
	*m = requestMemory{conn: m.conn}
	return taken
}

// incompleteUse returns the use of memory for reading a request of this size.
func incompleteUse(bytes int64) memoryUse {
	if bytes > smallRequestBytes {
		return useLargeIncomplete
	}
	return useIncomplete
}

// reserveHead reserves memory for a head that does not fit the reader's buffer.
func (c *clientConn) reserveHead(size int) error {
	total := int64(size)
	return c.memory.reserve(total, incompleteUse(total), nil, c.readDeadline)
}
