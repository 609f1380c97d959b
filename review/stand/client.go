package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

var lastID atomic.Int64

func newID() string { return fmt.Sprintf("%016x", lastID.Add(1)) }

// request is one request of a client.
type request struct {
	class, method string
	wait          time.Duration
	body          string
}

func (r request) text(id, host string) string {
	text := fmt.Sprintf("%s /%s HTTP/1.1\r\nHost: %s\r\nX-Trace-Id: %s\r\nX-Qos: %s\r\nX-Expires-In: %.3f\r\n",
		r.method, r.class, host, id, r.class, r.wait.Seconds())
	if r.method == "POST" {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(r.body))
	}
	return text + "\r\n" + r.body
}

// caller is a client that keeps its connection and opens another one when that has ended.
type caller struct {
	addr   string
	conn   net.Conn
	reader *bufio.Reader
}

// send writes a request and waits for its whole answer until the client gives up. The status is 0 if there is none.
func (c *caller) send(text string, until time.Time) (status int, body string, err error) {
	if c.conn == nil {
		if c.conn, err = net.DialTimeout("tcp", c.addr, time.Until(until)); err != nil {
			c.conn = nil
			return 0, "", err
		}
		c.reader = bufio.NewReader(c.conn)
	}
	c.conn.SetDeadline(until)
	if _, err = io.WriteString(c.conn, text); err != nil {
		c.close()
		return 0, "", err
	}
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.close()
		return 0, "", err
	}
	defer resp.Body.Close()
	whole, err := io.ReadAll(resp.Body)
	if err != nil || resp.Close {
		c.close()
	}
	return resp.StatusCode, string(whole), err
}

func (c *caller) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// statuses counts answers by status.
type statuses [600]atomic.Int64

func (s *statuses) add(status int) { s[status%len(s)].Add(1) }

func (s *statuses) log(b *bench, whose string) {
	for status := range s {
		if n := s[status].Load(); n > 0 {
			b.logf("%s answers with status %d (0: none): %d", whose, status, n)
		}
	}
}
