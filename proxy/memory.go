package proxy

import (
	"math"
	"sync/atomic"

	"lockloom/internal/invariant"
)

// bufferMemoryFraction is the share of the memory limit that buffered requests and responses may use together.
const bufferMemoryFraction = 0.25

// memoryUse is what reserved memory is used for. The closer a use is to the end of a request, the more of the budget it
// may fill, so that requests that may never become complete leave memory for those that are, and these for responses,
// which release what both hold.
type memoryUse int

const (
	useLargeIncomplete memoryUse = iota // to read a request of more than smallRequestBytes, not completely received yet
	useIncomplete                       // to read a smaller request, or to stream a body
	useComplete                         // for a request that was completely received
	useResponse                         // for a server's response
)

// memoryShares are the shares of the budget that may be reserved after a reservation for each use.
var memoryShares = [...]float64{
	useLargeIncomplete: 0.25,
	useIncomplete:      0.5,
	useComplete:        0.75,
	useResponse:        1,
}

// smallRequestBytes is the largest size of a request that counts as small while it is incomplete.
const smallRequestBytes = 16 << 10

// memoryBudget bounds the bytes that are buffered at a time: requests while they are read and until no attempt needs
// them, and servers' responses; upstream.CountedBytes returns which bytes count. It is safe for concurrent use, except
// for init.
type memoryBudget struct {
	reserved atomic.Int64 // bytes
	limit    atomic.Int64 // bytes; this process's share of total
	total    float64      // bytes that all processes of this proxy may buffer together
	waits    atomic.Int64 // how many requests had to wait for memory since the start
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

// reserve takes bytes of the budget and reports whether they were available for the use. If so, the caller releases
// them later.
func (m *memoryBudget) reserve(bytes int64, use memoryUse) bool {
	limit := int64(memoryShares[use] * float64(m.limit.Load()))
	for {
		reserved := m.reserved.Load()
		if reserved+bytes > limit {
			return false
		}
		if m.reserved.CompareAndSwap(reserved, reserved+bytes) {
			return true
		}
	}
}

// reserveForResponse is reserve for a server's response.
func (m *memoryBudget) reserveForResponse(bytes int64) bool { return m.reserve(bytes, useResponse) }

func (m *memoryBudget) release(bytes int64) {
	left := m.reserved.Add(-bytes)
	invariant.Holds(left >= 0, "no more memory is released than was reserved")
}
