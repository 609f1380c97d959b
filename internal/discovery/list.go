// Package discovery follows the list of servers: lists in discovery's form, and a watch on its changes.
package discovery

import (
	"encoding/json"
	"fmt"
	"net"
	"time"

	"lockloom/balance"
	"lockloom/internal/settings"
)

// List is a list of servers, or the changes of one.
type List struct {
	Version    int64
	Full       bool      // what is missing is gone
	NotifiedAt time.Time // when it may have counted as told at the earliest; zero: when it is taken in
	Entries    []Entry
}

// Entry is a server and where it listens.
type Entry struct {
	settings.Entry
	Addr string
}

// row is an entry in discovery's form.
type row struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"`
	StartedMs float64 `json:"started_ms"`
	Weight    float64 `json:"weight"`
}

// MarshalJSON writes discovery's form.
func (l List) MarshalJSON() ([]byte, error) {
	out := struct {
		Version int64 `json:"version"`
		Full    bool  `json:"full"`
		Servers []row `json:"servers"`
	}{l.Version, l.Full, make([]row, len(l.Entries))}
	for i, e := range l.Entries {
		out.Servers[i] = row{e.Name, e.Addr, e.ZoneName, e.ModelName, e.Pod, "", e.StartedAt * 1000, e.Cores}
		for name, state := range states {
			if state == e.State {
				out.Servers[i].State = name
			}
		}
	}
	return json.Marshal(out)
}

var states = map[string]balance.EndpointState{"active": balance.Ready, "leaving": balance.Draining, "left": balance.Removed}

// UnmarshalJSON reads discovery's form and refuses what cannot be followed.
func (l *List) UnmarshalJSON(text []byte) error {
	var in struct {
		Version *int64 `json:"Version"`
		Full    bool   `json:"Full"`
		Servers []row  `json:"Servers"`
	}
	if err := json.Unmarshal(text, &in); err != nil {
		return err
	}
	if in.Version == nil {
		return fmt.Errorf("version: missing")
	}
	*l = List{Version: *in.Version, Full: in.Full}
	for _, s := range in.Servers {
		e := Entry{Addr: s.Addr}
		e.Name, e.ZoneName, e.ModelName, e.Pod, e.StartedAt = s.ID, s.Zone, s.Kind, s.Cell, s.StartedMs/1000
		e.Cores = s.Weight
		var ok bool
		if e.State, ok = states[s.State]; !ok {
			return fmt.Errorf("%q: state: unknown: %q", s.ID, s.State)
		}
		if s.ID == "" {
			return fmt.Errorf("id: missing")
		}
		if _, _, err := net.SplitHostPort(s.Addr); err != nil && e.State != balance.Removed {
			return fmt.Errorf("%q: addr: %w", s.ID, err)
		}
		if !(s.StartedMs >= 0) {
			return fmt.Errorf("%q: started_ms: negative: %v", s.ID, s.StartedMs)
		}
		if !(s.Weight >= 0) {
			return fmt.Errorf("%q: weight: negative: %v", s.ID, s.Weight)
		}
		l.Entries = append(l.Entries, e)
	}
	return nil
}
