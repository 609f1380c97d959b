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

// open opens a link that listens on an address and receives at once.
func open(listen string, self int, peers map[int]string, handle func(int, balance.GossipMessage)) (*Link, error) {
	conn, err := Listen(listen)
	if err != nil {
		return nil, err
	}
	link, err := New(conn, self, peers, handle)
	if err == nil {
		link.Resume()
	}
	return link, err
}

// openPair opens the links of two proxies. The messages that the receiver handles are sent to the returned channel.
func openPair(t *testing.T) (sender, receiver *Link, received chan balance.GossipMessage) {
	t.Helper()
	received = make(chan balance.GossipMessage, 10)
	sender, err := open("127.0.0.1:0", 0, nil, nil)
	require.NoError(t, err)
	handle := func(from int, message balance.GossipMessage) {
		assert.Zero(t, from)
		received <- message
	}
	receiver, err = open("127.0.0.1:0", 1, map[int]string{0: sender.Addr()}, handle)
	require.NoError(t, err)
	sender.peers[1] = netip.MustParseAddrPort(receiver.Addr())
	t.Cleanup(sender.Close)
	t.Cleanup(receiver.Close)
	return sender, receiver, received
}

func TestOnlyPeersMessagesAreHandled(t *testing.T) {
	sender, receiver, received := openPair(t)
	nonPeer, err := net.Dial("udp", receiver.Addr())
	require.NoError(t, err)
	defer nonPeer.Close()
	sendAsPeer := func(data []byte) (int, error) {
		return sender.conn.WriteToUDPAddrPort(data, sender.peers[1])
	}
	encoded := Encode(balance.GossipMessage{Rate: 1})
	for i, c := range []struct {
		name string
		send func([]byte) (int, error)
		data []byte
	}{
		{"empty", nonPeer.Write, nil},
		{"incomplete number", nonPeer.Write, []byte{0}},
		{"a peer's number from another address", nonPeer.Write, append([]byte{0, 0}, encoded...)},
		{"garbage from a peer", sendAsPeer, []byte{0, 0, 9, 9, 9}},
		{"too long from a peer", sendAsPeer, make([]byte, 2000)},
		{"the receiver's own number", sendAsPeer, append([]byte{0, 1}, encoded...)},
	} {
		_, err := c.send(c.data)
		require.NoError(t, err, c.name)
		dropped := func() bool { return receiver.Dropped.Load() == int64(i+1) }
		assert.Eventually(t, dropped, 5*time.Second, time.Millisecond, c.name)
	}
	assert.Empty(t, received)
	message := balance.GossipMessage{Rate: 2, Observations: []balance.Observation{{NameHash: 7, Class: 1, Age: 0.1}}}
	sender.Send(5, message) // no peer has this number
	sender.Send(1, message)
	assert.Eventually(t, func() bool { return len(received) > 0 }, 5*time.Second, time.Millisecond)
	assert.Equal(t, message, <-received)
	assert.EqualValues(t, 1, sender.Sent.Load())
}

func TestPeerThatIsGoneAndComesBack(t *testing.T) {
	sender, receiver, _ := openPair(t)
	receiver.Close()
	sender.Send(1, balance.GossipMessage{})
	peers := map[int]string{0: sender.Addr()}
	restarted, err := open(receiver.Addr(), 1, peers, func(int, balance.GossipMessage) {})
	require.NoError(t, err, "the address can be used again")
	t.Cleanup(restarted.Close)
	received := func() bool {
		sender.Send(1, balance.GossipMessage{})
		return restarted.Received.Load() > 0
	}
	assert.Eventually(t, received, 5*time.Second, time.Millisecond)
	sender.Close()
	sent := sender.Sent.Load()
	sender.Send(1, balance.GossipMessage{})
	assert.Equal(t, sent, sender.Sent.Load(), "a failed write is not counted")
	assert.Zero(t, sender.Dropped.Load(), "the sender received no datagram")
}

// Guards against messages that two processes of one proxy split between them: a paused link reads nothing, and what is
// sent meanwhile is received once it is resumed, by this link or by another one on the same socket.
func TestPausedLinkLeavesMessagesInTheSocket(t *testing.T) {
	sender, receiver, received := openPair(t)
	sendRate := func(rate float64) { sender.Send(1, balance.GossipMessage{Rate: rate}) }
	sendRate(1)
	assert.EqualValues(t, 1, (<-received).Rate)
	receiver.Pause()
	receiver.Pause()
	sendRate(2)
	file, err := receiver.Conn().File()
	require.NoError(t, err)
	t.Cleanup(func() { _ = file.Close() })
	shared, err := net.FilePacketConn(file)
	require.NoError(t, err)
	peers := map[int]string{0: sender.Addr()}
	other, err := New(shared.(*net.UDPConn), 1, peers, func(_ int, message balance.GossipMessage) { received <- message })
	require.NoError(t, err)
	time.Sleep(20 * time.Millisecond)
	assert.Empty(t, received, "one link is paused, and so is a new one")
	other.Resume()
	assert.EqualValues(t, 2, (<-received).Rate)
	other.Close()
	receiver.Resume()
	sendRate(3)
	assert.EqualValues(t, 3, (<-received).Rate)
	assert.EqualValues(t, 2, receiver.Received.Load())
	receiver.Close()
	receiver.Pause() // returns at once
}

func TestOpenErrors(t *testing.T) {
	_, err := open("localhost:7100", 0, nil, nil)
	assert.ErrorContains(t, err, "peers: ")
	_, err = open("127.0.0.1:0", 0, map[int]string{3: "nowhere"}, nil)
	assert.ErrorContains(t, err, "peer 3: ")
}
