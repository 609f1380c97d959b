package fakeserver

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"time"

	"lockloom/balance"
	"lockloom/internal/emulator"
	"lockloom/internal/http1"
	"lockloom/internal/settings"
)

const answerFor = 5 * time.Second // for an answer to be taken

// conn is a proxy's connection to a server.
type conn struct {
	y      *ServerGroup
	nc     *net.TCPConn
	proxy  int
	member int
	ends   chan emulator.Completion

	// Under the yard's lock.
	id  string
	job int // its number; -1: none
}

// accept takes connections of one proxy to the server that is at a slot.
func (group *ServerGroup) accept(s *address, d *listener, ln *net.TCPListener, proxy int) {
	defer group.work.Done()
	for {
		nc, err := ln.AcceptTCP()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			group.mu.Lock()
			open := d.open
			group.mu.Unlock()
			if open != nil {
				select {
				case <-open:
				case <-group.quit:
					return
				}
			}
			continue
		}
		if err != nil {
			return
		}
		group.mu.Lock()
		c := &conn{y: group, nc: nc, proxy: proxy, member: s.member, ends: make(chan emulator.Completion, 1), job: -1}
		deaf := s.reach != emulator.Accepting
		if !deaf {
			s.conns[c] = true
			group.work.Add(2)
		}
		group.mu.Unlock()
		if deaf {
			c.reset()
			continue
		}
		go c.read(s)
		go c.write()
	}
}

// reset ends a connection as a machine does that knows nothing of it.
func (c *conn) reset() {
	c.nc.SetLinger(0)
	c.nc.Close()
}

// read takes requests in, one at a time, and notices that the proxy has gone.
func (c *conn) read(s *address) {
	defer c.y.work.Done()
	defer func() {
		c.y.mu.Lock()
		defer c.y.mu.Unlock()
		delete(s.conns, c)
		if c.job >= 0 {
			c.y.jobs[c.job] = nil
			dropped, ends := c.y.Fleet.Members[c.member].Abandon(c.y.Now(), c.job)
			if dropped {
				c.y.free = append(c.y.free, c.job)
			}
			c.job = -1
			c.y.reconcile(c.member, ends)
		}
		close(c.ends)
		c.nc.Close()
	}()
	r := http1.NewReader(c.nc)
	for {
		if r.Wait() != nil {
			return
		}
		began := c.y.Now() // a send counts from its first byte
		h, err := r.Request()
		if err != nil {
			return
		}
		ask := c.y.ask(h)
		if _, err := r.Body(h.Length, h.Chunked); err != nil {
			return
		}
		if ask.status != 0 {
			fmt.Fprintf(c.nc, "HTTP/1.1 %d x\r\nContent-Length: 0\r\n\r\n", ask.status)
			continue
		}
		c.take(began, ask)
	}
}

// asked is what a request says of its request.
type asked struct {
	lookup RequestClass
	id     string
	key    uint64
	mark   uint64
	work   float64
	status int // not 0: it cannot be served
}

func (group *ServerGroup) ask(h *http1.Head) asked {
	path, query, _ := strings.Cut(string(h.Target), "?")
	name, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	a := asked{id: string(h.Get("X-Trace-Id"))}
	var known bool
	if a.lookup, known = group.classes[name]; !known || a.id == "" {
		a.status = 404
		return a
	}
	a.work = a.lookup.Work
	if w, err := strconv.ParseFloat(string(h.Get("X-Work")), 64); err == nil && w > 0 {
		a.work = w
	}
	for part := range strings.SplitSeq(query, "&") {
		if key, ok := strings.CutPrefix(part, "user="); ok {
			a.key = settings.NameHash(key)
		}
	}
	a.mark = settings.NameHash(string(h.Get("Idempotency-Key")))
	return a
}

// take hands a whole request to the server.
func (c *conn) take(began float64, a asked) {
	group := c.y
	group.mu.Lock()
	defer group.mu.Unlock()
	m := group.Fleet.Members[c.member]
	now := group.Now()
	group := a.lookup.DedupGroup(m)
	j := emulator.Job{Class: a.lookup.Number, Work: a.work, Key: a.key}
	if group >= 0 {
		j.DedupKey, j.DedupWindow, j.DedupGroup = a.mark, a.lookup.DedupWindow, group.Fleet.DedupGroup(group)
	}
	if n := len(group.free); n > 0 {
		j.Ref, group.free = group.free[n-1], group.free[:n-1]
		group.jobs[j.Ref] = c
	} else {
		j.Ref = len(group.jobs)
		group.jobs = append(group.jobs, c)
	}
	c.job, c.id = j.Ref, a.id
	unheard := m.Unreceived
	if m.Reachability() == emulator.Accepting {
		group.observer.AttemptReceived(began, a.id, c.proxy, c.member, group)
	}
	ends := m.Receive(now, j)
	if m.Unreceived > unheard { // lost on its way: no end will tell
		group.jobs[j.Ref] = nil
		group.free = append(group.free, j.Ref)
		c.job = -1
	}
	group.reconcile(c.member, ends)
}

// write sends the answers.
func (c *conn) write() {
	defer c.y.work.Done()
	for end := range c.ends {
		c.y.mu.Lock()
		id := c.id
		inWork, waiting, use := c.y.Fleet.Members[c.member].Load()
		c.y.mu.Unlock()
		var head string
		switch end.Outcome {
		case balance.Succeeded:
			head = fmt.Sprintf("HTTP/1.1 200 OK\r\nEndpoint-Load-Metrics: TEXT inflight=%d, queue=%d, util=%.2f\r\nContent-Length: %d\r\n\r\n%s\n",
				inWork+waiting, waiting, use, len(id)+1, id)
		case balance.ServerError:
			head = "HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n"
		case balance.ServerRejected:
			head = "HTTP/1.1 503 x\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n"
		default:
			c.reset()
			continue
		}
		c.nc.SetWriteDeadline(time.Now().Add(answerFor))
		if _, err := c.nc.Write([]byte(head)); err == nil && end.Outcome == balance.Succeeded {
			c.y.observer.AttemptServed(id, end.Work)
		}
	}
}
