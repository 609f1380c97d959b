package rig

import (
	"bufio"
	"encoding/json"
	"fmt"
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
		version = next
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(line), line); err != nil {
			return
		}
	}
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
	case version < 1 || version > current():
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
