package proxy

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
)

// identifiedResponse returns a successful response whose body names the request that it answers.
func identifiedResponse(id string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(id), id)
}

func identifiedChunks(id string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(id), id)
}

// lastRequestID returns the X-Trace-Id of the last request that a server has received, and how often it was received.
func (env *testEnv) lastRequestID() (id string, times int) {
	env.mu.Lock()
	defer env.mu.Unlock()
	for _, received := range env.received {
		id = strings.Split(received, " ")[3]
	}
	for _, received := range env.received {
		if strings.Split(received, " ")[3] == id {
			times++
		}
	}
	return id, times
}

// Guards against serving a client with the response to another client's request, and against running a request twice
// because another one was rejected. A server sends a second response, or noise, right behind a complete response, just
// after the next request was written on the same connection.
func TestSecondResponseIsNotTakenForTheNext(t *testing.T) {
	never := func(string) string { return neverRanResponse }
	noise := func(string) string { return "noise\r\n\r\n" }
	for _, c := range []struct {
		name          string
		first, second func(id string) string // both responses to the first request
		delay         time.Duration          // from the first response to the second
		firstTakes    time.Duration          // from the first request to its first response
		healthCheck   bool                   // the first request is a health check
	}{
		{"at once", identifiedResponse, identifiedResponse, 0, 0, false},
		{"right behind", identifiedResponse, identifiedResponse, 100 * time.Microsecond, 0, false},
		{"some milliseconds late", identifiedResponse, identifiedResponse, 9 * time.Millisecond, 0, false},
		{"streamed", identifiedChunks, identifiedChunks, time.Millisecond, 0, false},
		{"rejected", never, never, time.Millisecond, 0, false},
		{"noise", identifiedResponse, noise, time.Millisecond, 0, false},
		{"health check", identifiedResponse, identifiedResponse, time.Millisecond, 0, true},
		{"while the next request waits", identifiedResponse, identifiedResponse, time.Millisecond, serverReuseDelay, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				env := newEnv(t, map[string][]string{"b1": {okResponse}}, nil)
				firstDone := make(chan bool)
				env.respondWith = func(end net.Conn) {
					id, _ := env.lastRequestID()
					if id != "" && id != "t1" {
						time.Sleep(2 * serverReuseDelay)
						write(end, identifiedResponse(id))
						return
					}
					time.Sleep(c.firstTakes)
					write(end, c.first(id))
					go func() {
						<-firstDone
						time.Sleep(c.delay)
						write(end, c.second(id))
					}()
				}
				env.start()
				if c.healthCheck {
					env.post(func() { env.healthCheck(env.pools.platform, 0) })
					synctest.Wait()
				} else {
					_, _, _, err := env.roundTrip(idempotentRequest)
					assert.NoError(t, err, c.name)
				}
				close(firstDone)
				if c.delay > 0 {
					time.Sleep(c.delay - 1)
				}
				for _, id := range []string{"t4", "t5"} {
					status, _, body, err := env.roundTrip(strings.Replace(nonIdempotentRequest, "t3", id, 1))
					assert.NoError(t, err, c.name)
					assert.Equal(t, 200, status, c.name)
					assert.Equal(t, id, body, c.name)
					_, times := env.lastRequestID()
					assert.Equal(t, 1, times, "%s: the request is sent once", c.name)
				}
				env.post(func() { assert.Equal(t, 1, env.upstream.Unsolicited, c.name) })
				synctest.Wait()
				env.stopAndWait()
			})
		})
	}
}
