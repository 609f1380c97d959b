package peers

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lockloom/balance"
	"lockloom/internal/notes"
)

type told struct {
	from int
	n    balance.Note
}

// port is a loopback address that was free a moment ago.
func port(t *testing.T) string {
	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(t, err)
	defer c.Close()
	return c.LocalAddr().String()
}

// pair is two proxies' links and what the second one hears.
func pair(t *testing.T) (*Link, *Link, chan told) {
	heard := make(chan told, 10)
	a, b := port(t), port(t)
	one, err := Open(a, 0, map[int]string{1: b}, func(int, balance.Note) {})
	require.NoError(t, err)
	two, err := Open(b, 1, map[int]string{0: a}, func(from int, n balance.Note) { heard <- told{from, n} })
	require.NoError(t, err)
	t.Cleanup(one.Close)
	t.Cleanup(two.Close)
	return one, two, heard
}

func TestANoteArrives(t *testing.T) {
	one, _, heard := pair(t)
	n := balance.Note{Rate: 2, Sights: []balance.Sight{{Mark: 7, Tariff: 1, Age: 0.1}}}
	one.Tell(1, n)
	select {
	case got := <-heard:
		assert.Equal(t, told{0, n}, got)
	case <-time.After(5 * time.Second):
		t.Fatal("no note came")
	}
	one.Tell(5, n) // a number that is nobody's
	assert.EqualValues(t, 1, one.Sent.Load())
}

func TestGarbageIsDropped(t *testing.T) {
	one, two, heard := pair(t)
	stranger, err := net.Dial("udp", two.Addr())
	require.NoError(t, err)
	defer stranger.Close()
	note := notes.Encode(balance.Note{Rate: 1})
	dropped := int64(0)
	for _, c := range []struct {
		name string
		from func([]byte) (int, error)
		data []byte
	}{
		{"nothing", stranger.Write, nil},
		{"no number", stranger.Write, []byte{0}},
		{"a stranger under a peer's number", stranger.Write, append([]byte{0, 0}, note...)},
		{"garbage from a peer", one.raw(two), []byte{0, 0, 9, 9, 9}},
		{"too long from a peer", one.raw(two), make([]byte, 2000)},
		{"from itself", one.raw(two), append([]byte{0, 1}, note...)},
	} {
		_, err := c.from(c.data)
		require.NoError(t, err, c.name)
		dropped++
		assert.Eventually(t, func() bool { return two.Dropped.Load() == dropped }, 5*time.Second, time.Millisecond, c.name)
	}
	assert.Empty(t, heard)
}

// raw sends bytes as they are.
func (l *Link) raw(to *Link) func([]byte) (int, error) {
	return func(data []byte) (int, error) { return l.conn.WriteToUDP(data, to.conn.LocalAddr().(*net.UDPAddr)) }
}

func TestAPeerThatIsGone(t *testing.T) {
	one, two, _ := pair(t)
	two.Close()
	for range 3 { // the system may tell of the first at the second
		one.Tell(1, balance.Note{})
		time.Sleep(time.Millisecond)
	}
	again, err := Open(two.Addr(), 1, map[int]string{0: one.Addr()}, func(int, balance.Note) {})
	require.NoError(t, err, "its address is free again")
	t.Cleanup(again.Close)
	assert.Eventually(t, func() bool { one.Tell(1, balance.Note{}); return again.Heard.Load() > 0 }, 5*time.Second, time.Millisecond)
}

func TestUnusableAddresses(t *testing.T) {
	_, err := Open("nowhere", 0, nil, nil)
	assert.ErrorContains(t, err, "peers: ")
	_, err = Open("127.0.0.1:0", 0, map[int]string{3: "nowhere"}, nil)
	assert.ErrorContains(t, err, "peer 3: ")
}
