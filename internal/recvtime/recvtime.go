// Package recvtime reads connections and tells when the system received what was read, which may be long before a busy program comes
// to read it. It only reads; whoever owns the connection writes, sets deadlines and closes.
package recvtime

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

// believed is the longest wait that a stamp may tell: past it, or below none, the system's clock was set in between.
const believed = 30 * time.Second

// Reader reads one connection. It is not safe for concurrent use.
type Reader struct {
	nc   net.Conn
	raw  syscall.RawConn // nil: this connection tells no times
	to   []byte
	n    int
	err  unix.Errno // 0: none
	take func(fd uintptr) bool
	look func(fd uintptr)
	at   time.Time

	// What the system is asked with, kept for the next time.
	msg  unix.Msghdr
	iov  unix.Iovec
	told struct {
		head unix.Cmsghdr
		at   unix.Timespec
	}
}

// NewReader reads a connection that nobody else reads. One that is no TCP socket, or whose system tells no times, is read as it is.
func NewReader(nc net.Conn) *Reader {
	r := &Reader{}
	r.take = func(fd uintptr) bool {
		r.receive(fd)
		return r.err != unix.EAGAIN
	}
	r.look = func(fd uintptr) { r.receive(fd) }
	r.Reset(nc)
	return r
}

// Reset has it read another connection.
func (r *Reader) Reset(nc net.Conn) {
	r.nc, r.raw, r.at = nc, nil, time.Time{}
	tcp, ok := nc.(*net.TCPConn)
	if !ok {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	refused := raw.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_TIMESTAMPNS, 1) })
	if err == nil && refused == nil {
		r.raw = raw
	}
}

// Received is when the system had all that was read last; zero where it does not tell.
func (r *Reader) Received() time.Time { return r.at }

// receive reads what is there and does not wait.
func (r *Reader) receive(fd uintptr) {
	r.iov.Base = &r.to[0]
	r.iov.SetLen(len(r.to))
	r.msg = unix.Msghdr{Iov: &r.iov, Control: (*byte)(unsafe.Pointer(&r.told))}
	r.msg.SetIovlen(1)
	for {
		r.msg.SetControllen(int(unsafe.Sizeof(r.told)))
		n, _, err := unix.RawSyscall(unix.SYS_RECVMSG, fd, uintptr(unsafe.Pointer(&r.msg)), unix.MSG_DONTWAIT) // it never blocks
		if r.n, r.err = int(n), err; err != unix.EINTR {
			return
		}
	}
}

// Read reads. Danger: when the program was held up past a deadline, what had come by then is still to be read, and its sender was
// not late.
func (r *Reader) Read(p []byte) (int, error) {
	if r.raw == nil || len(p) == 0 {
		return r.nc.Read(p)
	}
	r.to = p
	err := r.raw.Read(r.take)
	r.to, r.iov.Base = nil, nil
	if errors.Is(err, os.ErrDeadlineExceeded) {
		r.to = p
		failed := r.raw.Control(r.look)
		r.to, r.iov.Base = nil, nil
		if failed != nil || r.err != 0 || r.n <= 0 {
			return 0, err
		}
		err = nil
	}
	switch {
	case err != nil:
		return 0, err
	case r.err != 0:
		return 0, &net.OpError{Op: "read", Net: "tcp", Source: r.nc.LocalAddr(), Addr: r.nc.RemoteAddr(), Err: os.NewSyscallError("recvmsg", r.err)}
	case r.n <= 0:
		return 0, io.EOF
	}
	r.at = time.Time{}
	if r.msg.Controllen == uint64(unsafe.Sizeof(r.told)) && r.told.head.Level == unix.SOL_SOCKET && r.told.head.Type == unix.SCM_TIMESTAMPNS {
		r.at = when(r.told.at, time.Now())
	}
	return r.n, nil
}

// when is the time that a stamp tells, on the clock that only goes forward; zero where it can't be.
func when(stamp unix.Timespec, now time.Time) time.Time {
	wait := now.Sub(time.Unix(stamp.Unix()))
	if wait < 0 || wait > believed {
		return time.Time{}
	}
	return now.Add(-wait)
}
