package recvtime

import (
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// waitForTimestamps waits until the system timestamps received bytes, which it does only some time after the first
// socket has enabled it.
func waitForTimestamps(tb testing.TB, reader *Reader, client net.Conn) {
	tb.Helper()
	stamped := func() bool {
		write(tb, client, "x")
		_, err := reader.Read(make([]byte, 1))
		return err == nil && !reader.Received().IsZero()
	}
	require.Eventually(tb, stamped, 10*time.Second, time.Millisecond)
}

func connect(tb testing.TB) (server, client net.Conn) {
	tb.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(tb, err)
	defer listener.Close()
	client, err = net.Dial("tcp", listener.Addr().String())
	require.NoError(tb, err)
	server, err = listener.Accept()
	require.NoError(tb, err)
	tb.Cleanup(func() {
		server.Close()
		client.Close()
	})
	return server, client
}

func write(tb testing.TB, conn net.Conn, text string) {
	tb.Helper()
	_, err := io.WriteString(conn, text)
	assert.NoError(tb, err)
}

// Guards against adding to the latency of the peer the time for which a busy program leaves received bytes unread.
func TestReceivedIsBeforeTheRead(t *testing.T) {
	server, client := connect(t)
	reader := NewReader(server)
	assert.Zero(t, reader.Received())
	waitForTimestamps(t, reader, client)
	before := time.Now()
	write(t, client, "hello")
	after := time.Now()
	time.Sleep(50 * time.Millisecond) // simulates a busy program
	buffer := make([]byte, 10)
	n, err := reader.Read(buffer)
	assert.NoError(t, err)
	assert.Equal(t, "hello", string(buffer[:n]))
	assert.WithinRange(t, reader.Received(), before.Add(-time.Millisecond), after.Add(time.Millisecond))

	go func() {
		time.Sleep(10 * time.Millisecond)
		write(t, client, "more")
	}()
	n, err = reader.Read(buffer) // blocks until the write
	assert.NoError(t, err)
	assert.Equal(t, "more", string(buffer[:n]))
	client.Close()
	_, err = reader.Read(buffer)
	assert.Equal(t, io.EOF, err)
	_, err = reader.Read(buffer)
	assert.Equal(t, io.EOF, err)
}

// Guards against a timeout for bytes that were received in time, but read after the deadline by a busy program.
func TestReadPastDeadline(t *testing.T) {
	server, client := connect(t)
	reader := NewReader(server)
	write(t, client, "in time")
	time.Sleep(10 * time.Millisecond)
	server.SetReadDeadline(time.Unix(1, 0))
	buffer := make([]byte, 10)
	n, err := reader.Read(buffer)
	assert.NoError(t, err)
	assert.Equal(t, "in time", string(buffer[:n]))
	_, err = reader.Read(buffer)
	assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
	server.Close()
	_, err = reader.Read(buffer)
	assert.ErrorIs(t, err, net.ErrClosed)
}

func TestReadWithoutSocket(t *testing.T) {
	server, client := net.Pipe()
	reader := NewReader(server)
	go write(t, client, "hello")
	n, err := reader.Read(make([]byte, 10))
	assert.NoError(t, err)
	assert.Equal(t, 5, n)
	assert.Zero(t, reader.Received())
}

func TestReset(t *testing.T) {
	first, client := connect(t)
	reader := NewReader(first)
	waitForTimestamps(t, reader, client)
	second, _ := connect(t)
	reader.Reset(second)
	assert.Zero(t, reader.Received())
	second.Close()
	_, err := reader.Read(make([]byte, 1))
	assert.ErrorIs(t, err, net.ErrClosed)
}

// Guards against a wrong receive time, hours before the read or after it, if the system clock is set after bytes are
// received and before they are read.
func TestReceiveTimeWhenTheClockIsSet(t *testing.T) {
	now := time.Now()
	for _, c := range []struct {
		name  string
		age   time.Duration // of the timestamp
		known bool
	}{
		{"just now", 0, true},
		{"a while ago", time.Second, true},
		{"set forward", time.Hour, false},
		{"set back", -time.Millisecond, false},
	} {
		stamp := unix.NsecToTimespec(now.Add(-c.age).UnixNano())
		received := receiveTime(stamp, now)
		assert.Equal(t, c.known, !received.IsZero(), c.name)
		if c.known {
			assert.Equal(t, c.age, now.Sub(received), c.name)
		}
	}
}

// BenchmarkRead compares reads with and without receive times.
func BenchmarkRead(b *testing.B) {
	for _, c := range []struct {
		name   string
		reader func(conn net.Conn) io.Reader
	}{
		{"plain", func(conn net.Conn) io.Reader { return conn }},
		{"stamped", func(conn net.Conn) io.Reader { return NewReader(conn) }},
	} {
		b.Run(c.name, func(b *testing.B) {
			server, client := connect(b)
			reader, one := c.reader(server), make([]byte, 1)
			chunk := make([]byte, 1<<10)
			b.ReportAllocs()
			for i := range b.N {
				if i%len(chunk) == 0 {
					b.StopTimer()
					_, err := client.Write(chunk)
					require.NoError(b, err)
					b.StartTimer()
				}
				if _, err := reader.Read(one); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
