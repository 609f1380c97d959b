// Package faultproxy is a TCP relay on loopback that plants faults between two programs: bytes that are late or come
// slowly, connections that are cut or half open, and an address that refuses connections. Tests and simulations use it;
// it never enters a proxy's program.
package faultproxy

import (
	"net"
	"sync"
	"time"
)

// Fault is what happens to the bytes of all connections from now on. Those of the zero value pass.
type Fault struct {
	Delay  time.Duration // before each piece is relayed
	Pace   int           // the most bytes a second, in each direction; 0: no bound
	Silent bool          // nothing is relayed, and neither side is notified: half open
	Refuse bool          // connections are closed as soon as they are accepted
}

const (
	maxPieceBytes       = 32 << 10 // relayed at once
	silenceInterval     = 10 * time.Millisecond
	pacePiecesPerSecond = 100 // while there is a pace
)

// Relay is a relay to one address. Its methods are safe for concurrent use.
type Relay struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	fault    Fault
	conns    map[net.Conn]bool // of both sides
	closed   chan struct{}
	work     sync.WaitGroup
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
	relay.work.Go(relay.accept)
	return relay, nil
}

// Addr returns the address that the relay accepts connections on.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// Set plants a fault in the place of the one before.
func (r *Relay) Set(fault Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fault = fault
}

// Cut closes all connections that there are.
func (r *Relay) Cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for conn := range r.conns {
		conn.Close()
	}
}

// Close closes the relay and waits for its goroutines. It is to be called once.
func (r *Relay) Close() {
	close(r.closed)
	r.listener.Close()
	r.Cut()
	r.work.Wait()
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
		r.work.Go(func() { r.relay(client, server) })
		r.work.Go(func() { r.relay(server, client) })
	}
}

// relay relays bytes one way until either side closes, and closes both.
func (r *Relay) relay(from, to net.Conn) {
	defer r.remove(from, to)
	buffer := make([]byte, maxPieceBytes)
	for {
		n, err := from.Read(buffer[:r.pieceBytes()])
		if err != nil {
			return
		}
		fault, ok := r.waitWhileSilent()
		if !ok {
			return
		}
		if fault.Pace > 0 {
			time.Sleep(time.Duration(n) * time.Second / time.Duration(fault.Pace))
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

// pieceBytes returns how many bytes are read at once.
func (r *Relay) pieceBytes() int {
	pace := r.currentFault().Pace
	if pace <= 0 {
		return maxPieceBytes
	}
	return min(max(pace/pacePiecesPerSecond, 1), maxPieceBytes)
}

// waitWhileSilent waits while the fault is Silent and returns the next; false: the relay was closed meanwhile.
func (r *Relay) waitWhileSilent() (Fault, bool) {
	for {
		fault := r.currentFault()
		if !fault.Silent {
			return fault, true
		}
		select {
		case <-r.closed:
			return Fault{}, false
		case <-time.After(silenceInterval):
		}
	}
}
