// Package socket answers questions about the TCP socket of a connection that reading and writing it cannot: what the
// system holds unread, whether the peer has closed, how long opening it took. The caller owns the connection.
package socket

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// HasUnread reports whether the system holds unread bytes of a connection, or the peer has closed its sending
// side. There may be unread bytes even while a goroutine is blocked in a read, since the goroutine may not have been
// scheduled yet. The result is false for a connection that is not a socket, and true for one that is closed.
func HasUnread(conn net.Conn) bool { return UnreadProbe(conn)() }

// UnreadProbe returns a function that does what HasUnread does for conn, but does not allocate. It is not safe for
// concurrent use.
func UnreadProbe(conn net.Conn) func() bool {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return func() bool { return false }
	}
	raw, err := socket.SyscallConn()
	if err != nil { // closed
		return func() bool { return true }
	}
	unread := false
	buffer := make([]byte, 1)
	peek := func(fd uintptr) {
		_, _, err := syscall.Recvfrom(int(fd), buffer, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		unread = !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EINTR)
	}
	return func() bool {
		err := raw.Control(peek)
		return unread || err != nil
	}
}

// UnreadBytes returns how many bytes of a connection the system holds unread; 0 if that is unknown.
func UnreadBytes(conn net.Conn) int {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0
	}
	unread := 0
	err = raw.Control(func(fd uintptr) {
		if n, err := unix.IoctlGetInt(int(fd), unix.TIOCINQ); err == nil {
			unread = n
		}
	})
	if err != nil {
		return 0
	}
	return unread
}

// ClosedByPeer reports whether the peer has closed a connection or its sending side, even if there are unread bytes. It
// returns false for a connection that is not a socket, and true for one that was closed by this process.
func ClosedByPeer(conn net.Conn) bool {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return true
	}
	hungUp := false
	err = raw.Control(func(fd uintptr) {
		poll := [1]unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(poll[:], 0)
		hungUp = err == nil && n > 0
	})
	return hungUp || err != nil
}

// ConnectTime returns how long a connection took to open, given the time that this process measured. A busy process may
// have noticed the open connection late, which is no fault of the peer: the kernel's round-trip time is used instead if
// it is shorter and the kernel did not have to retransmit.
func ConnectTime(conn net.Conn, measured time.Duration) time.Duration {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return measured
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return measured
	}
	var info *unix.TCPInfo
	var infoErr error
	err = raw.Control(func(fd uintptr) {
		info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err != nil || infoErr != nil || info.Total_retrans > 0 || info.Rtt == 0 {
		return measured
	}
	return min(measured, time.Duration(info.Rtt)*time.Microsecond)
}
