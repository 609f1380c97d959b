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

// wakeBatchSize is the maximum number of connections that are woken before all other runnable goroutines have a turn.
const wakeBatchSize = 64

// Set is an epoll set of idle connections. The zero value is an empty set. Its methods are safe for concurrent use.
type Set struct {
	startOnce sync.Once
	file      *os.File // the epoll set; nil: no connection can be added
	raw       syscall.RawConn
	mu        sync.Mutex
	waits     map[int32]*Registration // by file descriptor
	woken     atomic.Bool             // see HasWoken

	events [wakeBatchSize]unix.EpollEvent // accessed only by the set's goroutine
	count  int                            // number of valid events
}

// HasWoken reports whether the set has ever woken a connection. On an emulated system, an epoll set nested in that of
// the runtime may never become ready, and a connection that relied on it would wait forever. As long as HasWoken
// returns false, the caller must wait for the connection in another way too.
func (s *Set) HasWoken() bool { return s.woken.Load() }

// Registration is the registration of one connection in a Set.
type Registration struct {
	set     *Set
	raw     syscall.RawConn
	wake    func(ended bool) // see Add
	control func(fd uintptr) // created once, so that Arm does not allocate
	fd      int32
	added   bool  // whether the connection was added to the epoll set
	err     error // result of control
}

// Add registers a connection, which does not wait until Arm. It returns nil if the connection is not a TCP connection
// or there is no epoll set.
//
// After each Arm, the set's goroutine calls wake once, when the connection has unread bytes or has ended. ended is
// true if the peer has closed its sending side or the connection has failed. wake must not block.
func (s *Set) Add(conn net.Conn, wake func(ended bool)) *Registration {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return nil
	}
	s.startOnce.Do(s.start)
	if s.file == nil {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil
	}
	wait := &Registration{set: s, raw: raw, wake: wake}
	wait.control = func(fd uintptr) { wait.err = wait.armDescriptor(int(fd)) }
	return wait
}

// start creates the epoll set and starts its goroutine, which ends with Close. If that fails, file stays nil.
func (s *Set) start() {
	fd, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		return
	}
	if err := unix.SetNonblock(fd, true); err != nil { // so that the runtime's poller waits for the set
		_ = unix.Close(fd) // not used, so an error does not matter
		return
	}
	file := os.NewFile(uintptr(fd), "idle")
	if s.raw, err = file.SyscallConn(); err != nil {
		closeIgnoringError(file)
		return
	}
	s.file, s.waits = file, map[int32]*Registration{}
	go s.run()
}

// Close closes the epoll set: no connection is woken any more. It does not wait for a call of wake in progress.
func (s *Set) Close() {
	s.startOnce.Do(func() {})
	if s.file != nil {
		closeIgnoringError(s.file)
	}
}

// Arm starts waiting until the connection has bytes or ends. If it returns an error, wake is not called.
func (w *Registration) Arm() error {
	if err := w.raw.Control(w.control); err != nil {
		return err
	}
	return w.err
}

// armDescriptor makes the epoll set report the next event of the connection once.
func (w *Registration) armDescriptor(fd int) error {
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
		return nil // the set is closed and wakes no connection any more
	}
	return os.NewSyscallError("epoll_ctl", err)
}

// Remove removes the connection from its set. It must be called before the connection is closed, since the file
// descriptor may be reused for another connection at once. For a nil Registration it does nothing.
func (w *Registration) Remove() {
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
	waiter := NewPollWaiter()
	defer waiter.Close()
	pollEvents := s.pollEvents // evaluated once, since each method value allocates
	for s.raw.Read(pollEvents) == nil {
		for _, event := range s.events[:s.count] {
			s.wake(event)
		}
		if s.count == len(s.events) {
			waiter.Wait()
		}
	}
}

// pollEvents reads the events of connections that are ready, and returns false if there are none yet.
func (s *Set) pollEvents(fd uintptr) bool {
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

// closeIgnoringError closes a file to which no data was written, so that an error does not matter.
func closeIgnoringError(c io.Closer) { _ = c.Close() }
