// Package recvtime reads from connections and reports when the system received the bytes that were read, which may be
// long before a busy program reads them. The owner of a connection writes to it, sets its deadlines and closes it.
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

// maxReadDelay is the longest plausible time from receiving bytes to reading them. If it is longer or negative, the
// system clock was set in between.
const maxReadDelay = 30 * time.Second

// Reader reads one connection. It is not safe for concurrent use.
type Reader struct {
	conn     net.Conn
	raw      syscall.RawConn // nil: receive times are not available for the connection
	call     recvmsgCall
	received time.Time // what Received returns

	receiveOrWait func(fd uintptr) bool // both functions are created once, so that Read does not allocate
	receiveNow    func(fd uintptr)
}

// NewReader returns a reader of a connection, from which nothing else may read. If the connection is not a TCP socket,
// or the system has no receive times, Read only calls conn.Read and Received returns the zero time.
func NewReader(conn net.Conn) *Reader {
	r := &Reader{}
	r.receiveOrWait = func(fd uintptr) bool {
		r.call.do(fd)
		return r.call.errno != unix.EAGAIN
	}
	r.receiveNow = r.call.do
	r.Reset(conn)
	return r
}

// Reset makes the reader read from another connection.
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

// Received returns when the system had received all bytes returned by the last Read, or the zero time if the receive
// time is unknown.
func (r *Reader) Received() time.Time { return r.received }

// Read reads from the connection. If the read deadline has passed but the system has received bytes, these are still
// returned: the program may have read them late although the sender was in time.
func (r *Reader) Read(p []byte) (int, error) {
	if r.raw == nil || len(p) == 0 {
		return r.conn.Read(p)
	}
	if err := r.receive(p); err != nil {
		return 0, err
	}
	call := &r.call
	switch {
	case call.errno != 0:
		return 0, &net.OpError{
			Op:     "read",
			Net:    "tcp",
			Source: r.conn.LocalAddr(),
			Addr:   r.conn.RemoteAddr(),
			Err:    os.NewSyscallError("recvmsg", call.errno),
		}
	case call.n <= 0:
		return 0, io.EOF
	}
	r.received = time.Time{}
	if stamp, ok := call.timestamp(); ok {
		r.received = receiveTime(stamp, time.Now())
	}
	return call.n, nil
}

// receive receives bytes or the end of the connection into p, waiting until the read deadline.
func (r *Reader) receive(p []byte) error {
	r.call.buffer = p
	err := r.raw.Read(r.receiveOrWait)
	r.call.release()
	if errors.Is(err, os.ErrDeadlineExceeded) && r.receiveLate(p) {
		return nil
	}
	return err
}

// receiveLate receives bytes into p without waiting, after the read deadline, and reports whether there were any.
func (r *Reader) receiveLate(p []byte) bool {
	r.call.buffer = p
	err := r.raw.Control(r.receiveNow)
	r.call.release()
	return err == nil && r.call.errno == 0 && r.call.n > 0
}

// receiveTime converts a timestamp of the system to a time with a monotonic clock reading. It returns the zero time for
// an implausible timestamp.
func receiveTime(stamp unix.Timespec, now time.Time) time.Time {
	delay := now.Sub(time.Unix(stamp.Unix()))
	if delay < 0 || delay > maxReadDelay {
		return time.Time{}
	}
	return now.Add(-delay)
}
