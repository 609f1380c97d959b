package upstream

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// HasUnreadBytes reports whether bytes, or the peer's end of sending, wait to be read on a connection, as far as that
// can be seen. A goroutine that is blocked in a read of them may not have run yet.
func HasUnreadBytes(conn net.Conn) bool { return unreadProbe(conn)() }

// unreadProbe returns HasUnreadBytes for one connection, without an allocation a call. It is not safe for concurrent
// use.
func unreadProbe(conn net.Conn) func() bool {
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

// ClosedByPeer reports whether the peer has closed a connection or ended its sending, whatever bytes wait before that,
// as far as that can be seen. A connection that is closed here counts too.
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

// connectTime returns how long a connection took to open, where measured is what this process saw. It may have been too
// busy to see it open at once, which is no fault of the peer's: the system's round-trip time is better, unless the
// system had to send twice.
func connectTime(conn net.Conn, measured time.Duration) time.Duration {
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
