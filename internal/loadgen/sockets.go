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
	dialFor    = time.Second            // for a connection to a proxy
	probeEvery = 100 * time.Millisecond // of a proxy's readiness
	probeFor   = 2 * time.Second        // for its answer: longer, and it counts as not up
	elseAfter  = 50 * time.Millisecond  // until a client that found no proxy looks again
	overtime   = 300 * time.Millisecond // past the deadline that a client still listens, to tell late from never
	headRoom   = 512                    // bytes of a request's head
	idleMost   = 4096                   // connections kept idle to a proxy
	tryTail    = 30 * time.Second       // for what is under way when the plan has ended, at most
)

// Seen is what clients see, told by many goroutines. A try is named by the number that Sent gave it.
type Seen interface {
	Asked(in *Intent)
	Sent(in *Intent, late float64) (try int) // it is about to be written
	Honoured(try int, in *Intent, took, whole float64)
	Failed(try int, answer balance.Reply, wrong bool) // wrong: told that it is the client's own fault
	Spoilt(try int)                                   // successful with what no server made for it
	Lost(try int, withProxy bool)                     // ended with no answer
	Late(try int)                                     // no answer by the deadline and some more
	Left(try int)                                     // the client went away first
	Unreached()                                       // no proxy took it in time
}

// Target is a proxy as clients know it.
type Target struct {
	Addr   string
	Probe  string // where it says whether it is up
	up     atomic.Bool
	killed atomic.Int64 // when it was killed outright; 0: not
	mu     sync.Mutex
	idle   []*connection
}

// Killed notes that it has been killed: what it had in hand is lost with it.
func (t *Target) Killed() {
	t.killed.Store(time.Now().UnixNano())
	t.up.Store(false)
}

// Found notes that it is up.
func (t *Target) Found() { t.up.Store(true) }

type connection struct {
	nc net.Conn
	r  *http1.Reader
}

// Front deals requests out to proxies that are up, in turn.
type Front struct {
	Targets []*Target
	turn    atomic.Uint64
}

// NewFront knows proxies by their addresses; none is up until Watch has found it so.
func NewFront(addrs []string) *Front {
	f := &Front{}
	for _, addr := range addrs {
		f.Targets = append(f.Targets, &Target{Addr: addr, Probe: addr})
	}
	return f
}

// Watch asks every proxy again and again whether it is up, until the context ends.
func (f *Front) Watch(ctx context.Context) {
	var work sync.WaitGroup
	for _, t := range f.Targets {
		work.Go(func() {
			for ctx.Err() == nil {
				t.up.Store(Ready(t.Probe, probeFor) == nil)
				select {
				case <-ctx.Done():
				case <-time.After(probeEvery):
				}
			}
		})
	}
	work.Wait()
}

// Ready asks a proxy whether it takes requests.
func Ready(addr string, within time.Duration) error {
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
func (f *Front) next() *Target {
	for range f.Targets {
		if t := f.Targets[f.turn.Add(1)%uint64(len(f.Targets))]; t.up.Load() {
			return t
		}
	}
	return nil
}

// Driver has clients ask on sockets what a plan deals out, at the times intended.
type Driver struct {
	Plan      *Plan
	Tariffs   []balance.Class
	Customers []string // their names
	Ordinary  bool     // clients know nothing of the platform's fields but the id by which they are counted
	Clients   Clients
	Front     *Front
	Seen      Seen
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
		d.Seen.Asked(&in)
		work.Go(func() { d.lookup(rush, in, due, start.Add(time.Duration(d.Plan.mix.For*float64(time.Second)))) })
	}
	defer time.AfterFunc(tryTail, stop).Stop()
	work.Wait()
}

// request tries one until it has its answer or is given up.
func (d *Driver) lookup(ctx context.Context, in Intent, due, last time.Time) {
	chance := rand.New(rand.NewPCG(d.Seed, uint64(in.Number)+5))
	whole := due
	for n := 1; ; n++ {
		answer, advice := d.try(ctx, &in, n, due, whole)
		after, ok := d.Clients.Again(n, d.Tariffs[in.Tariff].Idempotency, answer, advice, chance)
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
func (d *Driver) try(ctx context.Context, in *Intent, n int, due, whole time.Time) (balance.Reply, float64) {
	row := &d.Tariffs[in.Tariff]
	stop := due.Add(time.Duration(row.Deadline * float64(time.Second)))
	leaves := due.Add(time.Duration(row.Deadline * d.Clients.Patience * float64(time.Second)))
	id := -1
	for again := false; ; again = true {
		t, c, kept := d.connect(ctx, leaves, again)
		if c == nil {
			if id < 0 {
				d.Seen.Unreached()
			} else {
				d.Seen.Lost(id, true)
			}
			return balance.NoReply, 0
		}
		if id < 0 {
			id = d.Seen.Sent(in, time.Since(due).Seconds())
		}
		sent := time.Now()
		until := stop.Add(overtime)
		if leaves.Before(stop) {
			until = leaves
		}
		c.nc.SetDeadline(until)
		wait := max(time.Until(stop), time.Millisecond)
		h, body, err := c.ask(d, row, in, id, n > 1 && d.Clients.Marked, wait.Seconds())
		now := time.Now()
		switch {
		case err == nil:
			advice, _ := strconv.ParseFloat(string(h.Get("Retry-After")), 64)
			status := h.Status
			if h.Close {
				c.nc.Close()
			} else {
				t.rest(c)
			}
			return d.answered(id, in, status, advice, body, now.Sub(due).Seconds(), now.Sub(whole).Seconds())
		case ctx.Err() != nil:
			c.nc.Close()
			d.Seen.Left(id)
			return balance.NoReply, 0
		case errors.Is(err, os.ErrDeadlineExceeded):
			c.nc.Close()
			if leaves.Before(stop) {
				d.Seen.Left(id)
			} else {
				d.Seen.Late(id)
			}
			return balance.NoReply, 0
		}
		c.nc.Close()
		if killed := t.killed.Load(); killed != 0 && killed >= sent.UnixNano() {
			d.Seen.Lost(id, true)
			return balance.Failed, 0 // it may have run
		}
		if !kept || again || h != nil { // a kept connection may have been closed just then, with nothing read
			d.Seen.Lost(id, false)
			return balance.Failed, 0
		}
	}
}

func (d *Driver) customer(in *Intent) string {
	if in.Customer < 0 || in.Customer >= len(d.Customers) {
		return ""
	}
	return d.Customers[in.Customer]
}

// answered tells what an answer is.
func (d *Driver) answered(id int, in *Intent, status int, advice float64, body []byte, took, whole float64) (balance.Reply, float64) {
	switch {
	case status == 200 && string(bytes.TrimRight(body, "\n")) != strconv.Itoa(id):
		d.Seen.Spoilt(id)
	case status == 200:
		d.Seen.Honoured(id, in, took, whole)
	case status == 429 || status == 503:
		d.Seen.Failed(id, balance.Rejected, false)
		return balance.Rejected, advice
	default:
		d.Seen.Failed(id, balance.Failed, status >= 400 && status < 500)
		return balance.Failed, 0
	}
	return balance.NoReply, 0
}

// connect finds a connection to a proxy that is up, a new one if it must be fresh; nil if there is none in time.
func (d *Driver) connect(ctx context.Context, until time.Time, fresh bool) (*Target, *connection, bool) {
	for ctx.Err() == nil && time.Now().Before(until) {
		for range d.Front.Targets {
			t := d.Front.next()
			if t == nil {
				break
			}
			// danger: a proxy that stops closes all that is idle, so a second kept connection is as good as closed too
			if c := t.take(); c != nil && fresh {
				c.nc.Close()
			} else if c != nil {
				return t, c, true
			}
			dialer := net.Dialer{Timeout: min(dialFor, time.Until(until))}
			if nc, err := dialer.DialContext(ctx, "tcp", t.Addr); err == nil {
				return t, &connection{nc, http1.NewReader(nc)}, false
			}
		}
		select {
		case <-time.After(elseAfter):
		case <-ctx.Done():
		}
	}
	return nil, nil, false
}

func (t *Target) take() *connection {
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

func (t *Target) rest(c *connection) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.up.Load() || len(t.idle) >= idleMost {
		c.nc.Close()
		return
	}
	t.idle = append(t.idle, c)
}

// Close ends the idle connections.
func (f *Front) Close() {
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
func (c *connection) ask(d *Driver, row *balance.Class, in *Intent, id int, again bool, wait float64) (*http1.Head, []byte, error) {
	method := "POST"
	if row.Idempotency == balance.Idempotent {
		method = "GET"
	}
	b := make([]byte, 0, headRoom)
	b = append(b, method+" /"+row.Name...)
	if in.Key > 0 {
		b = append(b, "?user="...)
		b = strconv.AppendUint(b, in.Key, 10)
	}
	b = append(b, " HTTP/1.1\r\nHost: rehearsal\r\nX-Trace-Id: "...)
	b = strconv.AppendInt(b, int64(id), 10)
	if !d.Ordinary {
		b = append(b, "\r\nX-Qos: "+row.Name+"\r\nX-Expires-In: "...)
		b = http1.AppendSeconds(b, wait)
	}
	b = append(b, "\r\nX-Work: "...)
	b = strconv.AppendFloat(b, in.Work, 'g', 8, 64)
	if row.Idempotency == balance.Keyed {
		b = append(b, "\r\nIdempotency-Key: k"...)
		b = strconv.AppendInt(b, int64(in.Number), 10)
	}
	if tenant := d.customer(in); tenant != "" {
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
