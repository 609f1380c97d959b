// Package fakeserver puts emulated servers and the list of them on loopback sockets: each server speaks the platform's
// HTTP/1.1, and an agent for each proxy tells the list in discovery's form. The servers' behaviour is the emulator's; this
// package only brings bytes to its calls and back.
package fakeserver

import (
	"fmt"
	"math"
	"net"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"

	"lockloom/balance"
	"lockloom/internal/emulator"
)

const (
	firstPort  = 20000                 // below those that the system gives to connections, so that none takes a server's
	lastPort   = 32000                 // when it is down for a moment
	portsApart = 211                   // between the beginnings of programs that started one after the other
	rebindFor  = 2 * time.Second       // for an address to be had again
	rebindEach = 5 * time.Millisecond  // between tries
	fillFor    = 30 * time.Millisecond // for a connection to come up that is only to take the last place
	fillers    = 4                     // such connections: one is enough, unless it is accepted at that moment
	listLag    = 20 * time.Millisecond // from a change of the list to its telling, as in virtual time
	sleepMost  = time.Second           // of the clock, without anything due
)

// Sight is what servers and agents see, told as it happens, by several goroutines. An attempt is named by its request's id.
type Observer interface {
	AttemptReceived(now float64, id string, proxy, member, group int)
	AttemptRejected(id string)
	MemberNotReady(now float64, member int)
	ProxyNotified(now float64, proxy, member int)
	ServerCrashed(now float64, member int)
	AttemptServed(id string, work float64) // an attempt's answer went out
}

// Request is what a server needs to know of one, by its class's name.
type RequestClass struct {
	Number int // the class's
	Work   float64
	DedupWindow float64
	DedupGroup  func(m *emulator.Member) int // the group that drops its repeats; -1: none
}

// Yard is a fleet on sockets.
type ServerGroup struct {
	Fleet   *emulator.Fleet
	OnLate    func(seconds float64) // how late an end was acted on
	IndentLists  bool                  // lists are told indented, over several lines; set before anybody watches
	mu      sync.Mutex
	observer   Observer
	classes map[string]RequestClass
	proxies int
	began   time.Time
	addresses   []*address
	owners  []int // by member: its slot's connections are its own while it is the last there
	jobs    []*conn
	free    []int
	wake    chan struct{}
	dueAt   float64
	quit    chan struct{}
	agents  []*Agent
	port    int
	work    sync.WaitGroup
	err   error
}

// slot is an address: a listener for each proxy, so that servers can tell who sends.
type address struct {
	listeners  []*listener
	member int
	reach  emulator.Reachability
	conns  map[*conn]bool
}

// entrance is one listener.
type listener struct {
	ln      *net.TCPListener
	addr    string
	fillers []net.Conn
	open    chan struct{} // closed when it may accept again; nil: it may
}

// Open puts a fleet on sockets for so many proxies. It serves until Close. The clock began at a time: the fleet's own times
// are seconds since 1970.
func Open(f *emulator.Fleet, proxies int, requests map[string]RequestClass, sight Observer) (*ServerGroup, error) {
	group := &ServerGroup{Fleet: f, observer: sight, classes: requests, proxies: proxies, began: time.Now(), wake: make(chan struct{}, 1),
		quit: make(chan struct{}), port: begin(), dueAt: math.Inf(1), OnLate: func(float64) {}}
	for i := range proxies {
		a, err := group.agent(i)
		if err != nil {
			group.Close()
			return nil, err
		}
		group.agents = append(group.agents, a)
	}
	group.mu.Lock()
	err := group.addMembers()
	group.mu.Unlock()
	if err != nil {
		group.Close()
		return nil, err
	}
	group.work.Add(1)
	go group.run()
	return group, nil
}

// Now is the time in seconds since 1970, never stepping back.
func (group *ServerGroup) Now() float64 { return group.stamp(time.Now()) }

func (group *ServerGroup) stamp(t time.Time) float64 {
	return float64(group.began.UnixMicro())/1e6 + t.Sub(group.began).Seconds()
}

// Agent is that of a proxy.
func (group *ServerGroup) Agent(proxy int) *Agent { return group.agents[proxy] }

// Do carries out an act and what it leads to later.
func (group *ServerGroup) Apply(a emulator.Change) error {
	group.mu.Lock()
	defer group.mu.Unlock()
	e, later := group.Fleet.Apply(group.Now(), a)
	if err := group.addMembers(); err != nil {
		return err
	}
	group.carryOut(e)
	if len(later) > 0 { // danger: with a timer each, the new server could be refused the address before the old one is gone
		time.AfterFunc(time.Duration((later[0].At-group.Now())*float64(time.Second)), func() {
			for _, a := range later {
				select {
				case <-group.quit:
					return
				default:
				}
				if err := group.Apply(a); err != nil {
					group.recordError(err)
				}
			}
		})
	}
	return nil
}

// Look calls back with the fleet brought up to now, while nothing else happens to it.
func (group *ServerGroup) Inspect(call func(f *emulator.Fleet)) {
	group.mu.Lock()
	defer group.mu.Unlock()
	group.advance()
	call(group.Fleet)
}

// Err is what broke the yard itself, if anything did.
func (group *ServerGroup) Err() error {
	group.mu.Lock()
	defer group.mu.Unlock()
	return group.err
}

func (group *ServerGroup) recordError(err error) {
	group.mu.Lock()
	defer group.mu.Unlock()
	if group.err == nil {
		group.err = err
	}
}

// Close ends everything and waits for it.
func (group *ServerGroup) Close() {
	close(group.quit)
	group.mu.Lock()
	for _, a := range group.agents {
		a.close()
	}
	for _, s := range group.addresses {
		for _, d := range s.listeners {
			d.shut()
		}
		for c := range s.conns {
			c.nc.Close()
		}
	}
	group.mu.Unlock()
	group.work.Wait()
}

// begin is where a program's search for ports begins. Danger: two that begin at one place take the ports from each other that they
// have found free for their proxies.
func begin() int { return firstPort + os.Getpid()*portsApart%(lastPort-firstPort) }

// listen takes the next free port.
func (group *ServerGroup) listen() (*net.TCPListener, error) {
	for range lastPort - firstPort {
		if group.port++; group.port >= lastPort {
			group.port = firstPort
		}
		ln, err := net.Listen("tcp", "127.0.0.1:"+strconv.Itoa(group.port))
		if err == nil {
			return ln.(*net.TCPListener), nil
		}
	}
	return nil, fmt.Errorf("no port from %d to %d is free", firstPort, lastPort)
}

// Ports finds so many ports that are free now.
func (group *ServerGroup) FreeAddrs(n int) ([]string, error) {
	group.mu.Lock()
	defer group.mu.Unlock()
	var list []string
	for range n {
		ln, err := group.listen()
		if err != nil {
			return nil, err
		}
		list = append(list, ln.Addr().String())
		ln.Close()
	}
	return list, nil
}

// grow gives new members their addresses. The caller holds the lock, as below.
func (group *ServerGroup) addMembers() error {
	for i := len(group.owners); i < len(group.Fleet.Members); i++ {
		m := group.Fleet.Members[i]
		for len(group.addresses) <= m.AddressIndex {
			s := &address{conns: map[*conn]bool{}}
			for p := range group.proxies {
				ln, err := group.listen()
				if err != nil {
					return err
				}
				d := &listener{ln: ln, addr: ln.Addr().String()}
				s.listeners = append(s.listeners, d)
				group.work.Add(1)
				go group.accept(s, d, ln, p)
			}
			group.addresses = append(group.addresses, s)
		}
		group.owners = append(group.owners, m.AddressIndex)
		group.addresses[m.AddressIndex].member = i
		if err := group.updateReachability(m.AddressIndex); err != nil {
			return err
		}
	}
	return nil
}

// reachable brings a slot's listeners to what its server's state is now.
func (group *ServerGroup) updateReachability(n int) error {
	s := group.addresses[n]
	m := group.Fleet.Members[s.member]
	want := m.Reachability()
	if want == s.reach {
		return nil
	}
	was := s.reach
	s.reach = want
	for p, d := range s.listeners {
		if was == emulator.Unreachable {
			d.hear()
		}
		switch want {
		case emulator.Refusing:
			d.shut()
		case emulator.Unreachable:
			group.partition(d)
		case emulator.Accepting:
			if was == emulator.Refusing {
				if err := group.relisten(s, d, p); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

// reopen listens at an entrance's address again.
func (group *ServerGroup) relisten(s *address, d *listener, proxy int) error {
	for began := time.Now(); ; time.Sleep(rebindEach) {
		ln, err := net.Listen("tcp", d.addr)
		if err == nil {
			d.ln = ln.(*net.TCPListener)
			group.work.Add(1)
			go group.accept(s, d, d.ln, proxy)
			return nil
		}
		if time.Since(began) > rebindFor {
			return fmt.Errorf("listen again at %s: %w", d.addr, err)
		}
	}
}

func (d *listener) shut() {
	d.hear()
	d.ln.Close()
}

// deafen lets no connection come up any more: nothing is accepted, and the one place for those that wait is taken.
func (group *ServerGroup) partition(d *listener) {
	open := make(chan struct{})
	d.open = open
	d.ln.SetDeadline(time.Unix(1, 0))
	d.backlog(0)
	group.work.Add(1)
	go func() { // without the lock: it must wait for a connection that does not come up
		defer group.work.Done()
		for range fillers {
			c, err := net.DialTimeout("tcp", d.addr, fillFor)
			if err != nil {
				return
			}
			group.mu.Lock()
			if d.open == open {
				d.fillers = append(d.fillers, c)
			} else {
				c.Close()
			}
			group.mu.Unlock()
		}
	}()
}

// hear undoes deafen.
func (d *listener) hear() {
	if d.open == nil {
		return
	}
	for _, c := range d.fillers {
		c.Close()
	}
	d.fillers = nil
	d.backlog(syscall.SOMAXCONN)
	d.ln.SetDeadline(time.Time{})
	close(d.open)
	d.open = nil
}

func (d *listener) backlog(n int) {
	if raw, err := d.ln.SyscallConn(); err == nil {
		raw.Control(func(fd uintptr) { syscall.Listen(int(fd), n) })
	}
}

// run is the clock: it lets the servers' time pass as it comes.
func (group *ServerGroup) run() {
	defer group.work.Done()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-group.quit:
			return
		case <-group.wake:
		case <-timer.C:
		}
		group.mu.Lock()
		group.advance()
		wait := min(time.Duration((group.dueAt-group.Now())*float64(time.Second)), sleepMost)
		group.mu.Unlock()
		timer.Reset(max(wait, 0))
	}
}

// advance carries out all that is due.
func (group *ServerGroup) advance() {
	now := group.Now()
	group.dueAt = math.Inf(1)
	for i := range group.owners {
		m := group.Fleet.Members[i]
		if m.NextEvent() <= now {
			group.reconcile(i, m.Advance(now))
		}
		group.dueAt = min(group.dueAt, m.NextEvent())
	}
}

func (group *ServerGroup) reconcile(member int, ends []emulator.Completion) {
	group.carryOut(group.Fleet.Reconcile(member, ends))
}

// effect carries out what came of a call on a member.
func (group *ServerGroup) carryOut(e emulator.Effect) {
	now := group.Now()
	m := group.Fleet.Members[e.Member]
	for _, end := range e.Completions {
		group.OnLate(now - end.At)
		c := group.jobs[end.Ref]
		group.jobs[end.Ref] = nil
		group.free = append(group.free, end.Ref)
		if c == nil {
			continue // nobody waits for it
		}
		if end.Outcome == balance.ServerRejected {
			group.observer.AttemptRejected(c.id)
		}
		if c.job = -1; m.Reachability() != emulator.Unreachable { // else nothing that it says gets out
			c.ends <- end // has room: one is out at a time
		}
	}
	if e.ResetConnections {
		if m.Crashes > 0 && m.Reachability() == emulator.Refusing && m.State != balance.Removed {
			group.observer.ServerCrashed(now, e.Member)
		}
		for c := range group.addresses[m.AddressIndex].conns {
			if c.member == e.Member {
				c.reset()
			}
		}
	}
	if group.addresses[m.AddressIndex].member == e.Member {
		if err := group.updateReachability(m.AddressIndex); err != nil && group.err == nil {
			group.err = err
		}
	}
	if e.ListChanged {
		for i, m := range group.Fleet.Members {
			if m.State != balance.Ready {
				group.observer.MemberNotReady(now, i)
			}
		}
		for _, a := range group.agents {
			a.changed(group.Fleet.Version, time.Now())
		}
	}
	if next := m.NextEvent(); next < group.dueAt {
		group.dueAt = next
		select {
		case group.wake <- struct{}{}:
		default:
		}
	}
}
