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
	// The range is below the ephemeral ports, so that no outgoing connection takes the port of a server that is down.
	firstPort = 20000
	lastPort  = 32000
	// portStride is the distance between the ports at which processes with successive ids start to search. Two
	// processes that started at the same port would take ports that the other one had found to be free for its proxies.
	portStride = 211

	relistenTimeout  = 2 * time.Second
	relistenInterval = 5 * time.Millisecond
	fillTimeout      = 30 * time.Millisecond // timeout for dialing a connection that fills the backlog
	fillConnections  = 4                     // one fills the backlog, unless the listener accepts it at that moment
)

// portFinder finds free ports on loopback.
type portFinder struct{ last int }

func newPortFinder() portFinder {
	return portFinder{last: firstPort + os.Getpid()*portStride%(lastPort-firstPort)}
}

// listen listens on the next free port.
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

// FreeAddrs returns n addresses on which nothing listens at present.
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

// address is where a server listens. Each proxy connects to a listener of its own, which identifies the proxy that
// sends a request.
type address struct {
	listeners    []*listener // by proxy
	member       int         // number of the member that listens here or, if none does, was the last to do so
	reachability emulator.Reachability
	conns        map[*conn]bool
}

// reset resets the connections of a member.
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

// listener is the socket, and its TCP address, on which one proxy connects to a server.
type listener struct {
	ln        *net.TCPListener
	addr      string
	fillers   []net.Conn    // connections that fill the backlog while the server is unreachable
	reachable chan struct{} // closed when the partition ends; nil: not partitioned
}

// addMembers opens the addresses of new members. The caller of this method and of those below, except fillBacklog,
// holds g.mu.
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
		g.wg.Add(1)
		go g.accept(a, l, ln, proxy)
	}
	return a, nil
}

// updateReachability adapts the listeners of an address to the current reachability of its server.
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

// relisten opens a closed listener again at its address.
func (g *ServerGroup) relisten(a *address, l *listener, proxy int) error {
	for start := time.Now(); ; time.Sleep(relistenInterval) {
		ln, err := net.Listen("tcp", l.addr)
		if err == nil {
			l.ln = ln.(*net.TCPListener)
			g.wg.Add(1)
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

// partition keeps new connections from being established: it stops accepting, and fills the backlog, which it limits to
// one connection.
func (g *ServerGroup) partition(l *listener) {
	reachable := make(chan struct{})
	l.reachable = reachable
	l.setAcceptDeadline(time.Unix(1, 0))
	l.setBacklog(0)
	g.wg.Add(1)
	go g.fillBacklog(l, reachable)
}

// fillBacklog dials until a connection is no longer established. It locks g.mu itself, and does not hold it while it
// dials.
func (g *ServerGroup) fillBacklog(l *listener, reachable chan struct{}) {
	defer g.wg.Done()
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

// setAcceptDeadline makes accepting time out at t; zero: never. An error is ignored, since it means that the listener
// is closed.
func (l *listener) setAcceptDeadline(t time.Time) { _ = l.ln.SetDeadline(t) }

// setBacklog sets the maximum number of established connections that are queued until they are accepted. An error is
// ignored, since it means that the listener is closed and has no such queue.
func (l *listener) setBacklog(n int) {
	raw, err := l.ln.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), n) })
}
