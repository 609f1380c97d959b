package recvtime

import (
	"unsafe"

	"golang.org/x/sys/unix"
)

// recvmsgCall holds the arguments and the result of one call of recvmsg. It is a field of Reader, so that the call does
// not allocate.
type recvmsgCall struct {
	buffer []byte     // must not be empty
	n      int        // bytes received
	errno  unix.Errno // 0: success

	message unix.Msghdr
	vector  unix.Iovec
	control struct {
		header unix.Cmsghdr
		stamp  unix.Timespec
	}
}

// do receives bytes into the buffer without waiting: errno is EAGAIN if there are none.
func (c *recvmsgCall) do(fd uintptr) {
	c.vector.Base = &c.buffer[0]
	c.vector.SetLen(len(c.buffer))
	c.message = unix.Msghdr{Iov: &c.vector, Control: (*byte)(unsafe.Pointer(&c.control))}
	c.message.SetIovlen(1)
	for {
		c.message.SetControllen(int(unsafe.Sizeof(c.control)))
		// RawSyscall avoids the scheduler's bookkeeping for a blocking system call, since MSG_DONTWAIT never blocks.
		n, _, errno := unix.RawSyscall(
			unix.SYS_RECVMSG, fd, uintptr(unsafe.Pointer(&c.message)), unix.MSG_DONTWAIT)
		c.n, c.errno = int(n), errno
		if errno != unix.EINTR {
			return
		}
	}
}

// release drops the references to the caller's buffer.
func (c *recvmsgCall) release() { c.buffer, c.vector.Base = nil, nil }

// timestamp returns when the system received the bytes, if it reported that.
func (c *recvmsgCall) timestamp() (stamp unix.Timespec, ok bool) {
	header := &c.control.header
	ok = c.message.Controllen == uint64(unsafe.Sizeof(c.control)) &&
		header.Level == unix.SOL_SOCKET && header.Type == unix.SCM_TIMESTAMPNS
	return c.control.stamp, ok
}
