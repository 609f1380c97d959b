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

const numberBytes = 2 // of the sender's number, before the message

// Link is one proxy's end of the gossip transport. Its methods are safe for concurrent use.
type Link struct {
	Sent     atomic.Int64 // messages
	Received atomic.Int64 // messages that were handled
	Dropped  atomic.Int64 // datagrams that were not

	self  int
	conn  *net.UDPConn
	peers map[int]netip.AddrPort // by number in the fleet
	ended chan struct{}          // closed once nothing more is received
}

// Open listens for the messages of the fleet's other proxies, whose addresses are given by number. Until Close, a
// goroutine of the link calls handle with each message, one after the other. The addresses are IP addresses and ports.
func Open(
	listen string, self int, peers map[int]string, handle func(from int, message balance.GossipMessage),
) (*Link, error) {
	link := &Link{self: self, peers: map[int]netip.AddrPort{}, ended: make(chan struct{})}
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

// Addr returns the address on which the link receives.
func (l *Link) Addr() string { return l.conn.LocalAddr().String() }

// Send sends a message to one peer. Nothing tells whether it is received; a number that is nobody's is ignored.
func (l *Link) Send(to int, message balance.GossipMessage) {
	peer, known := l.peers[to]
	if !known {
		return
	}
	datagram := binary.BigEndian.AppendUint16(nil, uint16(l.self))
	datagram = append(datagram, Encode(message)...)
	if _, err := l.conn.WriteToUDPAddrPort(datagram, peer); err != nil {
		return // a full buffer, or a peer that is gone: as if it were lost on its way
	}
	l.Sent.Add(1)
}

// Close closes the link and waits until no message is handled any more.
func (l *Link) Close() {
	_ = l.conn.Close() // fails only if it is closed already
	<-l.ended
}

// receive handles datagrams until the link is closed.
func (l *Link) receive(handle func(int, balance.GossipMessage)) {
	defer close(l.ended)
	buffer := make([]byte, numberBytes+MaxBytes+1) // one more, so that a longer datagram is seen to be too long
	for {
		size, from, err := l.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // on some systems a peer that is gone shows as an error of the next read
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

func (l *Link) decode(datagram []byte, from netip.AddrPort) (int, balance.GossipMessage, error) {
	if len(datagram) < numberBytes {
		return 0, balance.GossipMessage{}, fmt.Errorf("datagram of %d bytes", len(datagram))
	}
	number := int(binary.BigEndian.Uint16(datagram))
	peer, known := l.peers[number]
	if !known || peer.Port() != from.Port() || peer.Addr().Unmap() != from.Addr().Unmap() {
		return 0, balance.GossipMessage{}, fmt.Errorf("no peer %d at %s", number, from)
	}
	message, err := Decode(datagram[numberBytes:])
	return number, message, err
}
