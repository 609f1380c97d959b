package fakeserver

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"syscall"
	"time"

	"lockloom/internal/emulator"
)

const (
	// Below the ports that the system gives to outgoing connections, so that none takes a server's port while that is
	// down.
	firstPort = 20000
	lastPort  = 32000
	// portStride is the distance between the ports at which processes with successive ids begin their search: two that
	// began at one place would take from each other the ports that they found free for their proxies.
	portStride = 211

	relistenTimeout  = 2 * time.Second
	relistenInterval = 5 * time.Millisecond
	fillTimeout      = 30 * time.Millisecond // for a connection to come up that fills the backlog
	fillConnections  = 4                     // one is enough, unless it is accepted at that moment
)

// portFinder finds free ports on loopback.
type portFinder struct{ last int }

func newPortFinder() portFinder {
	return portFinder{last: firstPort + os.Getpid()*portStride%(lastPort-firstPort)}
}

// listen takes the next free port.
func (p *portFinder) listen() (*net.TCPListener, error) {
	for range lastPort - firstPort {
		p.last++
		if p.last >= lastPort {
			p.last = firstPort
		}
		ln, err := net.Listen("tcp", "127.0.0.1:"+strconv.Itoa(p.last))
		if err == nil {
			return ln.(*net.TCPListener), nil
		}
	}
	return nil, fmt.Errorf("no port from %d to %d is free", firstPort, lastPort)
}

// FreeAddrs finds n addresses that nobody listens at now.
func (g *ServerGroup) FreeAddrs(n int) ([]string, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	var list []string
	for range n {
		ln, err := g.ports.listen()
		if err != nil {
			return nil, err
		}
		list = append(list, ln.Addr().String())
		ln.Close()
	}
	return list, nil
}

// address is where a server listens: at one listener for each proxy, so that servers can tell who sends.
type address struct {
	listeners    []*listener // by proxy
	member       int         // the last that has listened here
	reachability emulator.Reachability
	conns        map[*conn]bool
}

// reset resets a member's connections.
func (a *address) reset(member int) {
	for c := range a.conns {
		if c.member == member {
			c.reset()
		}
	}
}

func (a *address) close() {
	for _, l := range a.listeners {
		l.close()
	}
	for c := range a.conns {
		c.close()
	}
}

// listener is one listener of an address.
type listener struct {
	ln        *net.TCPListener
	addr      string
	fillers   []net.Conn    // fill the backlog while the server is unreachable
	reachable chan struct{} // closed when it may accept again; nil: it may
}

// addMembers gives new members their addresses. Here and below the caller holds the group's lock.
func (g *ServerGroup) addMembers() error {
	for member := g.members; member < len(g.Fleet.Members); member++ {
		index := g.Fleet.Members[member].AddressIndex
		for len(g.addresses) <= index {
			a, err := g.newAddress()
			if err != nil {
				return err
			}
			g.addresses = append(g.addresses, a)
		}
		g.addresses[index].member = member
		g.members = member + 1
		if err := g.updateReachability(index); err != nil {
			return err
		}
	}
	return nil
}

func (g *ServerGroup) newAddress() (*address, error) {
	a := &address{conns: map[*conn]bool{}}
	for proxy := range g.proxies {
		ln, err := g.ports.listen()
		if err != nil {
			return nil, err
		}
		l := &listener{ln: ln, addr: ln.Addr().String()}
		a.listeners = append(a.listeners, l)
		g.work.Add(1)
		go g.accept(a, l, ln, proxy)
	}
	return a, nil
}

// updateReachability brings an address's listeners to what its server's state is now.
func (g *ServerGroup) updateReachability(index int) error {
	a := g.addresses[index]
	before, now := a.reachability, g.Fleet.Members[a.member].Reachability()
	if now == before {
		return nil
	}
	a.reachability = now
	for proxy, l := range a.listeners {
		if before == emulator.Unreachable {
			l.reconnect()
		}
		switch {
		case now == emulator.Refusing:
			l.close()
		case now == emulator.Unreachable:
			g.partition(l)
		case before == emulator.Refusing:
			if err := g.relisten(a, l, proxy); err != nil {
				return err
			}
		}
	}
	return nil
}

// relisten listens again at a listener's address.
func (g *ServerGroup) relisten(a *address, l *listener, proxy int) error {
	for start := time.Now(); ; time.Sleep(relistenInterval) {
		ln, err := net.Listen("tcp", l.addr)
		if err == nil {
			l.ln = ln.(*net.TCPListener)
			g.work.Add(1)
			go g.accept(a, l, l.ln, proxy)
			return nil
		}
		if time.Since(start) > relistenTimeout {
			return fmt.Errorf("listen again at %s: %w", l.addr, err)
		}
	}
}

func (l *listener) close() {
	l.reconnect()
	l.ln.Close()
}

// partition keeps connections from being established: none is accepted, and the backlog's one place is taken.
func (g *ServerGroup) partition(l *listener) {
	reachable := make(chan struct{})
	l.reachable = reachable
	l.setAcceptDeadline(time.Unix(1, 0))
	l.setBacklog(0)
	g.work.Add(1)
	go g.fillBacklog(l, reachable)
}

// fillBacklog connects until no connection comes up any more. It takes the lock itself, and does not hold it while it
// waits for a connection.
func (g *ServerGroup) fillBacklog(l *listener, reachable chan struct{}) {
	defer g.work.Done()
	for range fillConnections {
		nc, err := net.DialTimeout("tcp", l.addr, fillTimeout)
		if err != nil {
			return
		}
		g.mu.Lock()
		if l.reachable == reachable {
			l.fillers = append(l.fillers, nc)
		} else {
			nc.Close()
		}
		g.mu.Unlock()
	}
}

// reconnect undoes partition.
func (l *listener) reconnect() {
	if l.reachable == nil {
		return
	}
	for _, nc := range l.fillers {
		nc.Close()
	}
	l.fillers = nil
	l.setBacklog(syscall.SOMAXCONN)
	l.setAcceptDeadline(time.Time{})
	close(l.reachable)
	l.reachable = nil
}

// setAcceptDeadline ends accepting at a time; zero: never. It fails only on a listener that is closed.
func (l *listener) setAcceptDeadline(t time.Time) { _ = l.ln.SetDeadline(t) }

// setBacklog sets how many connections wait to be accepted. It fails only on a listener that is closed, and has none.
func (l *listener) setBacklog(n int) {
	raw, err := l.ln.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), n) })
}
