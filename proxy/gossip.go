package proxy

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"lockloom/balance"
	"lockloom/internal/gossip"
)

// gossipRetryInterval is the interval at which a process tries to listen for gossip at an address that is in use.
const gossipRetryInterval = 100 * time.Millisecond

// gossipTransport is this process's link to the fleet's other proxies. During a hot restart the processes of the proxy
// share the link's socket. One of them reads it: the predecessor until the successor serves and the predecessor has
// stopped reading, then the successor. Meanwhile messages wait in the socket. It is safe for concurrent use.
type gossipTransport struct {
	link atomic.Pointer[gossip.Link] // nil: gossip is off, or its socket is not open

	mu                sync.Mutex
	inherited         *net.UDPConn // the socket that a predecessor handed over, until it is taken; nil: none
	readByPredecessor bool         // the predecessor has handed over the socket and still reads it
	readBySuccessor   bool         // a successor serves

	opening sync.WaitGroup // of a goroutine that waits for the address
	ended   chan struct{}  // closed to end that goroutine
}

func (t *gossipTransport) init() { t.ended = make(chan struct{}) }

// inherit stores the socket that a predecessor handed over.
func (t *gossipTransport) inherit(conn *net.UDPConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inherited, t.readByPredecessor = conn, true
}

// takeInherited returns the socket that a predecessor handed over, which the caller owns from then on, or nil.
func (t *gossipTransport) takeInherited() *net.UDPConn {
	t.mu.Lock()
	defer t.mu.Unlock()
	conn := t.inherited
	t.inherited = nil
	return conn
}

// setLink sets the link, which receives from now on unless another process does.
func (t *gossipTransport) setLink(link *gossip.Link) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.link.Store(link)
	t.applyReader()
}

// releasedByPredecessor records that the predecessor does not read the socket any more.
func (t *gossipTransport) releasedByPredecessor() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.readByPredecessor = false
	t.applyReader()
}

// setReadBySuccessor records whether a successor reads the socket. When it has returned, this process does not read it
// if one does.
func (t *gossipTransport) setReadBySuccessor(reads bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.readBySuccessor = reads
	t.applyReader()
}

// applyReader makes the link receive unless another process does. The caller holds the lock.
func (t *gossipTransport) applyReader() {
	link := t.link.Load()
	switch {
	case link == nil:
	case t.readByPredecessor || t.readBySuccessor:
		link.Pause()
	default:
		link.Resume()
	}
}

// send sends a message to the peer with this number, if the link is open.
func (t *gossipTransport) send(peer int, message balance.GossipMessage) {
	if link := t.link.Load(); link != nil {
		link.Send(peer, message)
	}
}

// socket returns the link's socket, to be handed over, or nil.
func (t *gossipTransport) socket() *net.UDPConn {
	if link := t.link.Load(); link != nil {
		return link.Conn()
	}
	return nil
}

// close closes the link and waits for the transport's goroutines. Other processes keep the socket.
func (t *gossipTransport) close() {
	close(t.ended)
	t.opening.Wait()
	if conn := t.takeInherited(); conn != nil {
		_ = conn.Close() // nothing was written to it
	}
	if link := t.link.Load(); link != nil {
		link.Close()
	}
}

// openGossip opens the link on the socket that a predecessor has handed over, else on a new one. If the address is in
// use, perhaps by a process of this proxy whose build does not hand it over, the proxy serves without gossip until the
// address is free.
func (p *Proxy) openGossip() error {
	if !p.bootstrap.Gossip {
		return nil
	}
	conn := p.gossip.takeInherited()
	if conn == nil {
		var err error
		conn, err = gossip.Listen(p.bootstrap.Fleet.Listen)
		if errors.Is(err, syscall.EADDRINUSE) && p.bootstrap.HotRestartDir != "" {
			p.log.WithError(err).Warn("gossip: address in use, serving without gossip until it is free")
			p.gossip.opening.Go(p.awaitGossipAddress)
			return nil
		}
		if err != nil {
			return err
		}
	}
	return p.startGossip(conn)
}

// startGossip opens the link on a socket.
func (p *Proxy) startGossip(conn *net.UDPConn) error {
	link, err := gossip.New(conn, p.bootstrap.ProxyIndex, p.bootstrap.Fleet.Peers, p.gossipReceived)
	if err != nil {
		return err
	}
	p.gossip.setLink(link)
	return nil
}

// awaitGossipAddress opens the link as soon as its address is free, unless the transport is closed before.
func (p *Proxy) awaitGossipAddress() {
	ticker := time.NewTicker(gossipRetryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-p.gossip.ended:
			return
		case <-ticker.C:
		}
		conn, err := gossip.Listen(p.bootstrap.Fleet.Listen)
		if errors.Is(err, syscall.EADDRINUSE) {
			continue
		}
		if err == nil {
			err = p.startGossip(conn)
		}
		if err != nil {
			p.log.WithError(err).Error("gossip: serving without it")
		} else {
			p.log.Info("gossip: its address is free, listening")
		}
		return
	}
}

// gossipReceived passes a peer's message to the balancer of the platform's pool.
func (p *Proxy) gossipReceived(from int, message balance.GossipMessage) {
	p.post(func() {
		pool := p.pools.platform
		p.decide(pool, func(now float64) *balance.Actions {
			return pool.decisions.GossipReceived(now, from, message)
		})
	})
}
