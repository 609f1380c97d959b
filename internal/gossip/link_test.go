package gossip

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lockloom/balance"
)

// pair is two proxies' links, of which the first tells, and what the second hears.
func pair(t *testing.T) (one, two *Link, heard chan balance.GossipMessage) {
	heard = make(chan balance.GossipMessage, 10)
	one, err := Open("127.0.0.1:0", 0, nil, nil)
	require.NoError(t, err)
	two, err = Open("127.0.0.1:0", 1, map[int]string{0: one.Addr()}, func(from int, n balance.GossipMessage) {
		assert.Zero(t, from)
		heard <- n
	})
	require.NoError(t, err)
	one.bank[1] = netip.MustParseAddrPort(two.Addr())
	t.Cleanup(one.Close)
	t.Cleanup(two.Close)
	return one, two, heard
}

func TestOnlyAPeersNotesAreHeard(t *testing.T) {
	one, two, heard := pair(t)
	stranger, err := net.Dial("udp", two.Addr())
	require.NoError(t, err)
	defer stranger.Close()
	peer := func(data []byte) (int, error) { return one.conn.WriteToUDPAddrPort(data, one.bank[1]) }
	note := Encode(balance.GossipMessage{Rate: 1})
	for i, c := range []struct {
		name string
		from func([]byte) (int, error)
		data []byte
	}{
		{"nothing", stranger.Write, nil},
		{"no number", stranger.Write, []byte{0}},
		{"a stranger under a peer's number", stranger.Write, append([]byte{0, 0}, note...)},
		{"garbage from a peer", peer, []byte{0, 0, 9, 9, 9}},
		{"too long from a peer", peer, make([]byte, 2000)},
		{"under the number of who hears it", peer, append([]byte{0, 1}, note...)},
	} {
		_, err := c.from(c.data)
		require.NoError(t, err, c.name)
		assert.Eventually(t, func() bool { return two.Dropped.Load() == int64(i+1) }, 5*time.Second, time.Millisecond, c.name)
	}
	assert.Empty(t, heard)
	n := balance.GossipMessage{Rate: 2, Observations: []balance.Observation{{NameHash: 7, Class: 1, Age: 0.1}}}
	one.Send(5, n) // a number that is nobody's
	one.Send(1, n)
	assert.Eventually(t, func() bool { return len(heard) > 0 }, 5*time.Second, time.Millisecond)
	assert.Equal(t, n, <-heard)
	assert.EqualValues(t, 1, one.Sent.Load())
}

func TestAPeerThatIsGone(t *testing.T) {
	one, two, _ := pair(t)
	two.Close()
	one.Send(1, balance.GossipMessage{})
	again, err := Open(two.Addr(), 1, map[int]string{0: one.Addr()}, func(int, balance.GossipMessage) {})
	require.NoError(t, err, "its address is free again")
	t.Cleanup(again.Close)
	assert.Eventually(t, func() bool { one.Send(1, balance.GossipMessage{}); return again.Received.Load() > 0 }, 5*time.Second, time.Millisecond)
	one.Close()
	sent := one.Sent.Load()
	one.Send(1, balance.GossipMessage{})
	assert.Equal(t, sent, one.Sent.Load(), "what could not be written")
	assert.Zero(t, one.Dropped.Load(), "nothing came that was not taken in")
	_, err = Open("localhost:7100", 0, nil, nil)
	assert.ErrorContains(t, err, "peers: ")
	_, err = Open("127.0.0.1:0", 0, map[int]string{3: "nowhere"}, nil)
	assert.ErrorContains(t, err, "peer 3: ")
}
