package hotrestart

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const listenRetryInterval = 50 * time.Millisecond

// Listen listens at a TCP address that another process of this proxy may listen at too (SO_REUSEPORT). An address that
// is held by a process that does not share it is retried until the timeout.
func Listen(addr string, timeout time.Duration) (net.Listener, error) {
	config := net.ListenConfig{Control: sharePort}
	for end := time.Now().Add(timeout); ; time.Sleep(listenRetryInterval) {
		listener, err := config.Listen(context.Background(), "tcp", addr)
		if err == nil || !errors.Is(err, unix.EADDRINUSE) || time.Now().After(end) {
			return listener, err
		}
	}
}

// sharePort sets SO_REUSEPORT. Where the system refuses it the address is this process's alone, which is no error.
func sharePort(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	})
}
