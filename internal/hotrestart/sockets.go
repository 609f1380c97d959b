package hotrestart

import (
	"errors"
	"io"
	"net"
	"os"

	"golang.org/x/sys/unix"
)

const (
	maxListeners    = 16 // listening sockets that pass in one hot restart
	descriptorBytes = 4  // of one descriptor in a control message
)

// sendSockets writes the greeting with the listening sockets beside its first byte.
func sendSockets(conn *net.UnixConn, listeners []*net.TCPListener) error {
	return withDescriptors(listeners, nil, func(descriptors []int) error {
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

// withDescriptors calls use with the descriptors so far and those of the listeners, inside a Control call of each, so
// that none can be closed, and its number be another file's, meanwhile. It does not use TCPListener.File, which
// switches a socket that both processes accept from to blocking mode.
func withDescriptors(listeners []*net.TCPListener, descriptors []int, use func([]int) error) error {
	if len(listeners) == 0 {
		return use(descriptors)
	}
	raw, err := listeners[0].SyscallConn()
	if err != nil {
		return err
	}
	var useErr error
	err = raw.Control(func(fd uintptr) {
		useErr = withDescriptors(listeners[1:], append(descriptors, int(fd)), use)
	})
	return errors.Join(err, useErr)
}

// receiveSockets reads the greeting and the sockets that come with it. The caller closes the files, also after an
// error.
func receiveSockets(conn *net.UnixConn) (files []*os.File, err error) {
	text := make([]byte, len(greeting))
	control := make([]byte, unix.CmsgSpace(descriptorBytes*maxListeners))
	for have := 0; have < len(text); {
		n, controlBytes, flags, _, err := conn.ReadMsgUnix(text[have:], control)
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
			return files, errors.New("too many listening sockets")
		}
		have += n
	}
	if string(text) != greeting {
		return files, errNoGreeting
	}
	return files, nil
}

// parseSockets returns the files that came in control messages.
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
			continue // another kind of message
		}
		for _, fd := range descriptors {
			unix.CloseOnExec(fd)
			files = append(files, os.NewFile(uintptr(fd), "listening"))
		}
	}
	return files, nil
}

// openListeners makes a listener of each file; the files stay the caller's to close.
func openListeners(files []*os.File) ([]net.Listener, error) {
	var listeners []net.Listener
	for _, file := range files {
		listener, err := net.FileListener(file)
		if err != nil {
			for _, opened := range listeners {
				opened.Close()
			}
			return nil, err
		}
		listeners = append(listeners, listener)
	}
	return listeners, nil
}
