// Package poller waits for bytes on many connections at once, a few at a time. Connections that wait in the runtime's own poller are
// all made ready together, before what the program has begun is brought to an end; a program that is behind then reads more and more
// and finishes less and less. Here they wait in a set of their own, and a goroutine takes some from it whenever the others have had
// their turn.
package poller

import (
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"

	"golang.org/x/sys/unix"
)

// atOnce is how many connections are made ready before everything else that is ready has its turn.
const atOnce = 64

// Set is connections that wait. The zero value is an empty one. Its methods may be called by anyone.
type Set struct {
	begun sync.Once
	file  *os.File // nil: none can wait here
	raw   syscall.RawConn
	mu    sync.Mutex
	all   map[int32]*Wait
	took  [atOnce]unix.EpollEvent
	n     int
	works atomic.Bool // it has woken somebody
}

// Works tells whether the set has ever woken a connection. Danger: where the system under a program is an imitation it may know no set
// within the runtime's own, and whoever relied on it would wait for ever; until it works, whoever waits is to wait elsewhere too.
func (s *Set) Works() bool { return s.works.Load() }

// Wait is one connection's.
type Wait struct {
	set   *Set
	raw   syscall.RawConn
	wake  func(ended bool)
	fd    int32
	added bool
	err   error
	arm   func(fd uintptr)
}

// open makes the set, with its first connection.
func (s *Set) open() {
	fd, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		return
	}
	if err := unix.SetNonblock(fd, true); err != nil { // then the runtime waits for the set itself
		unix.Close(fd)
		return
	}
	file := os.NewFile(uintptr(fd), "idle")
	if s.raw, err = file.SyscallConn(); err != nil {
		file.Close()
		return
	}
	s.file, s.all = file, map[int32]*Wait{}
	go s.run()
}

// Close ends the waiting; nobody is woken any more.
func (s *Set) Close() {
	s.begun.Do(func() {})
	if s.file != nil {
		s.file.Close()
	}
}

// Add adds a connection, which does not wait yet; wake is called, by another goroutine, once for each time that it does, and told
// whether the other side sends nothing any more, or nothing more than has come. It must not block. It is nil where this connection can't wait here.
func (s *Set) Add(nc net.Conn, wake func(ended bool)) *Wait {
	tcp, ok := nc.(*net.TCPConn)
	if !ok {
		return nil
	}
	if s.begun.Do(s.open); s.file == nil {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil
	}
	w := &Wait{set: s, raw: raw, wake: wake}
	w.arm = func(fd uintptr) { w.err = w.control(int(fd)) }
	return w
}

// Begin has it wait for bytes, or for the connection's end; it is woken once. It need not be added before. With an error it is not.
func (w *Wait) Begin() error {
	if err := w.raw.Control(w.arm); err != nil {
		return err
	}
	return w.err
}

func (w *Wait) control(fd int) error {
	event := unix.EpollEvent{Events: unix.EPOLLIN | unix.EPOLLRDHUP | unix.EPOLLONESHOT, Fd: int32(fd)}
	op := unix.EPOLL_CTL_MOD
	if !w.added {
		w.fd, w.added, op = int32(fd), true, unix.EPOLL_CTL_ADD
		w.set.mu.Lock()
		w.set.all[w.fd] = w
		w.set.mu.Unlock()
	}
	var err error
	w.set.raw.Control(func(set uintptr) { err = unix.EpollCtl(int(set), op, fd, &event) })
	return os.NewSyscallError("epoll_ctl", err)
}

// Forget takes a connection out; it is to be called before the connection is closed. Danger: its number may be another's soon.
func (w *Wait) Forget() {
	if w == nil {
		return
	}
	w.set.mu.Lock()
	defer w.set.mu.Unlock()
	if w.added && w.set.all[w.fd] == w {
		delete(w.set.all, w.fd)
	}
}

func (s *Set) run() {
	take := func(fd uintptr) bool {
		n, err := unix.EpollWait(int(fd), s.took[:], 0)
		s.n = max(n, 0)
		return n > 0 || err != nil && err != unix.EINTR
	}
	round := NewRound()
	defer round.Close()
	for s.raw.Read(take) == nil {
		for _, e := range s.took[:s.n] {
			s.mu.Lock()
			w := s.all[e.Fd]
			s.mu.Unlock()
			if w != nil {
				s.works.Store(true)
				w.wake(e.Events&(unix.EPOLLRDHUP|unix.EPOLLHUP|unix.EPOLLERR) != 0)
			}
		}
		if s.n == len(s.took) {
			round.Next()
		}
	}
}
