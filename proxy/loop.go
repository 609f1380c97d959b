package proxy

import (
	"fmt"
	"runtime/debug"
	"time"

	"github.com/sirupsen/logrus"

	"lockloom/internal/invariant"
)

const (
	maxQueuedEvents       = 1024 // events that the owner has not taken yet; whoever posts more waits
	maxEventsBeforeTimers = 256  // events run before the timers that are due

	sweepInterval           = 100 * time.Millisecond // between checks of idle connections, overload and failover
	countsLogInterval       = 10 * time.Second
	serverStatusLogInterval = time.Second // at log level debug
)

// eventLoop is the owner goroutine's loop: it runs posted functions and timers one at a time, and so serializes all
// use of the decisions and of the state of requests and endpoints. Only post and quit are for other goroutines.
type eventLoop struct {
	clock
	log      logrus.FieldLogger
	events   chan func()
	deferred []func() // to be run right after the present call
	timers   timerHeap
	quit     chan struct{} // closed when the loop is to end
	ended    chan struct{} // closed when it has ended
}

func (l *eventLoop) init(clk clock, log logrus.FieldLogger) {
	l.clock, l.log = clk, log
	l.events = make(chan func(), maxQueuedEvents)
	l.quit, l.ended = make(chan struct{}), make(chan struct{})
}

// post has the owner run a function soon; once the loop is to end it may be dropped. It waits while too many are
// queued, so the owner itself must not call it.
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

// afterCall has a function run once the present call of the owner is over.
func (l *eventLoop) afterCall(f func()) { l.deferred = append(l.deferred, f) }

// runEvery has a call made at an interval. The next time is set before the call, so that a panic does not end it.
func (l *eventLoop) runEvery(interval time.Duration, call func()) {
	t := &timer{}
	t.call = func() {
		l.timers.add(t, l.now()+interval.Seconds())
		call()
	}
	l.timers.add(t, l.now()+interval.Seconds())
}

// run runs the loop until quit is closed. It runs onSignal when signal has a value. There must be a call that is made
// at an interval, so that there always is a next timer.
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

// runQueued runs what is queued before the timers: where this core is behind, timeouts would otherwise be taken for
// servers' lateness although their responses wait here.
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

// runGuarded makes one call, then what it deferred. A panic costs the request of that call only: its backstop timer
// still answers it.
func (l *eventLoop) runGuarded(f func()) {
	defer recoverPanic(l.log)
	f()
	for len(l.deferred) > 0 {
		next := l.deferred[0]
		l.deferred = l.deferred[1:]
		next()
	}
}

// recoverPanic, deferred, ends a panic where only this call or connection need suffer from it. In builds with
// assertions it panics on.
func recoverPanic(log logrus.FieldLogger) {
	r := recover()
	if r == nil {
		return
	}
	if invariant.Asserted {
		panic(r)
	}
	invariant.Holds(false, "no call panics")
	log.WithField("stack", string(debug.Stack())).Error(fmt.Sprint("panic: ", r))
}
