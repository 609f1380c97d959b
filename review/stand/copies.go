package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["copies"] = playCopies }

// pending reports whether bytes wait to be read on a connection.
func pending(conn net.Conn) bool {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true
	}
	waits := false
	buffer := make([]byte, 1)
	err = raw.Control(func(fd uintptr) {
		_, _, err := syscall.Recvfrom(int(fd), buffer, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		waits = err != syscall.EAGAIN
	})
	return waits || err != nil
}

// playCopies: some good answers are followed right away by a second copy of themselves, where no request waits on the
// connection. Each client must get the answer that was made for its own request, or none.
func playCopies(b *bench) {
	const (
		backends, cores, mostHeld = 4, 2, 8 // a backend turns away what it can't hold
		work                      = 20 * time.Millisecond
		rate, clients             = 320.0, 80                                     // requests a second; connections
		copyShare                 = 0.1                                           // of the answers
		gapLeast, gapMost         = 50 * time.Microsecond, 400 * time.Microsecond // from an answer to its copy
		length                    = 90 * time.Second
	)
	var copies, turnedAway atomic.Int64
	var entries []*entry
	for i := range backends {
		slots := make(chan bool, cores)
		var held atomic.Int64
		s := b.startBackend(fmt.Sprint("s", i+1), func(s *backend, r *http.Request, conn net.Conn) (string, bool) {
			defer held.Add(-1)
			if held.Add(1) > mostHeld {
				turnedAway.Add(1)
				_, err := fmt.Fprint(conn, "HTTP/1.1 503 Service Unavailable\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n")
				return "", err != nil
			}
			slots <- true
			time.Sleep(work)
			<-slots
			id := r.Header.Get("X-Trace-Id")
			answer := answerTo(id)
			text := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(answer), answer)
			if _, err := conn.Write(text); err != nil {
				return "", true
			}
			if !b.trouble || rand.Float64() >= copyShare {
				return "", false
			}
			gap := gapLeast + rand.N(gapMost-gapLeast)
			for end := time.Now().Add(gap); time.Now().Before(end); { // a sleep would be far longer
			}
			if !pending(conn) {
				copies.Add(1)
				b.logf("%s sends a second copy of the answer to %s after %v", s.id, id, gap)
				_, _ = conn.Write(text)
			}
			return "", false
		})
		s.writesAnswer = true
		entries = append(entries, s.entry(0))
	}
	agent := startAgent(freeAddr(), entries...)
	listen := freeAddr()
	config := b.launch("n0", listen, agent.addr, smallSettings(2500), agent.known(), smallLimits(192))
	b.start("n0", listen, agent.addr, config, "")
	b.awaitUp(listen)
	var wg sync.WaitGroup
	var answers statuses
	end := time.Now().Add(length)
	for range clients {
		wg.Go(func() {
			c := caller{addr: listen}
			defer c.close()
			for time.Now().Before(end) {
				time.Sleep(time.Duration(rand.ExpFloat64() * clients / rate * float64(time.Second)))
				id := newID()
				r := request{class: "view", method: "GET", wait: time.Second}
				if rand.IntN(3) == 0 {
					r = request{class: "sms", method: "POST", wait: 1200 * time.Millisecond, body: "text to " + id}
				}
				b.logf("send %s %s", r.class, id)
				status, body, err := c.send(r.text(id, listen), time.Now().Add(r.wait))
				b.logf("answer %s: %d %q %v", id, status, body, err)
				if status == 200 && err == nil && body != answerTo(id) {
					b.breach("%s request %s was served with: %s", r.class, id, body)
				}
				answers.add(status)
			}
		})
	}
	wg.Wait()
	b.logf("%d second copies sent, %d requests turned away", copies.Load(), turnedAway.Load())
	answers.log(b, "clients'")
}
