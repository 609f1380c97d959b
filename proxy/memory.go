package proxy

import (
	"math"
	"sync/atomic"
)

// memoryBudget bounds the bytes that are held at a time: requests to be sent to servers, and large responses. It may
// be used by any goroutine.
type memoryBudget struct {
	reserved atomic.Int64 // bytes
	limit    atomic.Int64 // bytes; this process's share of total
	total    float64      // bytes that this proxy's processes may hold together
}

// init sets the limit in bytes; 0 stands for none.
func (m *memoryBudget) init(limit float64) {
	if limit == 0 {
		limit = math.MaxInt64 / 2
	}
	m.total = limit
	m.setShare(1)
}

// setShare limits this process to a share, from 0 to 1, of the total.
func (m *memoryBudget) setShare(share float64) { m.limit.Store(int64(share * m.total)) }

// reserve takes so many bytes of the budget and reports whether they were left. Whoever got them releases them.
func (m *memoryBudget) reserve(bytes int64) bool {
	if m.reserved.Add(bytes) <= m.limit.Load() {
		return true
	}
	m.release(bytes)
	return false
}

func (m *memoryBudget) release(bytes int64) { m.reserved.Add(-bytes) }
