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
	beat     = 2 * time.Second // between empty lines of a watch in which nothing changes
	muteTold = 6 * time.Second // from a watch's falling silent to when what it misses counts as told
)

// Agent tells one proxy the list, over discovery's protocol.
type Agent struct {
	y     *ServerGroup
	proxy int
	ln    net.Listener

	mu      sync.Mutex
	version int64
	due     time.Time // when the last change may be told
	silent  time.Time // nothing is told until then
	muted   time.Time // what open watches missed counts as told from then on
	late    time.Duration
	lateTo  time.Time
	news    chan struct{}     // closed when there is something new
	conns   map[net.Conn]bool // whether it is silent for good
	closed  bool
}

func (group *ServerGroup) agent(proxy int) (*Agent, error) {
	ln, err := group.listen()
	if err != nil {
		return nil, err
	}
	a := &Agent{y: group, proxy: proxy, ln: ln, news: make(chan struct{}), conns: map[net.Conn]bool{}, version: group.Fleet.Version}
	group.work.Add(1)
	go a.accept()
	return a, nil
}

// Addr is where it listens.
func (a *Agent) Addr() string { return a.ln.Addr().String() }

// Silence lets it say nothing for so long.
func (a *Agent) Silence(d time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.silent = time.Now().Add(d)
}

// Delay lets what changes within a time be told so much later.
func (a *Agent) Delay(d, within time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.late, a.lateTo = d, time.Now().Add(within)
}

// Mute has every open watch say nothing more, for good.
func (a *Agent) MuteWatches() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.muted = time.Now().Add(muteTold)
	for nc := range a.conns {
		a.conns[nc] = true
	}
}

// Cut ends every watch, as a network does that loses them.
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
	close(a.news)
	a.news = make(chan struct{})
}

// changed notes a change of the list.
func (a *Agent) changed(version int64, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.version, a.due = version, now.Add(listLag)
	if now.Before(a.lateTo) {
		a.due = a.due.Add(a.late)
	}
	close(a.news)
	a.news = make(chan struct{})
	time.AfterFunc(time.Until(a.due), func() { a.has(version) })
}

// has notes that what the list said at a version counts as told: the agent has it, whether or not anybody watches. While it is silent
// it learns nothing.
func (a *Agent) has(version int64) {
	a.mu.Lock()
	wait, closed := max(time.Until(a.silent), time.Until(a.muted)), a.closed
	a.mu.Unlock()
	switch {
	case closed:
	case wait > 0:
		time.AfterFunc(wait, func() { a.has(version) })
	default:
		a.y.mu.Lock()
		defer a.y.mu.Unlock()
		now := a.y.Now()
		for i, m := range a.y.Fleet.Members[:len(a.y.owners)] {
			if m.State != balance.Ready && !m.ChangedAfter(version) {
				a.y.observer.ProxyNotified(now, a.proxy, i)
			}
		}
	}
}

func (a *Agent) accept() {
	defer a.y.work.Done()
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
		a.y.work.Add(1)
		go a.serve(nc)
	}
}

func (a *Agent) serve(nc net.Conn) {
	defer a.y.work.Done()
	defer func() {
		a.mu.Lock()
		delete(a.conns, nc)
		a.mu.Unlock()
		nc.Close()
	}()
	r := http1.NewReader(nc)
	h, err := r.Request()
	if err != nil {
		return
	}
	path, query, _ := strings.Cut(string(h.Target), "?")
	if path != "/discovery/hosts" {
		fmt.Fprint(nc, "HTTP/1.1 404 x\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
		return
	}
	from, stream := int64(-1), false
	for part := range strings.SplitSeq(query, "&") {
		stream = stream || part == "stream=1"
		if v, ok := strings.CutPrefix(part, "index="); ok {
			if from, err = strconv.ParseInt(v, 10, 64); err != nil {
				from = -1
			}
		}
	}
	gone := make(chan struct{})
	go func() { // ends with the connection
		r.Wait()
		close(gone)
	}()
	if !a.hush(gone) {
		return
	}
	if !stream {
		text, _ := a.list(-1)
		fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
		return
	}
	fmt.Fprint(nc, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")
	for first := true; ; first = false {
		a.mu.Lock()
		news, version, due := a.news, a.version, a.due
		a.mu.Unlock()
		line := "\n"
		if version > from || first {
			if !a.wait(time.Until(due), gone) || !a.hush(gone) {
				return
			}
			if text, now := a.list(from); text != "" {
				line, from = text+"\n", now
			}
		}
		a.mu.Lock()
		mute := a.conns[nc]
		a.mu.Unlock()
		if mute {
			<-gone
			return
		}
		if _, err := fmt.Fprintf(nc, "%x\r\n%s\r\n", len(line), line); err != nil {
			return
		}
		a.mu.Lock()
		fresh := a.version > from
		a.mu.Unlock()
		if fresh {
			continue
		}
		select {
		case <-news:
		case <-gone:
			return
		case <-time.After(beat):
			if !a.hush(gone) {
				return
			}
		}
	}
}

// wait sleeps so long, unless the watch ends.
func (a *Agent) wait(d time.Duration, gone chan struct{}) bool {
	if d <= 0 {
		return true
	}
	select {
	case <-time.After(d):
		return true
	case <-gone:
	case <-a.y.quit:
	}
	return false
}

// hush waits until it may speak.
func (a *Agent) hush(gone chan struct{}) bool {
	for {
		a.mu.Lock()
		d := time.Until(a.silent)
		a.mu.Unlock()
		if d <= 0 {
			return true
		}
		if !a.wait(d, gone) {
			return false
		}
	}
}

// List is the whole list as the proxy would be told it now.
func (a *Agent) List() json.RawMessage {
	text, _ := a.list(-1)
	return json.RawMessage(text)
}

// list is what changed after a version, all for -1, and the version it makes. What it says counts as told.
func (a *Agent) list(from int64) (string, int64) {
	out := discovery.List{Full: from < 0}
	group := a.y
	group.mu.Lock()
	defer group.mu.Unlock()
	out.Version = group.Fleet.Version
	now := group.Now()
	for i, m := range group.Fleet.Members[:len(group.owners)] {
		if !m.ChangedAfter(from) || out.Full && m.State == balance.Removed {
			continue
		}
		e := discovery.Entry{Addr: group.addresses[m.AddressIndex].listeners[a.proxy].addr}
		e.Name, e.ZoneName, e.ModelName, e.Pod, e.State, e.Cores = m.Name, m.Zone, m.Model, m.Pod, m.State, 1
		e.StartedAt = math.Trunc(m.StartedAt()*1000) / 1000
		out.Entries = append(out.Entries, e)
		if m.State != balance.Ready {
			group.observer.ProxyNotified(now, a.proxy, i)
		}
	}
	if from >= out.Version {
		return "", from
	}
	text, err := json.Marshal(out)
	if err == nil && group.IndentLists {
		text, err = json.MarshalIndent(json.RawMessage(text), "", "  ")
	}
	if err != nil {
		panic(err) // of plain numbers and strings
	}
	return string(text), out.Version
}
