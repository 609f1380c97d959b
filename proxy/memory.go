package proxy

import (
	"math"
	"sync/atomic"
)

// bufferMemoryFraction is the share of the memory limit that buffered requests and large responses may use together.
const bufferMemoryFraction = 0.25

// memoryBudget bounds the bytes that are buffered at a time: requests to be sent to servers, and large responses. It is
// safe for concurrent use, except for init.
type memoryBudget struct {
	reserved atomic.Int64 // bytes
	limit    atomic.Int64 // bytes; this process's share of total
	total    float64      // bytes that all processes of this proxy may buffer together
}

// init sets the budget from the memory limit in bytes; 0 means unlimited.
func (m *memoryBudget) init(memoryLimit int64) {
	m.total = bufferMemoryFraction * float64(memoryLimit)
	if m.total == 0 {
		m.total = math.MaxInt64 / 2
	}
	m.setShare(1)
}

// setShare limits this process to a share, from 0 to 1, of the total.
func (m *memoryBudget) setShare(share float64) { m.limit.Store(int64(share * m.total)) }

// reserve takes bytes of the budget and reports whether they were available. If so, the caller releases them later.
func (m *memoryBudget) reserve(bytes int64) bool {
	if m.reserved.Add(bytes) <= m.limit.Load() {
		return true
	}
	m.release(bytes)
	return false
}

func (m *memoryBudget) release(bytes int64) { m.reserved.Add(-bytes) }
