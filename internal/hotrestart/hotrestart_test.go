package hotrestart

import (
	"encoding/binary"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lockloom/balance"
	"lockloom/internal/discovery"
)

var testIdentity = Identity{Format: Format, Name: "n0", Listen: "127.0.0.1:1"}

func testState() State {
	state := State{Listed: true, IDs: []uint64{1 << 63, 7}}
	state.AdminState.Disable("s-1", 12.5)
	state.AdminState.SetDraining(true, 13)
	state.List.Entries = []discovery.Entry{
		testEntry("s-1", balance.Ready, 3),
		testEntry("s-2", balance.Draining, 3),
	}
	state.List.Version, state.List.Full = 41, true
	return state
}

func TestTakeOver(t *testing.T) {
	path := Path(t.TempDir(), testIdentity)
	_, _, _, err := TakeOver(path, testIdentity)
	assert.ErrorIs(t, err, ErrNoPredecessor)
	predecessor, err := Listen("127.0.0.1:0", 0)
	require.NoError(t, err)
	links := make(chan *Link, 10)
	offer := func() (State, []*net.TCPListener) {
		state := testState()
		state.Listeners, state.Identity = []string{predecessor.Addr().String()}, Identity{}
		return state, []*net.TCPListener{predecessor.(*net.TCPListener)}
	}
	server, err := Serve(path, testIdentity, offer, func(link *Link, err error) {
		if assert.NoError(t, err) {
			links <- link
		}
	})
	require.NoError(t, err)
	state, listeners, link, err := TakeOver(path, testIdentity)
	require.NoError(t, err)
	want, _ := offer()
	want.Identity = testIdentity
	assert.Equal(t, &want, state)

	checkOneQueue(t, predecessor, listeners[0])
	checkUpdates(t, <-links, link, state)

	server.Close()
	_, _, _, err = TakeOver(path, testIdentity)
	assert.ErrorIs(t, err, ErrNoPredecessor, "the socket that was left in the directory is no process")
	server, err = Serve(path, testIdentity, offer, func(*Link, error) {})
	require.NoError(t, err, "and is replaced")
	server.Close()
}

// checkOneQueue checks that what connects while nobody accepts, or before the predecessor closes, is the successor's to
// accept, since both listeners have one queue. It closes both.
func checkOneQueue(t *testing.T, predecessor, successor net.Listener) {
	t.Helper()
	client, err := net.Dial("tcp", predecessor.Addr().String())
	require.NoError(t, err)
	defer client.Close()
	assert.NoError(t, predecessor.Close())
	accepted, err := successor.Accept()
	require.NoError(t, err)
	_, err = io.WriteString(accepted, "x")
	require.NoError(t, err)
	accepted.Close()
	got, _ := io.ReadAll(client)
	assert.Equal(t, "x", string(got))
	successor.Close()
}

// checkUpdates checks that a link carries updates until it is closed, and closes it.
func checkUpdates(t *testing.T, predecessor, successor *Link, state *State) {
	t.Helper()
	updates := make(chan Update, 10)
	ended := make(chan error, 1)
	go func() { ended <- successor.Receive(func(update Update) { updates <- update }) }()
	assert.NoError(t, predecessor.Send(Update{AdminState: &state.AdminState}))
	assert.NoError(t, predecessor.Send(Update{Serving: true}))
	assert.Equal(t, state.AdminState, *(<-updates).AdminState)
	assert.True(t, (<-updates).Serving)
	predecessor.Close()
	assert.Error(t, <-ended)
	successor.Close()
}

// Whatever is found in the directory, TakeOver soon returns an error, and the new process starts afresh.
func TestTakeOverErrors(t *testing.T) {
	frame := func(text string) string {
		return string(binary.BigEndian.AppendUint32(nil, uint32(len(text)))) + text
	}
	const own = `{"Format":1,"Name":"n0","Listen":"127.0.0.1:1",`
	for _, c := range []struct{ name, sent, err string }{
		{"silent", "", "i/o timeout"},
		{"another protocol", "HTTP/1.1 400 Bad Request\r\n\r\n", "no greeting"},
		{"cut in the greeting", greeting[:4] + "\x00", "i/o timeout"},
		{"no JSON", greeting + frame("x"), "invalid character"},
		{"cut in a frame", greeting + frame("{}")[:5], "i/o timeout"},
		{"a frame without end", greeting + "\xff\xff\xff\xff", "frame of 4294967295 bytes"},
		{"another format", greeting + frame(`{"Format":2}`), "format 2, not 1"},
		{
			"another proxy", greeting + frame(`{"Format":1,"Name":"n1","Listen":"127.0.0.1:1"}`),
			`it is proxy "n1"`,
		},
		{
			"sockets named but not sent", greeting + frame(own+`"Listeners":["x"]}`),
			"0 listening sockets, 1 of them named",
		},
		{
			"a list that cannot be followed",
			greeting + frame(own+`"List":{"version":1,"servers":[{"id":"","state":"active"}]}}`), "id: missing",
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			path := Path(t.TempDir(), testIdentity)
			sendOnConnect(t, path, c.sent)
			began := time.Now()
			_, _, _, err := TakeOver(path, testIdentity)
			assert.ErrorContains(t, err, c.err)
			assert.Less(t, time.Since(began), 3*time.Second)
		})
	}
	path := filepath.Join(t.TempDir(), "file")
	require.NoError(t, os.WriteFile(path, []byte("garbage"), 0o600))
	_, _, _, err := TakeOver(path, testIdentity)
	assert.ErrorIs(t, err, ErrNoPredecessor, "a file that is no socket")
}

// sendOnConnect listens at a path until the test ends, and sends a text to the first that connects.
func sendOnConnect(t *testing.T, path, text string) {
	t.Helper()
	listener, err := net.Listen("unix", path)
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		// Some peers are rejected before they have sent all: TakeOver's error is what the test looks at.
		_, _ = io.WriteString(conn, text)
	}()
}

// A peer that is no successor gets nothing, also in a directory whose name is longer than a Unix socket's may be.
func TestServeErrors(t *testing.T) {
	dir := filepath.Join(t.TempDir(), strings.Repeat("d", 120))
	require.NoError(t, os.Mkdir(dir, 0o700))
	path, results := Path(dir, testIdentity), make(chan error, 10)
	offer := func() (State, []*net.TCPListener) { return testState(), nil }
	server, err := Serve(path, testIdentity, offer, func(_ *Link, err error) { results <- err })
	require.NoError(t, err)
	defer server.Close()
	state, _, link, err := TakeOver(path, testIdentity)
	if assert.NoError(t, err) {
		assert.Equal(t, int64(41), state.List.Version)
		assert.NoError(t, <-results)
		link.Close()
	}
	for _, c := range []struct{ sent, err string }{
		{strings.Repeat("x", 40), "no greeting"},
		{greeting + "\x00\x00\x00\x02{}", "format 0, not 1"},
		{greeting + "\x7f\x00\x00\x00", "frame of"},
	} {
		conn, err := dial(path)
		require.NoError(t, err)
		_, err = io.WriteString(conn, c.sent)
		require.NoError(t, err)
		assert.ErrorContains(t, <-results, c.err)
		got, _ := io.ReadAll(conn)
		assert.Empty(t, got)
		closeUnused(conn)
	}
}

// An address held by a process that does not share it is waited for.
func TestListenWaits(t *testing.T) {
	holder, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	_, err = Listen(holder.Addr().String(), 0)
	assert.Error(t, err)
	time.AfterFunc(150*time.Millisecond, func() { holder.Close() })
	first, err := Listen(holder.Addr().String(), 5*time.Second)
	if assert.NoError(t, err) {
		second, err := Listen(first.Addr().String(), 0)
		require.NoError(t, err, "and shared from then on")
		second.Close()
		first.Close()
	}
}
