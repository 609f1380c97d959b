package faultproxy

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const testTimeout = 5 * time.Second

// startEchoServer starts a server that sends back what it receives.
func startEchoServer(t *testing.T) (addr string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go echo(conn)
		}
	}()
	return listener.Addr().String()
}

func echo(conn net.Conn) {
	defer conn.Close()
	_, _ = io.Copy(conn, conn) // the client fails if its echo does not arrive
}

func dial(t *testing.T, relay *Relay) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", relay.Addr())
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	return conn
}

// roundTrip sends a text, waits for its echo and returns how long that took.
func roundTrip(conn net.Conn, text string, timeout time.Duration) (time.Duration, error) {
	began := time.Now()
	conn.SetDeadline(began.Add(timeout))
	if _, err := io.WriteString(conn, text); err != nil {
		return 0, err
	}
	_, err := io.ReadFull(conn, make([]byte, len(text)))
	return time.Since(began), err
}

func TestFaults(t *testing.T) {
	relay, err := Open(startEchoServer(t))
	require.NoError(t, err)
	t.Cleanup(relay.Close)
	text := strings.Repeat("x", 2000)
	conn := dial(t, relay)
	_, err = roundTrip(conn, text, testTimeout)
	assert.NoError(t, err)
	for _, fault := range []Fault{{Delay: 50 * time.Millisecond}, {BytesPerSecond: 20_000}} {
		relay.SetFault(fault)
		duration, err := roundTrip(conn, text, testTimeout)
		assert.NoError(t, err)
		assert.Greater(t, duration, 90*time.Millisecond, "%+v applies in each direction", fault)
	}
	relay.SetFault(Fault{Silent: true})
	_, err = roundTrip(conn, text, 100*time.Millisecond)
	assert.ErrorContains(t, err, "timeout")
	relay.SetFault(Fault{})
	conn.SetReadDeadline(time.Now().Add(testTimeout))
	_, err = io.ReadFull(conn, make([]byte, len(text)))
	assert.NoError(t, err, "bytes received while silent are relayed afterwards")
	relay.Cut()
	_, err = roundTrip(conn, text, testTimeout)
	assert.Error(t, err)
	relay.SetFault(Fault{Refuse: true})
	_, err = roundTrip(dial(t, relay), text, testTimeout)
	assert.Error(t, err)
}
