// Package admin is the operators' door: bytes to calls and back, on an address for operators alone. What a call does is its
// owner's; it is never asked twice at the same time by one connection, and must answer at once.
package admin

import (
	"errors"
	"fmt"
	"net"
	"net/url"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"lockloom/internal/http1"
)

const (
	sayFor         = 2 * time.Second        // for a caller to say its call, from its connection on
	takeFor        = time.Second            // for it to take its answer
	lingerFor      = 100 * time.Millisecond // to read on after an answer, so that a reset does not take it away
	MaxConnections = 32                     // connections at a time; of more, that which has been silent for longest goes
	acceptPause    = 10 * time.Millisecond  // after accepting failed: out of descriptors, it would spin
)

// Action is what a call asks for.
type Action uint8

const (
	Ready Action = iota
	Disable
	Enable
	Drain
	Resume
)

// String is its name in paths, logs and on the command line.
func (a Action) String() string {
	return [...]string{"ready", "disable", "enable", "drain", "resume"}[a]
}

// Call is one call.
type Call struct {
	Action Action
	ID     string // of a server
}

// Method is the one that the call is made with.
func (c Call) Method() string {
	if c.Action == Ready {
		return "GET"
	}
	return "PUT"
}

// Path is where it is made.
func (c Call) Path() string {
	if c.Action == Disable || c.Action == Enable {
		return "/-/backends/" + url.PathEscape(c.ID) + "/" + c.Action.String()
	}
	return "/-/" + c.Action.String()
}

// Read is the call that a request's head makes, or a *heads.Error that says what is wrong with it.
func Read(h *http1.Head) (Call, error) {
	var c Call
	refuse := func(status int, text string) (Call, error) { return Call{}, &http1.Error{Status: status, Text: text} }
	switch path := string(h.Target); path {
	case "/-/ready":
		c.Action = Ready
	case "/-/drain":
		c.Action = Drain
	case "/-/resume":
		c.Action = Resume
	default:
		rest, ok := strings.CutPrefix(path, "/-/backends/")
		id, act, _ := strings.Cut(rest, "/")
		switch {
		case ok && act == "disable":
			c.Action = Disable
		case ok && act == "enable":
			c.Action = Enable
		default:
			return refuse(404, "no such call")
		}
		var err error
		if c.ID, err = url.PathUnescape(id); err != nil || c.ID == "" {
			return refuse(400, "malformed id of a backend")
		}
	}
	if string(h.Method) != c.Method() {
		return refuse(405, "this call is made with "+c.Method())
	}
	if h.Length > 0 || h.Chunked {
		return refuse(400, "a call has no body")
	}
	return c, nil
}

// Send makes a call at a door and returns what it says: 2xx is yes.
func Send(addr string, c Call, within time.Duration) (status int, text string, err error) {
	conn, err := net.DialTimeout("tcp", addr, within)
	if err != nil {
		return 0, "", err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(within))
	if _, err := fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: %s\r\n\r\n", c.Method(), c.Path(), addr); err != nil {
		return 0, "", err
	}
	r := http1.NewReader(conn)
	h, err := r.Response()
	if err != nil {
		return 0, "", err
	}
	status = h.Status
	body, err := r.Body(h.Length, h.Chunked)
	return status, strings.TrimSpace(string(body)), err
}

// Server serves callers.
type Server struct {
	Do  func(Call) (status int, text string) // 2xx is yes
	Log logrus.FieldLogger

	mu     sync.Mutex
	silent []net.Conn // have not said their call, for longest first
}

// Serve serves the listener's connections until it ends.
func (d *Server) Serve(ln net.Listener) error {
	for {
		nc, err := ln.Accept()
		if err != nil {
			var passing net.Error
			if errors.As(err, &passing) && !errors.Is(err, net.ErrClosed) {
				d.Log.WithError(err).Error("operators' door: accept")
				time.Sleep(acceptPause)
				continue
			}
			return err
		}
		d.enter(nc)
		go d.one(nc)
	}
}

// enter takes a connection in. Danger: callers who say nothing would keep out the one who has to drain the proxy.
func (d *Server) enter(nc net.Conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.silent) >= MaxConnections {
		d.silent[0].Close()
		d.silent = slices.Delete(d.silent, 0, 1)
	}
	d.silent = append(d.silent, nc)
}

func (d *Server) leave(nc net.Conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if i := slices.Index(d.silent, nc); i >= 0 {
		d.silent = slices.Delete(d.silent, i, i+1)
	}
}

// one answers the one call of a connection.
func (d *Server) one(nc net.Conn) {
	defer nc.Close()
	defer d.leave(nc)
	nc.SetReadDeadline(time.Now().Add(sayFor))
	h, err := http1.NewReader(nc).Request()
	var call Call
	if err == nil {
		call, err = Read(h)
	}
	d.leave(nc)
	status, text := 0, ""
	var wrong *http1.Error
	switch {
	case err == nil:
		status, text = d.Do(call)
	case errors.As(err, &wrong):
		status, text = wrong.Status, wrong.Text
	default: // silent, or gone
		return
	}
	if call.Action != Ready || err != nil {
		d.Log.WithFields(logrus.Fields{"call": call.Action.String(), "backend": call.ID, "from": nc.RemoteAddr().String(),
			"status": status, "answer": text}).Info("operators' call")
	}
	out := http1.AppendStatus(make([]byte, 0, 256), status)
	out = http1.AppendField(out, "Content-Type", "text/plain")
	out = http1.AppendLength(out, len(text)+1)
	out = http1.AppendField(out, "Connection", "close")
	out = append(append(append(out, "\r\n"...), text...), '\n')
	nc.SetWriteDeadline(time.Now().Add(takeFor))
	if _, err := nc.Write(out); err != nil {
		return
	}
	if half, ok := nc.(interface{ CloseWrite() error }); ok {
		half.CloseWrite()
		nc.SetReadDeadline(time.Now().Add(lingerFor))
		nc.Read(make([]byte, 512))
	}
}
