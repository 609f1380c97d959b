package controlplane

import (
	"encoding/json"
	"errors"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"
)

// statusTimeout limits the time to read a status request's header, and the time that an idle connection stays open.
const statusTimeout = time.Second

// The variants of the protocol as the status page names them.
const (
	protocolDelta           = "delta"
	protocolStateOfTheWorld = "world"
)

// SubscriberStatus describes one subscriber on the status page: its identity and the resources that it has.
type SubscriberStatus struct {
	ID          string           `json:"id"`
	Cluster     string           `json:"cluster,omitempty"`
	Zone        string           `json:"zone,omitempty"`
	Peer        string           `json:"peer"` // network address
	Protocol    string           `json:"way"`  // delta, or world for state-of-the-world
	ConnectedAt time.Time        `json:"since"`
	Resources   []ResourceStatus `json:"holds"`
	NackDetail  string           `json:"detail,omitempty"` // error message of the last nack
}

// ResourceStatus is the state of a subscriber's resources of one type.
type ResourceStatus struct {
	Type           string   `json:"type"`
	NameCount      int      `json:"names"`             // number of names subscribed to; -1: all
	Version        string   `json:"version"`           // of the resources last sent
	UpToDate       bool     `json:"newest"`            // Version is current and no response is outstanding
	UnackedSeconds float64  `json:"waits"`             // how long responses have been outstanding; 0: none is
	Nacked         []string `json:"refused,omitempty"` // names whose current version the subscriber nacked
	NackCount      int      `json:"refusals"`          // on this stream
}

// ServeStatus answers GET /subscribers with a list of SubscriberStatus in JSON, until Stop. It has no access control:
// serve it on loopback only.
func (s *Service) ServeStatus(ln net.Listener) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /subscribers", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(s.Subscribers()) // fails only if the client has disconnected
	})
	server := &http.Server{Handler: mux, ReadHeaderTimeout: statusTimeout, IdleTimeout: statusTimeout}
	served, closed := make(chan struct{}), make(chan error, 1)
	go func() {
		select {
		case <-s.lifecycle.quit:
		case <-served:
		}
		closed <- server.Close()
	}()
	err := server.Serve(ln)
	close(served)
	closeErr := <-closed
	if !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return closeErr
}

// Subscribers returns the status of all subscribers, ordered by id and address.
func (s *Service) Subscribers() []SubscriberStatus {
	s.mu.Lock()
	subscribers := slices.Collect(maps.Keys(s.subscribers))
	s.mu.Unlock()
	statuses := make([]SubscriberStatus, 0, len(subscribers))
	for _, sub := range subscribers {
		statuses = append(statuses, sub.status())
	}
	slices.SortFunc(statuses, func(a, b SubscriberStatus) int { return strings.Compare(a.ID+a.Peer, b.ID+b.Peer) })
	return statuses
}

func (sub *subscriber) status() SubscriberStatus {
	current := sub.currentResources()
	sub.mu.Lock()
	defer sub.mu.Unlock()
	result := SubscriberStatus{
		ID:          sub.node.GetId(),
		Cluster:     sub.node.GetCluster(),
		Zone:        sub.viewer.zone,
		Peer:        sub.peer,
		Protocol:    protocolStateOfTheWorld,
		ConnectedAt: sub.connectedAt,
		NackDetail:  sub.nackDetail,
	}
	if sub.delta {
		result.Protocol = protocolDelta
	}
	for i, state := range sub.subscriptions {
		if state == nil {
			continue
		}
		status := state.status(current[i])
		status.Type = resourceType(i).String()
		if since := sub.unackedSince[i]; !since.IsZero() {
			status.UnackedSeconds = time.Since(since).Seconds()
		}
		result.Resources = append(result.Resources, status)
	}
	return result
}

// status returns the status of the subscription, without Type and UnackedSeconds, which it does not know.
func (s *subscription) status(current map[string]*resource) ResourceStatus {
	version := s.sentVersion(current)
	return ResourceStatus{
		NameCount: s.nameCount(),
		Version:   version,
		UpToDate:  s.outstandingCount() == 0 && version == s.currentVersion(current),
		Nacked:    s.nackedNames(current),
		NackCount: s.nackCount,
	}
}
