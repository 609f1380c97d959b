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
	lateListenDuration = 300 * time.Millisecond // past the deadline, to tell a late response from none
	drainTimeout       = 30 * time.Second       // for what is in flight when the plan has ended
)

// Observer is notified of what clients do and see, by many goroutines. RequestSent returns the id by which the request
// is known from then on.
type Observer interface {
	IntentDue(intent *Intent)
	// RequestSent is called just before the request is written, late by so many seconds.
	RequestSent(intent *Intent, late float64) (id int)
	// RequestSucceeded gives the seconds since the request and since the intent were due.
	RequestSucceeded(id int, intent *Intent, sinceRequest, sinceIntent float64)
	// RequestFailed is called for rejected requests too; clientFault: the status blames the client.
	RequestFailed(id int, reply balance.Reply, clientFault bool)
	ResponseCorrupt(id int)             // successful, with a body that no server made for this request
	RequestLost(id int, withProxy bool) // ended without a response; withProxy: its proxy had been killed or none was left
	RequestTimedOut(id int)             // no response by the deadline and lateListenDuration
	ClientGone(id int)                  // the client went away first
	NoProxy()                           // no proxy accepted a connection in time
}

// Driver has clients send what a plan draws, on sockets and at the times planned (an open loop).
type Driver struct {
	Plan      *Plan
	Classes   []balance.Class
	Tenants   []string // names
	PlainHTTP bool     // of the platform's fields clients send only the id by which requests are counted
	Clients   Clients
	Proxies   *RoundRobin
	Observer  Observer
	Seed      uint64
}

// Run sends requests until the plan or the context ends, and returns when all are over. The times of the plan count
// from start.
func (d *Driver) Run(ctx context.Context, start time.Time) {
	var intents sync.WaitGroup
	timer := time.NewTimer(0)
	defer timer.Stop()
	draining, stop := context.WithCancel(ctx)
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
		intents.Go(func() { d.runIntent(draining, intent, due, end) })
	}
	defer time.AfterFunc(drainTimeout, stop).Stop()
	intents.Wait()
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// runIntent sends requests until one succeeds or no retry is allowed; none begins after end.
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

// request is one request for an intent.
type request struct {
	intent    *Intent
	class     *balance.Class
	id        int // the Observer's; -1: not sent yet
	retry     bool
	intentDue time.Time
	due       time.Time
	deadline  time.Time
	leavesAt  time.Time // when the client's patience ends
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
		leavesAt:  due.Add(seconds(class.Deadline * d.Clients.Patience)),
	}
}

// listenUntil is when the client closes the connection.
func (r *request) listenUntil() time.Time {
	if r.leavesBeforeDeadline() {
		return r.leavesAt
	}
	return r.deadline.Add(lateListenDuration)
}

func (r *request) leavesBeforeDeadline() bool { return r.leavesAt.Before(r.deadline) }

// request sends one request and returns its reply, with the Retry-After in seconds; NoReply where a retry makes no
// sense. A connection that had been idle and was closed before a response began is replaced once by a fresh one.
func (d *Driver) request(ctx context.Context, r *request) (balance.Reply, float64) {
	for fresh := false; ; fresh = true {
		target, c := d.Proxies.connect(ctx, r.leavesAt, fresh)
		if c == nil {
			d.reportUnconnected(r)
			return balance.NoReply, 0
		}
		if r.id < 0 {
			r.id = d.Observer.RequestSent(r.intent, time.Since(r.due).Seconds())
		}
		sentAt := time.Now()
		c.nc.SetDeadline(r.listenUntil())
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

// reportError reports a request without a complete response, and returns what that means for a retry.
func (d *Driver) reportError(ctx context.Context, r *request, err error, proxyKilled bool) balance.Reply {
	switch {
	case ctx.Err() != nil:
		d.Observer.ClientGone(r.id)
	case errors.Is(err, os.ErrDeadlineExceeded) && r.leavesBeforeDeadline():
		d.Observer.ClientGone(r.id)
	case errors.Is(err, os.ErrDeadlineExceeded):
		d.Observer.RequestTimedOut(r.id)
	default:
		d.Observer.RequestLost(r.id, proxyKilled)
		return balance.Failed // it may have run
	}
	return balance.NoReply
}

// reportResponse reports a response, and returns what it means for a retry.
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
