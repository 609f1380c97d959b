package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"

	"lockloom/balance"
	"lockloom/internal/settings"
)

// listJSON is a List in the JSON format of the discovery service.
type listJSON struct {
	Version *int64      `json:"version"`
	Full    bool        `json:"full"`
	Servers []entryJSON `json:"servers"`
}

// entryJSON is an Entry in the JSON format of the discovery service.
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

// endpointStates maps the names of states in JSON to the states.
var endpointStates = map[string]balance.EndpointState{
	"active":  balance.Ready,
	"leaving": balance.Draining,
	"left":    balance.Removed,
}

// stateName returns the name of a state in JSON, or "" if it has none.
func stateName(state balance.EndpointState) string {
	for name, s := range endpointStates {
		if s == state {
			return name
		}
	}
	return ""
}

// MarshalJSON encodes the list in the format of the discovery service, which omits NotifiedAt.
func (l List) MarshalJSON() ([]byte, error) {
	encoded := listJSON{Version: &l.Version, Full: l.Full, Servers: make([]entryJSON, len(l.Entries))}
	for i, e := range l.Entries {
		encoded.Servers[i] = entryJSON{
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
	return json.Marshal(encoded)
}

// UnmarshalJSON decodes the format of the discovery service. It returns an error for a list without a version, or with
// an entry that has no ID, no address to connect to, an unknown state or a negative number.
func (l *List) UnmarshalJSON(text []byte) error {
	var decoded listJSON
	if err := json.Unmarshal(text, &decoded); err != nil {
		return err
	}
	if decoded.Version == nil {
		return errors.New("version: missing")
	}
	*l = List{Version: *decoded.Version, Full: decoded.Full}
	for _, server := range decoded.Servers {
		e, err := server.entry()
		if err != nil {
			return err
		}
		l.Entries = append(l.Entries, e)
	}
	return nil
}

// entry converts an entry from its JSON format.
func (j *entryJSON) entry() (Entry, error) {
	state, known := endpointStates[j.State]
	if !known {
		return Entry{}, fmt.Errorf("endpoint %q: state: unknown: %q", j.ID, j.State)
	}
	if j.ID == "" {
		return Entry{}, errors.New("endpoint: id: missing")
	}
	if _, _, err := net.SplitHostPort(j.Addr); err != nil && state != balance.Removed {
		return Entry{}, fmt.Errorf("endpoint %q: addr: %w", j.ID, err)
	}
	if j.StartedMs < 0 {
		return Entry{}, fmt.Errorf("endpoint %q: started_ms: negative: %v", j.ID, j.StartedMs)
	}
	if j.Weight < 0 {
		return Entry{}, fmt.Errorf("endpoint %q: weight: negative: %v", j.ID, j.Weight)
	}
	return Entry{
		Addr: j.Addr,
		Entry: settings.Entry{
			Name:      j.ID,
			ZoneName:  j.Zone,
			ModelName: j.Kind,
			Endpoint: balance.Endpoint{
				Pod:       j.Cell,
				State:     state,
				Cores:     j.Weight,
				StartedAt: j.StartedMs / 1000,
			},
		},
	}, nil
}
