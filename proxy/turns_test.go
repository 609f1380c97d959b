package proxy

import (
	"io"
	"net"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lockloom/internal/recvtime"
)

// newTurns returns a scheduler that gives turns only when the test makes it.
func newTurns() *turnScheduler {
	turns := &turnScheduler{}
	turns.init(clock{startedAt: time.Now()})
	return turns
}

// waitForWaiters waits until a number of connections wait for a turn.
func (s *turnScheduler) waitForWaiters(t *testing.T, count int) {
	t.Helper()
	require.Eventually(t, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.queue.Len() == count
	}, 5*time.Second, time.Millisecond)
}

// Guards against counting as the client's slowness the time for which its body waits for a turn.
func TestBodyDoesNotPayForItsWaitForATurn(t *testing.T) {
	turns := newTurns()
	share := newConnShare(turns)
	share.charge(1)
	ours, theirs := net.Pipe()
	defer theirs.Close()
	body := &pacedBodyReader{conn: ours, source: strings.NewReader("abc"), share: share, grace: time.Millisecond}
	read := make(chan error)
	go func() {
		_, err := body.Read(make([]byte, 3))
		read <- err
	}()
	turns.waitForWaiters(t, 1)
	time.Sleep(20 * body.grace)
	turns.giveTurns(1)
	assert.NoError(t, <-read)
	assert.Less(t, body.waited, 10*body.grace)
}

// Guards against goroutines that outlive their connections by their waits for turns, with the memory that they hold:
// the rest of an upload that its server does not need is read until its connection closes.
func TestWaitForATurnEndsWithItsConnection(t *testing.T) {
	turns := newTurns()
	share := newConnShare(turns)
	share.charge(1)
	ended := make(chan struct{})
	go func() {
		share.awaitTurn()
		share.awaitTurn() // also one that begins later
		close(ended)
	}()
	turns.waitForWaiters(t, 1)
	share.close()
	<-ended
	assert.Zero(t, turns.queue.Len())
}

// Guards against a response that waits for the turn of the read that watches its connection.
func TestWatchOfAConnectionDoesNotWaitForATurn(t *testing.T) {
	turns := newTurns()
	share := newConnShare(turns)
	share.charge(1)
	ours, theirs := net.Pipe()
	defer theirs.Close()
	source := meteredSource{source: recvtime.NewReader(ours), share: share, ahead: true}
	go write(theirs, "x")
	n, err := source.Read(make([]byte, 1))
	assert.NoError(t, err)
	assert.Equal(t, 1, n)
	assert.Zero(t, turns.waits.Load())
}

// Guards against connections that keep a core to themselves: bytes that another one receives meanwhile must be read
// after few of their turns, although their work never waits for anything.
func TestOthersRunBetweenTurns(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	const turnTime, busyConnections, rounds = 250 * time.Microsecond, 8, 40
	turns := newTurns()
	quit, ended, stop := make(chan struct{}), make(chan struct{}), make(chan struct{})
	go func() {
		turns.run(quit)
		close(ended)
	}()
	var running sync.WaitGroup
	for range busyConnections {
		running.Go(func() {
			share := newConnShare(turns)
			share.charge(1)
			for {
				select {
				case <-stop:
					return
				default:
				}
				share.awaitTurn()
				for began := time.Now(); time.Since(began) < turnTime; { // it only computes
				}
				share.charge(turnTime.Seconds())
			}
		})
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	client, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	server, err := listener.Accept()
	require.NoError(t, err)
	running.Go(func() {
		_, _ = io.Copy(server, server) // echoes until the client closes
		server.Close()
	})
	began := time.Now()
	for range rounds { // each needs two polls of the runtime
		write(client, "x")
		_, err = client.Read(make([]byte, 1))
		require.NoError(t, err)
	}
	took := time.Since(began)
	client.Close()
	close(stop)
	running.Wait()
	close(quit)
	<-ended
	t.Logf("%d exchanges took %v", rounds, took)
	assert.Less(t, took, 2*rounds*4*turnTime)
}
