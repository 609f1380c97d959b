// Package faultproxy provides a TCP relay on loopback that injects faults between two programs: delayed bytes, limited
// bandwidth, closed or half-open connections, and an address that refuses connections. It is for tests and simulations
// only and is never linked into the proxy.
package faultproxy

import (
	"net"
	"sync"
	"time"
)

// Fault describes what a relay does to all its connections. The zero value relays all bytes unchanged.
type Fault struct {
	Delay          time.Duration // delay before each chunk of bytes is relayed
	BytesPerSecond int           // maximum rate in bytes per second, in each direction; 0: unlimited
	Silent         bool          // nothing is relayed and no connection is closed, as if all were half open
	Refuse         bool          // new connections are closed as soon as they are accepted
}

const (
	maxChunkBytes        = 32 << 10              // read and relayed at once
	silentPollInterval   = 10 * time.Millisecond // between checks whether Fault.Silent is still set
	pacedChunksPerSecond = 100                   // full chunks per second while Fault.BytesPerSecond is set
)

// Relay relays TCP connections to one target address. Its methods are safe for concurrent use.
type Relay struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	fault    Fault
	conns    map[net.Conn]bool // open connections from clients and to the target
	closed   chan struct{}
	wg       sync.WaitGroup
}

// Open starts a relay from a new address on loopback to a target. Its goroutines end with Close.
func Open(target string) (*Relay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	relay := &Relay{
		listener: listener,
		target:   target,
		conns:    map[net.Conn]bool{},
		closed:   make(chan struct{}),
	}
	relay.wg.Go(relay.accept)
	return relay, nil
}

// Addr returns the address that the relay accepts connections on.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// SetFault replaces the fault that applies to all connections from now on.
func (r *Relay) SetFault(fault Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fault = fault
}

// Cut closes all open connections.
func (r *Relay) Cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for conn := range r.conns {
		conn.Close()
	}
}

// Close closes the listener and all connections, and waits for the relay's goroutines. It must be called only once.
func (r *Relay) Close() {
	close(r.closed)
	r.listener.Close()
	r.Cut()
	r.wg.Wait()
}

func (r *Relay) currentFault() Fault {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fault
}

func (r *Relay) accept() {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		if r.currentFault().Refuse {
			client.Close()
			continue
		}
		server, err := net.Dial("tcp", r.target)
		if err != nil {
			client.Close()
			continue
		}
		r.mu.Lock()
		r.conns[client], r.conns[server] = true, true
		r.mu.Unlock()
		r.wg.Go(func() { r.relay(client, server) })
		r.wg.Go(func() { r.relay(server, client) })
	}
}

// relay copies bytes in one direction until either side closes, then closes both.
func (r *Relay) relay(from, to net.Conn) {
	defer r.remove(from, to)
	buffer := make([]byte, maxChunkBytes)
	for {
		n, err := from.Read(buffer[:r.chunkBytes()])
		if err != nil {
			return
		}
		fault, ok := r.waitWhileSilent()
		if !ok {
			return
		}
		if fault.BytesPerSecond > 0 {
			time.Sleep(time.Duration(n) * time.Second / time.Duration(fault.BytesPerSecond))
		}
		time.Sleep(fault.Delay)
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

func (r *Relay) remove(conns ...net.Conn) {
	for _, conn := range conns {
		conn.Close()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, conn := range conns {
		delete(r.conns, conn)
	}
}

// chunkBytes returns the maximum number of bytes to read at once.
func (r *Relay) chunkBytes() int {
	pace := r.currentFault().BytesPerSecond
	if pace <= 0 {
		return maxChunkBytes
	}
	return min(max(pace/pacedChunksPerSecond, 1), maxChunkBytes)
}

// waitWhileSilent waits until the fault is not Silent and returns it, or reports false if the relay is closed
// meanwhile.
func (r *Relay) waitWhileSilent() (Fault, bool) {
	for {
		fault := r.currentFault()
		if !fault.Silent {
			return fault, true
		}
		select {
		case <-r.closed:
			return Fault{}, false
		case <-time.After(silentPollInterval):
		}
	}
}
