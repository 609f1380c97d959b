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

// notes is a Sight that keeps what it sees, in words.
type eventLog struct {
	mu   sync.Mutex
	list []string
}

func (n *eventLog) add(format string, args ...any) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.list = append(n.list, fmt.Sprintf(format, args...))
}
func (n *eventLog) AttemptReceived(_ float64, id string, proxy, member, group int) {
	n.add("%s from %d at %d", id, proxy, member)
}
func (n *eventLog) AttemptRejected(id string)                  { n.add("%s turned", id) }
func (n *eventLog) MemberNotReady(_ float64, member int)      { n.add("%d listed", member) }
func (n *eventLog) ProxyNotified(_ float64, proxy, member int) { n.add("%d told of %d", proxy, member) }
func (n *eventLog) ServerCrashed(_ float64, member int)        { n.add("%d fell", member) }
func (n *eventLog) AttemptServed(id string, work float64)    { n.add("%s served", id) }
func (n *eventLog) all() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]string{}, n.list...)
}

// field is a yard with two servers, for two proxies.
func openGroup(t *testing.T, build emulator.Spec) (*ServerGroup, *eventLog) {
	f := emulator.NewFleet(1)
	n := &eventLog{}
	requests := map[string]RequestClass{"page": {Work: .001, DedupGroup: func(*emulator.Member) int { return -1 }},
		"sign": {Number: 1, Work: .001, DedupWindow: 60, DedupGroup: func(*emulator.Member) int { return 1 }}}
	build.Cores, build.Speed = 1, 1
	for range 2 {
		f.AddPosition(float64(time.Now().UnixMicro())/1e6, emulator.MemberSpec{Name: "s", Zone: "a", Spec: build}, true)
	}
	group, err := Open(f, 2, requests, n)
	require.NoError(t, err)
	t.Cleanup(group.Close)
	return group, n
}

// peer is a proxy's connection to a server.
type client struct {
	net.Conn
	r *http1.Reader
}

func dial(t *testing.T, group *ServerGroup, proxy, slot int) *client {
	nc, err := net.DialTimeout("tcp", group.addr(proxy, slot), time.Second)
	require.NoError(t, err)
	t.Cleanup(func() { nc.Close() })
	nc.SetDeadline(time.Now().Add(10 * time.Second))
	return &client{nc, http1.NewReader(nc)}
}

func (group *ServerGroup) addr(proxy, slot int) string {
	group.mu.Lock()
	defer group.mu.Unlock()
	return group.addresses[slot].listeners[proxy].addr
}

// ask sends a request and tells the answer's status and body, or the error.
func (p *client) ask(path, id, more string) string {
	p.send(path, id, more)
	return p.answer()
}

func (p *client) send(path, id, more string) {
	fmt.Fprintf(p, "POST /%s HTTP/1.1\r\nHost: x\r\nX-Trace-Id: %s\r\n%sContent-Length: 0\r\n\r\n", path, id, more)
}

func (p *client) answer() string {
	h, err := p.r.Response()
	switch {
	case errors.Is(err, syscall.ECONNRESET) || errors.Is(err, io.EOF):
		return "reset"
	case err != nil:
		return err.Error()
	}
	status, never := h.Status, string(h.Get("X-Never-Ran"))
	body, err := p.r.Body(h.Length, h.Chunked)
	if err != nil {
		return err.Error()
	}
	return strings.TrimSpace(fmt.Sprintf("%d %s%s", status, strings.TrimSpace(string(body)), never))
}

func TestServersAnswerRequests(t *testing.T) {
	group, n := openGroup(t, emulator.Spec{QueueCapacity: 0})
	a := dial(t, group, 0, 0)
	b := dial(t, group, 1, 0)
	assert.Equal(t, "200 7", a.ask("page?user=3", "7", ""))
	assert.Equal(t, "404", a.ask("other", "8", ""))
	assert.Equal(t, "404", a.ask("page", "", ""), "no id")
	a.send("page", "9", "X-Work: 0.5\r\n")
	require.Eventually(t, func() bool { return len(n.all()) == 3 }, 5*time.Second, time.Millisecond)
	assert.Equal(t, "503 1", b.ask("page", "10", ""), "the only core is taken, and there is no room to wait")
	assert.Equal(t, "200 9", a.answer())
	// An answer counts as served when it is out: its reader may well be ahead of that.
	require.Eventually(t, func() bool { return len(n.all()) == 6 }, 5*time.Second, time.Millisecond)
	assert.ElementsMatch(t, []string{"7 from 0 at 0", "7 served", "9 from 0 at 0", "10 from 1 at 0", "10 turned", "9 served"}, n.all())
	assert.Equal(t, "200 11", a.ask("sign", "11", "Idempotency-Key: k\r\n"))
	assert.Equal(t, "200 12", dial(t, group, 1, 1).ask("sign", "12", "Idempotency-Key: k\r\n"), "a repeat at another server of the group")
	group.Inspect(func(f *emulator.Fleet) { assert.Equal(t, 1, f.Members[1].Duplicates) })
	require.NoError(t, group.Apply(emulator.Change{Kind: emulator.ChangeErrorShare, Position: 1, Class: -1, Value: 1}))
	assert.Equal(t, "500", dial(t, group, 0, 1).ask("page", "13", ""))
}

// A server that dies resets what it has and refuses; it comes back at the same address.
func TestCrashedServerRefusesThenRestarts(t *testing.T) {
	group, _ := openGroup(t, emulator.Spec{QueueCapacity: 9})
	a := dial(t, group, 0, 0)
	a.send("page", "1", "X-Work: 50\r\n")
	require.NoError(t, group.Apply(emulator.Change{Kind: emulator.ChangeCrash, Value: .3}))
	assert.Equal(t, "reset", a.answer())
	_, err := net.DialTimeout("tcp", group.addr(0, 0), time.Second)
	assert.ErrorIs(t, err, syscall.ECONNREFUSED)
	assert.Equal(t, "200 2", dial(t, group, 0, 1).ask("page", "2", ""), "the other one serves")
	require.Eventually(t, func() bool {
		nc, err := net.Dial("tcp", group.addr(1, 0))
		if err == nil {
			nc.Close()
		}
		return err == nil
	}, 10*time.Second, 5*time.Millisecond)
	assert.Equal(t, "200 3", dial(t, group, 0, 0).ask("page", "3", ""))
}

// A server that is cut off says nothing on open connections, and new ones never come up; back, it resets the old ones.
func TestUnreachableServerIsSilent(t *testing.T) {
	group, n := openGroup(t, emulator.Spec{QueueCapacity: 9})
	a := dial(t, group, 0, 0)
	a.send("page", "1", "X-Work: 0.05\r\n")
	require.Eventually(t, func() bool { return len(n.all()) == 1 }, 5*time.Second, time.Millisecond)
	require.NoError(t, group.Apply(emulator.Change{Kind: emulator.ChangeUnreachable, Value: 1}))
	require.Eventually(t, func() bool { // until the last place is taken
		nc, err := net.DialTimeout("tcp", group.addr(0, 0), 100*time.Millisecond)
		if err == nil {
			nc.Close()
		}
		return os.IsTimeout(err) // of the dial's own clock or the socket's, whichever is first
	}, 10*time.Second, time.Millisecond)
	b := dial(t, group, 0, 1)
	assert.Equal(t, "200 2", b.ask("page", "2", "X-Work: 0.1\r\n"))
	a.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	_, err := a.Read(make([]byte, 1))
	assert.ErrorIs(t, err, os.ErrDeadlineExceeded, "done long since, and not told")
	group.Inspect(func(f *emulator.Fleet) { assert.Equal(t, 1, f.Members[0].Succeeded) })
	a.SetReadDeadline(time.Now().Add(10 * time.Second))
	require.NoError(t, group.Apply(emulator.Change{Kind: emulator.ChangeUnreachable}))
	_, err = a.Read(make([]byte, 1))
	assert.ErrorIs(t, err, syscall.ECONNRESET)
	assert.Equal(t, "200 3", dial(t, group, 0, 0).ask("page", "3", ""))
}

// A client that goes takes what waits along, not what is in work.
func TestClosedConnectionDropsQueuedJob(t *testing.T) {
	group, n := openGroup(t, emulator.Spec{QueueCapacity: 9})
	a, b := dial(t, group, 0, 0), dial(t, group, 0, 0)
	a.send("page", "1", "X-Work: 0.3\r\n")
	require.Eventually(t, func() bool { return len(n.all()) == 1 }, 5*time.Second, time.Millisecond)
	b.send("page", "2", "X-Work: 100\r\n")
	require.Eventually(t, func() bool { return len(n.all()) == 2 }, 5*time.Second, time.Millisecond)
	a.Close()
	b.Close()
	require.Eventually(t, func() bool {
		done := false
		group.Inspect(func(f *emulator.Fleet) { done = f.Members[0].Succeeded == 1 && f.Members[0].InFlight() == 0 })
		return done
	}, 10*time.Second, time.Millisecond)
	group.Inspect(func(f *emulator.Fleet) { assert.Equal(t, 1, f.Members[0].Started) })
}

// The agent tells what the proxy's own reader of lists takes, late or silent as it is told to be.
func TestAgentNotifiesWatch(t *testing.T) {
	group, n := openGroup(t, emulator.Spec{QueueCapacity: 9})
	told := make(chan discovery.List, 100)
	log, _ := test.NewNullLogger()
	w := &discovery.Watch{Addr: group.Agent(1).Addr(), Version: 0, Log: log, OnConnected: func() {}, OnList: func(l discovery.List) { told <- l },
		Dial: func(ctx context.Context, addr string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "tcp", addr)
		}}
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { w.Run(ctx); close(ended) }()
	defer func() { stop(); <-ended }()
	first := <-told
	assert.Equal(t, 2, len(first.Entries), "what changed since the beginning is everything")
	assert.Equal(t, group.addr(1, 0), first.Entries[0].Addr, "its own address of each server")
	require.NoError(t, group.Apply(emulator.Change{Kind: emulator.ChangeReplaceInPlace, Value: .2}))
	draining := <-told
	assert.Equal(t, balance.Draining, draining.Entries[0].State)
	states := map[string]balance.EndpointState{}
	for len(states) < 2 {
		for _, e := range (<-told).Entries {
			states[e.Name] = e.State
			if e.State == balance.Ready {
				assert.Equal(t, group.addr(1, 0), e.Addr, "the new one is where the old one was")
				assert.Greater(t, e.StartedAt, 1e9)
			}
		}
	}
	assert.Equal(t, map[string]balance.EndpointState{"s": balance.Removed, "s.2": balance.Ready}, states)
	assert.Equal(t, "200 5", dial(t, group, 1, 0).ask("page", "5", ""))
	assert.Contains(t, n.all(), "1 told of 0")
	assert.Contains(t, n.all(), "0 told of 0", "what an agent has counts as told, though nobody watches")

	group.Agent(1).Delay(300*time.Millisecond, time.Minute)
	began := time.Now()
	require.NoError(t, group.Apply(emulator.Change{Kind: emulator.ChangeDrain, Position: 1, Value: 100}))
	<-told
	assert.Greater(t, time.Since(began), 300*time.Millisecond)
	group.Agent(1).Delay(0, 0)
	group.Agent(1).Silence(400 * time.Millisecond)
	group.Agent(1).CloseWatches() // and nobody watches at its return but the call that was made meanwhile
	group.IndentLists = true
	began = time.Now()
	require.NoError(t, group.Apply(emulator.Change{Kind: emulator.ChangeReplace, Position: 0, Value: 100}))
	<-told
	assert.Greater(t, time.Since(began), 380*time.Millisecond)
	assert.Less(t, time.Since(began), 2*time.Second, "the call is held, and heard at the return")
	for more := true; more; { // of the same change
		select {
		case <-told:
		case <-time.After(200 * time.Millisecond):
			more = false
		}
	}
	group.Agent(1).MuteWatches()
	began = time.Now()
	require.NoError(t, group.Apply(emulator.Change{Kind: emulator.ChangeDrain, Position: 0, Value: 100}))
	<-told
	assert.Greater(t, time.Since(began), time.Second, "a watch that has fallen silent tells nothing")
	assert.Less(t, time.Since(began), 4*time.Second)

	nc, err := net.Dial("tcp", group.Agent(0).Addr())
	require.NoError(t, err)
	defer nc.Close()
	fmt.Fprint(nc, "GET /discovery/hosts HTTP/1.1\r\nHost: x\r\n\r\n")
	h, err := http1.NewReader(nc).Response()
	require.NoError(t, err)
	assert.Equal(t, 200, h.Status)
	var whole discovery.List
	require.NoError(t, json.Unmarshal(group.Agent(0).List(), &whole))
	assert.Equal(t, []any{true, 3}, []any{whole.Full, len(whole.Entries)}, "whole, without those that are gone")
}

// What a watch says is chunked as a plain reader of HTTP/1.1 expects it, and ends when the agent is cut.
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
