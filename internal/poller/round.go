package poller

import (
	"encoding/binary"
	"os"
	"runtime"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const maxRoundDuration = 2 * time.Millisecond // of a call of Wait

// PollWaiter lets a goroutine wait until the runtime has polled all connections again. The runtime of an overloaded
// program polls when no goroutine is runnable, or every 10 ms; if goroutines keep making others runnable it polls
// seldom, and bytes received in the meantime wait behind that work. A PollWaiter belongs to one goroutine.
type PollWaiter struct {
	file    *os.File // an eventfd; nil if creating it failed: Wait then only calls runtime.Gosched
	raw     syscall.RawConn
	written bool                  // whether the eventfd was written in this round
	read    func(fd uintptr) bool // passed to raw.Read; created once, to avoid an allocation per call
}

// NewPollWaiter returns a PollWaiter, to be closed with Close.
func NewPollWaiter() *PollWaiter {
	waiter := &PollWaiter{}
	fd, err := unix.Eventfd(0, unix.EFD_CLOEXEC|unix.EFD_NONBLOCK)
	if err != nil {
		return waiter
	}
	file := os.NewFile(uintptr(fd), "round")
	if waiter.raw, err = file.SyscallConn(); err != nil {
		closeIgnoringError(file)
		return waiter
	}
	waiter.file = file
	one := binary.NativeEndian.AppendUint64(nil, 1)
	counter := make([]byte, 8)
	// The first call in a round writes to the eventfd and returns false, so that raw.Read waits and the runtime's next
	// poll makes it call the function again. If the eventfd were written earlier, the runtime might poll it before this
	// goroutine waits. If either system call fails, the deadline set in Wait ends the round.
	waiter.read = func(fd uintptr) bool {
		if !waiter.written {
			waiter.written = true
			_, _ = unix.Write(int(fd), one)
			return false
		}
		_, _ = unix.Read(int(fd), counter)
		return true
	}
	return waiter
}

// Wait waits until the runtime has polled all connections again, at most 2 ms.
func (r *PollWaiter) Wait() {
	if r.file == nil {
		runtime.Gosched()
		return
	}
	r.written = false
	// The deadline is for systems on which the eventfd is never reported as readable; see Set.HasWoken.
	if err := r.file.SetReadDeadline(time.Now().Add(maxRoundDuration)); err != nil {
		runtime.Gosched()
		return
	}
	if err := r.raw.Read(r.read); err != nil {
		runtime.Gosched()
	}
}

// Close releases the eventfd. A call of Wait in progress returns.
func (r *PollWaiter) Close() {
	if r.file != nil {
		closeIgnoringError(r.file)
	}
}
