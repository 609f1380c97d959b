package proxycmd

import (
	"context"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lockloom/balance"
	"lockloom/internal/gossip"
)

// gossipPause is the pause between two messages of a peer. The sockets hold far more than are sent within it.
const gossipPause = 2 * time.Millisecond

// gossipPeer is the other proxy of a fleet of two.
type gossipPeer struct {
	*gossip.Link
	proxyAddr string // where the proxy receives gossip
	sent      int
}

// startGossipPeer makes the proxy of the environment one of a fleet of two whose proxies send each other gossip, and
// starts the other one.
func (s *testEnvironment) startGossipPeer() *gossipPeer {
	p := &gossipPeer{proxyAddr: freeAddr(s.t)}
	peerAddr := freeAddr(s.t)
	file := s.launchFile()
	text, err := os.ReadFile(file)
	require.NoError(s.t, err)
	peers := fmt.Sprintf(`"peers":{"listen":%q,"peers":{"1":%q}},`, p.proxyAddr, peerAddr)
	settings := `"settings":{"ReplicasOfMe":2,"SlotNo":0,"Tariffs":{"Peer":0.04},"Ceilings":{"PeerMessages":true,`
	launch := strings.Replace(string(text), `"settings":{"Ceilings":{`, peers+settings, 1)
	require.NotEqual(s.t, string(text), launch)
	require.NoError(s.t, os.WriteFile(file, []byte(launch), 0o600))
	conn, err := gossip.Listen(peerAddr)
	require.NoError(s.t, err)
	p.Link, err = gossip.New(conn, 1, map[int]string{0: p.proxyAddr}, func(int, balance.GossipMessage) {})
	require.NoError(s.t, err)
	s.t.Cleanup(p.Close)
	p.Resume()
	s.peer = p
	return p
}

// send sends messages to the proxy, one after the other.
func (p *gossipPeer) send(messages int) {
	for range messages {
		p.Send(0, balance.GossipMessage{Rate: 1})
		p.sent++
		time.Sleep(gossipPause)
	}
}

// sendWhile sends messages while run runs.
func (p *gossipPeer) sendWhile(run func()) {
	ctx, stop := context.WithCancel(context.Background())
	var sending sync.WaitGroup
	defer sending.Wait()
	defer stop()
	sending.Go(func() {
		for ctx.Err() == nil {
			p.send(1)
		}
	})
	run()
}

// gossipReceived returns how many gossip messages a process that has ended says that it received.
func (p *process) gossipReceived() int {
	const field = "gossip_received="
	log := p.log()
	n, err := strconv.Atoi(strings.Fields(log[strings.LastIndex(log, field)+len(field):])[0])
	assert.NoError(p.t, err, log)
	return n
}

// assertGossips checks that the proxy sends gossip while it serves clients.
func (s *testEnvironment) assertGossips(p *gossipPeer) {
	before := p.Received.Load()
	clients := s.startClients(2, 2)
	defer clients.stopAll()
	assert.Eventually(s.t, func() bool { return p.Received.Load() > before+3 }, 5*time.Second, 10*time.Millisecond)
}

// Guards against a new process that ends at its start, since the process before it holds the address at which their
// proxy receives gossip. Every message reaches one of the two: the old process until the new one serves, then the new
// one. A new process can be replaced in the same way.
func TestUpgradeOfProxyWithGossip(t *testing.T) {
	t.Parallel()
	s := newTestEnvironment(t, 64, 1024)
	peer := s.startGossipPeer()
	old := s.startReady()
	peer.send(10)
	var next, last *process
	peer.sendWhile(func() { next = s.startReady() })
	time.Sleep(100 * time.Millisecond)
	before := peer.sent
	peer.send(50)
	s.assertGossips(peer)
	peer.sendWhile(old.stop)
	s.assertGossips(peer)
	assert.LessOrEqual(t, old.gossipReceived(), before)
	peer.sendWhile(func() { last = s.startReady() })
	peer.sendWhile(next.stop)
	peer.send(50)
	s.assertGossips(peer)
	last.stop()
	received := []int{old.gossipReceived(), next.gossipReceived(), last.gossipReceived()}
	assert.Equal(t, peer.sent, received[0]+received[1]+received[2], "each message is received once: %v", received)
	assert.GreaterOrEqual(t, received[0], 10)
	assert.GreaterOrEqual(t, received[1], 50)
	assert.GreaterOrEqual(t, received[2], 50)
}

// An upgrade from a build that does not hand over the address of gossip, but holds it until it ends.
func TestGossipAddressIsTakenOnceItIsFree(t *testing.T) {
	t.Parallel()
	s := newTestEnvironment(t, 64, 1024)
	peer := s.startGossipPeer()
	held, err := net.ListenPacket("udp", peer.proxyAddr)
	require.NoError(t, err)
	p := s.startReady()
	assert.Contains(t, p.log(), "address already in use")
	require.NoError(t, held.Close())
	s.assertGossips(peer)
	peer.send(10)
	p.stop()
	assert.Equal(t, 10, p.gossipReceived())
}
