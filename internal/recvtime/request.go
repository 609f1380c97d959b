package recvtime

import (
	"unsafe"

	"golang.org/x/sys/unix"
)

// receiveRequest is one call of recvmsg and its result. It is part of a Reader, so that the call allocates nothing.
type receiveRequest struct {
	buffer []byte // not empty
	n      int
	errno  unix.Errno // 0: none

	message unix.Msghdr
	vector  unix.Iovec
	control struct {
		header unix.Cmsghdr
		stamp  unix.Timespec
	}
}

// do receives what has come into the buffer, and does not wait.
func (r *receiveRequest) do(fd uintptr) {
	r.vector.Base = &r.buffer[0]
	r.vector.SetLen(len(r.buffer))
	r.message = unix.Msghdr{Iov: &r.vector, Control: (*byte)(unsafe.Pointer(&r.control))}
	r.message.SetIovlen(1)
	for {
		r.message.SetControllen(int(unsafe.Sizeof(r.control)))
		// Without the scheduler's bookkeeping of a system call that may block: this one never does.
		n, _, errno := unix.RawSyscall(
			unix.SYS_RECVMSG, fd, uintptr(unsafe.Pointer(&r.message)), unix.MSG_DONTWAIT)
		r.n, r.errno = int(n), errno
		if errno != unix.EINTR {
			return
		}
	}
}

// release drops the references to the caller's buffer.
func (r *receiveRequest) release() { r.buffer, r.vector.Base = nil, nil }

// timestamp returns when the system received what was read, if it said so.
func (r *receiveRequest) timestamp() (stamp unix.Timespec, ok bool) {
	header := &r.control.header
	ok = r.message.Controllen == uint64(unsafe.Sizeof(r.control)) &&
		header.Level == unix.SOL_SOCKET && header.Type == unix.SCM_TIMESTAMPNS
	return r.control.stamp, ok
}
