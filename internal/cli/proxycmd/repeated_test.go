package proxycmd

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	leavingClients   = 60
	leavingSteps     = 17 // each client leaves a millisecond after the one before, in so many steps
	pipelinedWrites  = 3  // requests of each client, which no server may run twice
	clientInterval   = 15 * time.Millisecond
	minRepeatDelay   = 2 * time.Millisecond // from a client's close to its next connection, and more
	repeatedReadTime = 1500 * time.Millisecond
)

// writeRequests returns non-idempotent requests of one client, which it sends at once.
func writeRequests(client int) string {
	var text strings.Builder
	for n := range pipelinedWrites {
		fmt.Fprintf(&text, "POST /write?slow HTTP/1.1\r\nHost: x\r\nX-Qos: write\r\nX-Trace-Id: w%d-%d\r\n"+
			"X-Expires-In: 0.9\r\nContent-Length: 0\r\n\r\n", client, n)
	}
	return text.String()
}

// leaveAndRepeat makes clients connect, send their requests one client after the other and leave, each after another
// time, then send the same requests on connections of their own. connected is called once they are connected.
func (s *testEnvironment) leaveAndRepeat(count int, interval time.Duration, connected func()) {
	var clients sync.WaitGroup
	sendNow := make(chan struct{})
	for client := range count {
		conn, err := net.Dial("tcp", s.addr)
		require.NoError(s.t, err)
		clients.Go(func() {
			<-sendNow
			time.Sleep(time.Duration(client) * interval)
			send(conn, []byte(writeRequests(client)))
			time.Sleep(time.Duration(client%leavingSteps) * time.Millisecond)
			conn.Close()
			time.Sleep(minRepeatDelay + time.Duration(client)*time.Millisecond)
			s.repeat(client)
		})
	}
	time.Sleep(20 * time.Millisecond) // until the connections are accepted
	connected()
	close(sendNow)
	clients.Wait()
}

// repeat sends a client's requests on a new connection and reads the responses.
func (s *testEnvironment) repeat(client int) {
	conn, err := net.Dial("tcp", s.addr)
	if !assert.NoError(s.t, err) {
		return
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(repeatedReadTime))
	send(conn, []byte(writeRequests(client)))
	drain(conn)
}

// countRuns returns how many requests ran, and how many of them more than once.
func (s *testEnvironment) countRuns() (ran, repeated int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, runs := range s.runs {
		ran++
		if runs > 1 {
			repeated++
		}
	}
	return ran, repeated
}

// Guards against running a request twice that comes again after its client has left: the attempt of the first one may
// have run, or may still run.
func TestRequestOfAClientThatLeftRunsOnce(t *testing.T) {
	s := newTestEnvironment(t, 64, 1024)
	p := s.startReady()
	s.testRunsOnce(func() {})
	p.stop()
}

// Guards against the same at the other process of an upgrade, which did not receive the first one.
func TestRequestOfAClientThatLeftRunsOnceInAnUpgrade(t *testing.T) {
	s := newTestEnvironment(t, 64, 1024)
	old := s.startReady()
	var next *process
	s.testRunsOnce(func() { next = s.startReady() })
	old.stop()
	next.stop()
}

func (s *testEnvironment) testRunsOnce(connected func()) {
	s.leaveAndRepeat(leavingClients, clientInterval, connected)
	ran, repeated := s.countRuns()
	s.t.Logf("%d requests ran", ran)
	assert.Greater(s.t, ran, leavingClients*pipelinedWrites/2)
	assert.Zero(s.t, repeated)
}

// Guards against sending what clients that have closed had sent ahead: nothing may begin over 0.1 s after the close,
// although their connections wait for turns behind a flood.
func TestNothingIsSentLongAfterAClose(t *testing.T) {
	const clients, pipelined, allowed = 60, 60, 100 * time.Millisecond
	s := newTestEnvironment(t, 64, 1024)
	p := s.startReady()
	wait := pipelinedChecks.start(s.addr)
	var connections []net.Conn
	for client := range clients {
		conn, err := net.Dial("tcp", s.addr)
		require.NoError(t, err)
		connections = append(connections, conn)
		var requests strings.Builder
		for n := range pipelined {
			requests.WriteString(lookRequest(fmt.Sprintf("p%d-%d", client, n), "?slow"))
		}
		send(conn, []byte(requests.String()))
	}
	time.Sleep(minRepeatDelay)
	for _, conn := range connections {
		conn.Close()
	}
	time.Sleep(allowed)
	early, _ := s.countRuns()
	time.Sleep(floodDuration / 2)
	all, _ := s.countRuns()
	t.Logf("%d requests ran, %d of them over %v after the close", all, all-early, allowed)
	assert.Equal(t, early, all)
	wait()
	p.stop()
}
