package hotrestart

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"net"
	"os"
	"time"
)

// Server offers this process's state and sockets to its successor.
type Server struct {
	listener  *net.UnixListener
	identity  Identity
	offer     func() (State, Sockets)
	connected func(*Link, error)
	ended     chan struct{} // closed when accept has returned
}

// Serve offers a handover at path, in place of any process that did so before. To each process that connects it sends
// the state and the sockets that offer returns; the sockets remain the caller's to close. Then it calls
// connected with the link to that process, which connected must close, or with the error that ended the handshake. Each
// connection has its own goroutine, which calls offer and connected and ends when connected returns.
func Serve(
	path string, identity Identity, offer func() (State, Sockets), connected func(*Link, error),
) (*Server, error) {
	listener, err := listenAndReplace(path)
	if err != nil {
		return nil, err
	}
	s := &Server{
		listener:  listener,
		identity:  identity,
		offer:     offer,
		connected: connected,
		ended:     make(chan struct{}),
	}
	go s.accept()
	return s, nil
}

// listenAndReplace listens at a path and replaces the socket file there atomically, so that a successor always finds
// the old or the new one.
func listenAndReplace(path string) (*net.UnixListener, error) {
	temporary := fmt.Sprintf("%s.%d", path, os.Getpid())
	if err := os.Remove(temporary); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, err
	}
	name, release := shortName(temporary)
	defer release()
	listener, err := net.ListenUnix("unix", &net.UnixAddr{Name: name, Net: "unix"})
	if err != nil {
		return nil, err
	}
	listener.SetUnlinkOnClose(false) // another process may have replaced the socket file by the time of Close
	if err := errors.Join(os.Chmod(temporary, 0o600), os.Rename(temporary, path)); err != nil {
		listener.Close()
		return nil, err
	}
	return listener, nil
}

// accept accepts connections until the listener is closed.
func (s *Server) accept() {
	defer close(s.ended)
	for {
		conn, err := s.listener.AcceptUnix()
		if err != nil {
			return
		}
		go s.serve(conn)
	}
}

func (s *Server) serve(conn *net.UnixConn) {
	if err := s.handOver(conn); err != nil {
		closeUnused(conn)
		s.connected(nil, err)
		return
	}
	s.connected(&Link{conn: conn}, nil)
}

// handOver performs the predecessor's side of the handshake.
func (s *Server) handOver(conn *net.UnixConn) error {
	if err := s.receiveIdentity(conn); err != nil {
		return err
	}
	state, sockets := s.offer()
	if len(sockets.Listeners) > maxListeners {
		return fmt.Errorf("%d listening sockets exceed the limit of %d", len(sockets.Listeners), maxListeners)
	}
	state.Identity = s.identity
	if err := sendSockets(conn, sockets.conns()); err != nil {
		return err
	}
	return writeFrame(conn, state)
}

// receiveIdentity reads the peer's identity, and returns an error unless the peer is another process of this proxy.
func (s *Server) receiveIdentity(conn *net.UnixConn) error {
	if err := checkUser(conn); err != nil {
		return err
	}
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return err
	}
	text := make([]byte, len(greeting))
	if _, err := io.ReadFull(conn, text); err != nil {
		return err
	}
	if string(text) != greeting {
		return errNoGreeting
	}
	var peer Identity
	if err := readFrame(conn, &peer); err != nil {
		return err
	}
	return s.identity.check(peer)
}

// Close stops offering a handover and leaves existing links open. On a nil Server it does nothing.
func (s *Server) Close() {
	if s == nil {
		return
	}
	s.listener.Close()
	<-s.ended
}
