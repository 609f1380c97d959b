package hotrestart

import (
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"

	"lockloom/internal/settings"
)

const maxSocketNameBytes = 100 // the system's limit for the path of a Unix socket, less a margin

// Path returns the path of the Unix socket in dir at which a process with this identity offers a handover. The path
// depends on the proxy's name and listen address, so proxies that differ in either can share dir.
func Path(dir string, identity Identity) string {
	hash := settings.NameHash(identity.Name + " " + identity.Listen)
	return filepath.Join(dir, fmt.Sprintf("lockloom-%016x", hash))
}

// shortName returns a path of the same file that is short enough for a Unix socket, valid until release is called. If
// it cannot open the file's directory, it returns path itself.
func shortName(path string) (name string, release func()) {
	if len(path) <= maxSocketNameBytes {
		return path, func() {}
	}
	dir, err := os.Open(filepath.Dir(path))
	if err != nil {
		return path, func() {} // no error: the caller gets one if path itself cannot be used
	}
	name = fmt.Sprintf("/proc/self/fd/%d/%s", dir.Fd(), filepath.Base(path))
	return name, func() { closeUnused(dir) }
}

// checkUser returns an error if the peer runs as another user, because all users may have access to the directory of
// the Unix socket.
func checkUser(conn *net.UnixConn) error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	var peer *unix.Ucred
	var optionErr error
	err = raw.Control(func(fd uintptr) {
		peer, optionErr = unix.GetsockoptUcred(int(fd), unix.SOL_SOCKET, unix.SO_PEERCRED)
	})
	if err != nil {
		return err
	}
	if optionErr != nil {
		return optionErr
	}
	if int(peer.Uid) != os.Geteuid() {
		return fmt.Errorf("the peer runs as another user, with uid %d", peer.Uid)
	}
	return nil
}

// closeUnused closes c and ignores the error: nothing was written to c, or the handshake failed, so the error does not
// matter.
func closeUnused(c io.Closer) { _ = c.Close() }
