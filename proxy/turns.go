package proxy

import (
	"runtime"
	"sync"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"lockloom/internal/http1"
	"lockloom/internal/poller"
	"lockloom/internal/recvtime"
	"lockloom/limits"
)

// Estimates of the work that connections cause, in seconds of processor time.
const (
	requestWork    = 20e-6 // to handle a request and to respond to it
	pieceWork      = 5e-6  // to read from the connection, or to write a piece of a response
	parsedByteWork = 20e-9 // to read a byte of a head or of a chunked body
	copiedByteWork = 1e-9  // to read or write a byte that is not parsed
)

// turnScheduler bounds how long the work of one client connection can delay that of the others. A connection whose next
// bytes have been received already never waits for them, so the runtime would let it run until it preempts it, and
// would not poll the other connections meanwhile. A connection that has used up its allowance waits for a turn before
// it reads on. Turns are given when all goroutines that were runnable have run and all connections were polled. So work
// that some connections cause without end waits behind the work of all others. It is safe for concurrent use.
type turnScheduler struct {
	clock
	mu     sync.Mutex
	queue  limits.TurnQueue
	signal chan struct{} // holds a value while connections may wait
	waits  atomic.Int64  // how often a connection has waited for a turn since the start
}

func (s *turnScheduler) init(clk clock) {
	s.clock = clk
	s.signal = make(chan struct{}, 1)
}

// run gives turns until quit is closed: one for each core after each polling round of the runtime.
func (s *turnScheduler) run(quit <-chan struct{}) {
	round := poller.NewPollWaiter()
	defer round.Close()
	for {
		select {
		case <-s.signal:
		case <-quit:
			return
		}
		for waiting := true; waiting; {
			round.Wait()
			waiting = s.giveTurns(runtime.GOMAXPROCS(0))
		}
	}
}

// giveTurns gives up to count connections their turn, and reports whether others wait.
func (s *turnScheduler) giveTurns(count int) (waiting bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for range count {
		waiter := s.queue.Next()
		if waiter == nil {
			return false
		}
		close(waiter.Owner.(chan struct{}))
	}
	return s.queue.Len() > 0
}

// addFields adds the fields of the log message with the counts.
func (s *turnScheduler) addFields(fields logrus.Fields) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fields["turn_waits"], fields["awaiting_turn"] = s.waits.Load(), s.queue.Len()
}

// connShare is a client connection's share of this core. It is safe for concurrent use.
type connShare struct {
	turns  *turnScheduler
	share  limits.CoreShare
	waited atomic.Bool // since the end of its last request the connection has waited over clientWatchDelay for a turn
	closed chan struct{}
}

func newConnShare(turns *turnScheduler) *connShare {
	return &connShare{turns: turns, share: limits.NewCoreShare(turns.now()), closed: make(chan struct{})}
}

// close ends all waits for a turn, now and later: the connection is closed, so a goroutine that still reads it ends at
// once. It is called once.
func (c *connShare) close() { close(c.closed) }

// charge records work that the connection has caused.
func (c *connShare) charge(work float64) {
	c.turns.mu.Lock()
	defer c.turns.mu.Unlock()
	if c.share.HasTurn() { // the time does not matter, and reading it costs more than this call
		c.share.Charge(0, work)
		return
	}
	c.share.Charge(c.turns.now(), work)
}

// endTurn ends the connection's turn, if it has one.
func (c *connShare) endTurn() {
	c.turns.mu.Lock()
	defer c.turns.mu.Unlock()
	c.share.EndTurn()
}

// await waits until the connection may cause more work.
func (c *connShare) await() {
	c.turns.mu.Lock()
	if c.share.HasTurn() || c.share.MayRun(c.turns.now()) {
		c.turns.mu.Unlock()
		return
	}
	c.awaitTurnLocked()
}

// awaitTurn waits until the connection has a turn: its allowance does not count.
func (c *connShare) awaitTurn() {
	c.turns.mu.Lock()
	if c.share.HasTurn() {
		c.turns.mu.Unlock()
		return
	}
	c.awaitTurnLocked()
}

// awaitTurnLocked waits for a turn. It unlocks the scheduler, which the caller has locked.
func (c *connShare) awaitTurnLocked() {
	turn := make(chan struct{})
	waiter := c.turns.queue.Add(&c.share, turn)
	c.turns.mu.Unlock()
	c.turns.waits.Add(1)
	began := c.turns.now()
	select {
	case c.turns.signal <- struct{}{}:
	default:
	}
	select {
	case <-turn:
	case <-c.closed:
		c.turns.mu.Lock()
		c.turns.queue.Remove(waiter)
		c.turns.mu.Unlock()
	}
	if seconds(c.turns.now()-began) > clientWatchDelay {
		c.waited.Store(true)
	}
}

// meteredSource reads from a client connection in its share of this core.
type meteredSource struct {
	source *recvtime.Reader
	share  *connShare
	ahead  bool // reads do not wait for a turn, since the connection's response would wait too
}

// Read implements io.Reader.
func (m *meteredSource) Read(p []byte) (int, error) {
	if !m.ahead {
		m.share.await()
	}
	n, err := m.source.Read(p)
	perByte := parsedByteWork
	if len(p) > http1.BufferBytes { // not to the buffer in which heads and chunks are parsed
		perByte = copiedByteWork
	}
	m.share.charge(pieceWork + perByte*float64(n))
	return n, err
}
