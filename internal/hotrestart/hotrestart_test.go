package hotrestart

import (
	"bytes"
	"encoding/binary"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"lockloom/balance"
	"lockloom/internal/discovery"
	"lockloom/internal/settings"
)

var hello = Identity{Format: Format, Name: "n0", Listen: "127.0.0.1:1"}

func state() State {
	s := State{Listed: true, IDs: []uint64{1 << 63, 7}}
	s.AdminState.Disable("s-1", 12.5)
	s.AdminState.SetDraining(true, 13)
	for i, st := range []balance.EndpointState{balance.Ready, balance.Draining} {
		s.List.Entries = append(s.List.Entries, discovery.Entry{Addr: "127.0.0.1:2", Entry: settings.Entry{Name: []string{"s-1", "s-2"}[i], ZoneName: "a",
			ModelName: "m", Endpoint: balance.Endpoint{State: st, Pod: 3, Cores: 2, StartedAt: 1790000000.125}}})
	}
	s.List.Version, s.List.Full = 41, true
	return s
}

func TestHandedOver(t *testing.T) {
	path := Path(t.TempDir(), hello)
	_, _, _, err := TakeOver(path, hello)
	assert.ErrorIs(t, err, ErrNoPredecessor)
	first, err := Listen("127.0.0.1:0", 0)
	assert.NoError(t, err)
	links := make(chan *Link, 10)
	give := func() (State, []*net.TCPListener) {
		s := state()
		s.Listeners, s.Identity = []string{first.Addr().String()}, Identity{}
		return s, []*net.TCPListener{first.(*net.TCPListener)}
	}
	offer, err := Serve(path, hello, give, func(l *Link, err error) {
		if assert.NoError(t, err) {
			links <- l
		}
	})
	assert.NoError(t, err)
	s, lns, link, err := TakeOver(path, hello)
	assert.NoError(t, err)
	want, _ := give()
	want.Identity = hello
	assert.Equal(t, &want, s)

	// What connects while nobody accepts, or before the first process closes, is the other's to accept: there is one queue.
	waiting, err := net.Dial("tcp", first.Addr().String())
	assert.NoError(t, err)
	defer waiting.Close()
	assert.NoError(t, first.Close())
	nc, err := lns[0].Accept()
	assert.NoError(t, err)
	io.WriteString(nc, "x")
	nc.Close()
	got, _ := io.ReadAll(waiting)
	assert.Equal(t, "x", string(got))
	lns[0].Close()

	back := <-links
	heard := make(chan Update, 10)
	ended := make(chan error, 1)
	go func() { ended <- link.Receive(func(w Update) { heard <- w }) }()
	assert.NoError(t, back.Send(Update{AdminState: &s.AdminState}))
	assert.NoError(t, back.Send(Update{Serving: true}))
	assert.Equal(t, s.AdminState, *(<-heard).AdminState)
	assert.True(t, (<-heard).Serving)
	back.Close()
	assert.Error(t, <-ended)
	link.Close()

	offer.Close()
	_, _, _, err = TakeOver(path, hello)
	assert.ErrorIs(t, err, ErrNoPredecessor, "what was left in the folder is nobody")
	offer, err = Serve(path, hello, give, func(l *Link, err error) {})
	assert.NoError(t, err, "and is replaced")
	offer.Close()
}

// Whatever is found in the folder, the new process starts as after a plain start, soon.
func TestForeign(t *testing.T) {
	frame := func(text string) string {
		return string(binary.BigEndian.AppendUint32(nil, uint32(len(text)))) + text
	}
	for _, c := range []struct{ name, says, err string }{
		{"silent", "", "i/o timeout"},
		{"another protocol", "HTTP/1.1 400 Bad Request\r\n\r\n", "no greeting"},
		{"cut in the greeting", greeting[:4] + "\x00", "i/o timeout"},
		{"no JSON", greeting + frame("x"), "invalid character"},
		{"cut in a frame", greeting + frame("{}")[:5], "i/o timeout"},
		{"a frame without end", greeting + "\xff\xff\xff\xff", "frame of 4294967295 bytes"},
		{"another format", greeting + frame(`{"Format":2}`), "format 2, not 1"},
		{"another proxy", greeting + frame(`{"Format":1,"Name":"n1","Listen":"127.0.0.1:1"}`), `it is proxy "n1"`},
		{"sockets named but not sent", greeting + frame(`{"Format":1,"Name":"n0","Listen":"127.0.0.1:1","Listeners":["x"]}`), "0 listening sockets, 1 of them named"},
		{"a list that cannot be followed", greeting + frame(`{"Format":1,"Name":"n0","Listen":"127.0.0.1:1","List":{"version":1,"servers":[{"id":"","state":"active"}]}}`), "id: missing"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			path := Path(t.TempDir(), hello)
			ln, err := net.Listen("unix", path)
			assert.NoError(t, err)
			defer ln.Close()
			go func() {
				nc, err := ln.Accept()
				if err == nil {
					io.WriteString(nc, c.says)
				}
			}()
			began := time.Now()
			_, _, _, err = TakeOver(path, hello)
			assert.ErrorContains(t, err, c.err)
			assert.Less(t, time.Since(began), 3*time.Second)
		})
	}
	path := filepath.Join(t.TempDir(), "file")
	assert.NoError(t, os.WriteFile(path, []byte("garbage"), 0o600))
	_, _, _, err := TakeOver(path, hello)
	assert.ErrorIs(t, err, ErrNoPredecessor, "a file that is no socket")
}

// Who asks wrongly gets nothing, also in a folder whose name is longer than a Unix socket's may be.
func TestWrongAsker(t *testing.T) {
	dir := filepath.Join(t.TempDir(), strings.Repeat("d", 120))
	assert.NoError(t, os.Mkdir(dir, 0o700))
	path, refused := Path(dir, hello), make(chan error, 10)
	offer, err := Serve(path, hello, func() (State, []*net.TCPListener) { return state(), nil }, func(_ *Link, err error) { refused <- err })
	assert.NoError(t, err)
	defer offer.Close()
	s, _, link, err := TakeOver(path, hello)
	if assert.NoError(t, err) {
		assert.Equal(t, int64(41), s.List.Version)
		assert.NoError(t, <-refused)
		link.Close()
	}
	for _, c := range []struct{ says, err string }{
		{strings.Repeat("x", 40), "no greeting"},
		{greeting + "\x00\x00\x00\x02{}", "format 0, not 1"},
		{greeting + "\x7f\x00\x00\x00", "frame of"},
	} {
		name, done := short(path)
		nc, err := net.Dial("unix", name)
		done()
		assert.NoError(t, err)
		io.WriteString(nc, c.says)
		assert.ErrorContains(t, <-refused, c.err)
		got, _ := io.ReadAll(nc)
		assert.Empty(t, got)
		nc.Close()
	}
}

// An address held by a process that does not share it is waited for.
func TestListenWaits(t *testing.T) {
	old, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NoError(t, err)
	_, err = Listen(old.Addr().String(), 0)
	assert.Error(t, err)
	time.AfterFunc(150*time.Millisecond, func() { old.Close() })
	ln, err := Listen(old.Addr().String(), 5*time.Second)
	if assert.NoError(t, err) {
		again, err := Listen(ln.Addr().String(), 0)
		assert.NoError(t, err, "and shared from then on")
		again.Close()
		ln.Close()
	}
}

// Danger: what the other process sends is read before it is known to be one of this proxy's.
func FuzzFrame(f *testing.F) {
	var buf bytes.Buffer
	assert.NoError(f, writeFrame(&buf, state()))
	f.Add(buf.Bytes())
	f.Add([]byte("\xff\xff\xff\xff"))
	f.Add([]byte("\x00\x00\x00\x02{}"))
	f.Fuzz(func(t *testing.T, text []byte) {
		var s State
		if readFrame(bytes.NewReader(text), &s) != nil {
			return
		}
		var once, twice bytes.Buffer
		assert.NoError(t, writeFrame(&once, s))
		text = bytes.Clone(once.Bytes())
		var again State
		assert.NoError(t, readFrame(&once, &again))
		assert.NoError(t, writeFrame(&twice, again))
		assert.Equal(t, text, twice.Bytes(), "nothing is lost on the way")
	})
}
