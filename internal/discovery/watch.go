package discovery

import (
	"context"
	"math"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"lockloom/internal/discovery/notification"
)

// maxOpenCalls bounds the calls that are open at once. If one more is made, the second oldest is canceled; the oldest
// keeps its place in the queue of the discovery service.
const maxOpenCalls = 5

// Watch follows the endpoint list, starting from Version. Run sets Version to that of each list received. While Run is
// running, no other goroutine may change a field.
type Watch struct {
	Addr        string
	Version     int64
	FleetSize   int     // number of proxies that may call at the same time, including this one
	DrainGrace  float64 // shortest grace of a drain, in seconds; 0: unknown
	Dial        func(ctx context.Context, addr string) (net.Conn, error)
	OnConnected func()     // called when a call becomes the established watch, before its first list goes to OnList
	OnList      func(List) // called for each list, in order
	Log         logrus.FieldLogger
	Rand        func() float64 // returns the jitter of a delay, from 0 to 1; nil: rand.Float64
}

// Run follows the list until the context ends, and returns once all its goroutines have ended. OnConnected and OnList
// are called on the caller's goroutine.
func (w *Watch) Run(ctx context.Context) {
	jitter := w.Rand
	if jitter == nil {
		jitter = rand.Float64
	}
	r := &run{
		Watch:  w,
		began:  time.Now(),
		clock:  notification.NewClock(0, w.FleetSize, w.DrainGrace),
		jitter: jitter,
		events: make(chan event),
	}
	defer r.calls.Wait()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	r.loop(ctx)
}

// run is the state of one Watch.Run, owned by its goroutine. The first of the open calls to deliver an event becomes
// the established watch, and the others are canceled.
type run struct {
	*Watch
	began  time.Time
	clock  *notification.Clock
	jitter func() float64
	events chan event
	calls  sync.WaitGroup

	open        []*call // oldest first
	established *call   // the open call that delivers events; nil: none
	lost        bool    // the established watch ended, and no event was received since
	overdue     bool    // the notification deadline passed without an event, and this was logged
}

// event is a list, a heartbeat or the end of a call.
type event struct {
	from       *call
	receivedAt time.Time
	list       *List // nil: a heartbeat
	err        error // not nil: the call has ended
	result     notification.CallResult
}

// seconds converts a time to the time scale of the clock: seconds since Run was called.
func (r *run) seconds(at time.Time) float64 { return at.Sub(r.began).Seconds() }

// loop makes calls when they are due and handles events until the context ends.
func (r *run) loop(ctx context.Context) {
	due := time.NewTimer(0)
	defer due.Stop()
	for {
		now := r.seconds(time.Now())
		if now >= r.clock.NextCall() {
			r.startCall(ctx, now)
		}
		// The extra microsecond prevents a busy loop if rounding makes the timer fire too early.
		due.Reset(toDuration(r.clock.NextCall()-now) + time.Microsecond)
		select {
		case <-ctx.Done():
			return
		case <-due.C:
		case e := <-r.events:
			r.handle(e)
		}
	}
}

// startCall starts another call, and logs a warning if the notification deadline has passed.
func (r *run) startCall(ctx context.Context, now float64) {
	if !r.overdue && now > r.clock.Deadline() {
		r.overdue = true
		r.logSilence(now).Warn("endpoint list unreachable: missed changes count as received")
	}
	r.clock.CallStarted(now)
	callCtx, stop := context.WithCancel(ctx)
	c := &call{stop: stop, watch: r.Watch, version: r.Version, events: r.events}
	r.open = append(r.open, c)
	if len(r.open) > maxOpenCalls {
		r.open[1].stop()
		r.open = slices.Delete(r.open, 1, 2)
	}
	r.calls.Go(func() { c.run(callCtx) })
}

// handle processes an event, and ignores those of canceled calls.
func (r *run) handle(e event) {
	now := r.seconds(time.Now())
	switch {
	case !slices.Contains(r.open, e.from):
	case e.err != nil:
		r.callEnded(e, now)
	default:
		r.eventReceived(e, now)
	}
}

// callEnded removes a call that has ended, and schedules the next one.
func (r *run) callEnded(e event, now float64) {
	r.open = slices.DeleteFunc(r.open, func(c *call) bool { return c == e.from })
	e.from.stop()
	log := r.Log.WithError(e.err).WithField("version", r.Version)
	result := e.result
	if e.from == r.established {
		r.established = nil
		r.lost = true
		result = notification.Broken
		log.Warn("watch lost")
	} else {
		log.Debug("watch not established")
	}
	r.clock.CallEnded(now, result, len(r.open), r.jitter())
}

// eventReceived processes a list or heartbeat, and makes its call the established watch if it is not yet.
func (r *run) eventReceived(e event, now float64) {
	first := e.from != r.established
	if first {
		r.establish(e.from, now)
	}
	notifiedAt := r.clock.EventReceived(r.seconds(e.receivedAt), first)
	if e.list == nil {
		return
	}
	e.list.NotifiedAt = r.began.Add(toDuration(notifiedAt))
	r.Version = e.list.Version
	r.OnList(*e.list)
}

// establish makes a call the established watch and cancels all others.
func (r *run) establish(c *call, now float64) {
	for _, other := range r.open {
		if other != c {
			other.stop()
		}
	}
	r.open = []*call{c}
	r.established = c
	if r.lost || r.overdue {
		r.logSilence(now).Info("watch restored")
	}
	r.lost = false
	r.overdue = false
	r.OnConnected()
}

// logSilence returns a log entry with the list's version and the seconds since the last event.
func (r *run) logSilence(now float64) *logrus.Entry {
	silence := math.Round(r.clock.SinceLastEvent(now)*100) / 100
	return r.Log.WithFields(logrus.Fields{"version": r.Version, "seconds": silence})
}

// toDuration converts seconds, which may be infinite, to a duration of at most math.MaxInt32 seconds (68 years).
func toDuration(seconds float64) time.Duration {
	return time.Duration(min(seconds, math.MaxInt32) * float64(time.Second))
}
