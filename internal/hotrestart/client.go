package hotrestart

import (
	"errors"
	"io"
	"net"
	"os"
	"time"

	"golang.org/x/sys/unix"
)

const handshakeTimeout = 1500 * time.Millisecond // for connecting, and again for the rest of the handshake

// ErrNoPredecessor is returned by TakeOver if no process of this proxy offers a handover.
var ErrNoPredecessor = errors.New("no process of this proxy offers a handover")

// TakeOver connects to the predecessor, the process that offers a handover at path. It returns the predecessor's state
// and sockets, and the link on which the two processes exchange updates from then on. It returns ErrNoPredecessor if no
// process offers a handover at path, and another error if the predecessor's identity differs. The caller must close the
// sockets and the link.
func TakeOver(path string, identity Identity) (*State, InheritedSockets, *Link, error) {
	if _, err := os.Lstat(path); err != nil {
		return nil, InheritedSockets{}, nil, ErrNoPredecessor
	}
	conn, err := dial(path)
	if errors.Is(err, unix.ECONNREFUSED) {
		return nil, InheritedSockets{}, nil, ErrNoPredecessor
	}
	if err != nil {
		return nil, InheritedSockets{}, nil, err
	}
	state, sockets, err := requestState(conn, identity)
	if err != nil {
		closeUnused(conn)
		return nil, InheritedSockets{}, nil, err
	}
	return state, sockets, &Link{conn: conn}, nil
}

func dial(path string) (*net.UnixConn, error) {
	name, release := shortName(path)
	defer release()
	conn, err := net.DialTimeout("unix", name, handshakeTimeout)
	if err != nil {
		return nil, err
	}
	return conn.(*net.UnixConn), nil
}

// requestState performs the successor's side of the handshake.
func requestState(conn *net.UnixConn, identity Identity) (*State, InheritedSockets, error) {
	if err := sendIdentity(conn, identity); err != nil {
		return nil, InheritedSockets{}, err
	}
	files, err := receiveSockets(conn)
	defer func() {
		for _, file := range files {
			closeUnused(file)
		}
	}()
	if err != nil {
		return nil, InheritedSockets{}, err
	}
	state, err := receiveState(conn, identity)
	if err != nil {
		return nil, InheritedSockets{}, err
	}
	sockets, err := openSockets(files, state)
	return state, sockets, err
}

func sendIdentity(conn *net.UnixConn, identity Identity) error {
	if err := checkUser(conn); err != nil {
		return err
	}
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return err
	}
	if _, err := io.WriteString(conn, greeting); err != nil {
		return err
	}
	return writeFrame(conn, identity)
}

func receiveState(conn *net.UnixConn, identity Identity) (*State, error) {
	state := &State{}
	if err := readFrame(conn, state); err != nil {
		return nil, err
	}
	if err := identity.check(state.Identity); err != nil {
		return nil, err
	}
	return state, nil
}
