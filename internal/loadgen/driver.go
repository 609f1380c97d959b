package loadgen

import (
	"bytes"
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"lockloom/balance"
)

const (
	lateResponseWait = 300 * time.Millisecond // wait past the deadline, to distinguish a late response from none
	drainTimeout     = 30 * time.Second       // timeout for requests in flight when the plan has ended
)

// Observer is notified of the clients' requests and their results. Its methods may be called concurrently. RequestSent
// returns the id that identifies the request in later calls.
type Observer interface {
	IntentDue(intent *Intent)
	// RequestSent is called just before the request is written, late seconds after it was due.
	RequestSent(intent *Intent, late float64) (id int)
	// RequestSucceeded is called with the seconds since the request and since the intent were due.
	RequestSucceeded(id int, intent *Intent, sinceRequest, sinceIntent float64)
	// RequestFailed is called for rejected requests too; clientFault: the status is 4xx, other than 429.
	RequestFailed(id int, reply balance.Reply, clientFault bool)
	ResponseCorrupt(id int)             // status 200 with a body that is not the one for this request
	RequestLost(id int, withProxy bool) // no complete response; withProxy: the proxy was killed, or none could be reached
	RequestTimedOut(id int)             // no response by the deadline and lateResponseWait
	ClientGone(id int)                  // the client closed the connection before a response
	NoProxy()                           // no proxy accepted a connection in time
}

// Driver sends the requests of a plan's intents to proxies at the planned times, however late responses are (an open
// loop).
type Driver struct {
	Plan      *Plan
	Classes   []balance.Class
	Tenants   []string // names
	PlainHTTP bool     // requests omit X-Qos and X-Expires-In, but not X-Trace-Id, by which they are counted
	Clients   ClientPolicy
	Proxies   *RoundRobin
	Observer  Observer
	Seed      uint64
}

// Run sends requests until the plan or the context ends, and returns when all requests have ended. The plan's times are
// relative to start.
func (d *Driver) Run(ctx context.Context, start time.Time) {
	var intents sync.WaitGroup
	timer := time.NewTimer(0)
	defer timer.Stop()
	intentCtx, stop := context.WithCancel(ctx)
	defer stop()
	end := start.Add(seconds(d.Plan.workload.Duration))
	for intent, ok := d.Plan.Next(); ok; intent, ok = d.Plan.Next() {
		due := start.Add(seconds(intent.At))
		if wait := time.Until(due); wait > 0 {
			timer.Reset(wait)
			select {
			case <-timer.C:
			case <-ctx.Done():
			}
		}
		if ctx.Err() != nil {
			break
		}
		d.Observer.IntentDue(&intent)
		intents.Go(func() { d.runIntent(intentCtx, intent, due, end) })
	}
	defer time.AfterFunc(drainTimeout, stop).Stop()
	intents.Wait()
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// runIntent sends requests for an intent until one succeeds or no retry is allowed. No retry is due after end.
func (d *Driver) runIntent(ctx context.Context, intent Intent, intentDue, end time.Time) {
	random := rand.New(rand.NewPCG(d.Seed, uint64(intent.Number)+5))
	due := intentDue
	for n := 1; ; n++ {
		reply, retryAfter := d.request(ctx, d.newRequest(&intent, n, due, intentDue))
		delay, ok := d.Clients.RetryDelay(n, d.Classes[intent.Class].Idempotency, reply, retryAfter, random)
		due = time.Now().Add(seconds(delay))
		if !ok || due.After(end) {
			return
		}
		select {
		case <-time.After(time.Until(due)):
		case <-ctx.Done():
			return
		}
	}
}

// request is one of the requests for an intent.
type request struct {
	intent    *Intent
	class     *balance.Class
	id        int // from Observer.RequestSent; -1: not sent yet
	retry     bool
	intentDue time.Time
	due       time.Time
	deadline  time.Time
	abandonAt time.Time // when the client stops waiting
}

func (d *Driver) newRequest(intent *Intent, n int, due, intentDue time.Time) *request {
	class := &d.Classes[intent.Class]
	return &request{
		intent:    intent,
		class:     class,
		id:        -1,
		retry:     n > 1,
		intentDue: intentDue,
		due:       due,
		deadline:  due.Add(seconds(class.Deadline)),
		abandonAt: due.Add(seconds(class.Deadline * d.Clients.AbandonFraction)),
	}
}

// connDeadline returns when the client closes the connection if no complete response has been received.
func (r *request) connDeadline() time.Time {
	if r.abandonsBeforeDeadline() {
		return r.abandonAt
	}
	return r.deadline.Add(lateResponseWait)
}

func (r *request) abandonsBeforeDeadline() bool { return r.abandonAt.Before(r.deadline) }

// request sends one request and returns its reply and its Retry-After in seconds; NoReply if there is no reason to
// retry. If the proxy closed a reused connection before a response began, the request is sent once more on a fresh one.
func (d *Driver) request(ctx context.Context, r *request) (balance.Reply, float64) {
	for fresh := false; ; fresh = true {
		target, c := d.Proxies.connect(ctx, r.abandonAt, fresh)
		if c == nil {
			d.reportUnconnected(r)
			return balance.NoReply, 0
		}
		if r.id < 0 {
			r.id = d.Observer.RequestSent(r.intent, time.Since(r.due).Seconds())
		}
		sentAt := time.Now()
		c.nc.SetDeadline(r.connDeadline())
		wait := max(time.Until(r.deadline), time.Millisecond)
		answer, err := c.roundTrip(d.appendRequest(make([]byte, 0, headCapacity), r, wait.Seconds()))
		if err == nil {
			answeredAt := time.Now()
			if answer.close {
				c.nc.Close()
			} else {
				target.keepIdle(c)
			}
			return d.reportResponse(r, answer, answeredAt)
		}
		c.nc.Close()
		killed := target.killedSince(sentAt)
		stale := c.reused && answer == nil && !killed
		if ctx.Err() != nil || errors.Is(err, os.ErrDeadlineExceeded) || !stale {
			return d.reportError(ctx, r, err, killed), 0
		}
	}
}

func (d *Driver) reportUnconnected(r *request) {
	if r.id < 0 {
		d.Observer.NoProxy()
		return
	}
	d.Observer.RequestLost(r.id, true)
}

// reportError reports a request without a complete response, and returns the reply that decides on a retry.
func (d *Driver) reportError(ctx context.Context, r *request, err error, proxyKilled bool) balance.Reply {
	switch {
	case ctx.Err() != nil:
		d.Observer.ClientGone(r.id)
	case errors.Is(err, os.ErrDeadlineExceeded) && r.abandonsBeforeDeadline():
		d.Observer.ClientGone(r.id)
	case errors.Is(err, os.ErrDeadlineExceeded):
		d.Observer.RequestTimedOut(r.id)
	default:
		d.Observer.RequestLost(r.id, proxyKilled)
		return balance.Failed // the request may have run
	}
	return balance.NoReply
}

// reportResponse reports a response, and returns the reply and the Retry-After that decide on a retry.
func (d *Driver) reportResponse(r *request, answer *response, answeredAt time.Time) (balance.Reply, float64) {
	switch status := answer.status; {
	case status == http.StatusOK && string(bytes.TrimRight(answer.body, "\n")) != strconv.Itoa(r.id):
		d.Observer.ResponseCorrupt(r.id)
	case status == http.StatusOK:
		sinceRequest, sinceIntent := answeredAt.Sub(r.due), answeredAt.Sub(r.intentDue)
		d.Observer.RequestSucceeded(r.id, r.intent, sinceRequest.Seconds(), sinceIntent.Seconds())
	case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable:
		d.Observer.RequestFailed(r.id, balance.Rejected, false)
		return balance.Rejected, answer.retryAfter
	default:
		d.Observer.RequestFailed(r.id, balance.Failed, status >= 400 && status < 500)
		return balance.Failed, 0
	}
	return balance.NoReply, 0
}
