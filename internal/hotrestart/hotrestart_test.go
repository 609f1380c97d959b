package hotrestart

import (
	"encoding/binary"
	"io"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lockloom/balance"
	"lockloom/internal/discovery"
)

var testIdentity = Identity{Format: FormatVersion, Name: "n0", Listen: "127.0.0.1:1"}

func testState() State {
	state := State{HasList: true, IDs: []uint64{1 << 63, 7}}
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
	gossip, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	offer := func() (State, Sockets) { // as many sockets as there may be
		state := testState()
		state.Listeners = slices.Repeat([]string{predecessor.Addr().String()}, maxListeners)
		state.Gossip, state.Identity = gossip.LocalAddr().String(), Identity{}
		listeners := slices.Repeat([]*net.TCPListener{predecessor.(*net.TCPListener)}, maxListeners)
		return state, Sockets{Listeners: listeners, Gossip: gossip}
	}
	server, err := Serve(path, testIdentity, offer, func(link *Link, err error) {
		if assert.NoError(t, err) {
			links <- link
		}
	})
	require.NoError(t, err)
	state, sockets, link, err := TakeOver(path, testIdentity)
	require.NoError(t, err)
	want, _ := offer()
	want.Identity = testIdentity
	assert.Equal(t, &want, state)

	require.Len(t, sockets.Listeners, maxListeners)
	checkSharedAcceptQueue(t, predecessor, sockets.Listeners[maxListeners-1])
	checkSharedGossip(t, gossip, sockets.Gossip)
	sockets.Close()
	checkUpdates(t, <-links, link, state)

	server.Close()
	_, _, _, err = TakeOver(path, testIdentity)
	assert.ErrorIs(t, err, ErrNoPredecessor, "a socket file that no process listens at")
	server, err = Serve(path, testIdentity, offer, func(*Link, error) {})
	require.NoError(t, err, "Serve replaces the socket file")
	server.Close()
}

// checkSharedGossip checks that both processes share the socket for gossip: the successor receives at its address after
// the predecessor has closed it.
func checkSharedGossip(t *testing.T, predecessor, successor *net.UDPConn) {
	t.Helper()
	require.NoError(t, predecessor.Close())
	addr := successor.LocalAddr().(*net.UDPAddr).AddrPort()
	_, err := successor.WriteToUDPAddrPort([]byte("x"), addr)
	require.NoError(t, err)
	require.NoError(t, successor.SetReadDeadline(time.Now().Add(5*time.Second)))
	n, from, err := successor.ReadFromUDPAddrPort(make([]byte, 2))
	require.NoError(t, err)
	assert.Equal(t, 1, n)
	assert.Equal(t, addr.Port(), from.Port())
}

// checkSharedAcceptQueue checks that both listeners share one accept queue: the successor accepts a connection that was
// made before the predecessor closed its listener, and that the predecessor did not accept. It closes both listeners.
func checkSharedAcceptQueue(t *testing.T, predecessor, successor net.Listener) {
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

// checkUpdates checks that a link carries updates until it is closed. It closes both ends.
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

// Guards against a new process that cannot start because of what is at the path of the socket: TakeOver must return an
// error within seconds, so that the process starts without a predecessor.
func TestTakeOverErrors(t *testing.T) {
	frame := func(text string) string {
		return string(binary.BigEndian.AppendUint32(nil, uint32(len(text)))) + text
	}
	const ownIdentity = `{"Format":1,"Name":"n0","Listen":"127.0.0.1:1",`
	for _, c := range []struct{ name, sent, err string }{
		{"nothing sent", "", "i/o timeout"},
		{"another protocol", "HTTP/1.1 400 Bad Request\r\n\r\n", "did not send the expected greeting"},
		{"truncated greeting", greeting[:4] + "\x00", "i/o timeout"},
		{"invalid JSON", greeting + frame("x"), "invalid character"},
		{"truncated frame", greeting + frame("{}")[:5], "i/o timeout"},
		{"oversized frame", greeting + "\xff\xff\xff\xff", "frame of 4294967295 bytes exceeds the limit of 8388608"},
		{"another format", greeting + frame(`{"Format":2}`), "frame format 2, expected 1"},
		{
			"another proxy", greeting + frame(`{"Format":1,"Name":"n1","Listen":"127.0.0.1:1"}`),
			`belongs to proxy "n1" at 127.0.0.1:1`,
		},
		{
			"addresses without sockets", greeting + frame(ownIdentity+`"Listeners":["x"]}`),
			"received 0 sockets for 1 addresses",
		},
		{
			"address of gossip without a socket", greeting + frame(ownIdentity+`"Gossip":"127.0.0.1:2"}`),
			"received 0 sockets for 1 addresses",
		},
		{
			"invalid endpoint list",
			greeting + frame(ownIdentity+`"List":{"version":1,"servers":[{"id":"","state":"active"}]}}`), "id: missing",
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			path := Path(t.TempDir(), testIdentity)
			sendOnConnect(t, path, c.sent)
			start := time.Now()
			_, _, _, err := TakeOver(path, testIdentity)
			assert.ErrorContains(t, err, c.err)
			assert.Less(t, time.Since(start), 3*time.Second)
		})
	}
	path := filepath.Join(t.TempDir(), "file")
	require.NoError(t, os.WriteFile(path, []byte("garbage"), 0o600))
	_, _, _, err := TakeOver(path, testIdentity)
	assert.ErrorIs(t, err, ErrNoPredecessor, "a regular file instead of a socket")
}

// sendOnConnect listens at a path until the test ends, and sends text to the first peer that connects.
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
		defer conn.Close() // not earlier, or by the garbage collector: TakeOver would not have to time out
		// TakeOver may close the connection before all of text is sent; the test checks only TakeOver's error.
		_, _ = io.WriteString(conn, text)
		<-t.Context().Done()
	}()
}

// Serve must send nothing to a peer that fails the handshake. The path used here is longer than a Unix socket's address
// may be; a handover must work at it too.
func TestServeErrors(t *testing.T) {
	dir := filepath.Join(t.TempDir(), strings.Repeat("d", 120))
	require.NoError(t, os.Mkdir(dir, 0o700))
	path, results := Path(dir, testIdentity), make(chan error, 10)
	offer := func() (State, Sockets) { return testState(), Sockets{} }
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
		{strings.Repeat("x", 40), "did not send the expected greeting"},
		{greeting + "\x00\x00\x00\x02{}", "frame format 0, expected 1"},
		{greeting + "\x7f\x00\x00\x00", "frame of 2130706432 bytes exceeds the limit of 8388608"},
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

// Listen must retry while a listener without SO_REUSEPORT holds the address.
func TestListenWaits(t *testing.T) {
	holder, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	_, err = Listen(holder.Addr().String(), 0)
	assert.Error(t, err)
	time.AfterFunc(150*time.Millisecond, func() { holder.Close() })
	first, err := Listen(holder.Addr().String(), 5*time.Second)
	if assert.NoError(t, err) {
		second, err := Listen(first.Addr().String(), 0)
		require.NoError(t, err, "two listeners at one address")
		second.Close()
		first.Close()
	}
}
