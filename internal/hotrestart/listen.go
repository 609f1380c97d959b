package hotrestart

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const lookEach = 50 * time.Millisecond // between tries for an address that another process holds

// Listen listens at an address that another process of this proxy may listen at too (SO_REUSEPORT, where the system has it). One
// that is held by a process that does not share it is waited for as long as that.
func Listen(addr string, patience time.Duration) (net.Listener, error) {
	shared := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1) // where it is refused, the address is this process's alone
		})
	}}
	for end := time.Now().Add(patience); ; time.Sleep(lookEach) {
		ln, err := shared.Listen(context.Background(), "tcp", addr)
		if err == nil || !errors.Is(err, unix.EADDRINUSE) || time.Now().After(end) {
			return ln, err
		}
	}
}
