package poller

// Pacer keeps a goroutine whose input never runs out from using up a core: after every batch of steps it waits until
// the runtime has polled all connections again, so that all other runnable goroutines have run. It belongs to one
// goroutine.
type Pacer struct {
	waiter *PollWaiter
	batch  int
	steps  int
}

// NewPacer returns a Pacer for batches of this many steps, to be closed with Close.
func NewPacer(batch int) *Pacer { return &Pacer{waiter: NewPollWaiter(), batch: batch} }

// Step records a step, and reports whether it was the last one of a batch, after which Step has waited.
func (p *Pacer) Step() bool {
	p.steps++
	if p.steps%p.batch != 0 {
		return false
	}
	p.waiter.Wait()
	return true
}

// Close releases the Pacer's resources.
func (p *Pacer) Close() { p.waiter.Close() }
