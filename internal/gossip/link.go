package gossip

import (
	"encoding/binary"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"lockloom/balance"
	"lockloom/internal/poller"
)

const (
	numberBytes  = 2  // length of the sender's number, which precedes the message
	receiveBatch = 16 // datagrams read before all goroutines that are runnable have run
)

// pastDeadline is a read deadline in the past: a read fails at once.
var pastDeadline = time.Unix(1, 0)

// Link sends and receives the gossip messages of one proxy. Its methods are safe for concurrent use.
type Link struct {
	Sent     atomic.Int64 // messages sent
	Received atomic.Int64 // messages passed to the handler
	Dropped  atomic.Int64 // datagrams received that are no valid message of a peer

	self  int // number of this proxy in the fleet
	conn  *net.UDPConn
	peers map[int]netip.AddrPort // by number in the fleet
	done  chan struct{}          // closed when receive returns

	mu      sync.Mutex
	changed sync.Cond // signals a change of the fields below
	paused  bool      // no datagram is to be read
	waiting bool      // receive waits until paused ends
	closed  bool
}

// Listen opens the socket of a link that listens on an address, which consists of an IP address and a port.
func Listen(listen string) (*net.UDPConn, error) {
	addr, err := netip.ParseAddrPort(listen)
	if err != nil {
		return nil, fmt.Errorf("peers: %w", err)
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, fmt.Errorf("peers: %w", err)
	}
	return conn, nil
}

// New returns the link of the proxy with the number self on a socket, which belongs to the link from then on. peers
// maps the numbers of the fleet's other proxies to their addresses, which consist of an IP address and a port. The link
// sends at once and receives once Resume is called: until Close, a goroutine of the link then calls handle for each
// message, one at a time, with the number of the sender. After an error the socket is closed.
func New(
	conn *net.UDPConn, self int, peers map[int]string, handle func(from int, message balance.GossipMessage),
) (*Link, error) {
	link := &Link{self: self, conn: conn, peers: map[int]netip.AddrPort{}, done: make(chan struct{}), paused: true}
	link.changed.L = &link.mu
	for number, addr := range peers {
		peer, err := netip.ParseAddrPort(addr)
		if err != nil {
			_ = conn.Close() // the error above says more
			return nil, fmt.Errorf("peer %d: %w", number, err)
		}
		link.peers[number] = peer
	}
	go link.receive(handle)
	return link, nil
}

// Conn returns the link's socket, to be handed over to another process. Only the link may read from it.
func (l *Link) Conn() *net.UDPConn { return l.conn }

// Pause makes the link receive nothing until Resume. When it returns, the link does not read from the socket, and the
// handler has returned: datagrams stay in the socket, for another process that shares it.
func (l *Link) Pause() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.paused = true
	_ = l.conn.SetReadDeadline(pastDeadline) // ends a read that waits; it fails only if the link is closed
	for !l.waiting && !l.closed {
		l.changed.Wait()
	}
}

// Resume makes the link receive again.
func (l *Link) Resume() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.paused = false
	_ = l.conn.SetReadDeadline(time.Time{}) // fails only if the link is closed
	l.changed.Broadcast()
}

// awaitResumed waits while the link is paused, and reports whether it is still open.
func (l *Link) awaitResumed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waiting = true
	l.changed.Broadcast()
	for l.paused && !l.closed {
		l.changed.Wait()
	}
	l.waiting = false
	return !l.closed
}

// Addr returns the address on which the link listens.
func (l *Link) Addr() string { return l.conn.LocalAddr().String() }

// Send sends a message to the peer with the given number, without acknowledgment. An unknown number is ignored.
func (l *Link) Send(to int, message balance.GossipMessage) {
	peer, known := l.peers[to]
	if !known {
		return
	}
	datagram := binary.BigEndian.AppendUint16(nil, uint16(l.self))
	datagram = append(datagram, Encode(message)...)
	if _, err := l.conn.WriteToUDPAddrPort(datagram, peer); err != nil {
		return // the buffer is full or the peer is down: same as a lost datagram
	}
	l.Sent.Add(1)
}

// Close closes the link and waits until the handler has returned. Another process that shares the socket keeps it.
func (l *Link) Close() {
	l.mu.Lock()
	l.closed = true
	l.changed.Broadcast()
	l.mu.Unlock()
	_ = l.conn.Close() // fails only if it is closed already
	<-l.done
}

// receive passes valid messages to the handler until the link is closed. Datagrams that come faster than they are read
// would keep this goroutine from ever waiting, so it lets all others run after receiveBatch of them.
func (l *Link) receive(handle func(int, balance.GossipMessage)) {
	defer close(l.done)
	pacer := poller.NewPacer(receiveBatch)
	defer pacer.Close()
	buffer := make([]byte, numberBytes+MaxBytes+1) // one byte more, so that a longer datagram is detected
	for ; l.awaitResumed(); pacer.Step() {
		size, from, err := l.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			continue // paused, closed, or, on some systems, a send to a peer that is down makes the next read fail
		}
		number, message, err := l.decode(buffer[:size], from)
		if err != nil {
			l.Dropped.Add(1)
			continue
		}
		l.Received.Add(1)
		handle(number, message)
	}
}

// decode returns the sender's number and the message of a datagram, after checking the source address.
func (l *Link) decode(datagram []byte, from netip.AddrPort) (int, balance.GossipMessage, error) {
	if len(datagram) < numberBytes {
		return 0, balance.GossipMessage{}, fmt.Errorf("gossip datagram of %d bytes: no sender's number", len(datagram))
	}
	number := int(binary.BigEndian.Uint16(datagram))
	peer, known := l.peers[number]
	if !known || peer.Port() != from.Port() || peer.Addr().Unmap() != from.Addr().Unmap() {
		return 0, balance.GossipMessage{}, fmt.Errorf("gossip datagram: no peer %d with address %s", number, from)
	}
	message, err := Decode(datagram[numberBytes:])
	return number, message, err
}
