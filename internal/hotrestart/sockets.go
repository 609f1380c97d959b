package hotrestart

import (
	"errors"
	"io"
	"net"
	"os"

	"golang.org/x/sys/unix"
)

const (
	maxListeners    = 16 // maximum number of listening sockets in one handover
	descriptorBytes = 4  // size of a descriptor in a control message
)

// sendSockets writes the greeting with the listening sockets attached to its first byte.
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

// withDescriptors calls use with the given descriptors and those of the listeners. It nests a Control call of each
// listener, so that no descriptor can be closed, and its number reused for another file, while use runs. It does not
// call TCPListener.File, which would switch the socket to blocking mode while both processes accept from it.
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

// receiveSockets reads the greeting and the sockets attached to it. The caller must close the files, even after an
// error.
func receiveSockets(conn *net.UnixConn) (files []*os.File, err error) {
	text := make([]byte, len(greeting))
	control := make([]byte, unix.CmsgSpace(descriptorBytes*maxListeners))
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
			return files, errors.New("control message truncated: too many listening sockets")
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
			files = append(files, os.NewFile(uintptr(fd), "listening"))
		}
	}
	return files, nil
}

// openListeners returns a listener for each file. The caller must still close the files.
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
