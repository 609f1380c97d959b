package upstream

import (
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"lockloom/balance"
	"lockloom/internal/http1"
)

// Checks the outcome for each kind of response and of failed response, and whether the connection is reused.
func TestOutcomeOfResponse(t *testing.T) {
	const noBody = "Content-Length: 0\r\n\r\n"
	for _, c := range []struct {
		name, response string
		closes         bool // the server closes the connection after the response
		want           balance.Outcome
		reused         bool
	}{
		{"successful", okResponse, false, balance.Succeeded, true},
		{"successful, until close", "HTTP/1.1 200 OK\r\n\r\nok", true, balance.Succeeded, false},
		{"successful and closing", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", false,
			balance.Succeeded, false},
		{"more than one response", okResponse + "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx", false,
			balance.Succeeded, false},
		{"error", "HTTP/1.1 500 x\r\n" + noBody, false, balance.ServerError, true},
		{"rejected", "HTTP/1.1 503 x\r\nX-Never-Ran: 1\r\n" + noBody, false, balance.ServerRejected, true},
		{"rejected late", "HTTP/1.1 504 x\r\nx-never-ran: 1\r\n" + noBody, false, balance.ServerRejected, true},
		{"503 that may have run", "HTTP/1.1 503 x\r\n" + noBody, false, balance.ServerError, true},
		{"never ran, with a status other than 503 and 504", "HTTP/1.1 500 x\r\nX-Never-Ran: 1\r\n" + noBody, false,
			balance.ServerError, true},
		{"invalid request", "HTTP/1.1 404 x\r\n" + noBody, false, balance.InvalidRequest, true},
		{"too many requests", "HTTP/1.1 429 x\r\n" + noBody, false, balance.ServerError, true},
		{"other success", "HTTP/1.1 206 x\r\n" + noBody, false, balance.ServerError, true},
		{"reset", "", true, balance.ConnectionLost, false},
		{"cut within the body", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nok", true, balance.ConnectionLost, false},
		{"malformed", "what?\r\n\r\n", false, balance.ConnectionLost, false},
		{"too large", "HTTP/1.1 200 OK\r\nContent-Length: 99999\r\n\r\n", false, balance.ConnectionLost, false},
		{"silent", "", false, balance.TimedOut, false},
		{"silent within the body", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nok", false, balance.TimedOut, false},
	} {
		synctest.Test(t, func(t *testing.T) {
			p := newTestPool()
			_, got := p.attempt(0)
			serverConn := <-p.serverConns
			readRequest(t, serverConn)
			respond(serverConn, c.response)
			if c.closes {
				serverConn.Close()
			}
			p.runUntilIdle()
			if c.want == balance.TimedOut {
				assert.Empty(t, *got, c.name)
				time.Sleep(time.Second)
				p.runUntilIdle()
			}
			if assert.Len(t, *got, 1, c.name) {
				r := (*got)[0]
				assert.Equal(t, c.want, r.Outcome, c.name)
				if c.want == balance.Succeeded {
					assert.Equal(t, "ok", string(r.Body), c.name)
				}
				if c.response == okResponse {
					assert.Equal(t, "X-Kept: 1\r\n", string(r.Fields))
				}
			}
			assert.Equal(t, c.reused, p.Total() == 1, c.name)
			p.Close()
			p.runUntilIdle()
			assert.Zero(t, p.Total(), c.name)
			serverConn.Close()
		})
	}
}

// Guards against a large response that is stored, since it does not stream, without memory reserved for it.
func TestLargeResponseIsStoredInReservedMemory(t *testing.T) {
	chunked := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, c := range []struct {
		name, head string
		size       int
		freeMemory int64
		want       balance.Outcome
	}{
		{"enough memory", "HTTP/1.1 200 OK\r\nContent-Length: 400000\r\n\r\n", 400000, 400000, balance.Succeeded},
		{"too little memory", "HTTP/1.1 200 OK\r\nContent-Length: 400000\r\n\r\n", 400000, 399999, balance.ConnectionLost},
		{"cut short", "HTTP/1.1 200 OK\r\nContent-Length: 400000\r\n\r\n", 399999, 1 << 30, balance.ConnectionLost},
		{"over maxReservedBytes", "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n", 400000, 1 << 40,
			balance.ConnectionLost},
		{"chunks", chunked + "61a80\r\n", 400000, maxReservedBytes, balance.Succeeded},
		{"chunks with memory for a small body", chunked + "61a80\r\n", 400000, http1.DefaultMaxBytes, balance.ConnectionLost},
		{"chunks without end", chunked + "ffffff\r\n", 2 * maxReservedBytes, 1 << 30, balance.ConnectionLost},
		{"until close", "HTTP/1.1 200 OK\r\n\r\n", 400000, maxReservedBytes, balance.Succeeded},
	} {
		synctest.Test(t, func(t *testing.T) {
			p := newTestPool()
			p.freeMemory.Store(c.freeMemory)
			_, got := p.attempt(0)
			serverConn := <-p.serverConns
			readRequest(t, serverConn)
			respond(serverConn, c.head)
			respond(serverConn, strings.Repeat("x", c.size))
			if strings.HasPrefix(c.head, chunked) && c.want == balance.Succeeded {
				respond(serverConn, "\r\n0\r\n\r\n")
			}
			serverConn.Close()
			p.runUntilIdle()
			if assert.Len(t, *got, 1, c.name) {
				r := (*got)[0]
				assert.Equal(t, c.want, r.Outcome, c.name)
				if c.want == balance.Succeeded {
					assert.Len(t, r.Body, c.size, c.name)
					assert.Equal(t, c.freeMemory-p.freeMemory.Load(), r.ReservedBytes, "%s: memory to be released", c.name)
				}
			}
			p.Close()
			p.runUntilIdle()
		})
	}
}

// Guards against storing the head or the body of a response that no memory is reserved for, against failing a response
// for which there is memory in time, and against memory that is never released.
func TestResponseWaitsForMemory(t *testing.T) {
	largeHead := "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nX: " + strings.Repeat("x", 60000) + "\r\n\r\n"
	for _, c := range []struct {
		name, head string
		body       int
		freeAfter  time.Duration // when the memory becomes available
		want       balance.Outcome
	}{
		{"small", "HTTP/1.1 200 OK\r\nContent-Length: 4000\r\n\r\n", 4000, time.Minute, balance.Succeeded},
		{"body", "HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n", 60000, time.Second / 2, balance.Succeeded},
		{"body, too late", "HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n", 60000, time.Minute, balance.TimedOut},
		{"head", largeHead, 1, time.Second / 2, balance.Succeeded},
		{"head, too late", largeHead, 1, time.Minute, balance.TimedOut},
	} {
		synctest.Test(t, func(t *testing.T) {
			p := newTestPool()
			const memory = 1 << 20
			p.freeMemory.Store(0)
			time.AfterFunc(c.freeAfter, func() { p.freeMemory.Add(memory) })
			_, got := p.attempt(0)
			serverConn := <-p.serverConns
			readRequest(t, serverConn)
			go respond(serverConn, c.head+strings.Repeat("x", c.body))
			time.Sleep(2 * time.Second)
			p.runUntilIdle()
			if assert.Len(t, *got, 1, c.name) {
				r := (*got)[0]
				assert.Equal(t, c.want, r.Outcome, c.name)
				if r.Outcome == balance.Succeeded {
					assert.Len(t, r.Body, c.body, c.name)
				}
				p.ReleaseMemory(r.ReservedBytes)
			}
			if c.freeAfter < time.Second {
				assert.EqualValues(t, memory, p.freeMemory.Load(), "%s: all memory is released", c.name)
			} else {
				assert.Zero(t, p.freeMemory.Load(), c.name)
			}
			p.Close()
			serverConn.Close()
			time.Sleep(time.Minute)
			p.runUntilIdle()
		})
	}
}

func TestRequestThatIsNotCompleteNeverRan(t *testing.T) {
	for _, c := range []struct {
		name string
		set  func(*testPool)
		cut  bool // the server reads part of the request, then closes the connection
		want balance.Outcome
	}{
		{"refused", func(p *testPool) { p.refuseDials = true }, false, balance.ConnectFailed},
		{"never open", func(p *testPool) { p.hangDials = true }, false, balance.ConnectFailed},
		{"broken before the last byte", func(*testPool) {}, true, balance.ConnectFailed},
		{"not read in time", func(*testPool) {}, false, balance.ConnectFailed},
	} {
		synctest.Test(t, func(t *testing.T) {
			p := newTestPool()
			c.set(p)
			began := time.Now()
			_, got := p.attempt(0)
			if c.cut {
				serverConn := <-p.serverConns
				_, err := io.ReadFull(serverConn, make([]byte, 5))
				assert.NoError(t, err)
				serverConn.Close()
			}
			p.runUntilIdle()
			time.Sleep(75 * time.Millisecond)
			p.runUntilIdle()
			if len(*got) == 0 {
				time.Sleep(time.Second)
				p.runUntilIdle()
			}
			if assert.Len(t, *got, 1, c.name) {
				assert.Equal(t, c.want, (*got)[0].Outcome, c.name)
			}
			if c.name == "never open" {
				assert.Equal(t, p.ConnectTimeout, (*got)[0].EndedAt.Sub(began))
			}
			assert.Zero(t, p.Total())
		})
	}
}

// Guards against delaying a response that is received while its request is still being written: the server may never
// read the rest of the request. A 200 is not accepted then, since a server runs a request only after its last byte.
func TestResponseBeforeRequestIsWritten(t *testing.T) {
	for _, c := range []struct {
		response string
		want     balance.Outcome
	}{
		{"HTTP/1.1 503 too many connections\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n", balance.ServerRejected},
		{"HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n", balance.ServerError},
		{okResponse, balance.ConnectFailed},
	} {
		synctest.Test(t, func(t *testing.T) {
			p := newTestPool()
			began := time.Now()
			_, got := p.attempt(0)
			serverConn := <-p.serverConns
			synctest.Wait() // until the writer blocks, since the server reads nothing
			respond(serverConn, c.response)
			time.Sleep(2 * lateWriteTimeout)
			p.runUntilIdle()
			if assert.Len(t, *got, 1) {
				assert.Equal(t, c.want, (*got)[0].Outcome)
				assert.Equal(t, began, (*got)[0].EndedAt)
			}
			assert.Zero(t, p.Total())
		})
	}
}

// Guards against reading a late response to a canceled attempt as the response to the next request.
func TestCancel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPool()
		ex, got := p.attempt(0)
		<-p.serverConns
		p.runUntilIdle() // the server reads nothing, so the last byte is not written
		p.Cancel(ex)
		p.runUntilIdle()
		assert.Equal(t, balance.NotSent, (*got)[0].Outcome)

		ex, got = p.attempt(0)
		serverConn := <-p.serverConns
		readRequest(t, serverConn)
		p.Cancel(ex)
		p.Cancel(ex)
		p.runUntilIdle()
		assert.Equal(t, balance.Canceled, (*got)[0].Outcome)
		_, err := serverConn.Write([]byte(okResponse))
		assert.Error(t, err)
		assert.Zero(t, p.Total())

		p.hangDials = true
		ex, got = p.attempt(0)
		p.runUntilIdle()
		p.Cancel(ex)
		time.Sleep(p.ConnectTimeout)
		p.runUntilIdle()
		assert.Equal(t, balance.NotSent, (*got)[0].Outcome)
	})
}
