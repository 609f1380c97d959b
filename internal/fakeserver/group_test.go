package fakeserver

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http/httputil"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lockloom/balance"
	"lockloom/internal/discovery"
	"lockloom/internal/emulator"
	"lockloom/internal/http1"
)

// eventLog is an Observer that records what it is notified of.
type eventLog struct {
	mu     sync.Mutex
	events []string
}

func (l *eventLog) add(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.events = append(l.events, fmt.Sprintf(format, args...))
}

func (l *eventLog) AttemptReceived(_ float64, id string, proxy, member, _ int) {
	l.add("%s from %d at %d", id, proxy, member)
}

func (l *eventLog) AttemptRejected(id string) { l.add("%s rejected", id) }

func (l *eventLog) MemberNotReady(_ float64, member int) { l.add("%d not ready", member) }

func (l *eventLog) ProxyNotified(_ float64, proxy, member int) {
	l.add("%d notified of %d", proxy, member)
}

func (l *eventLog) ServerCrashed(_ float64, member int) { l.add("%d crashed", member) }

func (l *eventLog) AttemptServed(id string, _ float64) { l.add("%s served", id) }

func (l *eventLog) all() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string{}, l.events...)
}

// waitFor waits until n events have been recorded.
func (l *eventLog) waitFor(t *testing.T, n int) {
	t.Helper()
	require.Eventually(t, func() bool { return len(l.all()) == n }, 5*time.Second, time.Millisecond)
}

// openGroup opens a group of two servers for two proxies.
func openGroup(t *testing.T, spec emulator.Spec) (*ServerGroup, *eventLog) {
	t.Helper()
	fleet := emulator.NewFleet(1)
	events := &eventLog{}
	classes := map[string]RequestClass{
		"page": {
			Work:       .001,
			DedupGroup: func(*emulator.Member) int { return -1 },
		},
		"sign": {
			Number:      1,
			Work:        .001,
			DedupWindow: 60,
			DedupGroup:  func(*emulator.Member) int { return 1 },
		},
	}
	spec.Cores, spec.Speed = 1, 1
	for range 2 {
		now := float64(time.Now().UnixMicro()) / 1e6
		fleet.AddPosition(now, emulator.MemberSpec{Name: "s", Zone: "a", Spec: spec}, true)
	}
	group, err := Open(fleet, 2, classes, events)
	require.NoError(t, err)
	t.Cleanup(group.Close)
	return group, events
}

// client is a proxy's connection to a server.
type client struct {
	net.Conn
	reader *http1.Reader
}

func dial(t *testing.T, group *ServerGroup, proxy, address int) *client {
	t.Helper()
	nc, err := net.DialTimeout("tcp", group.addr(proxy, address), time.Second)
	require.NoError(t, err)
	t.Cleanup(func() { nc.Close() })
	nc.SetDeadline(time.Now().Add(10 * time.Second))
	return &client{nc, http1.NewReader(nc)}
}

func (group *ServerGroup) addr(proxy, address int) string {
	group.mu.Lock()
	defer group.mu.Unlock()
	return group.addresses[address].listeners[proxy].addr
}

// do sends a request and returns the status and body of the response, or the error.
func (c *client) do(path, id, fields string) string {
	c.send(path, id, fields)
	return c.answer()
}

func (c *client) send(path, id, fields string) {
	fmt.Fprintf(c, "POST /%s HTTP/1.1\r\nHost: x\r\nX-Trace-Id: %s\r\n%sContent-Length: 0\r\n\r\n", path, id, fields)
}

func (c *client) answer() string {
	h, err := c.reader.Response()
	switch {
	case errors.Is(err, syscall.ECONNRESET) || errors.Is(err, io.EOF):
		return "reset"
	case err != nil:
		return err.Error()
	}
	status, neverRan := h.Status, string(h.Get("X-Never-Ran"))
	body, err := c.reader.Body(h.Length, h.Chunked)
	if err != nil {
		return err.Error()
	}
	return strings.TrimSpace(fmt.Sprintf("%d %s%s", status, strings.TrimSpace(string(body)), neverRan))
}

func TestServersAnswerRequests(t *testing.T) {
	group, events := openGroup(t, emulator.Spec{QueueCapacity: 0})
	a := dial(t, group, 0, 0)
	b := dial(t, group, 1, 0)
	assert.Equal(t, "200 7", a.do("page?user=3", "7", ""))
	assert.Equal(t, "404", a.do("other", "8", ""))
	assert.Equal(t, "404", a.do("page", "", ""), "a request without an id")
	a.send("page", "9", "X-Work: 0.5\r\n")
	events.waitFor(t, 3)
	assert.Equal(t, "503 1", b.do("page", "10", ""), "the only core is busy, and there is no queue")
	assert.Equal(t, "200 9", a.answer())
	// AttemptServed is called after the response has been written, so the client may receive the response earlier.
	events.waitFor(t, 6)
	assert.ElementsMatch(t, []string{
		"7 from 0 at 0", "7 served",
		"9 from 0 at 0", "10 from 1 at 0", "10 rejected", "9 served",
	}, events.all())
	assert.Equal(t, "200 11", a.do("sign", "11", "Idempotency-Key: k\r\n"))
	duplicate := dial(t, group, 1, 1).do("sign", "12", "Idempotency-Key: k\r\n")
	assert.Equal(t, "200 12", duplicate, "another server of the group answers a duplicate without running it")
	group.Inspect(func(f *emulator.Fleet) { assert.Equal(t, 1, f.Members[1].Duplicates) })
	require.NoError(t, group.Apply(emulator.Change{Kind: emulator.ChangeErrorShare, Position: 1, Class: -1, Value: 1}))
	assert.Equal(t, "500", dial(t, group, 0, 1).do("page", "13", ""))
}

// A crashed server resets its connections and refuses new ones until it restarts at the same address.
func TestCrashedServerRefusesThenRestarts(t *testing.T) {
	group, _ := openGroup(t, emulator.Spec{QueueCapacity: 9})
	a := dial(t, group, 0, 0)
	a.send("page", "1", "X-Work: 50\r\n")
	require.NoError(t, group.Apply(emulator.Change{Kind: emulator.ChangeCrash, Value: .3}))
	assert.Equal(t, "reset", a.answer())
	_, err := net.DialTimeout("tcp", group.addr(0, 0), time.Second)
	assert.ErrorIs(t, err, syscall.ECONNREFUSED)
	assert.Equal(t, "200 2", dial(t, group, 0, 1).do("page", "2", ""), "the other server still serves")
	require.Eventually(t, func() bool {
		nc, err := net.Dial("tcp", group.addr(1, 0))
		if err == nil {
			nc.Close()
		}
		return err == nil
	}, 10*time.Second, 5*time.Millisecond)
	assert.Equal(t, "200 3", dial(t, group, 0, 0).do("page", "3", ""))
}

// An unreachable server sends nothing on open connections, and no new ones are established. When it is reachable again,
// it resets the old ones.
func TestUnreachableServerIsSilent(t *testing.T) {
	group, events := openGroup(t, emulator.Spec{QueueCapacity: 9})
	a := dial(t, group, 0, 0)
	a.send("page", "1", "X-Work: 0.05\r\n")
	events.waitFor(t, 1)
	require.NoError(t, group.Apply(emulator.Change{Kind: emulator.ChangeUnreachable, Value: 1}))
	require.Eventually(t, func() bool { // until the backlog is full
		nc, err := net.DialTimeout("tcp", group.addr(0, 0), 100*time.Millisecond)
		if err == nil {
			nc.Close()
		}
		return os.IsTimeout(err) // of the dialer or of the socket, whichever is first
	}, 10*time.Second, time.Millisecond)
	b := dial(t, group, 0, 1)
	assert.Equal(t, "200 2", b.do("page", "2", "X-Work: 0.1\r\n"))
	a.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	_, err := a.Read(make([]byte, 1))
	assert.ErrorIs(t, err, os.ErrDeadlineExceeded, "the response is not sent though the job has completed")
	group.Inspect(func(f *emulator.Fleet) { assert.Equal(t, 1, f.Members[0].Succeeded) })
	a.SetReadDeadline(time.Now().Add(10 * time.Second))
	require.NoError(t, group.Apply(emulator.Change{Kind: emulator.ChangeUnreachable}))
	_, err = a.Read(make([]byte, 1))
	assert.ErrorIs(t, err, syscall.ECONNRESET)
	assert.Equal(t, "200 3", dial(t, group, 0, 0).do("page", "3", ""))
}

// Closing a connection drops its job if that is queued, but does not stop it if it is running.
func TestClosedConnectionDropsQueuedJob(t *testing.T) {
	group, events := openGroup(t, emulator.Spec{QueueCapacity: 9})
	a, b := dial(t, group, 0, 0), dial(t, group, 0, 0)
	a.send("page", "1", "X-Work: 0.3\r\n")
	events.waitFor(t, 1)
	b.send("page", "2", "X-Work: 100\r\n")
	events.waitFor(t, 2)
	a.Close()
	b.Close()
	require.Eventually(t, func() bool {
		done := false
		group.Inspect(func(f *emulator.Fleet) { done = f.Members[0].Succeeded == 1 && f.Members[0].InFlight() == 0 })
		return done
	}, 10*time.Second, time.Millisecond)
	group.Inspect(func(f *emulator.Fleet) { assert.Equal(t, 1, f.Members[0].Started) })
}

// The agent serves lists that the proxy's own watch can read, and obeys Delay, Silence and MuteWatches.
func TestAgentNotifiesWatch(t *testing.T) {
	group, events := openGroup(t, emulator.Spec{QueueCapacity: 9})
	lists := make(chan discovery.List, 100)
	log, _ := test.NewNullLogger()
	watch := &discovery.Watch{
		Addr:        group.Agent(1).Addr(),
		Version:     0,
		Log:         log,
		OnConnected: func() {},
		OnList:      func(l discovery.List) { lists <- l },
		Dial: func(ctx context.Context, addr string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "tcp", addr)
		},
	}
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { watch.Run(ctx); close(ended) }()
	defer func() { stop(); <-ended }()
	first := <-lists
	assert.Equal(t, 2, len(first.Entries), "all entries have changed since version 0")
	assert.Equal(t, group.addr(1, 0), first.Entries[0].Addr, "each proxy gets its own address of a server")
	require.NoError(t, group.Apply(emulator.Change{Kind: emulator.ChangeReplaceInPlace, Value: .2}))
	draining := <-lists
	assert.Equal(t, balance.Draining, draining.Entries[0].State)
	states := map[string]balance.EndpointState{}
	for len(states) < 2 {
		for _, e := range (<-lists).Entries {
			states[e.Name] = e.State
			if e.State == balance.Ready {
				assert.Equal(t, group.addr(1, 0), e.Addr, "the replacement has the address of the old server")
				assert.Greater(t, e.StartedAt, 1e9)
			}
		}
	}
	assert.Equal(t, map[string]balance.EndpointState{"s": balance.Removed, "s.2": balance.Ready}, states)
	assert.Equal(t, "200 5", dial(t, group, 1, 0).do("page", "5", ""))
	assert.Contains(t, events.all(), "1 notified of 0")
	assert.Contains(t, events.all(), "0 notified of 0", "a proxy without a watch counts as notified too")

	group.Agent(1).Delay(300*time.Millisecond, time.Minute)
	began := time.Now()
	require.NoError(t, group.Apply(emulator.Change{Kind: emulator.ChangeDrain, Position: 1, Value: 100}))
	<-lists
	assert.Greater(t, time.Since(began), 300*time.Millisecond)
	group.Agent(1).Delay(0, 0)
	group.Agent(1).Silence(400 * time.Millisecond)
	group.Agent(1).CloseWatches() // the watch reconnects during the silence
	group.IndentLists = true
	began = time.Now()
	require.NoError(t, group.Apply(emulator.Change{Kind: emulator.ChangeReplace, Position: 0, Value: 100}))
	<-lists
	assert.Greater(t, time.Since(began), 380*time.Millisecond)
	assert.Less(t, time.Since(began), 2*time.Second, "the watch that connected during the silence is served after it")
	for more := true; more; { // discard further lists of the same change
		select {
		case <-lists:
		case <-time.After(200 * time.Millisecond):
			more = false
		}
	}
	group.Agent(1).MuteWatches()
	began = time.Now()
	require.NoError(t, group.Apply(emulator.Change{Kind: emulator.ChangeDrain, Position: 0, Value: 100}))
	<-lists
	assert.Greater(t, time.Since(began), time.Second, "a muted watch sends nothing")
	assert.Less(t, time.Since(began), 4*time.Second)

	nc, err := net.Dial("tcp", group.Agent(0).Addr())
	require.NoError(t, err)
	defer nc.Close()
	fmt.Fprint(nc, "GET /discovery/hosts HTTP/1.1\r\nHost: x\r\n\r\n")
	h, err := http1.NewReader(nc).Response()
	require.NoError(t, err)
	assert.Equal(t, 200, h.Status)
	var complete discovery.List
	require.NoError(t, json.Unmarshal(group.Agent(0).List(), &complete))
	assert.Equal(t, []any{true, 3}, []any{complete.Full, len(complete.Entries)}, "a complete list without removed servers")
}

// The standard library can decode the chunked body of a watch. When the agent closes the connection, decoding fails,
// since the last chunk is missing.
func TestWatchIsChunked(t *testing.T) {
	group, _ := openGroup(t, emulator.Spec{})
	nc, err := net.Dial("tcp", group.Agent(0).Addr())
	require.NoError(t, err)
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(10 * time.Second))
	fmt.Fprint(nc, "GET /discovery/hosts?stream=1&index=1 HTTP/1.1\r\nHost: x\r\n\r\n")
	r := bufio.NewReader(nc)
	for line := ""; line != "\r\n"; {
		line, err = r.ReadString('\n')
		require.NoError(t, err)
	}
	body := bufio.NewReader(httputil.NewChunkedReader(r))
	line, err := body.ReadString('\n')
	require.NoError(t, err)
	assert.True(t, strings.HasPrefix(line, `{"version":3,"full":false,"servers":[{"id":"s","addr":"127.0.0.1:`), line)
	group.Agent(0).CloseWatches()
	_, err = io.ReadAll(body)
	assert.Error(t, err)
}
