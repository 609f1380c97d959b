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

// statusTimeout bounds the time to read a status request's header, and that an idle connection stays open.
const statusTimeout = time.Second

// The variants of the protocol as the status page names them.
const (
	protocolDelta           = "delta"
	protocolStateOfTheWorld = "world"
)

// SubscriberStatus is what one subscriber has, as the status page shows it.
type SubscriberStatus struct {
	ID          string           `json:"id"`
	Cluster     string           `json:"cluster,omitempty"`
	Zone        string           `json:"zone,omitempty"`
	Peer        string           `json:"peer"` // its address
	Protocol    string           `json:"way"`  // delta, or world for state of the world
	ConnectedAt time.Time        `json:"since"`
	Resources   []ResourceStatus `json:"holds"`
	NackDetail  string           `json:"detail,omitempty"` // of the last nack
}

// ResourceStatus is what a subscriber has of one resource type.
type ResourceStatus struct {
	Type           string   `json:"type"`
	NameCount      int      `json:"names"` // names subscribed to; -1: all
	Version        string   `json:"version"`
	UpToDate       bool     `json:"newest"`
	UnackedSeconds float64  `json:"waits"` // since when a response is unacknowledged; 0: none is
	Nacked         []string `json:"refused,omitempty"`
	NackCount      int      `json:"refusals"`
}

// ServeStatus answers GET /subscribers with a list of SubscriberStatus in JSON, until Stop. It has no access control:
// serve it on loopback only.
func (s *Service) ServeStatus(ln net.Listener) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /subscribers", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(s.Subscribers()) // it fails only when the client has gone
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

// status returns what the subscriber has of the type, without the type's name and the time of the last response.
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
