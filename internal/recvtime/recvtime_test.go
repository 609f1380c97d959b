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

// stamps waits until the system stamps what comes: the first socket to ask for it has it begin soon after.
func stamps(t testing.TB, r *Reader, theirs net.Conn) {
	require.Eventually(t, func() bool {
		io.WriteString(theirs, "x")
		r.Read(make([]byte, 1))
		return !r.Received().IsZero()
	}, 10*time.Second, time.Millisecond)
}

func pair(t testing.TB) (ours, theirs net.Conn) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	theirs, err = net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	ours, err = ln.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { ours.Close(); theirs.Close() })
	return ours, theirs
}

// Danger: the time in which bytes wait for this program, which is busy, would be taken for the other side's.
func TestReceived(t *testing.T) {
	ours, theirs := pair(t)
	r := NewReader(ours)
	assert.Zero(t, r.Received())
	stamps(t, r, theirs)
	before := time.Now()
	io.WriteString(theirs, "hello")
	after := time.Now()
	time.Sleep(50 * time.Millisecond) // busy with other things
	buf := make([]byte, 10)
	n, err := r.Read(buf)
	assert.NoError(t, err)
	assert.Equal(t, "hello", string(buf[:n]))
	assert.WithinRange(t, r.Received(), before.Add(-time.Millisecond), after.Add(time.Millisecond))

	go func() {
		time.Sleep(10 * time.Millisecond)
		io.WriteString(theirs, "more")
	}()
	n, err = r.Read(buf) // waits for it
	assert.NoError(t, err)
	assert.Equal(t, "more", string(buf[:n]))
	theirs.Close()
	_, err = r.Read(buf)
	assert.Equal(t, io.EOF, err)
	_, err = r.Read(buf)
	assert.Equal(t, io.EOF, err)
}

// Danger: an answer that came in time is taken for none because this program was held up until after its deadline.
func TestPastDeadline(t *testing.T) {
	ours, theirs := pair(t)
	r := NewReader(ours)
	io.WriteString(theirs, "in time")
	time.Sleep(10 * time.Millisecond)
	ours.SetReadDeadline(time.Unix(1, 0))
	buf := make([]byte, 10)
	n, err := r.Read(buf)
	assert.NoError(t, err)
	assert.Equal(t, "in time", string(buf[:n]))
	_, err = r.Read(buf)
	assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
	ours.Close()
	_, err = r.Read(buf)
	assert.ErrorIs(t, err, net.ErrClosed)
}

func TestNoSocket(t *testing.T) {
	ours, theirs := net.Pipe()
	r := NewReader(ours)
	go io.WriteString(theirs, "hello")
	n, err := r.Read(make([]byte, 10))
	assert.NoError(t, err)
	assert.Equal(t, 5, n)
	assert.Zero(t, r.Received())
}

func TestReset(t *testing.T) {
	one, other := pair(t)
	r := NewReader(one)
	stamps(t, r, other)
	two, _ := pair(t)
	r.Reset(two)
	assert.Zero(t, r.Received())
	two.Close()
	_, err := r.Read(make([]byte, 1))
	assert.ErrorIs(t, err, net.ErrClosed)
}

// Danger: a clock that was set between a stamp and its reading would tell waits of hours, or of less than nothing.
func TestClockSet(t *testing.T) {
	now := time.Now()
	for _, c := range []struct {
		name   string
		before time.Duration // now
		known  bool
	}{{"just now", 0, true}, {"a while ago", time.Second, true}, {"set forward", time.Hour, false}, {"set back", -time.Millisecond, false}} {
		at := now.Add(-c.before)
		got := when(unix.NsecToTimespec(at.UnixNano()), now)
		assert.Equal(t, c.known, !got.IsZero(), c.name)
		if c.known {
			assert.Equal(t, c.before, now.Sub(got), c.name)
		}
	}
}

// BenchmarkRead tells what a read costs with times and without.
func BenchmarkRead(b *testing.B) {
	for _, c := range []struct {
		name string
		from func(nc net.Conn) io.Reader
	}{{"plain", func(nc net.Conn) io.Reader { return nc }}, {"stamped", func(nc net.Conn) io.Reader { return NewReader(nc) }}} {
		b.Run(c.name, func(b *testing.B) {
			ours, theirs := pair(b)
			from, one := c.from(ours), make([]byte, 1)
			chunk := make([]byte, 1<<10)
			b.ReportAllocs()
			for i := 0; i < b.N; i++ {
				if i%len(chunk) == 0 {
					b.StopTimer()
					theirs.Write(chunk)
					b.StartTimer()
				}
				from.Read(one)
			}
		})
	}
}
