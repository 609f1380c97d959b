package loadgen

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"lockloom/internal/http1"
)

const (
	dialTimeout        = time.Second            // timeout for connecting to a proxy
	readyInterval      = 100 * time.Millisecond // between the checks whether a proxy is ready
	readyTimeout       = 2 * time.Second        // timeout of one readiness check
	reconnectDelay     = 50 * time.Millisecond  // delay before a client that could not connect to any proxy tries again
	maxIdleConnections = 4096                   // idle connections kept per proxy
)

// Target is a proxy that clients send requests to. Its methods are safe for concurrent use.
type Target struct {
	Addr      string
	ReadyAddr string // address on which the proxy answers GET /up
	ready     atomic.Bool
	killed    atomic.Int64 // when it was killed, in ns since 1970; 0: it was not
	mu        sync.Mutex
	idle      []*connection
}

// MarkKilled records that the proxy has been killed, so that its requests in flight count as lost with it.
func (t *Target) MarkKilled() {
	t.killed.Store(time.Now().UnixNano())
	t.ready.Store(false)
}

// MarkReady records that the proxy is ready.
func (t *Target) MarkReady() { t.ready.Store(true) }

// killedSince reports whether the proxy was killed at the given time or later.
func (t *Target) killedSince(since time.Time) bool {
	killed := t.killed.Load()
	return killed != 0 && killed >= since.UnixNano()
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

// keepIdle keeps a connection for reuse, or closes it if the proxy is not ready or has maxIdleConnections.
func (t *Target) keepIdle(c *connection) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.ready.Load() || len(t.idle) >= maxIdleConnections {
		c.nc.Close()
		return
	}
	c.reused = true
	t.idle = append(t.idle, c)
}

func (t *Target) closeIdle() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range t.idle {
		c.nc.Close()
	}
	t.idle = nil
}

// RoundRobin selects proxies that are ready, in turn. It is safe for concurrent use.
type RoundRobin struct {
	Targets []*Target
	picks   atomic.Uint64
}

// NewRoundRobin returns a RoundRobin of the proxies at addrs. They are not ready until WatchReadiness or MarkReady sets
// them so.
func NewRoundRobin(addrs []string) *RoundRobin {
	r := &RoundRobin{}
	for _, addr := range addrs {
		r.Targets = append(r.Targets, &Target{Addr: addr, ReadyAddr: addr})
	}
	return r
}

// WatchReadiness periodically checks whether each proxy is ready, until the context ends.
func (r *RoundRobin) WatchReadiness(ctx context.Context) {
	var checks sync.WaitGroup
	for _, target := range r.Targets {
		checks.Go(func() {
			for ctx.Err() == nil {
				target.ready.Store(CheckReady(target.ReadyAddr, readyTimeout) == nil)
				select {
				case <-ctx.Done():
				case <-time.After(readyInterval):
				}
			}
		})
	}
	checks.Wait()
}

// CheckReady returns nil if a proxy answers GET /up with status 200. The timeout applies to connecting, and again to
// the response.
func CheckReady(addr string, timeout time.Duration) error {
	nc, err := net.DialTimeout("tcp", addr, timeout)
	if err != nil {
		return err
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(timeout))
	if _, err := fmt.Fprintf(nc, "GET /up HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n", addr); err != nil {
		return err
	}
	head, err := http1.NewReader(nc).Response()
	if err == nil && head.Status != http.StatusOK {
		err = fmt.Errorf("GET /up on %s: status %d, not 200", addr, head.Status)
	}
	return err
}

// pick returns the next proxy that is ready, or nil if none is.
func (r *RoundRobin) pick() *Target {
	for range r.Targets {
		if t := r.Targets[r.picks.Add(1)%uint64(len(r.Targets))]; t.ready.Load() {
			return t
		}
	}
	return nil
}

// connect returns a ready proxy and a connection to it: a new connection if fresh is set, else an idle one if there is
// one. It keeps trying until the given time, then returns nil.
func (r *RoundRobin) connect(ctx context.Context, until time.Time, fresh bool) (*Target, *connection) {
	for ctx.Err() == nil && time.Now().Before(until) {
		for range r.Targets {
			target := r.pick()
			if target == nil {
				break
			}
			if c := target.connect(ctx, until, fresh); c != nil {
				return target, c
			}
		}
		select {
		case <-time.After(reconnectDelay):
		case <-ctx.Done():
		}
	}
	return nil, nil
}

// connect returns an idle connection or, if there is none, dials; nil if that fails. If fresh is set, it always dials,
// and closes an idle connection instead of using it: when a proxy stops, it closes all its idle connections, so after
// one stale connection the next would be stale too.
func (t *Target) connect(ctx context.Context, until time.Time, fresh bool) *connection {
	if c := t.takeIdle(); c != nil {
		if !fresh {
			return c
		}
		c.nc.Close()
	}
	dialer := net.Dialer{Timeout: min(dialTimeout, time.Until(until))}
	nc, err := dialer.DialContext(ctx, "tcp", t.Addr)
	if err != nil {
		return nil
	}
	return &connection{nc: nc, reader: http1.NewReader(nc)}
}

// Close closes the idle connections.
func (r *RoundRobin) Close() {
	for _, t := range r.Targets {
		t.closeIdle()
	}
}
