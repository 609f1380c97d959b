package fakeserver

import (
	"encoding/json"
	"fmt"
	"math"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"lockloom/balance"
	"lockloom/internal/discovery"
	"lockloom/internal/http1"
)

const (
	keepAliveInterval = 2 * time.Second // between the empty lines sent on a watch while nothing changes
	// muteNotifiedDelay is the time from MuteWatches until the changes that the muted watches missed count as notified.
	muteNotifiedDelay = 6 * time.Second
)

// Agent is the discovery agent of one proxy. Its methods are safe for concurrent use.
type Agent struct {
	group *ServerGroup
	proxy int
	ln    net.Listener

	mu          sync.Mutex
	version     int64         // version of the endpoint list
	notifyAt    time.Time     // earliest time at which the latest change is sent
	silentUntil time.Time     // nothing is sent before this time
	mutedUntil  time.Time     // when changes that muted watches missed count as notified
	delay       time.Duration // additional delay of the notification of changes before delayUntil
	delayUntil  time.Time
	changed     chan struct{}     // closed at the next change of the list
	conns       map[net.Conn]bool // open connections; true: its watch is muted
	closed      bool
}

func (g *ServerGroup) newAgent(proxy int) (*Agent, error) {
	ln, err := g.ports.listen()
	if err != nil {
		return nil, err
	}
	a := &Agent{
		group:   g,
		proxy:   proxy,
		ln:      ln,
		changed: make(chan struct{}),
		conns:   map[net.Conn]bool{},
		version: g.Fleet.Version,
	}
	g.wg.Add(1)
	go a.accept()
	return a, nil
}

// Addr returns the address that the agent listens on.
func (a *Agent) Addr() string { return a.ln.Addr().String() }

// Silence makes the agent send nothing for a duration.
func (a *Agent) Silence(d time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.silentUntil = time.Now().Add(d)
}

// Delay adds a delay to the notification of every change of the list that happens within the given time from now.
func (a *Agent) Delay(delay, within time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.delay = delay
	a.delayUntil = time.Now().Add(within)
}

// MuteWatches permanently stops sending on every open watch, and keeps their connections open.
func (a *Agent) MuteWatches() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.mutedUntil = time.Now().Add(muteNotifiedDelay)
	for nc := range a.conns {
		a.conns[nc] = true
	}
}

// CloseWatches closes the connections of all watches, as a network failure would.
func (a *Agent) CloseWatches() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for nc := range a.conns {
		nc.Close()
	}
}

func (a *Agent) close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = true
	a.ln.Close()
	for nc := range a.conns {
		nc.Close()
	}
	a.wakeWatches()
}

// wakeWatches wakes the goroutines of all watches. The caller holds a.mu.
func (a *Agent) wakeWatches() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// listChanged records a change of the endpoint list and schedules its notification.
func (a *Agent) listChanged(version int64, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.version = version
	a.notifyAt = now.Add(listDelay)
	if now.Before(a.delayUntil) {
		a.notifyAt = a.notifyAt.Add(a.delay)
	}
	a.wakeWatches()
	time.AfterFunc(time.Until(a.notifyAt), func() { a.markNotified(version) })
}

// markNotified reports to the observer that the proxy counts as notified of each member that is draining or removed in
// the given version of the list, even if the proxy has no open watch. If silentUntil or mutedUntil is in the future, it
// does so once both have passed.
func (a *Agent) markNotified(version int64) {
	a.mu.Lock()
	wait := max(time.Until(a.silentUntil), time.Until(a.mutedUntil))
	closed := a.closed
	a.mu.Unlock()
	if closed {
		return
	}
	if wait > 0 {
		time.AfterFunc(wait, func() { a.markNotified(version) })
		return
	}
	g := a.group
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Now()
	for i, m := range g.Fleet.Members[:g.members] {
		if m.State != balance.Ready && !m.ChangedAfter(version) {
			g.observer.ProxyNotified(now, a.proxy, i)
		}
	}
}

func (a *Agent) accept() {
	defer a.group.wg.Done()
	for {
		nc, err := a.ln.Accept()
		if err != nil {
			return
		}
		a.mu.Lock()
		if a.closed {
			nc.Close()
		}
		a.conns[nc] = false
		a.mu.Unlock()
		a.group.wg.Add(1)
		go a.serve(nc)
	}
}

func (a *Agent) serve(nc net.Conn) {
	defer a.group.wg.Done()
	defer a.end(nc)
	r := http1.NewReader(nc)
	head, err := r.Request()
	if err != nil {
		return
	}
	path, query, _ := strings.Cut(string(head.Target), "?")
	if path != "/discovery/hosts" {
		fmt.Fprint(nc, "HTTP/1.1 404 x\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
		return
	}
	disconnected := make(chan struct{}) // closed when the proxy closes the connection
	go func() {                         // ends with the connection
		defer close(disconnected)
		_ = r.Wait() // any error means that the proxy has closed the connection
	}()
	if !a.waitWhileSilent(disconnected) {
		return
	}
	stream, version := parseQuery(query)
	if stream {
		a.stream(nc, version, disconnected)
		return
	}
	text, _ := a.listAfter(-1)
	const answerHead = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nConnection: close\r\n"
	fmt.Fprintf(nc, answerHead+"Content-Length: %d\r\n\r\n%s", len(text), text)
}

func (a *Agent) end(nc net.Conn) {
	a.mu.Lock()
	delete(a.conns, nc)
	a.mu.Unlock()
	nc.Close()
}

// parseQuery reports whether a query asks for a stream, and returns the list version since which it asks for changes;
// -1: it asks for the complete list.
func parseQuery(query string) (stream bool, version int64) {
	version = -1
	for part := range strings.SplitSeq(query, "&") {
		stream = stream || part == "stream=1"
		text, ok := strings.CutPrefix(part, "index=")
		if !ok {
			continue
		}
		var err error
		if version, err = strconv.ParseInt(text, 10, 64); err != nil {
			version = -1
		}
	}
	return stream, version
}

// stream serves a watch until the proxy closes the connection: a line for each change after a version, and empty lines
// in between.
func (a *Agent) stream(nc net.Conn, version int64, disconnected chan struct{}) {
	fmt.Fprint(nc, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")
	for first := true; ; first = false {
		a.mu.Lock()
		changed, latest, notifyAt := a.changed, a.version, a.notifyAt
		a.mu.Unlock()
		line := "\n"
		if latest > version || first {
			if !a.sleep(time.Until(notifyAt), disconnected) || !a.waitWhileSilent(disconnected) {
				return
			}
			if text, newVersion := a.listAfter(version); text != "" {
				line, version = text+"\n", newVersion
			}
		}
		if a.muted(nc) {
			<-disconnected
			return
		}
		if _, err := fmt.Fprintf(nc, "%x\r\n%s\r\n", len(line), line); err != nil {
			return
		}
		if !a.waitChange(version, changed, disconnected) {
			return
		}
	}
}

func (a *Agent) muted(nc net.Conn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.conns[nc]
}

// waitChange waits for a change after a version or until the next empty line is due. It reports false if the proxy
// closes the connection meanwhile.
func (a *Agent) waitChange(version int64, changed, disconnected chan struct{}) bool {
	a.mu.Lock()
	newer := a.version > version
	a.mu.Unlock()
	if newer {
		return true
	}
	select {
	case <-changed:
		return true
	case <-disconnected:
		return false
	case <-time.After(keepAliveInterval):
		return a.waitWhileSilent(disconnected)
	}
}

// sleep waits for d. It reports false if the proxy closes the connection or the group is closed meanwhile.
func (a *Agent) sleep(d time.Duration, disconnected chan struct{}) bool {
	if d <= 0 {
		return true
	}
	select {
	case <-time.After(d):
		return true
	case <-disconnected:
	case <-a.group.quit:
	}
	return false
}

// waitWhileSilent waits until the agent is not silent. It reports false if the proxy closes the connection or the group
// is closed meanwhile.
func (a *Agent) waitWhileSilent(disconnected chan struct{}) bool {
	for {
		a.mu.Lock()
		d := time.Until(a.silentUntil)
		a.mu.Unlock()
		if d <= 0 {
			return true
		}
		if !a.sleep(d, disconnected) {
			return false
		}
	}
}

// List returns the complete list as the agent would send it to its proxy now.
func (a *Agent) List() json.RawMessage {
	text, _ := a.listAfter(-1)
	return json.RawMessage(text)
}

// listAfter returns the entries of the list that changed after a version, or the complete list for -1, and the version
// of that list; the text is empty if nothing changed. It reports to the observer that the proxy counts as notified of
// the draining and removed members among these entries.
func (a *Agent) listAfter(version int64) (string, int64) {
	g := a.group
	g.mu.Lock()
	defer g.mu.Unlock()
	list := discovery.List{Full: version < 0, Version: g.Fleet.Version}
	now := g.Now()
	for i, m := range g.Fleet.Members[:g.members] {
		if !m.ChangedAfter(version) || list.Full && m.State == balance.Removed {
			continue
		}
		entry := discovery.Entry{Addr: g.addresses[m.AddressIndex].listeners[a.proxy].addr}
		entry.Name = m.Name
		entry.ZoneName = m.Zone
		entry.ModelName = m.Model
		entry.Pod = m.Pod
		entry.State = m.State
		entry.Cores = 1
		entry.StartedAt = math.Trunc(m.StartedAt()*1000) / 1000
		list.Entries = append(list.Entries, entry)
		if m.State != balance.Ready {
			g.observer.ProxyNotified(now, a.proxy, i)
		}
	}
	if version >= list.Version {
		return "", version
	}
	return marshalList(list, g.IndentLists), list.Version
}

func marshalList(list discovery.List, indent bool) string {
	text, err := json.Marshal(list)
	if err == nil && indent {
		text, err = json.MarshalIndent(json.RawMessage(text), "", "  ")
	}
	if err != nil {
		panic(err) // marshaling plain numbers and strings cannot fail
	}
	return string(text)
}
