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
	writeTimeout = 5 * time.Second // of an answer
	noJob        = -1
)

// conn is a proxy's connection to a server. It serves one request at a time.
type conn struct {
	group       *ServerGroup
	nc          *net.TCPConn
	proxy       int
	member      int
	completions chan emulator.Completion // of its jobs

	// Under the group's lock.
	id  string // of the request in work
	job int    // its Ref, or noJob
}

// accept accepts connections of one proxy to the server that is at an address, until the listener is closed.
func (g *ServerGroup) accept(a *address, l *listener, ln *net.TCPListener, proxy int) {
	defer g.work.Done()
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

// waitReachable waits until a listener may accept again, and reports false at the end of the group.
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
		g.work.Add(2)
	}
	g.mu.Unlock()
	if !accepting {
		c.reset()
		return
	}
	go c.read(a)
	go c.write()
}

// reset ends a connection as a host does that knows nothing of it.
func (c *conn) reset() {
	_ = c.nc.SetLinger(0) // fails only on a connection that is closed already
	c.close()
}

// close closes the connection; nobody can act on a failure.
func (c *conn) close() { _ = c.nc.Close() }

// read receives requests, one at a time, until the proxy has gone.
func (c *conn) read(a *address) {
	defer c.group.work.Done()
	defer c.end(a)
	r := http1.NewReader(c.nc)
	for {
		if r.Wait() != nil {
			return
		}
		startedAt := c.group.Now() // an attempt counts from its first byte
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

// end takes the connection out of the group and abandons its job.
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

// request is what a server reads of a request.
type request struct {
	known    bool // its class is known and it has an id
	class    RequestClass
	id       string
	key      uint64 // cache-affine
	dedupKey uint64
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

// receive gives a complete request to the server.
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
	if m.Unreceived > unreceived { // lost on its way: it has no completion
		g.jobs.release(job.Ref)
		c.job = noJob
	}
	g.reconcile(c.member, completions)
}

// write sends the answers.
func (c *conn) write() {
	defer c.group.work.Done()
	for completion := range c.completions {
		id, answer := c.answer(completion)
		if answer == "" {
			c.reset()
			continue
		}
		_ = c.nc.SetWriteDeadline(time.Now().Add(writeTimeout)) // the write reports the same failure
		_, err := c.nc.Write([]byte(answer))
		if err == nil && completion.Outcome == balance.Succeeded {
			c.group.observer.AttemptServed(id, completion.Work)
		}
	}
}

// answer is the request's id and the response to it; an empty one resets the connection.
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
