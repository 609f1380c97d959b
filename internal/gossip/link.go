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

const numberBytes = 2

// Link is this proxy's end of it.
type Link struct {
	Sent, Received, Dropped atomic.Int64 // notes; the last came and were not taken in

	self  int
	conn  *net.UDPConn
	bank  map[int]netip.AddrPort
	ended chan struct{}
}

// Open listens for notes of a fleet, by number; heard gets each, on a goroutine of its own, until Close.
func Open(listen string, self int, bank map[int]string, heard func(from int, n balance.GossipMessage)) (*Link, error) {
	l := &Link{self: self, bank: map[int]netip.AddrPort{}, ended: make(chan struct{})}
	for i, addr := range bank {
		at, err := netip.ParseAddrPort(addr)
		if err != nil {
			return nil, fmt.Errorf("peer %d: %w", i, err)
		}
		l.bank[i] = at
	}
	at, err := netip.ParseAddrPort(listen)
	if err != nil {
		return nil, fmt.Errorf("peers: %w", err)
	}
	if l.conn, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(at)); err != nil {
		return nil, fmt.Errorf("peers: %w", err)
	}
	go l.hear(heard)
	return l, nil
}

// Addr is where it listens.
func (l *Link) Addr() string { return l.conn.LocalAddr().String() }

// Send sends a note to one peer. Nothing tells whether it came.
func (l *Link) Send(to int, n balance.GossipMessage) {
	at, ok := l.bank[to]
	if !ok {
		return
	}
	data := append(binary.BigEndian.AppendUint16(nil, uint16(l.self)), Encode(n)...)
	if _, err := l.conn.WriteToUDPAddrPort(data, at); err == nil { // else a full buffer, or a peer that is gone: as if lost on its way
		l.Sent.Add(1)
	}
}

// Close ends it; nothing is heard after that.
func (l *Link) Close() {
	l.conn.Close()
	<-l.ended
}

func (l *Link) hear(heard func(int, balance.GossipMessage)) {
	defer close(l.ended)
	buf := make([]byte, numberBytes+MaxBytes+1) // one more, so that a longer one is seen to be too long
	for {
		size, from, err := l.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue // danger: on some systems a peer that is gone shows as an error of the next read
		}
		number, n, err := l.read(buf[:size], from)
		if err != nil {
			l.Dropped.Add(1)
			continue
		}
		l.Received.Add(1)
		heard(number, n)
	}
}

func (l *Link) read(data []byte, from netip.AddrPort) (int, balance.GossipMessage, error) {
	if len(data) < numberBytes {
		return 0, balance.GossipMessage{}, fmt.Errorf("datagram of %d bytes", len(data))
	}
	number := int(binary.BigEndian.Uint16(data))
	if at, ok := l.bank[number]; !ok || at.Port() != from.Port() || at.Addr().Unmap() != from.Addr().Unmap() {
		return 0, balance.GossipMessage{}, fmt.Errorf("no peer %d at %s", number, from)
	}
	n, err := Decode(data[numberBytes:])
	return number, n, err
}
