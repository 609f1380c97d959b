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

// clientLoad runs clients that send requests until they are stopped, and counts the results.
type clientLoad struct {
	stop    chan struct{}
	running sync.WaitGroup

	mu         sync.Mutex
	sent       int
	served     int
	refused    int // connections that could not be opened
	unanswered int // requests without a whole response
	raced      int // sent while the connection closed between requests, and again on a new one, as clients do
	rejected   int // answered with 503, which is no loss: on a busy machine some requests are late
	errors     []string
}

// startClients starts clients that keep their connections alive, and others that open one for each request.
func (s *testEnvironment) startClients(persistent, oneShot int) *clientLoad {
	load := &clientLoad{stop: make(chan struct{})}
	for i := range persistent + oneShot {
		c := &client{load: load, addr: s.addr, number: i, keepsAlive: i < persistent}
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

// count increments one of the counts, and keeps an error if there is one.
func (l *clientLoad) count(count *int, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	*count++
	if err != nil && len(l.errors) < maxClientErrors {
		l.errors = append(l.errors, err.Error())
	}
}

// client sends requests one after the other.
type client struct {
	load       *clientLoad
	addr       string
	number     int
	keepsAlive bool // reuses its connection
	conn       net.Conn
	used       bool // the connection has delivered a response; if it then ends, it was closed while idle
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

// request sends a request and counts its result.
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
	if err != nil || r.closes || !c.keepsAlive {
		c.close()
	}
}

// sendAgain sends a request again on a new connection, because the old one was closed before the request arrived.
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

// response holds what the tests check of an HTTP response.
type response struct {
	status int
	body   string
	closes bool // the proxy closes the connection after this response; also true if reading its head failed
}

// sendRequest sends a request on a connection without other requests in flight, and reads its response.
func sendRequest(conn net.Conn, id string) (response, error) {
	conn.SetDeadline(time.Now().Add(2 * time.Second))
	// After a write error the read below fails too, with io.EOF if the connection was closed before the request.
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
