package admin

import (
	"errors"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"lockloom/internal/http1"
)

const (
	readTimeout      = 2 * time.Second        // for a client to send its call, from when its connection is accepted
	writeTimeout     = time.Second            // for sending the response
	lingerDuration   = 100 * time.Millisecond // for reading after the response, so that no reset discards the response
	acceptRetryDelay = 10 * time.Millisecond  // after a failed accept, for example for lack of file descriptors

	maxUnreadConnections = 32  // limit of connections that have not sent their call; a further one closes the oldest
	lingerBytes          = 512 // read at most after the response
)

// Server serves admin calls, one per connection.
type Server struct {
	// Do carries out a call and returns the status of the response, 2xx if the call was carried out, and its text. It is
	// called concurrently, by one goroutine per connection, and must not block.
	Do  func(Call) (status int, text string)
	Log logrus.FieldLogger

	mu     sync.Mutex
	unread []net.Conn // connections that have not sent their call, oldest first
}

// Serve serves the connections of a listener until the listener is closed, and returns the error that ended accepting.
// It does not wait for open connections; each ends by its own timeouts.
func (s *Server) Serve(listener net.Listener) error {
	for {
		conn, err := listener.Accept()
		switch {
		case err == nil:
			s.addUnread(conn)
			go s.serve(conn)
		case isTemporary(err):
			s.Log.WithError(err).Error("admin endpoint: accepting a connection failed")
			time.Sleep(acceptRetryDelay)
		default:
			return err
		}
	}
}

// isTemporary reports whether Accept may succeed when it is called again after this error.
func isTemporary(err error) bool {
	var networkError net.Error
	return errors.As(err, &networkError) && !errors.Is(err, net.ErrClosed)
}

// addUnread adds a connection to those that have not sent their call. Their number is bounded, and the oldest is closed
// to make room, so that clients that send nothing do not block an operator who has to drain the proxy.
func (s *Server) addUnread(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.unread) >= maxUnreadConnections {
		s.unread[0].Close()
		s.unread = slices.Delete(s.unread, 0, 1)
	}
	s.unread = append(s.unread, conn)
}

func (s *Server) removeUnread(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(s.unread, conn); i >= 0 {
		s.unread = slices.Delete(s.unread, i, i+1)
	}
}

// serve reads the one call of a connection and responds to it. If the client does not send a call in time, or
// disconnects, it sends no response.
func (s *Server) serve(conn net.Conn) {
	defer conn.Close()
	call, err := s.receive(conn)
	var requestError *http1.Error
	switch {
	case err == nil:
		status, text := s.Do(call)
		if call.Action != Ready {
			s.log(conn, call, status, text)
		}
		respond(conn, status, text)
	case errors.As(err, &requestError):
		s.log(conn, call, requestError.Status, requestError.Text)
		respond(conn, requestError.Status, requestError.Text)
	}
}

func (s *Server) receive(conn net.Conn) (Call, error) {
	defer s.removeUnread(conn)
	conn.SetReadDeadline(time.Now().Add(readTimeout))
	reader := http1.NewReader(conn)
	reader.ReserveHead = rejectLargeHead
	head, err := reader.Request()
	if err != nil {
		return Call{}, err
	}
	return readCall(head)
}

// rejectLargeHead rejects a head over http1.BufferBytes: a call needs less, and nothing counts the memory of others.
func rejectLargeHead(int) error {
	return &http1.Error{Status: statusHeadTooLarge, Text: "head too large"}
}

func (s *Server) log(conn net.Conn, call Call, status int, text string) {
	s.Log.WithFields(logrus.Fields{
		"call":    call.Action.String(),
		"backend": call.ID,
		"from":    conn.RemoteAddr().String(),
		"status":  status,
		"answer":  text,
	}).Info("admin call")
}

func respond(conn net.Conn, status int, text string) {
	response := http1.AppendStatusLine(make([]byte, 0, 256), status)
	response = http1.AppendField(response, "Content-Type", "text/plain")
	response = http1.AppendContentLength(response, len(text)+len("\n"))
	response = http1.AppendField(response, "Connection", "close")
	response = append(response, "\r\n"...)
	response = append(response, text...)
	response = append(response, '\n')
	conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := conn.Write(response); err == nil {
		linger(conn)
	}
}

// linger half-closes the connection after the response and reads what the client still sends: closing a connection with
// unread bytes resets it, and the client could lose the response. Errors are ignored: the client has disconnected.
func linger(conn net.Conn) {
	halfCloser, ok := conn.(interface{ CloseWrite() error })
	if !ok {
		return
	}
	if err := halfCloser.CloseWrite(); err != nil {
		return
	}
	conn.SetReadDeadline(time.Now().Add(lingerDuration))
	_, _ = conn.Read(make([]byte, lingerBytes))
}
