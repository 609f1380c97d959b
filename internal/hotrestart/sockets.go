package hotrestart

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"

	"golang.org/x/sys/unix"
)

const (
	maxListeners    = 16               // maximum number of listening sockets in one handover
	maxSockets      = maxListeners + 1 // maximum number of all sockets, the one for gossip included
	descriptorBytes = 4                // size of a descriptor in a control message
)

// Sockets are the sockets that a process hands over. Both processes use them until one of them ends.
type Sockets struct {
	Listeners []*net.TCPListener // in the order of State.Listeners
	Gossip    *net.UDPConn       // if State.Gossip is set
}

// InheritedSockets are Sockets as the successor receives them.
type InheritedSockets struct {
	Listeners []net.Listener
	Gossip    *net.UDPConn // nil: none
}

// Close closes the sockets. They stay open in the predecessor.
func (s *InheritedSockets) Close() {
	for _, listener := range s.Listeners {
		closeUnused(listener)
	}
	if s.Gossip != nil {
		closeUnused(s.Gossip)
	}
}

// conns returns the sockets in the order in which they are sent.
func (s *Sockets) conns() []syscall.Conn {
	var conns []syscall.Conn
	for _, listener := range s.Listeners {
		conns = append(conns, listener)
	}
	if s.Gossip != nil {
		conns = append(conns, s.Gossip)
	}
	return conns
}

// sendSockets writes the greeting with the sockets attached to its first byte.
func sendSockets(conn *net.UnixConn, sockets []syscall.Conn) error {
	return withDescriptors(sockets, nil, func(descriptors []int) error {
		var control []byte
		if len(descriptors) > 0 {
			control = unix.UnixRights(descriptors...)
		}
		n, _, err := conn.WriteMsgUnix([]byte(greeting), control, nil)
		if err == nil && n < len(greeting) {
			return io.ErrShortWrite
		}
		return err
	})
}

// withDescriptors calls use with the given descriptors and those of the sockets. It nests a Control call of each
// socket, so that no descriptor can be closed, and its number reused for another file, while use runs. It does not call
// File, which would switch the socket to blocking mode while both processes use it.
func withDescriptors(sockets []syscall.Conn, descriptors []int, use func([]int) error) error {
	if len(sockets) == 0 {
		return use(descriptors)
	}
	raw, err := sockets[0].SyscallConn()
	if err != nil {
		return err
	}
	var useErr error
	err = raw.Control(func(fd uintptr) {
		useErr = withDescriptors(sockets[1:], append(descriptors, int(fd)), use)
	})
	return errors.Join(err, useErr)
}

// receiveSockets reads the greeting and the sockets attached to it. The caller must close the files, even after an
// error.
func receiveSockets(conn *net.UnixConn) (files []*os.File, err error) {
	text := make([]byte, len(greeting))
	control := make([]byte, unix.CmsgSpace(descriptorBytes*maxSockets))
	for offset := 0; offset < len(text); {
		n, controlBytes, flags, _, err := conn.ReadMsgUnix(text[offset:], control)
		received, controlErr := parseSockets(control[:controlBytes])
		files = append(files, received...)
		switch {
		case controlErr != nil:
			return files, controlErr
		case err != nil:
			return files, err
		case n == 0:
			return files, io.ErrUnexpectedEOF
		case flags&unix.MSG_CTRUNC != 0:
			return files, errors.New("control message truncated: too many sockets")
		}
		offset += n
	}
	if string(text) != greeting {
		return files, errNoGreeting
	}
	return files, nil
}

// parseSockets returns the files whose descriptors the control messages contain.
func parseSockets(control []byte) ([]*os.File, error) {
	if len(control) == 0 {
		return nil, nil
	}
	messages, err := unix.ParseSocketControlMessage(control)
	if err != nil {
		return nil, err
	}
	var files []*os.File
	for i := range messages {
		descriptors, err := unix.ParseUnixRights(&messages[i])
		if err != nil {
			continue // a control message of another type
		}
		for _, fd := range descriptors {
			unix.CloseOnExec(fd)
			files = append(files, os.NewFile(uintptr(fd), "inherited socket"))
		}
	}
	return files, nil
}

// openSockets returns the sockets of the files that came with a state. The caller must still close the files.
func openSockets(files []*os.File, state *State) (sockets InheritedSockets, err error) {
	expected := len(state.Listeners)
	if state.Gossip != "" {
		expected++
	}
	if len(files) != expected {
		return InheritedSockets{}, fmt.Errorf("received %d sockets for %d addresses", len(files), expected)
	}
	defer func() {
		if err != nil {
			sockets.Close()
		}
	}()
	for i := range state.Listeners {
		listener, err := net.FileListener(files[i])
		if err != nil {
			return sockets, err
		}
		sockets.Listeners = append(sockets.Listeners, listener)
	}
	if state.Gossip != "" {
		sockets.Gossip, err = openGossip(files[len(files)-1])
	}
	return sockets, err
}

// openGossip returns the socket for gossip of a file.
func openGossip(file *os.File) (*net.UDPConn, error) {
	conn, err := net.FilePacketConn(file)
	if err != nil {
		return nil, err
	}
	udp, ok := conn.(*net.UDPConn)
	if !ok {
		closeUnused(conn)
		return nil, errors.New("the socket for gossip is not one of UDP")
	}
	return udp, nil
}
