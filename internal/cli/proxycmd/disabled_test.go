package proxycmd

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lockloom/internal/cli"
)

const (
	drainGrace   = 500 * time.Millisecond // Rules.StopSendingWithinMs of the test environment
	graceMargin  = 50 * time.Millisecond  // for a request on its way
	watchedTime  = 700 * time.Millisecond // how long a disabled server is watched after each step
	listInterval = 2 * time.Second        // between two empty lines of a watch
)

// discoveryService is a discovery service. A watch receives the whole list, then its changes.
type discoveryService struct {
	mu      sync.Mutex
	states  map[string]string // of each listed server, by its ID
	addrs   map[string]string // of all servers, by ID
	version int
	changed chan struct{} // closed at the next change
	line    string        // the last change
}

// startDiscovery runs a discovery service for the test's proxy until the test ends. Call it before starting the proxy.
func (s *testEnvironment) startDiscovery() *discoveryService {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(s.t, err)
	s.env = append(s.env, "ROUTER_DISCOVERY="+listener.Addr().String()) // the last value of a variable counts
	s.t.Cleanup(func() { listener.Close() })
	d := &discoveryService{
		states:  map[string]string{},
		addrs:   map[string]string{},
		version: 1,
		changed: make(chan struct{}),
	}
	for n, id := range []string{"b1", "b2"} {
		d.states[id], d.addrs[id] = "active", s.serverAddrs[n]
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go d.serve(conn)
		}
	}()
	return d
}

// serve answers a watch until the connection ends.
func (d *discoveryService) serve(conn net.Conn) {
	defer conn.Close()
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return
	}
	d.mu.Lock()
	line, changed := d.fullList(), d.changed
	d.mu.Unlock()
	for sent := send(conn, []byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")); sent; {
		sent = send(conn, fmt.Appendf(nil, "%x\r\n%s\n\r\n", len(line)+1, line))
		select {
		case <-changed:
			d.mu.Lock()
			line, changed = d.line, d.changed
			d.mu.Unlock()
		case <-time.After(listInterval):
			line = ""
		}
	}
}

// entry returns a server's entry in the list.
func (d *discoveryService) entry(id, state string) string {
	return fmt.Sprintf(`{"id":%q,"addr":%q,"state":%q,"started_ms":0}`, id, d.addrs[id], state)
}

// fullList returns the whole list. The caller holds the lock.
func (d *discoveryService) fullList() string {
	var entries []string
	for _, id := range []string{"b1", "b2"} {
		if state := d.states[id]; state != "" {
			entries = append(entries, d.entry(id, state))
		}
	}
	return fmt.Sprintf(`{"version":%d,"full":true,"servers":[%s]}`, d.version, strings.Join(entries, ","))
}

// set changes a server's state; "left" removes it. The change is sent as such, or as the whole list.
func (d *discoveryService) set(id, state string, full bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	d.states[id] = state
	if state == "left" {
		delete(d.states, id)
	}
	d.line = fmt.Sprintf(`{"version":%d,"full":false,"servers":[%s]}`, d.version, d.entry(id, state))
	if full {
		d.line = d.fullList()
	}
	close(d.changed)
	d.changed = make(chan struct{})
}

// adviseRemoval makes removal from the list advisory.
func (s *testEnvironment) adviseRemoval() {
	text, err := os.ReadFile(s.launchFile())
	require.NoError(s.t, err)
	text = []byte(strings.Replace(string(text), `"Rules":{`, `"Rules":{"GoneIsAdvice":true,`, 1))
	require.NoError(s.t, os.WriteFile(s.launchFile(), text, 0o600))
}

// disabledTest is a test in which an operator disables the server "b1".
type disabledTest struct {
	*testEnvironment
	discovery *discoveryService
	processes []*process // the running ones, the oldest first
	isOff     bool       // "b1" is disabled
}

// step changes the list, makes an admin call, or starts or stops a process.
func (d *disabledTest) step(name string) {
	oldest, newest := d.processes[0], d.processes[len(d.processes)-1]
	switch name {
	case "removed":
		d.discovery.set("b1", "left", false)
	case "left out":
		d.discovery.set("b1", "left", true)
	case "listed":
		d.discovery.set("b1", "active", false)
	case "disabled at the oldest", "disabled at the newest":
		p := newest
		if strings.HasSuffix(name, "oldest") {
			p = oldest
		}
		assert.Equal(d.t, cli.ExitOK, p.call("disable", "b1"))
		d.isOff = true
	case "enabled":
		assert.Equal(d.t, cli.ExitOK, newest.call("enable", "b1"))
		d.isOff = false
	case "new process":
		d.processes = append(d.processes, d.startReady())
	case "oldest ends":
		oldest.stop()
		d.processes = d.processes[1:]
	}
}

// requestsTo returns how many requests a server has received within watchedTime.
func (d *disabledTest) requestsTo(id string) int {
	count := func() int {
		d.mu.Lock()
		defer d.mu.Unlock()
		return d.servedBy[id]
	}
	before := count()
	time.Sleep(watchedTime)
	return count() - before
}

// checkedStep makes a step and checks that "b1" receives nothing while it is disabled.
func (d *disabledTest) checkedStep(name string) {
	wasOff := d.isOff
	d.step(name)
	if !d.isOff {
		return
	}
	if !wasOff {
		time.Sleep(drainGrace + graceMargin)
	}
	assert.Zero(d.t, d.requestsTo("b1"), "disabled, after %q", name)
}

// Guards against requests to a server that an operator has disabled while the list does not name it, over real
// connections and through upgrades: at either process, called before, while and after they run side by side.
func TestDisabledServerGetsNothingThroughUpgrades(t *testing.T) {
	for _, c := range []struct {
		name  string
		steps []string
	}{
		{"removed before", []string{"removed", "disabled at the oldest", "new process", "oldest ends"}},
		{"left out before", []string{"left out", "disabled at the oldest", "new process", "oldest ends"}},
		{"removed after", []string{"disabled at the oldest", "removed", "new process", "oldest ends"}},
		{"listed again by the new process's list", []string{"removed", "disabled at the oldest", "listed", "new process",
			"oldest ends", "left out"}},
		{"listed again after the upgrade", []string{"removed", "disabled at the oldest", "new process", "oldest ends",
			"listed"}},
		{"called at the new process", []string{"removed", "new process", "disabled at the newest", "oldest ends", "listed"}},
		{"called at the old process", []string{"removed", "new process", "disabled at the oldest", "oldest ends", "listed"}},
		{"removed as both run", []string{"new process", "removed", "disabled at the newest", "oldest ends"}},
		{"one upgrade behind another", []string{"removed", "new process", "new process", "disabled at the oldest",
			"oldest ends", "oldest ends", "listed"}},
		{"the new process removed it", []string{"new process", "oldest ends", "removed", "disabled at the newest"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newTestEnvironment(t, 64, 1024)
			s.adviseRemoval()
			d := &disabledTest{testEnvironment: s, discovery: s.startDiscovery()}
			d.processes = []*process{s.startReady()}
			clients := s.startClients(2, 2)
			defer clients.stopAll()
			assert.Positive(t, d.requestsTo("b1"), "it is in use")
			for _, step := range c.steps {
				d.checkedStep(step)
			}
			assert.Positive(t, d.requestsTo("b2"), "the other one is in use")
			d.step("listed")
			d.step("enabled")
			enabled := func() bool { return d.requestsTo("b1") > 0 }
			assert.Eventually(t, enabled, 5*time.Second, time.Millisecond, "one call enables it again")
		})
	}
}

// Guards against a server that stays unused once it is enabled, since the list does not name it, though it was in use
// before it was disabled; over real connections.
func TestEnabledServerThatIsNotListedIsUsedAgain(t *testing.T) {
	for _, steps := range [][]string{
		{"removed", "disabled at the oldest", "enabled"},
		{"disabled at the oldest", "left out", "enabled"},
	} {
		t.Run(strings.Join(steps, ", "), func(t *testing.T) {
			t.Parallel()
			s := newTestEnvironment(t, 64, 1024)
			s.adviseRemoval()
			d := &disabledTest{testEnvironment: s, discovery: s.startDiscovery()}
			d.processes = []*process{s.startReady()}
			clients := s.startClients(2, 2)
			defer clients.stopAll()
			assert.Positive(t, d.requestsTo("b1"), "it is in use")
			for _, step := range steps {
				d.checkedStep(step)
			}
			time.Sleep(2 * time.Second)
			assert.Positive(t, d.requestsTo("b1"), "it is in use again")
		})
	}
}
