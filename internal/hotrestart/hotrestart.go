// Package hotrestart carries what passes between two processes of one proxy: the one that serves offers, on a Unix socket, its
// listening sockets and what it knows; the next one asks for them before it listens. After that both tell each other, over the
// same connection, what operators order and whether the new one serves. It decides nothing.
//
// The form: a line of Greeting, with the listening sockets (SCM_RIGHTS) beside its first byte on the way back; then frames, each
// a length of four bytes (big endian) and JSON.
package hotrestart

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"lockloom/balance"
	"lockloom/internal/discovery"
	"lockloom/internal/settings"
	"lockloom/lifecycle"
)

const (
	Format     = 1                      // of the frames; others are refused
	greeting   = "lockloom hand-over\n" // before all else, both ways
	most       = 8 << 20                // bytes of a frame: a list of some ten thousand servers, and their ids
	mostPassed = 16                     // listening sockets
	answerFor  = 1500 * time.Millisecond
	writeFor   = time.Second
	pathMost   = 100 // bytes of a Unix socket's name
)

// Identity names the proxy. Danger: two proxies may share a folder, and one that took over the other's sockets would serve nobody.
type Identity struct {
	Format int    `json:"Format"`
	Name   string `json:"Name"`
	Listen string `json:"Listen"`
}

// State is what the process that serves hands over.
type State struct {
	Identity
	Listeners  []string             `json:"Listeners"` // the addresses of the sockets that come with it, in their order
	AdminState lifecycle.AdminState `json:"Orders"`
	IDs        []uint64             `json:"IDs"`
	List       discovery.List       `json:"List"`
	Listed     bool                 `json:"Listed"` // List is told
	Snapshot   balance.Snapshot     `json:"Learned"`
}

// Update is what one tells the other later; what is absent was not said.
type Update struct {
	Serving    bool                  `json:"Serving"` // the new one takes clients
	AdminState *lifecycle.AdminState `json:"Orders"`
}

// Link is the connection between two processes of one proxy.
type Link struct {
	conn *net.UnixConn
	mu   sync.Mutex
}

// Send says a word.
func (l *Link) Send(w Update) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conn.SetWriteDeadline(time.Now().Add(writeFor))
	return writeFrame(l.conn, w)
}

// Receive hands on what the other says until the link breaks.
func (l *Link) Receive(heard func(Update)) error {
	l.conn.SetReadDeadline(time.Time{})
	for {
		var w Update
		if err := readFrame(l.conn, &w); err != nil {
			return err
		}
		heard(w)
	}
}

// Close ends it.
func (l *Link) Close() { l.conn.Close() }

func writeFrame(to io.Writer, v any) error {
	text, err := json.Marshal(v)
	if err != nil {
		return err
	}
	if len(text) > most {
		return fmt.Errorf("frame of %d bytes", len(text))
	}
	_, err = to.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(text))), text...))
	return err
}

// readFrame reads a frame. Danger: a length is only a promise; memory is taken as bytes come.
func readFrame(from io.Reader, v any) error {
	var size [4]byte
	if _, err := io.ReadFull(from, size[:]); err != nil {
		return err
	}
	n := int64(binary.BigEndian.Uint32(size[:]))
	if n > most {
		return fmt.Errorf("frame of %d bytes", n)
	}
	var text bytes.Buffer
	if _, err := io.CopyN(&text, from, n); err != nil {
		return fmt.Errorf("frame cut after %d of %d bytes: %w", text.Len(), n, err)
	}
	return json.Unmarshal(text.Bytes(), v)
}

// Path is where a proxy's processes meet in a folder.
func Path(dir string, h Identity) string {
	return filepath.Join(dir, fmt.Sprintf("lockloom-%016x", settings.NameHash(h.Name+" "+h.Listen)))
}

// short is the same place under a name that a Unix socket may have, and what closes it again.
func short(path string) (string, func()) {
	if len(path) <= pathMost {
		return path, func() {}
	}
	dir, err := os.Open(filepath.Dir(path))
	if err != nil {
		return path, func() {}
	}
	return fmt.Sprintf("/proc/self/fd/%d/%s", dir.Fd(), filepath.Base(path)), func() { dir.Close() }
}

// same refuses a peer that runs as somebody else: a folder may be open to all.
func same(conn *net.UnixConn) error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	var cred *unix.Ucred
	if e := raw.Control(func(fd uintptr) { cred, err = unix.GetsockoptUcred(int(fd), unix.SOL_SOCKET, unix.SO_PEERCRED) }); e != nil {
		return e
	}
	if err != nil {
		return err
	}
	if int(cred.Uid) != os.Geteuid() {
		return fmt.Errorf("the other process runs as user %d", cred.Uid)
	}
	return nil
}

func (h Identity) fits(other Identity) error {
	switch {
	case other.Format != Format:
		return fmt.Errorf("format %d, not %d", other.Format, Format)
	case other != h:
		return fmt.Errorf("it is proxy %q at %s", other.Name, other.Listen)
	}
	return nil
}

// ErrNoPredecessor is what Ask returns where no process of this proxy offers anything.
var ErrNoPredecessor = errors.New("no process of this proxy serves")

// TakeOver takes over from the process that offers at a path, if there is one. Who gets no error closes the listeners and the link.
func TakeOver(path string, h Identity) (*State, []net.Listener, *Link, error) {
	if _, err := os.Lstat(path); err != nil {
		return nil, nil, nil, ErrNoPredecessor
	}
	name, done := short(path)
	nc, err := net.DialTimeout("unix", name, answerFor)
	done()
	if errors.Is(err, unix.ECONNREFUSED) {
		return nil, nil, nil, ErrNoPredecessor
	} else if err != nil {
		return nil, nil, nil, err
	}
	conn := nc.(*net.UnixConn)
	s, lns, err := ask(conn, h)
	if err != nil {
		conn.Close()
		return nil, nil, nil, err
	}
	return s, lns, &Link{conn: conn}, nil
}

func ask(conn *net.UnixConn, h Identity) (_ *State, lns []net.Listener, err error) {
	if err := same(conn); err != nil {
		return nil, nil, err
	}
	conn.SetDeadline(time.Now().Add(answerFor))
	if _, err := io.WriteString(conn, greeting); err != nil {
		return nil, nil, err
	}
	if err := writeFrame(conn, h); err != nil {
		return nil, nil, err
	}
	var files []*os.File
	defer func() {
		for _, f := range files {
			f.Close()
		}
		if err != nil {
			for _, ln := range lns {
				ln.Close()
			}
		}
	}()
	if files, err = passed(conn); err != nil {
		return nil, nil, err
	}
	s := &State{}
	if err := readFrame(conn, s); err != nil {
		return nil, nil, err
	}
	if err := h.fits(s.Identity); err != nil {
		return nil, nil, err
	}
	if len(files) != len(s.Listeners) {
		return nil, nil, fmt.Errorf("%d listening sockets, %d of them named", len(files), len(s.Listeners))
	}
	for _, f := range files {
		ln, err := net.FileListener(f)
		if err != nil {
			return nil, lns, err
		}
		lns = append(lns, ln)
	}
	return s, lns, nil
}

// passed reads the greeting and the sockets that come with it.
func passed(conn *net.UnixConn) (files []*os.File, err error) {
	text, oob := make([]byte, len(greeting)), make([]byte, unix.CmsgSpace(4*mostPassed))
	for have := 0; have < len(text); {
		n, on, flags, _, err := conn.ReadMsgUnix(text[have:], oob)
		if on > 0 {
			msgs, err := unix.ParseSocketControlMessage(oob[:on])
			if err != nil {
				return files, err
			}
			for i := range msgs {
				fds, err := unix.ParseUnixRights(&msgs[i])
				if err != nil {
					continue // another kind of message
				}
				for _, fd := range fds {
					unix.CloseOnExec(fd)
					files = append(files, os.NewFile(uintptr(fd), "listening"))
				}
			}
		}
		if err != nil {
			return files, err
		}
		if n == 0 {
			return files, io.ErrUnexpectedEOF
		}
		if flags&unix.MSG_CTRUNC != 0 {
			return files, errors.New("too many listening sockets")
		}
		have += n
	}
	if string(text) != greeting {
		return files, errors.New("no greeting")
	}
	return files, nil
}

// Server is where the next process finds this one.
type Server struct{ ln *net.UnixListener }

// Serve offers at a path, in the place of whoever did so before. Each process that asks is given the state and the sockets, and
// met is called with the link to it, in a goroutine of its own.
func Serve(path string, h Identity, give func() (State, []*net.TCPListener), met func(*Link, error)) (*Server, error) {
	beside := fmt.Sprintf("%s.%d", path, os.Getpid())
	os.Remove(beside)
	name, done := short(beside)
	defer done()
	ln, err := net.ListenUnix("unix", &net.UnixAddr{Name: name, Net: "unix"})
	if err != nil {
		return nil, err
	}
	ln.SetUnlinkOnClose(false) // danger: the name may be another's by then
	if err := errors.Join(os.Chmod(beside, 0o600), os.Rename(beside, path)); err != nil {
		ln.Close()
		return nil, err
	}
	go func() {
		for {
			conn, err := ln.AcceptUnix()
			if err != nil {
				return
			}
			go func() {
				if err := hand(conn, h, give); err != nil {
					conn.Close()
					met(nil, err)
					return
				}
				met(&Link{conn: conn}, nil)
			}()
		}
	}()
	return &Server{ln}, nil
}

// Close offers nothing any more.
func (o *Server) Close() {
	if o != nil {
		o.ln.Close()
	}
}

// hand gives what there is to one who asks.
func hand(conn *net.UnixConn, h Identity, give func() (State, []*net.TCPListener)) error {
	if err := same(conn); err != nil {
		return err
	}
	conn.SetDeadline(time.Now().Add(answerFor))
	text := make([]byte, len(greeting))
	if _, err := io.ReadFull(conn, text); err != nil {
		return err
	}
	if string(text) != greeting {
		return errors.New("no greeting")
	}
	var other Identity
	if err := readFrame(conn, &other); err != nil {
		return err
	}
	if err := h.fits(other); err != nil {
		return err
	}
	s, lns := give()
	if len(lns) > mostPassed {
		return fmt.Errorf("%d listening sockets", len(lns))
	}
	s.Identity = h
	if err := pass(conn, lns); err != nil {
		return err
	}
	return writeFrame(conn, s)
}

// pass writes the greeting with the sockets beside it. Danger: File would switch a socket that both processes accept from to
// waiting in the system call.
func pass(conn *net.UnixConn, lns []*net.TCPListener) error {
	var fds []int
	var send func(i int) error
	send = func(i int) error {
		if i == len(lns) {
			var oob []byte
			if len(fds) > 0 {
				oob = unix.UnixRights(fds...)
			}
			n, _, err := conn.WriteMsgUnix([]byte(greeting), oob, nil)
			if err == nil && n < len(greeting) {
				err = io.ErrShortWrite
			}
			return err
		}
		raw, err := lns[i].SyscallConn()
		if err != nil {
			return err
		}
		var inner error
		err = raw.Control(func(fd uintptr) { // inside, the descriptor cannot be closed and be another's
			fds = append(fds, int(fd))
			inner = send(i + 1)
		})
		return errors.Join(err, inner)
	}
	return send(0)
}
