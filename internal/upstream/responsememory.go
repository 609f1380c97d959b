package upstream

import (
	"os"
	"time"

	"lockloom/internal/http1"
)

// memoryPollInterval is the interval at which a response that waits for memory looks for it.
const memoryPollInterval = 5 * time.Millisecond

// responseMemory is the memory reserved for the response to the current exchange of a connection. It is reserved before
// the response's bytes are read; the server has to wait meanwhile. Parts of up to http1.BufferBytes are not counted. It
// belongs to the reading goroutine.
type responseMemory struct {
	conn     *connection
	exchange *Exchange
	reserved int64 // bytes
	head     int64 // bytes of these for a head that does not fit the reader's buffer
}

// begin starts the reservation for the response to an exchange.
func (m *responseMemory) begin(ex *Exchange) { m.exchange, m.reserved, m.head = ex, 0, 0 }

// reserveHead raises the reservation for a large head to a total.
func (m *responseMemory) reserveHead(total int) error {
	if err := m.reserve(int64(total) - m.head); err != nil {
		return err
	}
	m.head = int64(total)
	return nil
}

// releaseHead releases what was reserved for a large head.
func (m *responseMemory) releaseHead() {
	m.release(m.head)
	m.head = 0
}

// reserve reserves more bytes, and waits for them until the exchange's deadline or its cancellation.
func (m *responseMemory) reserve(bytes int64) error {
	for !m.tryReserve(bytes) {
		m.conn.mu.Lock()
		canceled := m.exchange == nil || m.exchange.canceled
		deadline := m.conn.readDeadline
		m.conn.mu.Unlock()
		switch {
		case canceled:
			return errCanceled
		case !time.Now().Before(deadline):
			return os.ErrDeadlineExceeded
		}
		time.Sleep(memoryPollInterval)
	}
	return nil
}

// tryReserve reserves more bytes if they are available now.
func (m *responseMemory) tryReserve(bytes int64) bool {
	if bytes <= 0 {
		return true
	}
	if reserve := m.conn.pool.ReserveMemory; reserve != nil && !reserve(bytes) {
		return false
	}
	m.reserved += bytes
	return true
}

// release ends a part of the reservation.
func (m *responseMemory) release(bytes int64) {
	if release := m.conn.pool.ReleaseMemory; release != nil && bytes > 0 {
		release(bytes)
	}
	m.reserved -= bytes
}

// take ends the reservation and returns it. The receiver of the exchange's Result releases it.
func (m *responseMemory) take() int64 {
	taken := m.reserved
	m.reserved, m.head = 0, 0
	return taken
}

// CountedBytes returns how many bytes of a buffer of this size are reserved: none up to http1.BufferBytes, since the
// number of connections bounds these.
func CountedBytes(size int) int64 {
	if size <= http1.BufferBytes {
		return 0
	}
	return int64(size)
}
