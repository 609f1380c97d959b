// Package recvtime reads connections and reports when the system received what was read, which may be long before a
// busy program comes to read it. It only reads; whoever owns the connection writes, sets deadlines and closes.
package recvtime

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// maxWait is the longest wait between receiving and reading that is believed. Beyond it, or below zero, the system's
// clock was set in between.
const maxWait = 30 * time.Second

// Reader reads one connection. It is not safe for concurrent use.
type Reader struct {
	conn     net.Conn
	raw      syscall.RawConn // nil: this connection has no receive times
	request  receiveRequest
	received time.Time

	receiveOrWait func(fd uintptr) bool // both are made once, so that Read does not allocate
	receiveNow    func(fd uintptr)
}

// NewReader returns a reader of a connection that nobody else reads. One that is no TCP socket, or whose system has no
// receive times, is read as it is.
func NewReader(conn net.Conn) *Reader {
	r := &Reader{}
	r.receiveOrWait = func(fd uintptr) bool {
		r.request.do(fd)
		return r.request.errno != unix.EAGAIN
	}
	r.receiveNow = r.request.do
	r.Reset(conn)
	return r
}

// Reset makes the reader read another connection.
func (r *Reader) Reset(conn net.Conn) {
	r.conn, r.raw, r.received = conn, nil, time.Time{}
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	var optionErr error
	err = raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_TIMESTAMPNS, 1)
	})
	if err == nil && optionErr == nil {
		r.raw = raw
	}
}

// Received returns when the system had received all that was read last; zero where it is unknown.
func (r *Reader) Received() time.Time { return r.received }

// Read reads from the connection. If this program was held up past a read deadline, what had come by then is still
// read: its sender was not late.
func (r *Reader) Read(p []byte) (int, error) {
	if r.raw == nil || len(p) == 0 {
		return r.conn.Read(p)
	}
	if err := r.receive(p); err != nil {
		return 0, err
	}
	request := &r.request
	switch {
	case request.errno != 0:
		return 0, &net.OpError{
			Op:     "read",
			Net:    "tcp",
			Source: r.conn.LocalAddr(),
			Addr:   r.conn.RemoteAddr(),
			Err:    os.NewSyscallError("recvmsg", request.errno),
		}
	case request.n <= 0:
		return 0, io.EOF
	}
	r.received = time.Time{}
	if stamp, ok := request.timestamp(); ok {
		r.received = receiveTime(stamp, time.Now())
	}
	return request.n, nil
}

// receive waits until something has come or the read deadline is over, and receives it.
func (r *Reader) receive(p []byte) error {
	r.request.buffer = p
	err := r.raw.Read(r.receiveOrWait)
	r.request.release()
	if errors.Is(err, os.ErrDeadlineExceeded) && r.receiveLate(p) {
		return nil
	}
	return err
}

// receiveLate receives what has come by now, and reports whether there was anything.
func (r *Reader) receiveLate(p []byte) bool {
	r.request.buffer = p
	err := r.raw.Control(r.receiveNow)
	r.request.release()
	return err == nil && r.request.errno == 0 && r.request.n > 0
}

// receiveTime returns the time of a timestamp on the monotonic clock; zero where it cannot be right.
func receiveTime(stamp unix.Timespec, now time.Time) time.Time {
	wait := now.Sub(time.Unix(stamp.Unix()))
	if wait < 0 || wait > maxWait {
		return time.Time{}
	}
	return now.Add(-wait)
}
