package proxy

import (
	"fmt"
	"runtime/debug"
	"time"

	"github.com/sirupsen/logrus"

	"lockloom/internal/invariant"
)

const (
	maxQueuedEvents       = 1024 // events that the owner has not taken yet; post blocks beyond that
	maxEventsBeforeTimers = 256  // events run before due timers

	sweepInterval           = 100 * time.Millisecond // between checks of idle connections, local delay and failover
	countsLogInterval       = 10 * time.Second
	serverStatusLogInterval = time.Second // used only at log level debug
)

// eventLoop is the owner goroutine's loop: it runs posted functions and timers one at a time, and so serializes all use
// of the balancers and of the state of requests and endpoints. Only post and quit are for other goroutines.
type eventLoop struct {
	clock
	log      logrus.FieldLogger
	events   chan func()
	deferred []func() // run right after the current call
	timers   timerHeap
	quit     chan struct{} // closed when the loop is to end
	ended    chan struct{} // closed when it has ended
}

func (l *eventLoop) init(clk clock, log logrus.FieldLogger) {
	l.clock, l.log = clk, log
	l.events = make(chan func(), maxQueuedEvents)
	l.quit, l.ended = make(chan struct{}), make(chan struct{})
}

// post queues a function for the owner. Once quit is closed the function may be dropped. post blocks while the queue is
// full, so the owner itself must not call it.
func (l *eventLoop) post(f func()) {
	select { // a select with one case and a default costs half of one with two cases
	case l.events <- f:
		return
	default:
	}
	select {
	case l.events <- f:
	case <-l.quit:
	}
}

// afterCall makes a function run once the current call of the owner is over.
func (l *eventLoop) afterCall(f func()) { l.deferred = append(l.deferred, f) }

// runEvery makes a function run at an interval. The next run is scheduled before the function is called, so that a
// panic does not end the series.
func (l *eventLoop) runEvery(interval time.Duration, call func()) {
	t := &timer{}
	t.call = func() {
		l.timers.add(t, l.now()+interval.Seconds())
		call()
	}
	l.timers.add(t, l.now()+interval.Seconds())
}

// run runs the loop until quit is closed. It calls onSignal whenever signal has a value. runEvery must have been called
// before, so that there is always a next timer.
func (l *eventLoop) run(signal <-chan struct{}, onSignal func()) {
	wake := time.NewTimer(0)
	defer wake.Stop()
	for wakeAt := 0.0; ; {
		select {
		case f := <-l.events:
			l.runGuarded(f)
		case <-signal:
			l.runGuarded(onSignal)
		case <-wake.C:
			wakeAt = 0
		case <-l.quit:
			return
		}
		l.runQueued()
		l.runDueTimers()
		if next := l.timers.next(); next != wakeAt {
			wakeAt = next
			wake.Reset(seconds(next - l.now()))
		}
	}
}

// runQueued runs queued events before the timers: when this core is behind, responses are queued here, and timers run
// first would count their servers as timed out.
func (l *eventLoop) runQueued() {
	for range maxEventsBeforeTimers {
		select {
		case f := <-l.events:
			l.runGuarded(f)
		default:
			return
		}
	}
}

func (l *eventLoop) runDueTimers() {
	for l.timers.next() <= l.now() {
		l.runGuarded(l.timers.fire(l.now()))
	}
}

// runGuarded runs one function, then the functions that it deferred. A panic affects only the request of that call,
// which its backstop timer still answers.
func (l *eventLoop) runGuarded(f func()) {
	defer recoverPanic(l.log)
	f()
	for len(l.deferred) > 0 {
		next := l.deferred[0]
		l.deferred = l.deferred[1:]
		next()
	}
}

// recoverPanic, when deferred, recovers from a panic and logs it, so that only the current call or connection is
// affected. In builds with assertions it panics again.
func recoverPanic(log logrus.FieldLogger) {
	r := recover()
	if r == nil {
		return
	}
	if invariant.PanicsWhenBroken {
		panic(r)
	}
	invariant.Holds(false, "no call panics")
	log.WithField("stack", string(debug.Stack())).Error(fmt.Sprint("panic: ", r))
}
