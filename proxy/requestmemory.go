package proxy

import (
	"errors"
	"os"
	"time"

	"lockloom/internal/socket"
)

const (
	// memoryPollInterval is the interval at which a request that waits for memory looks for it.
	memoryPollInterval = 20 * time.Millisecond
	// maxCompleteWait is how long a request waits for memory once it was received completely.
	maxCompleteWait = 100 * time.Millisecond
)

// errMemoryFull means that a request could not be read because the memory budget is used up.
var errMemoryFull = errors.New("no memory to read the request")

// unknownLength stands for a number of bytes that is not known.
const unknownLength = -1

// requestMemory is the part of the memory budget that the current request of a connection holds. It is reserved before
// the request's bytes are read, so that a client cannot make the proxy store bytes that are not counted; what is not
// read yet remains in the system's socket buffer, and the client has to wait. It belongs to the connection's goroutine.
type requestMemory struct {
	conn     *clientConn
	reserved int64 // bytes
}

// reserve raises the reservation to a total, and waits for that until the given time. missing is how many bytes of the
// request were not consumed yet, or unknownLength. The error is errMemoryFull if the memory was not available in time,
// and os.ErrDeadlineExceeded if the connection is to close.
func (m *requestMemory) reserve(total int64, use memoryUse, missing int, until time.Time) error {
	if total <= m.reserved || m.raise(total, use) {
		return nil
	}
	m.conn.proxy.memory.waits.Add(1)
	defer m.conn.awaitsMemory.Store(false)
	var completeSince time.Time
	for {
		now := time.Now()
		complete := m.conn.receivedCompletely(missing)
		if complete && completeSince.IsZero() {
			completeSince = now
		}
		m.conn.awaitsMemory.Store(!complete)
		switch {
		case m.raise(total, use) || complete && m.raise(total, useComplete):
			return nil
		case m.conn.abortReads.Load():
			return os.ErrDeadlineExceeded
		case !now.Before(until) || complete && now.Sub(completeSince) >= maxCompleteWait:
			return errMemoryFull
		}
		time.Sleep(memoryPollInterval)
	}
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

// take ends the reservation and returns it. The caller releases it.
func (m *requestMemory) take() int64 {
	taken := m.reserved
	m.reserved = 0
	return taken
}

// incompleteUse returns the use of memory for reading a request of this size.
func incompleteUse(bytes int64) memoryUse {
	if bytes > smallRequestBytes {
		return useLargeIncomplete
	}
	return useIncomplete
}

// receivedCompletely reports whether the system has received all that is missing of a request, or the client has closed
// its sending side, so that reading the rest does not wait for the client.
func (c *clientConn) receivedCompletely(missing int) bool {
	if missing != unknownLength && c.BufferedBytes()+socket.UnreadBytes(c.conn) >= missing {
		return true
	}
	return c.peerHasGone()
}

// reserveHead reserves memory for a head that does not fit the reader's buffer.
func (c *clientConn) reserveHead(size int) error {
	total := int64(size)
	return c.memory.reserve(total, incompleteUse(total), unknownLength, c.readDeadline)
}
