package poller

import (
	"io"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const testTimeout = 5 * time.Second

func connect(tb testing.TB, listener net.Listener) (server, client net.Conn) {
	tb.Helper()
	client, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(tb, err)
	server, err = listener.Accept()
	require.NoError(tb, err)
	tb.Cleanup(func() {
		server.Close()
		client.Close()
	})
	return server, client
}

func newSet(tb testing.TB) (*Set, net.Listener) {
	tb.Helper()
	set := &Set{}
	tb.Cleanup(set.Close)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(tb, err)
	tb.Cleanup(func() { listener.Close() })
	return set, listener
}

func write(tb testing.TB, conn net.Conn, text string) {
	tb.Helper()
	_, err := io.WriteString(conn, text)
	require.NoError(tb, err)
}

// receive returns the next value of woken, and false after testTimeout.
func receive(woken chan int) (int, bool) {
	select {
	case i := <-woken:
		return i, true
	case <-time.After(testTimeout):
		return 0, false
	}
}

func TestWaitIsWokenOncePerBegin(t *testing.T) {
	set, listener := newSet(t)
	server, client := connect(t, listener)
	const wokenByBytes, wokenByEnd = 1, 2
	woken := make(chan int, 10)
	wait := set.Add(server, func(ended bool) {
		woken <- wokenByBytes
		if ended {
			woken <- wokenByEnd
		}
	})
	assert.False(t, set.HasWoken(), "no connection was woken yet")
	write(t, client, "early") // before Arm
	assert.NoError(t, wait.Arm())
	_, ok := receive(woken)
	require.True(t, ok)
	assert.True(t, set.HasWoken())
	write(t, client, "more")
	time.Sleep(20 * time.Millisecond)
	assert.Empty(t, woken, "wake is called only once per Begin")
	assert.NoError(t, wait.Arm()) // the bytes were not read yet
	_, ok = receive(woken)
	require.True(t, ok)
	_, err := server.Read(make([]byte, 100))
	require.NoError(t, err)
	assert.NoError(t, wait.Arm())
	time.Sleep(20 * time.Millisecond)
	assert.Empty(t, woken, "there are no unread bytes")
	client.Close()
	_, ok = receive(woken)
	assert.True(t, ok, "woken by the close of the peer")
	got, ok := receive(woken)
	assert.True(t, ok && got == wokenByEnd, "wake must report that the connection has ended")
	wait.Remove()
	server.Close()
	assert.Error(t, wait.Arm())
}

// Guards against waking a closed connection instead of the new one that reuses its file descriptor.
func TestDescriptorsAreUsedAgain(t *testing.T) {
	set, listener := newSet(t)
	woken := make(chan int, 10)
	for i := range 20 {
		server, client := connect(t, listener)
		wait := set.Add(server, func(bool) { woken <- i })
		assert.NoError(t, wait.Arm())
		write(t, client, "x")
		got, ok := receive(woken)
		require.True(t, ok)
		assert.Equal(t, i, got)
		if i%2 == 0 {
			wait.Remove()
		}
		server.Close()
		client.Close()
	}
}

func TestManyConnections(t *testing.T) {
	const rounds, connections = 10, 10 * wakeBatchSize
	set, listener := newSet(t)
	var echoing sync.WaitGroup
	var clients []net.Conn
	for range connections {
		server, client := connect(t, listener)
		woken := make(chan struct{}, 1)
		wait := set.Add(server, func(bool) { woken <- struct{}{} })
		echoing.Go(func() {
			for range rounds {
				if !assert.NoError(t, wait.Arm()) {
					return
				}
				<-woken
				echoByte(t, server)
			}
		})
		clients = append(clients, client)
	}
	for i := range rounds {
		sent := byte(i)
		for _, client := range clients {
			_, err := client.Write([]byte{sent})
			require.NoError(t, err)
		}
		for _, client := range clients {
			received := make([]byte, 1)
			client.SetReadDeadline(time.Now().Add(testTimeout))
			_, err := io.ReadFull(client, received)
			require.NoError(t, err)
			require.Equal(t, sent, received[0])
		}
	}
	echoing.Wait()
}

func echoByte(t *testing.T, conn net.Conn) {
	t.Helper()
	received := make([]byte, 1)
	_, err := conn.Read(received)
	assert.NoError(t, err)
	_, err = conn.Write(received)
	assert.NoError(t, err)
}

// Guards against waking all connections that have unread bytes before any of them is served, in a program that runs on
// one core.
func TestFewAreMadeReadyAtOnce(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	set, listener := newSet(t)
	const connections = 8 * wakeBatchSize
	var ready, maxReady atomic.Int64
	var waits []*Registration
	var served sync.WaitGroup
	for range connections {
		server, client := connect(t, listener)
		write(t, client, "x")
		woken := make(chan struct{}, 1)
		waits = append(waits, set.Add(server, func(bool) {
			maxReady.Store(max(maxReady.Load(), ready.Add(1)))
			woken <- struct{}{}
		}))
		served.Go(func() {
			<-woken
			ready.Add(-1)
		})
	}
	for _, wait := range waits {
		require.NoError(t, wait.Arm())
	}
	served.Wait()
	assert.LessOrEqual(t, maxReady.Load(), int64(3*wakeBatchSize))
}

// Guards against a call of Wait that never returns where the runtime does not report the eventfd as readable.
func TestRoundsEnd(t *testing.T) {
	waiter := NewPollWaiter()
	for range 3 {
		waiter.Wait()
	}
	waiter.read = func(uintptr) bool { return false } // the eventfd is never readable
	began := time.Now()
	waiter.Wait()
	assert.GreaterOrEqual(t, time.Since(began), maxRoundDuration)
	waiter.Close()
	waiter.Wait()
	(&PollWaiter{}).Wait()
}

func TestOnlySocketsCanWait(t *testing.T) {
	set, _ := newSet(t)
	server, _ := net.Pipe()
	assert.Nil(t, set.Add(server, nil))
	set.Close()
}
