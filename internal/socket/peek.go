package socket

import (
	"io"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

const (
	peekWindowBytes = 64 << 10 // what one system call returns at most
	maxPeekBytes    = 4 << 20  // since a call copies all bytes before its window too
)

// PeekReader reads the bytes that the system holds unread of a connection, without consuming them: a read of the
// connection returns them again. Read returns io.EOF after the last byte that the system holds, or after maxPeekBytes.
// The zero value returns io.EOF until Reset. A PeekReader has a buffer of peekWindowBytes and is not safe for
// concurrent use.
type PeekReader struct {
	raw    syscall.RawConn // nil: there is nothing to read
	offset int             // how many unread bytes were copied to the window so far
	rest   []byte          // of the window, not returned yet
	window []byte
}

// Reset makes the reader read the unread bytes of a connection from the first one on. There are none if the connection
// is not a socket, or is closed.
func (r *PeekReader) Reset(conn net.Conn) {
	r.raw, r.offset, r.rest = nil, 0, nil
	if r.window == nil {
		r.window = make([]byte, peekWindowBytes)
	}
	if socket, ok := conn.(syscall.Conn); ok {
		if raw, err := socket.SyscallConn(); err == nil {
			r.raw = raw
		}
	}
}

// Read implements io.Reader.
func (r *PeekReader) Read(p []byte) (int, error) {
	if len(r.rest) == 0 {
		r.rest = r.peek()
		r.offset += len(r.rest)
	}
	if len(r.rest) == 0 {
		return 0, io.EOF
	}
	n := copy(p, r.rest)
	r.rest = r.rest[n:]
	return n, nil
}

// peek copies the bytes after offset to the window and returns them.
func (r *PeekReader) peek() []byte {
	if r.raw == nil || r.offset >= maxPeekBytes {
		return nil
	}
	received := 0
	err := r.raw.Control(func(fd uintptr) {
		n, _, _, _, err := unix.RecvmsgBuffers(int(fd), r.vectors(), nil, unix.MSG_PEEK|unix.MSG_DONTWAIT)
		if err == nil {
			received = n
		}
	})
	if err != nil || received <= r.offset {
		return nil
	}
	return r.window[:received-r.offset]
}

// vectors returns the buffers that a call fills one after the other: the window as often as the bytes before offset
// fill it, and then the window for the bytes after offset.
func (r *PeekReader) vectors() [][]byte {
	var vectors [][]byte
	for skipped := 0; skipped < r.offset; skipped += peekWindowBytes {
		vectors = append(vectors, r.window[:min(peekWindowBytes, r.offset-skipped)])
	}
	return append(vectors, r.window)
}
