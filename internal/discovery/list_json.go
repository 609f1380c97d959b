package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"

	"lockloom/balance"
	"lockloom/internal/settings"
)

// listJSON is a list in the service's form.
type listJSON struct {
	Version *int64      `json:"version"`
	Full    bool        `json:"full"`
	Servers []entryJSON `json:"servers"`
}

// entryJSON is an entry in the service's form.
type entryJSON struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"`
	StartedMs float64 `json:"started_ms"`
	Weight    float64 `json:"weight"`
}

// endpointStates are the states by their published names.
var endpointStates = map[string]balance.EndpointState{
	"active":  balance.Ready,
	"leaving": balance.Draining,
	"left":    balance.Removed,
}

// stateName returns the published name of a state, "" if it has none.
func stateName(state balance.EndpointState) string {
	for name, s := range endpointStates {
		if s == state {
			return name
		}
	}
	return ""
}

// MarshalJSON writes the service's form, without NotifiedAt.
func (l List) MarshalJSON() ([]byte, error) {
	form := listJSON{Version: &l.Version, Full: l.Full, Servers: make([]entryJSON, len(l.Entries))}
	for i, e := range l.Entries {
		form.Servers[i] = entryJSON{
			ID:        e.Name,
			Addr:      e.Addr,
			Zone:      e.ZoneName,
			Kind:      e.ModelName,
			Cell:      e.Pod,
			State:     stateName(e.State),
			StartedMs: e.StartedAt * 1000,
			Weight:    e.Cores,
		}
	}
	return json.Marshal(form)
}

// UnmarshalJSON reads the service's form. It returns an error for a list that cannot be followed: one without a
// version, or with an entry that has no name, no address to connect to, an unknown state or a negative number.
func (l *List) UnmarshalJSON(text []byte) error {
	var form listJSON
	if err := json.Unmarshal(text, &form); err != nil {
		return err
	}
	if form.Version == nil {
		return errors.New("version: missing")
	}
	*l = List{Version: *form.Version, Full: form.Full}
	for _, server := range form.Servers {
		e, err := server.entry()
		if err != nil {
			return err
		}
		l.Entries = append(l.Entries, e)
	}
	return nil
}

// entry returns the entry that a form stands for.
func (f *entryJSON) entry() (Entry, error) {
	state, known := endpointStates[f.State]
	if !known {
		return Entry{}, fmt.Errorf("%q: state: unknown: %q", f.ID, f.State)
	}
	if f.ID == "" {
		return Entry{}, errors.New("id: missing")
	}
	if _, _, err := net.SplitHostPort(f.Addr); err != nil && state != balance.Removed {
		return Entry{}, fmt.Errorf("%q: addr: %w", f.ID, err)
	}
	if f.StartedMs < 0 {
		return Entry{}, fmt.Errorf("%q: started_ms: negative: %v", f.ID, f.StartedMs)
	}
	if f.Weight < 0 {
		return Entry{}, fmt.Errorf("%q: weight: negative: %v", f.ID, f.Weight)
	}
	return Entry{
		Addr: f.Addr,
		Entry: settings.Entry{
			Name:      f.ID,
			ZoneName:  f.Zone,
			ModelName: f.Kind,
			Endpoint: balance.Endpoint{
				Pod:       f.Cell,
				State:     state,
				Cores:     f.Weight,
				StartedAt: f.StartedMs / 1000,
			},
		},
	}, nil
}
