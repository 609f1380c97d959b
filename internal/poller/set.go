package poller

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"

	"golang.org/x/sys/unix"
)

// maxWakes is how many connections are made ready before everything else that is ready has its turn.
const maxWakes = 64

// Set is connections that wait. The zero value is an empty set. Its methods are safe for concurrent use.
type Set struct {
	open  sync.Once
	file  *os.File // the epoll set; nil: none can wait here
	raw   syscall.RawConn
	mu    sync.Mutex
	waits map[int32]*Wait // by file descriptor
	woken atomic.Bool

	events [maxWakes]unix.EpollEvent // of the goroutine that waits
	count  int                       // of events
}

// Works reports whether the set has ever woken a connection. Where the system is emulated, an epoll set within the
// runtime's own may never become ready, and a connection that relied on it would wait for ever; until Works, whoever
// waits is to wait elsewhere too.
func (s *Set) Works() bool { return s.woken.Load() }

// Wait is one connection of a set.
type Wait struct {
	set     *Set
	raw     syscall.RawConn
	wake    func(ended bool)
	control func(fd uintptr) // made once, so that Begin does not allocate
	fd      int32
	added   bool
	err     error // of control
}

// Add adds a connection, which does not wait yet. It returns nil where this connection cannot wait in a set.
//
// Once for each time that the connection waits, wake is called by the set's goroutine, with whether the peer sends
// nothing more than has come. It must not block.
func (s *Set) Add(conn net.Conn, wake func(ended bool)) *Wait {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return nil
	}
	s.open.Do(s.start)
	if s.file == nil {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil
	}
	wait := &Wait{set: s, raw: raw, wake: wake}
	wait.control = func(fd uintptr) { wait.err = wait.arm(int(fd)) }
	return wait
}

// start makes the epoll set and starts its goroutine, which ends with Close. Without an epoll set, file stays nil.
func (s *Set) start() {
	fd, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		return
	}
	if err := unix.SetNonblock(fd, true); err != nil { // non-blocking, the runtime waits for the set itself
		_ = unix.Close(fd) // nothing uses it
		return
	}
	file := os.NewFile(uintptr(fd), "idle")
	if s.raw, err = file.SyscallConn(); err != nil {
		closeUnused(file)
		return
	}
	s.file, s.waits = file, map[int32]*Wait{}
	go s.run()
}

// Close ends the waiting: no connection is woken any more. It does not wait for a wake that is under way.
func (s *Set) Close() {
	s.open.Do(func() {})
	if s.file != nil {
		closeUnused(s.file)
	}
}

// Begin makes the connection wait for bytes, or for its end. After an error it does not wait.
func (w *Wait) Begin() error {
	if err := w.raw.Control(w.control); err != nil {
		return err
	}
	return w.err
}

// arm has the epoll set report the connection once.
func (w *Wait) arm(fd int) error {
	event := unix.EpollEvent{Events: unix.EPOLLIN | unix.EPOLLRDHUP | unix.EPOLLONESHOT, Fd: int32(fd)}
	operation := unix.EPOLL_CTL_MOD
	if !w.added {
		operation = unix.EPOLL_CTL_ADD
		w.fd, w.added = int32(fd), true
		w.set.mu.Lock()
		w.set.waits[w.fd] = w
		w.set.mu.Unlock()
	}
	var err error
	closed := w.set.raw.Control(func(set uintptr) { err = unix.EpollCtl(int(set), operation, fd, &event) })
	if closed != nil {
		return nil // the set is closed, and wakes nobody any more
	}
	return os.NewSyscallError("epoll_ctl", err)
}

// Forget takes a connection out of its set. It is to be called before the connection is closed, since its descriptor
// may be another's soon. A nil Wait has nothing to forget.
func (w *Wait) Forget() {
	if w == nil {
		return
	}
	w.set.mu.Lock()
	defer w.set.mu.Unlock()
	if w.added && w.set.waits[w.fd] == w {
		delete(w.set.waits, w.fd)
	}
}

// run wakes connections until the set is closed.
func (s *Set) run() {
	round := NewRound()
	defer round.Close()
	takeEvents := s.takeEvents // once, since a method value allocates
	for s.raw.Read(takeEvents) == nil {
		for _, event := range s.events[:s.count] {
			s.wake(event)
		}
		if s.count == len(s.events) {
			round.Next()
		}
	}
}

// takeEvents takes what is ready, and reports whether there is anything.
func (s *Set) takeEvents(fd uintptr) bool {
	count, err := unix.EpollWait(int(fd), s.events[:], 0)
	s.count = max(count, 0)
	return count > 0 || err != nil && !errors.Is(err, unix.EINTR)
}

func (s *Set) wake(event unix.EpollEvent) {
	s.mu.Lock()
	wait := s.waits[event.Fd]
	s.mu.Unlock()
	if wait == nil {
		return
	}
	s.woken.Store(true)
	const ended = unix.EPOLLRDHUP | unix.EPOLLHUP | unix.EPOLLERR
	wait.wake(event.Events&ended != 0)
}

// closeUnused closes what nothing was written to: nobody can act on an error.
func closeUnused(c io.Closer) { _ = c.Close() }
