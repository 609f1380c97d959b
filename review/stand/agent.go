package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// entry is a backend of the list.
type entry struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"`
	Weight    float64 `json:"weight"`
	StartedMs int64   `json:"started_ms"`
	changed   int64
}

// agent is the platform's discovery agent: it answers the list and watches, and is silent while discovery is down.
type agent struct {
	addr string
	ln   net.Listener

	mu      sync.Mutex
	version int64
	entries []*entry
	down    bool
	wake    chan struct{}
}

func startAgent(addr string, entries ...*entry) *agent {
	a := &agent{addr: addr, version: 1, entries: entries, wake: make(chan struct{})}
	for _, e := range entries {
		e.changed = 1
	}
	var err error
	a.ln, err = net.Listen("tcp", addr)
	must(err)
	go http.Serve(a.ln, http.HandlerFunc(a.serve))
	return a
}

// known returns the whole list in discovery's form.
func (a *agent) known() object {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.changes(0)
}

func (a *agent) changes(after int64) object {
	servers := []entry{}
	for _, e := range a.entries {
		if e.changed > after && !(after == 0 && e.State == "left") {
			servers = append(servers, *e)
		}
	}
	return object{"version": a.version, "full": after == 0, "servers": servers}
}

// set changes the state of a backend in discovery.
func (a *agent) set(id, state string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.version++
	for _, e := range a.entries {
		if e.ID == id {
			e.State, e.changed = state, a.version
		}
	}
	close(a.wake)
	a.wake = make(chan struct{})
}

// setDown makes discovery be down, or back.
func (a *agent) setDown(down bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.down = down
	close(a.wake)
	a.wake = make(chan struct{})
}

// next returns the change to write after a version, or the channel to wait for.
func (a *agent) next(after int64, first bool) (object, int64, chan struct{}, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.down {
		return nil, after, a.wake, true
	}
	if first || a.version > after {
		return a.changes(after), a.version, nil, false
	}
	return nil, after, a.wake, false
}

func (a *agent) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/discovery/hosts" {
		w.WriteHeader(404)
		return
	}
	after, _ := strconv.ParseInt(r.URL.Query().Get("index"), 10, 64)
	stream := r.URL.Query().Get("stream") != ""
	if !stream {
		after = 0
	}
	for first := true; ; {
		change, version, wait, down := a.next(after, first)
		if change != nil {
			text, _ := json.Marshal(change)
			if _, err := fmt.Fprintf(w, "%s\n", text); err != nil || !stream {
				return
			}
			w.(http.Flusher).Flush()
			first, after = false, version
			continue
		}
		select {
		case <-r.Context().Done():
			return
		case <-wait:
		case <-time.After(2 * time.Second):
			if !down && !first { // silent while discovery is down
				if _, err := fmt.Fprint(w, "\n"); err != nil {
					return
				}
				w.(http.Flusher).Flush()
			}
		}
	}
}
