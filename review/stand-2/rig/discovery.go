package rig

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// heartbeat is the interval of the empty lines of a watch.
const heartbeat = 2 * time.Second

// Entry is an entry of the list of backends.
type Entry struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"`
	Weight    float64 `json:"weight"`
	StartedMs int64   `json:"started_ms"`
}

// change is one line of a watch.
type change struct {
	Version int     `json:"version"`
	Full    bool    `json:"full"`
	Servers []Entry `json:"servers"`
}

// Discovery is the agent on the proxy's machine. It answers at once with what it has been sent.
type Discovery struct {
	listener net.Listener
	record   *Record

	mu      sync.Mutex
	changed *sync.Cond
	list    []Entry
	changes []change // changes[i] leads to version i+2
	crowded bool     // calls are let wait for crowdWait and then turned away
	crowds  int      // how often that has begun, or Slow was called: a watch from before ends

	slow time.Duration // that writing a list takes
}

// crowdWait is how long a call waits where discovery is crowded.
const crowdWait = 700 * time.Millisecond

// Crowd makes discovery crowded, which also ends all watches, or ends that.
func (d *Discovery) Crowd(crowded bool) {
	d.mu.Lock()
	if d.crowded = crowded; crowded {
		d.crowds++
	}
	d.mu.Unlock()
	d.changed.Broadcast()
	d.record.Line("discovery is crowded: %v", crowded)
}

// Slow ends all watches. From then on each list is the whole one, and writing it takes a time; 0: as before.
func (d *Discovery) Slow(takes time.Duration) {
	d.mu.Lock()
	d.slow = takes
	d.crowds++
	d.mu.Unlock()
	d.changed.Broadcast()
	d.record.Line("discovery ends all watches; writing a list takes %v", takes)
}

// slowness returns how long writing a list takes.
func (d *Discovery) slowness() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.slow
}

// writeChunk writes a line of a watch as a chunk, in pieces if discovery is slow.
func (d *Discovery) writeChunk(conn net.Conn, line string) error {
	const pieces = 40
	text := fmt.Sprintf("%x\r\n%s\r\n", len(line), line)
	slow := d.slowness()
	if slow == 0 || len(line) < 2*pieces {
		_, err := io.WriteString(conn, text)
		return err
	}
	for size := len(text)/pieces + 1; len(text) > 0; text = text[min(size, len(text)):] {
		if _, err := io.WriteString(conn, text[:min(size, len(text))]); err != nil {
			return err
		}
		time.Sleep(slow / pieces)
	}
	d.record.Line("discovery has written a list of %d bytes to %s", len(line), conn.RemoteAddr())
	return nil
}

// turnedAway reports whether a call is turned away, after letting it wait, and which crowds were before it.
func (d *Discovery) turnedAway() (away bool, crowds int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.crowded {
		return false, d.crowds
	}
	d.mu.Unlock()
	time.Sleep(crowdWait)
	d.mu.Lock()
	return true, d.crowds
}

// NewDiscovery starts an agent that has version 1 of the list.
func NewDiscovery(record *Record, list []Entry) *Discovery {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		Fatal("discovery: %v", err)
	}
	d := &Discovery{listener: ln, record: record, list: list}
	d.changed = sync.NewCond(&d.mu)
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go d.serve(conn)
		}
	}()
	return d
}

// Addr returns the agent's address.
func (d *Discovery) Addr() string { return d.listener.Addr().String() }

// Known returns the whole list, as the platform hands it to a proxy that starts.
func (d *Discovery) Known() any {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.full()
}

func (d *Discovery) full() change {
	return change{Version: 1 + len(d.changes), Full: true, Servers: append([]Entry{}, d.list...)}
}

// Set changes the entry of a backend and tells it on all open watches. It returns when that was written, at the latest.
func (d *Discovery) Set(entry Entry) time.Time {
	d.mu.Lock()
	for i := range d.list {
		if d.list[i].ID == entry.ID {
			d.list = append(d.list[:i:i], d.list[i+1:]...)
			break
		}
	}
	if entry.State != "left" {
		d.list = append(d.list, entry)
	}
	d.changes = append(d.changes, change{Version: 2 + len(d.changes), Servers: []Entry{entry}})
	d.mu.Unlock()
	d.changed.Broadcast()
	time.Sleep(5 * time.Millisecond)
	d.record.Line("discovery tells: %s is %s", entry.ID, entry.State)
	return time.Now()
}

// serve answers one call.
func (d *Discovery) serve(conn net.Conn) {
	defer conn.Close()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	if !strings.Contains(request.URL.RawQuery, "stream=1") {
		text, _ := json.Marshal(d.Known())
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
		return
	}
	away, crowds := d.turnedAway()
	d.record.Line("discovery gets a call from %s, turned away: %v", conn.RemoteAddr(), away)
	if away {
		fmt.Fprint(conn, "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
		return
	}
	version := 0
	_, _ = fmt.Sscan(request.URL.Query().Get("index"), &version)
	if _, err := fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"); err != nil {
		return
	}
	stop := make(chan struct{})
	defer close(stop)
	go func() { // wakes the loop below for its empty lines
		for {
			select {
			case <-stop:
				return
			case <-time.After(heartbeat):
				d.changed.Broadcast()
			}
		}
	}()
	for first := true; ; first = false {
		line, next := d.next(version, first)
		if d.crowdedSince(crowds) {
			return
		}
		version = next
		if err := d.writeChunk(conn, line); err != nil {
			return
		}
	}
}

// crowdedSince reports whether a crowd has begun after so many.
func (d *Discovery) crowdedSince(crowds int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.crowds != crowds
}

// next returns the next line of a watch whose proxy has a version, and the version after it.
func (d *Discovery) next(version int, first bool) (line string, next int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	current := func() int { return 1 + len(d.changes) }
	if !first && version == current() {
		d.changed.Wait()
	}
	var value any
	switch {
	case version < 1 || version > current() || first && d.slow > 0:
		value = d.full()
	case version == current() && !first:
		return "\n", version
	case version == current():
		value = change{Version: version, Servers: []Entry{}}
	default:
		value = d.changes[version-1]
		text, _ := json.Marshal(value)
		return string(text) + "\n", version + 1
	}
	text, _ := json.Marshal(value)
	return string(text) + "\n", current()
}
