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
type Sight interface {
	Reached(now float64, id string, proxy, member, group int)
	Turned(id string)
	Listed(now float64, member int)
	Told(now float64, proxy, member int)
	Fell(now float64, member int)
	Served(id string, work float64) // an attempt's answer went out
}

// Request is what a server needs to know of one, by its class's name.
type Lookup struct {
	Number int // the class's
	Work   float64
	Window float64
	Marks  func(m *emulator.Member) int // the group that drops its repeats; -1: none
}

// Yard is a fleet on sockets.
type Yard struct {
	Fleet   *emulator.Fleet
	Late    func(seconds float64) // how late an end was acted on
	Indent  bool                  // lists are told indented, over several lines; set before anybody watches
	mu      sync.Mutex
	sight   Sight
	lookups map[string]Lookup
	proxies int
	began   time.Time
	slots   []*slot
	owners  []int // by member: its slot's connections are its own while it is the last there
	jobs    []*conn
	free    []int
	kick    chan struct{}
	dueAt   float64
	quit    chan struct{}
	agents  []*Agent
	port    int
	work    sync.WaitGroup
	fault   error
}

// slot is an address: a listener for each proxy, so that servers can tell who sends.
type slot struct {
	doors  []*entrance
	member int
	reach  emulator.Reachability
	conns  map[*conn]bool
}

// entrance is one listener.
type entrance struct {
	ln      *net.TCPListener
	addr    string
	fillers []net.Conn
	open    chan struct{} // closed when it may accept again; nil: it may
}

// Open puts a fleet on sockets for so many proxies. It serves until Close. The clock began at a time: the fleet's own times
// are seconds since 1970.
func Open(f *emulator.Fleet, proxies int, requests map[string]Lookup, sight Sight) (*Yard, error) {
	y := &Yard{Fleet: f, sight: sight, lookups: requests, proxies: proxies, began: time.Now(), kick: make(chan struct{}, 1),
		quit: make(chan struct{}), port: begin(), dueAt: math.Inf(1), Late: func(float64) {}}
	for i := range proxies {
		a, err := y.agent(i)
		if err != nil {
			y.Close()
			return nil, err
		}
		y.agents = append(y.agents, a)
	}
	y.mu.Lock()
	err := y.grow()
	y.mu.Unlock()
	if err != nil {
		y.Close()
		return nil, err
	}
	y.work.Add(1)
	go y.run()
	return y, nil
}

// Now is the time in seconds since 1970, never stepping back.
func (y *Yard) Now() float64 { return y.stamp(time.Now()) }

func (y *Yard) stamp(t time.Time) float64 {
	return float64(y.began.UnixMicro())/1e6 + t.Sub(y.began).Seconds()
}

// Agent is that of a proxy.
func (y *Yard) Agent(proxy int) *Agent { return y.agents[proxy] }

// Do carries out an act and what it leads to later.
func (y *Yard) Do(a emulator.Change) error {
	y.mu.Lock()
	defer y.mu.Unlock()
	e, later := y.Fleet.Apply(y.Now(), a)
	if err := y.grow(); err != nil {
		return err
	}
	y.effect(e)
	if len(later) > 0 { // danger: with a timer each, the new server could be refused the address before the old one is gone
		time.AfterFunc(time.Duration((later[0].At-y.Now())*float64(time.Second)), func() {
			for _, a := range later {
				select {
				case <-y.quit:
					return
				default:
				}
				if err := y.Do(a); err != nil {
					y.fail(err)
				}
			}
		})
	}
	return nil
}

// Look calls back with the fleet brought up to now, while nothing else happens to it.
func (y *Yard) Look(call func(f *emulator.Fleet)) {
	y.mu.Lock()
	defer y.mu.Unlock()
	y.advance()
	call(y.Fleet)
}

// Err is what broke the yard itself, if anything did.
func (y *Yard) Err() error {
	y.mu.Lock()
	defer y.mu.Unlock()
	return y.fault
}

func (y *Yard) fail(err error) {
	y.mu.Lock()
	defer y.mu.Unlock()
	if y.fault == nil {
		y.fault = err
	}
}

// Close ends everything and waits for it.
func (y *Yard) Close() {
	close(y.quit)
	y.mu.Lock()
	for _, a := range y.agents {
		a.close()
	}
	for _, s := range y.slots {
		for _, d := range s.doors {
			d.shut()
		}
		for c := range s.conns {
			c.nc.Close()
		}
	}
	y.mu.Unlock()
	y.work.Wait()
}

// begin is where a program's search for ports begins. Danger: two that begin at one place take the ports from each other that they
// have found free for their proxies.
func begin() int { return firstPort + os.Getpid()*portsApart%(lastPort-firstPort) }

// listen takes the next free port.
func (y *Yard) listen() (*net.TCPListener, error) {
	for range lastPort - firstPort {
		if y.port++; y.port >= lastPort {
			y.port = firstPort
		}
		ln, err := net.Listen("tcp", "127.0.0.1:"+strconv.Itoa(y.port))
		if err == nil {
			return ln.(*net.TCPListener), nil
		}
	}
	return nil, fmt.Errorf("no port from %d to %d is free", firstPort, lastPort)
}

// Ports finds so many ports that are free now.
func (y *Yard) Ports(n int) ([]string, error) {
	y.mu.Lock()
	defer y.mu.Unlock()
	var list []string
	for range n {
		ln, err := y.listen()
		if err != nil {
			return nil, err
		}
		list = append(list, ln.Addr().String())
		ln.Close()
	}
	return list, nil
}

// grow gives new members their addresses. The caller holds the lock, as below.
func (y *Yard) grow() error {
	for i := len(y.owners); i < len(y.Fleet.Members); i++ {
		m := y.Fleet.Members[i]
		for len(y.slots) <= m.AddressIndex {
			s := &slot{conns: map[*conn]bool{}}
			for p := range y.proxies {
				ln, err := y.listen()
				if err != nil {
					return err
				}
				d := &entrance{ln: ln, addr: ln.Addr().String()}
				s.doors = append(s.doors, d)
				y.work.Add(1)
				go y.accept(s, d, ln, p)
			}
			y.slots = append(y.slots, s)
		}
		y.owners = append(y.owners, m.AddressIndex)
		y.slots[m.AddressIndex].member = i
		if err := y.reachable(m.AddressIndex); err != nil {
			return err
		}
	}
	return nil
}

// reachable brings a slot's listeners to what its server's state is now.
func (y *Yard) reachable(n int) error {
	s := y.slots[n]
	m := y.Fleet.Members[s.member]
	want := m.Reachability()
	if want == s.reach {
		return nil
	}
	was := s.reach
	s.reach = want
	for p, d := range s.doors {
		if was == emulator.Unreachable {
			d.hear()
		}
		switch want {
		case emulator.Refusing:
			d.shut()
		case emulator.Unreachable:
			y.deafen(d)
		case emulator.Accepting:
			if was == emulator.Refusing {
				if err := y.reopen(s, d, p); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

// reopen listens at an entrance's address again.
func (y *Yard) reopen(s *slot, d *entrance, proxy int) error {
	for began := time.Now(); ; time.Sleep(rebindEach) {
		ln, err := net.Listen("tcp", d.addr)
		if err == nil {
			d.ln = ln.(*net.TCPListener)
			y.work.Add(1)
			go y.accept(s, d, d.ln, proxy)
			return nil
		}
		if time.Since(began) > rebindFor {
			return fmt.Errorf("listen again at %s: %w", d.addr, err)
		}
	}
}

func (d *entrance) shut() {
	d.hear()
	d.ln.Close()
}

// deafen lets no connection come up any more: nothing is accepted, and the one place for those that wait is taken.
func (y *Yard) deafen(d *entrance) {
	open := make(chan struct{})
	d.open = open
	d.ln.SetDeadline(time.Unix(1, 0))
	d.backlog(0)
	y.work.Add(1)
	go func() { // without the lock: it must wait for a connection that does not come up
		defer y.work.Done()
		for range fillers {
			c, err := net.DialTimeout("tcp", d.addr, fillFor)
			if err != nil {
				return
			}
			y.mu.Lock()
			if d.open == open {
				d.fillers = append(d.fillers, c)
			} else {
				c.Close()
			}
			y.mu.Unlock()
		}
	}()
}

// hear undoes deafen.
func (d *entrance) hear() {
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

func (d *entrance) backlog(n int) {
	if raw, err := d.ln.SyscallConn(); err == nil {
		raw.Control(func(fd uintptr) { syscall.Listen(int(fd), n) })
	}
}

// run is the clock: it lets the servers' time pass as it comes.
func (y *Yard) run() {
	defer y.work.Done()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-y.quit:
			return
		case <-y.kick:
		case <-timer.C:
		}
		y.mu.Lock()
		y.advance()
		wait := min(time.Duration((y.dueAt-y.Now())*float64(time.Second)), sleepMost)
		y.mu.Unlock()
		timer.Reset(max(wait, 0))
	}
}

// advance carries out all that is due.
func (y *Yard) advance() {
	now := y.Now()
	y.dueAt = math.Inf(1)
	for i := range y.owners {
		m := y.Fleet.Members[i]
		if m.NextEvent() <= now {
			y.settle(i, m.Advance(now))
		}
		y.dueAt = min(y.dueAt, m.NextEvent())
	}
}

func (y *Yard) settle(member int, ends []emulator.Completion) {
	y.effect(y.Fleet.Reconcile(member, ends))
}

// effect carries out what came of a call on a member.
func (y *Yard) effect(e emulator.Effect) {
	now := y.Now()
	m := y.Fleet.Members[e.Member]
	for _, end := range e.Completions {
		y.Late(now - end.At)
		c := y.jobs[end.Ref]
		y.jobs[end.Ref] = nil
		y.free = append(y.free, end.Ref)
		if c == nil {
			continue // nobody waits for it
		}
		if end.Outcome == balance.ServerRejected {
			y.sight.Turned(c.id)
		}
		if c.job = -1; m.Reachability() != emulator.Unreachable { // else nothing that it says gets out
			c.ends <- end // has room: one is out at a time
		}
	}
	if e.ResetConnections {
		if m.Crashes > 0 && m.Reachability() == emulator.Refusing && m.State != balance.Removed {
			y.sight.Fell(now, e.Member)
		}
		for c := range y.slots[m.AddressIndex].conns {
			if c.member == e.Member {
				c.reset()
			}
		}
	}
	if y.slots[m.AddressIndex].member == e.Member {
		if err := y.reachable(m.AddressIndex); err != nil && y.fault == nil {
			y.fault = err
		}
	}
	if e.ListChanged {
		for i, m := range y.Fleet.Members {
			if m.State != balance.Ready {
				y.sight.Listed(now, i)
			}
		}
		for _, a := range y.agents {
			a.changed(y.Fleet.Version, time.Now())
		}
	}
	if next := m.NextEvent(); next < y.dueAt {
		y.dueAt = next
		select {
		case y.kick <- struct{}{}:
		default:
		}
	}
}
