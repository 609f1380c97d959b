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

func pair(t testing.TB, ln net.Listener) (ours, theirs net.Conn) {
	theirs, err := net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	ours, err = ln.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { ours.Close(); theirs.Close() })
	return ours, theirs
}

func begin(t testing.TB) (*Set, net.Listener) {
	s := &Set{}
	t.Cleanup(s.Close)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	return s, ln
}

// told waits for a wake.
func told(woken chan int) (int, bool) {
	select {
	case i := <-woken:
		return i, true
	case <-time.After(5 * time.Second):
		return 0, false
	}
}

func TestWakes(t *testing.T) {
	s, ln := begin(t)
	ours, theirs := pair(t, ln)
	woken := make(chan int, 10)
	w := s.Add(ours, func(ended bool) {
		woken <- 1
		if ended {
			woken <- 2
		}
	})
	assert.False(t, s.Works(), "nobody was woken yet")
	io.WriteString(theirs, "early") // before it waits
	assert.NoError(t, w.Begin())
	_, ok := told(woken)
	require.True(t, ok)
	assert.True(t, s.Works())
	io.WriteString(theirs, "more")
	time.Sleep(20 * time.Millisecond)
	assert.Empty(t, woken, "once for each time that it waits")
	assert.NoError(t, w.Begin()) // what it was woken for was not read
	_, ok = told(woken)
	require.True(t, ok)
	buf := make([]byte, 100)
	ours.Read(buf)
	assert.NoError(t, w.Begin())
	time.Sleep(20 * time.Millisecond)
	assert.Empty(t, woken, "there is nothing to read")
	theirs.Close()
	_, ok = told(woken)
	assert.True(t, ok, "the other side's end")
	got, ok := told(woken)
	assert.True(t, ok && got == 2, "and that it has ended")
	w.Forget()
	ours.Close()
	assert.Error(t, w.Begin())
}

// Danger: the number of a connection that was closed is given to another, which would be woken for it or not at all.
func TestNumbers(t *testing.T) {
	s, ln := begin(t)
	woken := make(chan int, 10)
	for i := range 20 {
		ours, theirs := pair(t, ln)
		w := s.Add(ours, func(bool) { woken <- i })
		assert.NoError(t, w.Begin())
		io.WriteString(theirs, "x")
		got, ok := told(woken)
		require.True(t, ok)
		assert.Equal(t, i, got)
		if i%2 == 0 {
			w.Forget()
		}
		ours.Close()
		theirs.Close()
	}
}

func TestMany(t *testing.T) {
	s, ln := begin(t)
	const many = 10 * atOnce
	var all sync.WaitGroup
	var ends []net.Conn
	for range many {
		ours, theirs := pair(t, ln)
		woken := make(chan struct{}, 1)
		w := s.Add(ours, func(bool) { woken <- struct{}{} })
		all.Go(func() { // answers each byte, ten times
			for range 10 {
				if !assert.NoError(t, w.Begin()) {
					return
				}
				<-woken
				one := make([]byte, 1)
				ours.Read(one)
				ours.Write(one)
			}
		})
		ends = append(ends, theirs)
	}
	for n := range 10 {
		for _, c := range ends {
			c.Write([]byte{byte(n)})
		}
		for _, c := range ends {
			one := make([]byte, 1)
			c.SetReadDeadline(time.Now().Add(5 * time.Second))
			_, err := io.ReadFull(c, one)
			require.NoError(t, err)
			require.Equal(t, byte(n), one[0])
		}
	}
	all.Wait()
}

// Danger: with one core, all that have something to read would be made ready before any of them is served.
func TestFewAtOnce(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	s, ln := begin(t)
	const many = 8 * atOnce
	var ready, most atomic.Int64
	var all []*Wait
	var served sync.WaitGroup
	for range many {
		ours, theirs := pair(t, ln)
		io.WriteString(theirs, "x")
		woken := make(chan struct{}, 1)
		all = append(all, s.Add(ours, func(bool) {
			most.Store(max(most.Load(), ready.Add(1)))
			woken <- struct{}{}
		}))
		served.Go(func() {
			<-woken
			ready.Add(-1)
		})
	}
	for _, w := range all {
		require.NoError(t, w.Begin())
	}
	served.Wait()
	assert.LessOrEqual(t, most.Load(), int64(3*atOnce))
}

// Danger: where the runtime never says that a round has begun, whoever waits for it would wait for ever.
func TestRoundsEnd(t *testing.T) {
	r := NewRound()
	for range 3 {
		r.Next()
	}
	r.take = func(uintptr) bool { return false } // nothing ever comes
	began := time.Now()
	r.Next()
	assert.GreaterOrEqual(t, time.Since(began), roundMost)
	r.Close()
	r.Next()
	(&Round{}).Next()
}

func TestNoSocket(t *testing.T) {
	s, _ := begin(t)
	ours, _ := net.Pipe()
	assert.Nil(t, s.Add(ours, nil))
	s.Close()
}
