package poller

import (
	"encoding/binary"
	"os"
	"runtime"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const maxRoundDuration = 2 * time.Millisecond

// Round lets a goroutine continue only when the runtime has polled all connections again. An overloaded program polls
// when no goroutine can run, or every 10 ms; work that always begets more work makes it poll seldom, and what has come
// by then waits behind that work. A Round belongs to one goroutine.
type Round struct {
	file    *os.File // an eventfd; nil: there is none, and Next only yields to those that can run now
	raw     syscall.RawConn
	written bool // in this round
	read    func(fd uintptr) bool
}

// NewRound returns a round; Close ends it.
func NewRound() *Round {
	round := &Round{}
	fd, err := unix.Eventfd(0, unix.EFD_CLOEXEC|unix.EFD_NONBLOCK)
	if err != nil {
		return round
	}
	file := os.NewFile(uintptr(fd), "round")
	if round.raw, err = file.SyscallConn(); err != nil {
		closeUnused(file)
		return round
	}
	round.file = file
	one := binary.NativeEndian.AppendUint64(nil, 1)
	counter := make([]byte, 8)
	// The first call in a round writes, so that the runtime's next poll has it called again: written before, the
	// runtime might have seen the event before this goroutine waits for it. Should either system call fail, the
	// deadline in Next ends the round.
	round.read = func(fd uintptr) bool {
		if !round.written {
			round.written = true
			_, _ = unix.Write(int(fd), one)
			return false
		}
		_, _ = unix.Read(int(fd), counter)
		return true
	}
	return round
}

// Next waits for the next round, 2 ms at the most.
func (r *Round) Next() {
	if r.file == nil {
		runtime.Gosched()
		return
	}
	r.written = false
	// The deadline is for systems on which the event never comes; see Set.Works.
	if err := r.file.SetReadDeadline(time.Now().Add(maxRoundDuration)); err != nil {
		runtime.Gosched()
		return
	}
	if err := r.raw.Read(r.read); err != nil {
		runtime.Gosched()
	}
}

// Close ends the round. A call of Next under way returns.
func (r *Round) Close() {
	if r.file != nil {
		closeUnused(r.file)
	}
}
