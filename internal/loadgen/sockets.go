package loadgen

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"lockloom/balance"
	"lockloom/internal/http1"
)

const (
	dialTimeout    = time.Second            // for a connection to a proxy
	readyInterval = 100 * time.Millisecond // of a proxy's readiness
	readyTimeout   = 2 * time.Second        // for its answer: longer, and it counts as not up
	reconnectDelay  = 50 * time.Millisecond  // until a client that found no proxy looks again
	lateListenDuration   = 300 * time.Millisecond // past the deadline that a client still listens, to tell late from never
	headCapacity   = 512                    // bytes of a request's head
	maxIdleConnections   = 4096                   // connections kept idle to a proxy
	drainTimeout    = 30 * time.Second       // for what is under way when the plan has ended, at most
)

// Seen is what clients see, told by many goroutines. A try is named by the number that Sent gave it.
type Observer interface {
	IntentDue(in *Intent)
	RequestSent(in *Intent, late float64) (try int) // it is about to be written
	RequestSucceeded(try int, in *Intent, took, whole float64)
	RequestFailed(try int, answer balance.Reply, wrong bool) // wrong: told that it is the client's own fault
	ResponseCorrupt(try int)                                   // successful with what no server made for it
	RequestLost(try int, withProxy bool)                     // ended with no answer
	RequestTimedOut(try int)                                     // no answer by the deadline and some more
	ClientGone(try int)                                     // the client went away first
	NoProxy()                                       // no proxy took it in time
}

// Target is a proxy as clients know it.
type Target struct {
	Addr   string
	ReadyAddr  string // where it says whether it is up
	ready     atomic.Bool
	killed atomic.Int64 // when it was killed outright; 0: not
	mu     sync.Mutex
	idle   []*connection
}

// Killed notes that it has been killed: what it had in hand is lost with it.
func (t *Target) MarkKilled() {
	t.killed.Store(time.Now().UnixNano())
	t.ready.Store(false)
}

// Found notes that it is up.
func (t *Target) MarkReady() { t.ready.Store(true) }

type connection struct {
	nc net.Conn
	r  *http1.Reader
}

// Front deals requests out to proxies that are up, in turn.
type RoundRobin struct {
	Targets []*Target
	picks    atomic.Uint64
}

// NewFront knows proxies by their addresses; none is up until Watch has found it so.
func NewRoundRobin(addrs []string) *RoundRobin {
	f := &RoundRobin{}
	for _, addr := range addrs {
		f.Targets = append(f.Targets, &Target{Addr: addr, ReadyAddr: addr})
	}
	return f
}

// Watch asks every proxy again and again whether it is up, until the context ends.
func (f *RoundRobin) Watch(ctx context.Context) {
	var work sync.WaitGroup
	for _, t := range f.Targets {
		work.Go(func() {
			for ctx.Err() == nil {
				t.ready.Store(CheckReady(t.ReadyAddr, readyTimeout) == nil)
				select {
				case <-ctx.Done():
				case <-time.After(readyInterval):
				}
			}
		})
	}
	work.Wait()
}

// Ready asks a proxy whether it takes requests.
func CheckReady(addr string, within time.Duration) error {
	nc, err := net.DialTimeout("tcp", addr, within)
	if err != nil {
		return err
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(within))
	if _, err := fmt.Fprintf(nc, "GET /up HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n", addr); err != nil {
		return err
	}
	h, err := http1.NewReader(nc).Response()
	if err == nil && h.Status != 200 {
		err = fmt.Errorf("%s: status %d", addr, h.Status)
	}
	return err
}

// next is a proxy that is up, nil without one.
func (f *RoundRobin) pick() *Target {
	for range f.Targets {
		if t := f.Targets[f.picks.Add(1)%uint64(len(f.Targets))]; t.ready.Load() {
			return t
		}
	}
	return nil
}

// Driver has clients ask on sockets what a plan deals out, at the times intended.
type Driver struct {
	Plan      *Plan
	Classes   []balance.Class
	Tenants []string // their names
	PlainHTTP  bool     // clients know nothing of the platform's fields but the id by which they are counted
	Clients   Clients
	Proxies     *RoundRobin
	Observer      Observer
	Seed      uint64
}

// Run asks until the plan or the context ends, and returns when all tries are over. The first request is due at the plan's
// own time after the start.
func (d *Driver) Run(ctx context.Context, start time.Time) {
	var work sync.WaitGroup
	timer := time.NewTimer(0)
	defer timer.Stop()
	rush, stop := context.WithCancel(ctx) // what is under way may end by itself, but not for ever
	defer stop()
	for in, ok := d.Plan.Next(); ok; in, ok = d.Plan.Next() {
		due := start.Add(time.Duration(in.At * float64(time.Second)))
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
		d.Observer.IntentDue(&in)
		work.Go(func() { d.runIntent(rush, in, due, start.Add(time.Duration(d.Plan.workload.Duration*float64(time.Second)))) })
	}
	defer time.AfterFunc(drainTimeout, stop).Stop()
	work.Wait()
}

// request tries one until it has its answer or is given up.
func (d *Driver) runIntent(ctx context.Context, in Intent, due, last time.Time) {
	chance := rand.New(rand.NewPCG(d.Seed, uint64(in.Number)+5))
	whole := due
	for n := 1; ; n++ {
		answer, advice := d.request(ctx, &in, n, due, whole)
		after, ok := d.Clients.RetryDelay(n, d.Classes[in.Class].Idempotency, answer, advice, chance)
		due = time.Now().Add(time.Duration(after * float64(time.Second)))
		if !ok || due.After(last) {
			return
		}
		select {
		case <-time.After(time.Until(due)):
		case <-ctx.Done():
			return
		}
	}
}

// try sends one and tells what it was answered; NoReply where it is not to be tried again.
func (d *Driver) request(ctx context.Context, in *Intent, n int, due, whole time.Time) (balance.Reply, float64) {
	row := &d.Classes[in.Class]
	stop := due.Add(time.Duration(row.Deadline * float64(time.Second)))
	leaves := due.Add(time.Duration(row.Deadline * d.Clients.Patience * float64(time.Second)))
	id := -1
	for again := false; ; again = true {
		t, c, kept := d.connect(ctx, leaves, again)
		if c == nil {
			if id < 0 {
				d.Observer.NoProxy()
			} else {
				d.Observer.RequestLost(id, true)
			}
			return balance.NoReply, 0
		}
		if id < 0 {
			id = d.Observer.RequestSent(in, time.Since(due).Seconds())
		}
		sent := time.Now()
		until := stop.Add(lateListenDuration)
		if leaves.Before(stop) {
			until = leaves
		}
		c.nc.SetDeadline(until)
		wait := max(time.Until(stop), time.Millisecond)
		h, body, err := c.roundTrip(d, row, in, id, n > 1 && d.Clients.MarksRetries, wait.Seconds())
		now := time.Now()
		switch {
		case err == nil:
			advice, _ := strconv.ParseFloat(string(h.Get("Retry-After")), 64)
			status := h.Status
			if h.Close {
				c.nc.Close()
			} else {
				t.keepIdle(c)
			}
			return d.report(id, in, status, advice, body, now.Sub(due).Seconds(), now.Sub(whole).Seconds())
		case ctx.Err() != nil:
			c.nc.Close()
			d.Observer.ClientGone(id)
			return balance.NoReply, 0
		case errors.Is(err, os.ErrDeadlineExceeded):
			c.nc.Close()
			if leaves.Before(stop) {
				d.Observer.ClientGone(id)
			} else {
				d.Observer.RequestTimedOut(id)
			}
			return balance.NoReply, 0
		}
		c.nc.Close()
		if killed := t.killed.Load(); killed != 0 && killed >= sent.UnixNano() {
			d.Observer.RequestLost(id, true)
			return balance.Failed, 0 // it may have run
		}
		if !kept || again || h != nil { // a kept connection may have been closed just then, with nothing read
			d.Observer.RequestLost(id, false)
			return balance.Failed, 0
		}
	}
}

func (d *Driver) tenant(in *Intent) string {
	if in.Tenant < 0 || in.Tenant >= len(d.Tenants) {
		return ""
	}
	return d.Tenants[in.Tenant]
}

// answered tells what an answer is.
func (d *Driver) report(id int, in *Intent, status int, advice float64, body []byte, took, whole float64) (balance.Reply, float64) {
	switch {
	case status == 200 && string(bytes.TrimRight(body, "\n")) != strconv.Itoa(id):
		d.Observer.ResponseCorrupt(id)
	case status == 200:
		d.Observer.RequestSucceeded(id, in, took, whole)
	case status == 429 || status == 503:
		d.Observer.RequestFailed(id, balance.Rejected, false)
		return balance.Rejected, advice
	default:
		d.Observer.RequestFailed(id, balance.Failed, status >= 400 && status < 500)
		return balance.Failed, 0
	}
	return balance.NoReply, 0
}

// connect finds a connection to a proxy that is up, a new one if it must be fresh; nil if there is none in time.
func (d *Driver) connect(ctx context.Context, until time.Time, fresh bool) (*Target, *connection, bool) {
	for ctx.Err() == nil && time.Now().Before(until) {
		for range d.Proxies.Targets {
			t := d.Proxies.pick()
			if t == nil {
				break
			}
			// danger: a proxy that stops closes all that is idle, so a second kept connection is as good as closed too
			if c := t.takeIdle(); c != nil && fresh {
				c.nc.Close()
			} else if c != nil {
				return t, c, true
			}
			dialer := net.Dialer{Timeout: min(dialTimeout, time.Until(until))}
			if nc, err := dialer.DialContext(ctx, "tcp", t.Addr); err == nil {
				return t, &connection{nc, http1.NewReader(nc)}, false
			}
		}
		select {
		case <-time.After(reconnectDelay):
		case <-ctx.Done():
		}
	}
	return nil, nil, false
}

func (t *Target) takeIdle() *connection {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := len(t.idle)
	if n == 0 {
		return nil
	}
	c := t.idle[n-1]
	t.idle = t.idle[:n-1]
	return c
}

func (t *Target) keepIdle(c *connection) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.ready.Load() || len(t.idle) >= maxIdleConnections {
		c.nc.Close()
		return
	}
	t.idle = append(t.idle, c)
}

// Close ends the idle connections.
func (f *RoundRobin) Close() {
	for _, t := range f.Targets {
		t.mu.Lock()
		for _, c := range t.idle {
			c.nc.Close()
		}
		t.idle = nil
		t.mu.Unlock()
	}
}

// ask writes a request and reads its answer. A head without an error means that an answer had begun.
func (c *connection) roundTrip(d *Driver, row *balance.Class, in *Intent, id int, again bool, wait float64) (*http1.Head, []byte, error) {
	method := "POST"
	if row.Idempotency == balance.Idempotent {
		method = "GET"
	}
	b := make([]byte, 0, headCapacity)
	b = append(b, method+" /"+row.Name...)
	if in.Key > 0 {
		b = append(b, "?user="...)
		b = strconv.AppendUint(b, in.Key, 10)
	}
	b = append(b, " HTTP/1.1\r\nHost: rehearsal\r\nX-Trace-Id: "...)
	b = strconv.AppendInt(b, int64(id), 10)
	if !d.PlainHTTP {
		b = append(b, "\r\nX-Qos: "+row.Name+"\r\nX-Expires-In: "...)
		b = http1.AppendSeconds(b, wait)
	}
	b = append(b, "\r\nX-Work: "...)
	b = strconv.AppendFloat(b, in.Work, 'g', 8, 64)
	if row.Idempotency == balance.Keyed {
		b = append(b, "\r\nIdempotency-Key: k"...)
		b = strconv.AppendInt(b, int64(in.Number), 10)
	}
	if tenant := d.tenant(in); tenant != "" {
		b = append(b, "\r\nX-Customer: "+tenant...)
	}
	if again {
		b = append(b, "\r\nX-Second-Try: 1"...)
	}
	if method == "POST" {
		b = append(b, "\r\nContent-Length: 0"...)
	}
	b = append(b, "\r\n\r\n"...)
	if _, err := c.nc.Write(b); err != nil {
		return nil, nil, err
	}
	if err := c.r.Wait(); err != nil {
		return nil, nil, err
	}
	h, err := c.r.Response()
	if err != nil {
		return &http1.Head{}, nil, err
	}
	head := *h
	head.Fields = nil
	if advice := h.Get("Retry-After"); advice != nil { // reading the body moves the head
		head.Fields = []http1.Field{{Name: []byte("Retry-After"), Value: bytes.Clone(advice)}}
	}
	body, err := c.r.Body(h.Length, h.Chunked)
	return &head, body, err
}
