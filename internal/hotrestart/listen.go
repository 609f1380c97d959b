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

// Listen listens at a TCP address with SO_REUSEPORT, so that another process of this proxy can listen at it too. While
// a process without that option holds the address, Listen retries until the timeout has passed.
func Listen(addr string, timeout time.Duration) (net.Listener, error) {
	config := net.ListenConfig{Control: setReusePort}
	for deadline := time.Now().Add(timeout); ; time.Sleep(listenRetryInterval) {
		listener, err := config.Listen(context.Background(), "tcp", addr)
		if err == nil || !errors.Is(err, unix.EADDRINUSE) || time.Now().After(deadline) {
			return listener, err
		}
	}
}

// setReusePort sets SO_REUSEPORT. It ignores a failure to set the option: the process then listens without sharing
// the address.
func setReusePort(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	})
}
