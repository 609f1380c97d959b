package gossip

import (
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"

	"lockloom/balance"
)

const numberBytes = 2 // length of the sender's number, which precedes the message

// Link sends and receives the gossip messages of one proxy. Its methods are safe for concurrent use.
type Link struct {
	Sent     atomic.Int64 // messages sent
	Received atomic.Int64 // messages passed to the handler
	Dropped  atomic.Int64 // datagrams received that are no valid message of a peer

	self  int // number of this proxy in the fleet
	conn  *net.UDPConn
	peers map[int]netip.AddrPort // by number in the fleet
	done  chan struct{}          // closed when receive returns
}

// Open opens the link of the proxy with the number self, which listens on the address listen. peers maps the numbers of
// the fleet's other proxies to their addresses. All addresses consist of an IP address and a port. Until Close, a
// goroutine of the link calls handle for each message, one at a time, with the number of the sender.
func Open(
	listen string, self int, peers map[int]string, handle func(from int, message balance.GossipMessage),
) (*Link, error) {
	link := &Link{self: self, peers: map[int]netip.AddrPort{}, done: make(chan struct{})}
	for number, addr := range peers {
		peer, err := netip.ParseAddrPort(addr)
		if err != nil {
			return nil, fmt.Errorf("peer %d: %w", number, err)
		}
		link.peers[number] = peer
	}
	addr, err := netip.ParseAddrPort(listen)
	if err != nil {
		return nil, fmt.Errorf("peers: %w", err)
	}
	if link.conn, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr)); err != nil {
		return nil, fmt.Errorf("peers: %w", err)
	}
	go link.receive(handle)
	return link, nil
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

// Close closes the link and waits until the handler has returned.
func (l *Link) Close() {
	_ = l.conn.Close() // fails only if it is closed already
	<-l.done
}

// receive passes valid messages to the handler until the link is closed.
func (l *Link) receive(handle func(int, balance.GossipMessage)) {
	defer close(l.done)
	buffer := make([]byte, numberBytes+MaxBytes+1) // one byte more, so that a longer datagram is detected
	for {
		size, from, err := l.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // on some systems, a send to a peer that is down makes the next read fail
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
