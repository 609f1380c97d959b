package fakeserver

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"lockloom/balance"
	"lockloom/internal/emulator"
	"lockloom/internal/http1"
	"lockloom/internal/settings"
)

const (
	writeTimeout = 5 * time.Second // timeout for writing a response
	noJob        = -1              // Ref of a connection without a job
)

// conn is a connection from a proxy to a server. It serves one request at a time.
type conn struct {
	group       *ServerGroup
	nc          *net.TCPConn
	proxy       int
	member      int
	completions chan emulator.Completion // of the connection's jobs, answered by write

	// Guarded by group.mu.
	id  string // of the current request
	job int    // Ref of the current request's job, or noJob
}

// accept accepts connections from one proxy to the server at an address until the listener is closed.
func (g *ServerGroup) accept(a *address, l *listener, ln *net.TCPListener, proxy int) {
	defer g.wg.Done()
	for {
		nc, err := ln.AcceptTCP()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			if !g.waitReachable(l) {
				return
			}
			continue
		}
		if err != nil {
			return
		}
		g.serve(a, nc, proxy)
	}
}

// waitReachable waits until a listener may accept again, and reports false if the group is closed.
func (g *ServerGroup) waitReachable(l *listener) bool {
	g.mu.Lock()
	reachable := l.reachable
	g.mu.Unlock()
	if reachable == nil {
		return true
	}
	select {
	case <-reachable:
		return true
	case <-g.quit:
		return false
	}
}

// serve starts a connection's goroutines, or resets it if the server has become unreachable.
func (g *ServerGroup) serve(a *address, nc *net.TCPConn, proxy int) {
	g.mu.Lock()
	c := &conn{
		group:       g,
		nc:          nc,
		proxy:       proxy,
		member:      a.member,
		completions: make(chan emulator.Completion, 1),
		job:         noJob,
	}
	accepting := a.reachability == emulator.Accepting
	if accepting {
		a.conns[c] = true
		g.wg.Add(2)
	}
	g.mu.Unlock()
	if !accepting {
		c.reset()
		return
	}
	go c.read(a)
	go c.write()
}

// reset closes the connection with a TCP reset, as a host does that has lost the state of the connection.
func (c *conn) reset() {
	_ = c.nc.SetLinger(0) // fails only on a closed connection
	c.close()
}

// close closes the connection. An error is ignored, since the connection is not used any more.
func (c *conn) close() { _ = c.nc.Close() }

// read receives requests, one at a time, until the proxy closes the connection.
func (c *conn) read(a *address) {
	defer c.group.wg.Done()
	defer c.end(a)
	r := http1.NewReader(c.nc)
	for {
		if r.Wait() != nil {
			return
		}
		startedAt := c.group.Now() // the attempt starts with its first byte
		head, err := r.Request()
		if err != nil {
			return
		}
		request := c.group.parse(head)
		if _, err := r.Body(head.Length, head.Chunked); err != nil {
			return
		}
		if !request.known {
			fmt.Fprintf(c.nc, "HTTP/1.1 %d x\r\nContent-Length: 0\r\n\r\n", http.StatusNotFound)
			continue
		}
		c.receive(startedAt, request)
	}
}

// end removes the connection from its address and abandons its job.
func (c *conn) end(a *address) {
	g := c.group
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(a.conns, c)
	if c.job != noJob {
		g.jobs.abandon(c.job)
		dropped, completions := g.Fleet.Members[c.member].Abandon(g.Now(), c.job)
		if dropped {
			g.jobs.release(c.job)
		}
		c.job = noJob
		g.reconcile(c.member, completions)
	}
	close(c.completions)
	c.close()
}

// request holds what a server uses of a request.
type request struct {
	known    bool // it has a known class and an id
	class    RequestClass
	id       string
	key      uint64 // hash of the affinity key
	dedupKey uint64 // hash of the idempotency key
	work     float64
}

func (g *ServerGroup) parse(head *http1.Head) request {
	path, query, _ := strings.Cut(string(head.Target), "?")
	name, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	id := string(head.Get("X-Trace-Id"))
	class, known := g.classes[name]
	if !known || id == "" {
		return request{}
	}
	r := request{known: true, class: class, id: id, work: class.Work}
	if work, err := strconv.ParseFloat(string(head.Get("X-Work")), 64); err == nil && work > 0 {
		r.work = work
	}
	for part := range strings.SplitSeq(query, "&") {
		if key, ok := strings.CutPrefix(part, "user="); ok {
			r.key = settings.NameHash(key)
		}
	}
	r.dedupKey = settings.NameHash(string(head.Get("Idempotency-Key")))
	return r
}

// receive hands a completely received request to the emulated server.
func (c *conn) receive(startedAt float64, r request) {
	g := c.group
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.Fleet.Members[c.member]
	now := g.Now()
	dedupGroup := r.class.DedupGroup(m)
	job := emulator.Job{Ref: g.jobs.add(c), Class: r.class.Number, Work: r.work, Key: r.key}
	if dedupGroup >= 0 {
		job.DedupKey = r.dedupKey
		job.DedupWindow = r.class.DedupWindow
		job.DedupGroup = g.Fleet.DedupGroup(dedupGroup)
	}
	c.job = job.Ref
	c.id = r.id
	unreceived := m.Unreceived
	if m.Reachability() == emulator.Accepting {
		g.observer.AttemptReceived(startedAt, r.id, c.proxy, c.member, dedupGroup)
	}
	completions := m.Receive(now, job)
	if m.Unreceived > unreceived { // lost in the network, so it gets no completion
		g.jobs.release(job.Ref)
		c.job = noJob
	}
	g.reconcile(c.member, completions)
}

// write sends a response for each completion.
func (c *conn) write() {
	defer c.group.wg.Done()
	for completion := range c.completions {
		id, answer := c.answer(completion)
		if answer == "" {
			c.reset()
			continue
		}
		_ = c.nc.SetWriteDeadline(time.Now().Add(writeTimeout)) // if this fails, so does the write
		_, err := c.nc.Write([]byte(answer))
		if err == nil && completion.Outcome == balance.Succeeded {
			c.group.observer.AttemptServed(id, completion.Work)
		}
	}
}

// answer returns the id of the current request and the response to it; if the response is empty, the connection must be
// reset instead.
func (c *conn) answer(completion emulator.Completion) (id, response string) {
	c.group.mu.Lock()
	id = c.id
	running, queued, utilization := c.group.Fleet.Members[c.member].Load()
	c.group.mu.Unlock()
	switch completion.Outcome {
	case balance.Succeeded:
		load := fmt.Sprintf("inflight=%d, queue=%d, util=%.2f", running+queued, queued, utilization)
		return id, fmt.Sprintf("HTTP/1.1 200 OK\r\nEndpoint-Load-Metrics: TEXT %s\r\nContent-Length: %d\r\n\r\n%s\n",
			load, len(id)+1, id)
	case balance.ServerError:
		return id, "HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n"
	case balance.ServerRejected:
		return id, "HTTP/1.1 503 x\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n"
	}
	return id, ""
}
