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
	offer     func() (State, []*net.TCPListener)
	connected func(*Link, error)
	ended     chan struct{} // closed once no more connection is accepted
}

// Serve offers at a path, in the place of any process that did so before. Each process that connects is handed what
// offer returns: the state and the listening sockets, which stay the caller's. Then connected is called with the link
// to it, or with the reason why it got nothing. Both are called in a goroutine for each connection, which ends when
// connected returns; whoever gets a link closes it.
func Serve(
	path string, identity Identity, offer func() (State, []*net.TCPListener), connected func(*Link, error),
) (*Server, error) {
	listener, err := listenInPlace(path)
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

// listenInPlace listens at a path and replaces the socket there in one step, so that a successor finds either.
func listenInPlace(path string) (*net.UnixListener, error) {
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
	listener.SetUnlinkOnClose(false) // another process may have replaced the socket by then
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

// handOver is the predecessor's side of the handshake.
func (s *Server) handOver(conn *net.UnixConn) error {
	if err := s.receiveIdentity(conn); err != nil {
		return err
	}
	state, listeners := s.offer()
	if len(listeners) > maxListeners {
		return fmt.Errorf("%d listening sockets", len(listeners))
	}
	state.Identity = s.identity
	if err := sendSockets(conn, listeners); err != nil {
		return err
	}
	return writeFrame(conn, state)
}

// receiveIdentity returns an error unless the peer is another process of this proxy.
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

// Close ends the offer; links that exist stay. A nil Server has nothing to close.
func (s *Server) Close() {
	if s == nil {
		return
	}
	s.listener.Close()
	<-s.ended
}
