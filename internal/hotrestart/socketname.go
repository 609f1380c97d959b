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

const maxSocketNameBytes = 100 // of a Unix socket's name, less a margin

// Path returns the name of the Unix socket at which a proxy's processes meet in a directory.
func Path(dir string, identity Identity) string {
	hash := settings.NameHash(identity.Name + " " + identity.Listen)
	return filepath.Join(dir, fmt.Sprintf("lockloom-%016x", hash))
}

// shortName returns a name for the same file that is short enough for a Unix socket, and a function that releases it.
func shortName(path string) (name string, release func()) {
	if len(path) <= maxSocketNameBytes {
		return path, func() {}
	}
	dir, err := os.Open(filepath.Dir(path))
	if err != nil {
		return path, func() {} // whoever uses the name reports what is wrong with it
	}
	name = fmt.Sprintf("/proc/self/fd/%d/%s", dir.Fd(), filepath.Base(path))
	return name, func() { closeUnused(dir) }
}

// checkUser rejects a peer that runs as another user: the directory may be open to all.
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
		return fmt.Errorf("the other process runs as user %d", peer.Uid)
	}
	return nil
}

// closeUnused closes what nothing was written to, or what was given up: nobody can act on an error.
func closeUnused(c io.Closer) { _ = c.Close() }
