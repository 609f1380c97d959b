// Package faultproxy is a TCP relay on loopback that plants faults between two programs: bytes that are late or come at a trickle,
// connections that are cut or half open, and an address that refuses. Tests and rigs use it; it never enters a proxy's program.
package faultproxy

import (
	"net"
	"sync"
	"time"
)

// Fault is what befalls the bytes of all connections from now on. At rest they pass.
type Fault struct {
	Delay  time.Duration // before each piece is passed on
	Pace   int           // bytes a second at most, in each direction; 0: no bound
	Silent bool          // nothing is passed on, and nobody is told: half open
	Refuse bool          // connections are cut as they come
}

const (
	pieceMost = 32 << 10              // bytes passed on at once
	lookEvery = 10 * time.Millisecond // whether silence is over
	pieces    = 100                   // a second, where there is a pace
)

// Relay is one. Its methods may be called by anyone.
type Relay struct {
	ln    net.Listener
	to    string
	mu    sync.Mutex
	fault Fault
	conns map[net.Conn]bool
	over  chan struct{}
	work  sync.WaitGroup
}

// Open relays what connects to a new address on loopback to another.
func Open(to string) (*Relay, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Relay{ln: ln, to: to, conns: map[net.Conn]bool{}, over: make(chan struct{})}
	r.work.Go(r.accept)
	return r, nil
}

// Addr is where to connect.
func (r *Relay) Addr() string { return r.ln.Addr().String() }

// Set plants a fault in place of the one before.
func (r *Relay) Set(f Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fault = f
}

// Cut ends all connections that there are.
func (r *Relay) Cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		c.Close()
	}
}

// Close ends it.
func (r *Relay) Close() {
	close(r.over)
	r.ln.Close()
	r.Cut()
	r.work.Wait()
}

func (r *Relay) now() Fault {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fault
}

func (r *Relay) accept() {
	for {
		in, err := r.ln.Accept()
		if err != nil {
			return
		}
		if r.now().Refuse {
			in.Close()
			continue
		}
		out, err := net.Dial("tcp", r.to)
		if err != nil {
			in.Close()
			continue
		}
		r.mu.Lock()
		r.conns[in], r.conns[out] = true, true
		r.mu.Unlock()
		r.work.Go(func() { r.pass(in, out) })
		r.work.Go(func() { r.pass(out, in) })
	}
}

// pass brings bytes one way until an end closes.
func (r *Relay) pass(from, to net.Conn) {
	defer func() {
		from.Close()
		to.Close()
		r.mu.Lock()
		delete(r.conns, from)
		delete(r.conns, to)
		r.mu.Unlock()
	}()
	buf := make([]byte, pieceMost)
	for {
		most := len(buf)
		if pace := r.now().Pace; pace > 0 {
			most = min(max(pace/pieces, 1), most)
		}
		n, err := from.Read(buf[:most])
		if err != nil {
			return
		}
		f := r.now()
		for ; f.Silent; f = r.now() {
			select {
			case <-r.over:
				return
			case <-time.After(lookEvery):
			}
		}
		if f.Pace > 0 {
			time.Sleep(time.Duration(n) * time.Second / time.Duration(f.Pace))
		}
		time.Sleep(f.Delay)
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}
