package hotrestart

import (
	"net"
	"sync"
	"time"
)

const writeTimeout = time.Second // for one update

// Link is the connection between two processes of one proxy after the handshake. Its methods may be called
// concurrently, but only one Receive at a time.
type Link struct {
	conn  net.Conn
	write sync.Mutex // held while a frame is written
}

// Send sends an update to the other process. It blocks for a second at most.
func (l *Link) Send(update Update) error {
	l.write.Lock()
	defer l.write.Unlock()
	l.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	return writeFrame(l.conn, update)
}

// Receive calls handle with each update from the other process until the link fails or is closed, and returns the error
// that ended it.
func (l *Link) Receive(handle func(Update)) error {
	l.conn.SetReadDeadline(time.Time{}) // clears the deadline of the handshake
	for {
		var update Update
		if err := readFrame(l.conn, &update); err != nil {
			return err
		}
		handle(update)
	}
}

// Close closes the link, which ends Receive at both ends.
func (l *Link) Close() { l.conn.Close() }
