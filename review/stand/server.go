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

// backend is a backend of the platform: it runs each request once it has come whole, and answers it with 200.
type backend struct {
	id, addr     string
	bench        *bench
	ln           net.Listener
	run          func(s *backend, r *http.Request, conn net.Conn) (body string, ended bool) // ended: the connection has
	writesAnswer bool                                                                       // run writes the answer itself
	count        atomic.Int64                                                               // requests that came whole
}

func (b *bench) startBackend(id string, run func(*backend, *http.Request, net.Conn) (string, bool)) *backend {
	s := &backend{id: id, bench: b, run: run}
	var err error
	s.ln, err = net.Listen("tcp", "127.0.0.1:0")
	must(err)
	s.addr = s.ln.Addr().String()
	go func() {
		for {
			conn, err := s.ln.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s
}

// entry is the backend's entry in discovery's list.
func (s *backend) entry(cell int) *entry {
	return &entry{ID: s.id, Addr: s.addr, Zone: "a", Kind: "m", Cell: cell, State: "active", Weight: 1}
}

func (s *backend) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		s.count.Add(1)
		s.bench.logf("%s runs %s", s.id, request.Header.Get("X-Trace-Id"))
		answer, ended := s.run(s, request, conn)
		if ended {
			return
		}
		if s.writesAnswer {
			continue
		}
		if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(answer), answer); err != nil {
			return
		}
	}
}

// usual is the usual way of a backend: some milliseconds of work and an answer that names the request.
func usual(work time.Duration) func(*backend, *http.Request, net.Conn) (string, bool) {
	return func(s *backend, r *http.Request, _ net.Conn) (string, bool) {
		time.Sleep(work)
		return answerTo(r.Header.Get("X-Trace-Id")), false
	}
}

func answerTo(id string) string { return "answer to " + id + "\n" }
