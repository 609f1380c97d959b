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
	readTimeout      = 2 * time.Second        // for a caller to send its call, from the accepting of its connection on
	writeTimeout     = time.Second            // for it to receive its answer
	lingerDuration   = 100 * time.Millisecond // of reading after the answer, so that a reset does not take it away
	acceptRetryDelay = 10 * time.Millisecond  // after accepting failed, for example for lack of descriptors

	maxUnreadConnections = 32 // connections that have not sent their call; of more, the oldest is closed
	lingerBytes          = 512
)

// Server answers admin calls, one for each connection.
type Server struct {
	// Do carries out a call and returns the answer's status, 2xx if it was carried out, and text. It is called from
	// several goroutines, one for each connection, and must return at once.
	Do  func(Call) (status int, text string)
	Log logrus.FieldLogger

	mu     sync.Mutex
	unread []net.Conn // have not sent their call, the oldest first
}

// Serve serves the connections of a listener until it is closed, and returns why accepting ended. It does not wait for
// the connections that are open then; each ends within the timeouts above.
func (s *Server) Serve(listener net.Listener) error {
	for {
		conn, err := listener.Accept()
		switch {
		case err == nil:
			s.addUnread(conn)
			go s.serve(conn)
		case isTemporary(err):
			s.Log.WithError(err).Error("admin endpoint: accept")
			time.Sleep(acceptRetryDelay)
		default:
			return err
		}
	}
}

// isTemporary reports whether accepting may succeed later.
func isTemporary(err error) bool {
	var networkError net.Error
	return errors.As(err, &networkError) && !errors.Is(err, net.ErrClosed)
}

// addUnread counts a connection among those that have not sent their call. They are bounded, and the oldest makes room,
// so that callers who send nothing do not keep out the one who has to drain the proxy.
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

// serve reads the one call of a connection and answers it. A caller that sends nothing, or is gone, gets no answer.
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
		answer(conn, status, text)
	case errors.As(err, &requestError):
		s.log(conn, call, requestError.Status, requestError.Text)
		answer(conn, requestError.Status, requestError.Text)
	}
}

func (s *Server) receive(conn net.Conn) (Call, error) {
	defer s.removeUnread(conn)
	conn.SetReadDeadline(time.Now().Add(readTimeout))
	head, err := http1.NewReader(conn).Request()
	if err != nil {
		return Call{}, err
	}
	return readCall(head)
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

func answer(conn net.Conn, status int, text string) {
	response := http1.AppendStatus(make([]byte, 0, 256), status)
	response = http1.AppendField(response, "Content-Type", "text/plain")
	response = http1.AppendLength(response, len(text)+len("\n"))
	response = http1.AppendField(response, "Connection", "close")
	response = append(response, "\r\n"...)
	response = append(response, text...)
	response = append(response, '\n')
	conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := conn.Write(response); err == nil {
		linger(conn)
	}
}

// linger ends the answer and reads what the caller still sends: closing a connection with unread bytes resets it, and
// the caller could lose the answer. Its errors say that the caller is gone, and nothing is left to do.
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
