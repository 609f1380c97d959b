package proxycmd

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"lockloom/internal/http1"
)

// maxClientErrors bounds the errors that a clientLoad keeps.
const maxClientErrors = 5

// clientLoad is clients that send requests until they are stopped, and what came of them.
type clientLoad struct {
	stop    chan struct{}
	running sync.WaitGroup

	mu         sync.Mutex
	sent       int
	served     int
	refused    int // no connection
	unanswered int
	raced      int // sent as a connection closed between requests, and once more on a new one, as clients do
	rejected   int // told to retry, which is no loss: on a busy machine some requests are late
	errors     []string
}

// startClients starts clients that keep their connections, and others that open one for each request.
func (s *installation) startClients(keeping, opening int) *clientLoad {
	load := &clientLoad{stop: make(chan struct{})}
	for i := range keeping + opening {
		c := &client{load: load, addr: s.addr, number: i, keeps: i < keeping}
		load.running.Go(c.run)
	}
	return load
}

// stopAll stops the clients and waits for them.
func (l *clientLoad) stopAll() {
	close(l.stop)
	l.running.Wait()
}

// servedSoFar returns how many requests were served so far.
func (l *clientLoad) servedSoFar() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.served
}

// count adds to one of the counts, and keeps an error if there is one.
func (l *clientLoad) count(count *int, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	*count++
	if err != nil && len(l.errors) < maxClientErrors {
		l.errors = append(l.errors, err.Error())
	}
}

// client sends one request after the other.
type client struct {
	load   *clientLoad
	addr   string
	number int
	keeps  bool // its connection
	conn   net.Conn
	used   bool // the connection had a response
}

// run sends requests until the load is stopped.
func (c *client) run() {
	for n := 0; ; n++ {
		select {
		case <-c.load.stop:
			return
		case <-time.After(4 * time.Millisecond):
			c.request(fmt.Sprintf("%x-%x", c.number, n))
		}
	}
}

// request sends a request and counts what comes of it.
func (c *client) request(id string) {
	if c.conn == nil {
		conn, err := net.Dial("tcp", c.addr)
		if err != nil {
			c.load.count(&c.load.refused, err)
			return
		}
		c.conn = conn
	}
	c.load.count(&c.load.sent, nil)
	r, err := sendRequest(c.conn, id)
	if errors.Is(err, io.EOF) && c.used {
		r, err = c.sendAgain(id)
	}
	c.used = true
	switch {
	case err != nil:
		c.load.count(&c.load.unanswered, err)
	case r.status == 200 && r.body == id:
		c.load.count(&c.load.served, nil)
	case r.status == 503:
		c.load.count(&c.load.rejected, nil)
	default:
		c.load.count(new(int), fmt.Errorf("%d %q", r.status, r.body))
	}
	if err != nil || r.closes || !c.keeps {
		c.close()
	}
}

// sendAgain sends a request on a new connection, since the old one was closed before it.
func (c *client) sendAgain(id string) (response, error) {
	c.close()
	conn, err := net.Dial("tcp", c.addr)
	if err != nil {
		return response{}, err
	}
	c.conn = conn
	c.load.count(&c.load.raced, nil)
	return sendRequest(c.conn, id)
}

// close closes the connection, if there is one.
func (c *client) close() {
	if c.conn != nil {
		c.conn.Close()
	}
	c.conn = nil
	c.used = false
}

// response is a response to a request.
type response struct {
	status int
	body   string
	closes bool // the connection
}

// sendRequest sends a request on a connection that carries nothing else, and reads its response.
func sendRequest(conn net.Conn, id string) (response, error) {
	conn.SetDeadline(time.Now().Add(2 * time.Second))
	// That it cannot be written shows in the read below, which also tells a connection that was closed before it.
	_, _ = fmt.Fprintf(conn,
		"GET /look HTTP/1.1\r\nHost: x\r\nX-Qos: look\r\nX-Trace-Id: %s\r\nX-Expires-In: 1\r\n\r\n", id)
	reader := http1.NewReader(conn)
	head, err := reader.Response()
	if err != nil {
		return response{closes: true}, err
	}
	r := response{status: head.Status, closes: head.Close}
	body, err := reader.Body(head.Length, head.Chunked)
	r.body = string(body)
	return r, err
}
