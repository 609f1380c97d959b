package poller

import (
	"encoding/binary"
	"os"
	"runtime"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// roundMost is how long a round may last.
const roundMost = 2 * time.Millisecond

// Round lets a goroutine go on only when the runtime has looked for what is ready on all connections again. Danger: on a core that is
// behind, it looks when nobody else can go on, or every 10 ms; work that always begets more work has it look seldom, and what has come
// by then waits behind that work. It belongs to one goroutine.
type Round struct {
	file  *os.File // nil: only those that can go on now go first
	raw   syscall.RawConn
	first bool
	take  func(fd uintptr) bool
}

// NewRound makes one; Close ends it.
func NewRound() *Round {
	r := &Round{}
	fd, err := unix.Eventfd(0, unix.EFD_CLOEXEC|unix.EFD_NONBLOCK)
	if err != nil {
		return r
	}
	file := os.NewFile(uintptr(fd), "round")
	if r.raw, err = file.SyscallConn(); err != nil {
		file.Close()
		return r
	}
	r.file = file
	one := binary.NativeEndian.AppendUint64(nil, 1)
	got := make([]byte, 8)
	r.take = func(fd uintptr) bool {
		if r.first { // danger: written any sooner, the runtime may have seen it before this goroutine waits for that
			r.first = false
			unix.Write(int(fd), one)
			return false
		}
		unix.Read(int(fd), got)
		return true
	}
	return r
}

// Next waits for the next round.
func (r *Round) Next() {
	if r.file == nil {
		runtime.Gosched()
		return
	}
	r.first = true
	r.file.SetReadDeadline(time.Now().Add(roundMost)) // danger: see Set.Works
	if r.raw.Read(r.take) != nil {
		runtime.Gosched()
	}
}

// Close ends it. A call of Next under way returns.
func (r *Round) Close() {
	if r.file != nil {
		r.file.Close()
	}
}
