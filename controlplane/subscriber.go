package controlplane

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	core "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"
)

// front is the published service.
type front struct {
	discovery.UnimplementedAggregatedDiscoveryServiceServer
	s *Service
}

// subscriber is one stream. Its ledgers are its own goroutine's; mu guards them for those who ask what it holds.
type subscriber struct {
	s      *Service
	delta  bool
	peer   string
	since  time.Time
	viewer viewer // settled with the first request, before it enters

	mu           sync.Mutex
	node         *core.Node
	ledgers      [typeCount]*subscription
	unackedSince [typeCount]time.Time // since when answers are unacknowledged; zero: none is
	detail       string               // of the last refusal

	kick   chan struct{}
	hurry  sync.Mutex
	urgent bool
}

// look has a subscriber see what there is to send. It does not wait.
func (sub *subscriber) look(urgent bool) {
	sub.hurry.Lock()
	sub.urgent = sub.urgent || urgent
	sub.hurry.Unlock()
	select {
	case sub.kick <- struct{}{}:
	default:
	}
}

// ask is a request in either way of the protocol.
type ask struct {
	node    *core.Node
	url     string
	nonce   string
	refused string // the detail; only with bad
	bad     bool
	version string            // state of the world: what it holds
	names   []string          // and asks for
	add     []string          // differences
	drop    []string          //
	holds   map[string]string // versions by name, of another stream
}

func (f front) StreamAggregatedResources(st discovery.AggregatedDiscoveryService_StreamAggregatedResourcesServer) error {
	return f.s.subscribe(st.Context(), false, func() (*ask, error) {
		r, err := st.Recv()
		if err != nil {
			return nil, err
		}
		return &ask{node: r.Node, url: r.TypeUrl, nonce: r.ResponseNonce, version: r.VersionInfo, names: r.ResourceNames,
			bad: r.ErrorDetail != nil, refused: r.ErrorDetail.GetMessage()}, nil
	}, func(kind int, version string, a *response) error {
		out := &discovery.DiscoveryResponse{TypeUrl: typeURLs[kind], VersionInfo: version, Nonce: f.s.nonce(a.nonce)}
		for _, r := range a.resources {
			out.Resources = append(out.Resources, body(r))
		}
		return st.Send(out)
	})
}

func (f front) DeltaAggregatedResources(st discovery.AggregatedDiscoveryService_DeltaAggregatedResourcesServer) error {
	return f.s.subscribe(st.Context(), true, func() (*ask, error) {
		r, err := st.Recv()
		if err != nil {
			return nil, err
		}
		return &ask{node: r.Node, url: r.TypeUrl, nonce: r.ResponseNonce, add: r.ResourceNamesSubscribe, drop: r.ResourceNamesUnsubscribe,
			holds: r.InitialResourceVersions, bad: r.ErrorDetail != nil, refused: r.ErrorDetail.GetMessage()}, nil
	}, func(kind int, version string, a *response) error {
		out := &discovery.DeltaDiscoveryResponse{TypeUrl: typeURLs[kind], SystemVersionInfo: version, Nonce: f.s.nonce(a.nonce), RemovedResources: a.removedNames}
		for _, r := range a.resources {
			out.Resources = append(out.Resources, &discovery.Resource{Name: r.name, Version: f.s.version(r.version), Resource: body(r)})
		}
		return st.Send(out)
	})
}

// versions is a version as it is told: what follows from the content, and the run.
func (s *Service) version(of string) string { return of + "-" + s.run }

// content is the part of a told version that follows from the content, whichever run told it.
func content(version string) string {
	of, _, _ := strings.Cut(version, "-")
	return of
}

func (s *Service) nonce(n uint64) string { return strconv.FormatUint(n, 10) + "-" + s.run }

// subscribe serves one stream.
func (s *Service) subscribe(ctx context.Context, delta bool, recv func() (*ask, error), send func(kind int, version string, a *response) error) error {
	pools, err := s.allowed(ctx)
	if err != nil {
		return status.Error(codes.PermissionDenied, err.Error())
	}
	first, err := recv()
	if err != nil {
		return err
	}
	sub := &subscriber{s: s, delta: delta, since: time.Now(), kick: make(chan struct{}, 1), node: first.node,
		viewer: viewer{zone: first.node.GetLocality().GetZone(), pools: s.subsetPools(pools, first.node)}}
	if p, ok := peer.FromContext(ctx); ok {
		sub.peer = p.Addr.String()
	}
	if err := s.enter(sub); err != nil {
		return status.Error(codes.ResourceExhausted, err.Error())
	}
	defer s.leave(sub)
	select { // danger: before a pool was seen it has no endpoints, and a subscriber that holds some would be told that they are gone
	case <-s.seen:
	case <-ctx.Done():
		return nil
	case <-s.quit:
		return status.Error(codes.Unavailable, "stopping")
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	asks, ended := make(chan *ask), make(chan error, 1)
	go func() {
		for next := first; ; {
			select {
			case asks <- next:
			case <-ctx.Done():
				return
			}
			var err error
			if next, err = recv(); err != nil {
				ended <- err
				return
			}
		}
	}()
	look := time.NewTicker(lookEvery)
	defer look.Stop()
	for {
		select {
		case a := <-asks:
			if err := sub.take(a); err != nil {
				return err
			}
		case <-sub.kick:
		case <-look.C:
			if kind, late := sub.overdueAck(); late {
				return status.Errorf(codes.Aborted, "%s: nothing acknowledged for %v", typeURLs[kind], ackTimeout)
			}
		case <-ended:
			return nil
		case <-ctx.Done():
			return nil
		case <-s.quit:
			return status.Error(codes.Unavailable, "stopping")
		}
		if err := sub.tell(ctx, send); err != nil {
			return err
		}
	}
}

// accept takes in a request.
func (sub *subscriber) take(a *ask) error {
	kind := slices.Index(typeURLs[:], a.url)
	if kind < 0 { // nothing of that type is told
		return nil
	}
	current := sub.current()
	sub.mu.Lock()
	defer sub.mu.Unlock()
	l := sub.ledgers[kind]
	begins := l == nil
	if begins {
		l = newSubscription(sub.delta, kind == typeCluster || kind == typeListener)
		sub.ledgers[kind] = l
	}
	latest := true
	if n, run, ok := strings.Cut(a.nonce, "-"); ok && run == sub.s.run && !begins {
		number, _ := strconv.ParseUint(n, 10, 64)
		if a.bad {
			var changed []string
			changed, latest = l.nack(number)
			sub.detail = a.refused
			sub.s.log.WithFields(logrus.Fields{"subscriber": sub.node.GetId(), "type": typeURLs[kind], "changed": changed, "detail": a.refused}).
				Warn("refused: the last good version stands there")
		} else {
			latest = l.ack(number)
		}
		if l.outstandingCount() == 0 {
			sub.unackedSince[kind] = time.Time{}
		}
	}
	switch {
	case sub.delta:
		if begins {
			holds := make(map[string]string, len(a.holds))
			for name, version := range a.holds {
				holds[name] = content(version)
			}
			l.setInitialVersions(holds)
			if len(a.add) == 0 && l.fullState { // as older subscribers ask for all
				a.add = []string{"*"}
			}
		}
		l.updateNames(a.add, a.drop)
	case latest: // what was asked for before the last answer came will be asked for again
		l.setNames(len(a.names) == 0 && l.fullState || slices.Contains(a.names, "*"), slices.DeleteFunc(slices.Clone(a.names), func(n string) bool { return n == "*" }))
		if begins && a.version != "" && content(a.version) == l.currentVersion(current[kind]) {
			l.setInitialState(current[kind])
		}
	}
	if l.nameCount() > maxNames {
		return status.Errorf(codes.InvalidArgument, "%s: more than %d names", a.url, maxNames)
	}
	return nil
}

// current is what this subscriber is to hold.
func (sub *subscriber) current() *resourceSet {
	sub.s.mu.Lock()
	defer sub.s.mu.Unlock()
	return sub.s.sees(sub.viewer)
}

// tell sends what there is to send: what is added in an order in which nothing refers to what comes later, and what is taken away once
// nothing refers to it any more. Danger: a cluster that goes before the routes to it fails what they still send there.
func (sub *subscriber) tell(ctx context.Context, send func(kind int, version string, a *response) error) error {
	sub.hurry.Lock()
	urgent := sub.urgent
	sub.urgent = false
	sub.hurry.Unlock()
	current := sub.current()
	for _, kind := range []int{typeCluster, typeEndpoint, typeListener, typeRoute, typeCluster, typeEndpoint} {
		sub.mu.Lock()
		l := sub.ledgers[kind]
		if l == nil {
			sub.mu.Unlock()
			continue
		}
		keep := kind < typeListener && (sub.out(typeListener) || sub.out(typeRoute) || sub.ahead(current))
		a := l.nextResponse(current[kind], urgent && kind == typeEndpoint, keep)
		version := ""
		if a != nil {
			version = sub.s.version(l.sentVersion(current[kind]))
			if sub.unackedSince[kind].IsZero() {
				sub.unackedSince[kind] = time.Now()
			}
		}
		sub.mu.Unlock()
		if a == nil {
			continue
		}
		if err := sendWithTimeout(ctx, func() error { return send(kind, version, a) }); err != nil {
			return err
		}
	}
	return nil
}

func (sub *subscriber) out(kind int) bool {
	return sub.ledgers[kind] != nil && sub.ledgers[kind].outstandingCount() > 0
}

// ahead tells whether listeners or routes are yet to be told.
func (sub *subscriber) ahead(current *resourceSet) bool {
	for _, kind := range []int{typeListener, typeRoute} {
		if l := sub.ledgers[kind]; l != nil && len(l.nackedNames(current[kind])) == 0 && l.sentVersion(current[kind]) != l.currentVersion(current[kind]) {
			return true
		}
	}
	return false
}

// sendWithTimeout has a send end in time. Danger: a subscriber that does not read would keep the newest from itself, and its stream for ever.
func sendWithTimeout(ctx context.Context, send func() error) error {
	done := make(chan error, 1)
	go func() { done <- send() }()
	timer := time.NewTimer(sendTimeout)
	defer timer.Stop()
	select {
	case err := <-done:
		return err
	case <-timer.C:
		return status.Errorf(codes.Aborted, "nothing read for %v", sendTimeout)
	case <-ctx.Done():
		return ctx.Err()
	}
}

// overdueAck tells whether the subscriber has left an answer unacknowledged for too long.
func (sub *subscriber) overdueAck() (kind int, late bool) {
	sub.mu.Lock()
	defer sub.mu.Unlock()
	for kind, since := range sub.unackedSince {
		if !since.IsZero() && time.Since(since) > ackTimeout {
			return kind, true
		}
	}
	return 0, false
}

// SubscriberStatus is what a subscriber holds, for those who ask.
type SubscriberStatus struct {
	ID          string           `json:"id"`
	Cluster     string           `json:"cluster,omitempty"`
	Zone        string           `json:"zone,omitempty"`
	Peer        string           `json:"peer"`
	Protocol    string           `json:"way"` // delta, or world
	ConnectedAt time.Time        `json:"since"`
	Resources   []ResourceStatus `json:"holds"`
	NackDetail  string           `json:"detail,omitempty"` // of its last refusal
}

// ResourceStatus is what it holds of one type.
type ResourceStatus struct {
	Type           string   `json:"type"`
	NameCount      int      `json:"names"` // asked for; -1: all
	Version        string   `json:"version"`
	UpToDate       bool     `json:"newest"`
	UnackedSeconds float64  `json:"waits"` // s for an acknowledgement
	Nacked         []string `json:"refused,omitempty"`
	NackCount      int      `json:"refusals"`
}

var typeNames = [typeCount]string{"clusters", "endpoints", "listeners", "routes"}

// Subscribers tells who holds what, by id.
func (s *Service) Subscribers() []SubscriberStatus {
	s.mu.Lock()
	all := slices.Collect(maps.Keys(s.subscribers))
	s.mu.Unlock()
	rows := make([]SubscriberStatus, 0, len(all))
	for _, sub := range all {
		current := sub.current()
		sub.mu.Lock()
		r := SubscriberStatus{ID: sub.node.GetId(), Cluster: sub.node.GetCluster(), Zone: sub.viewer.zone, Peer: sub.peer, Protocol: "world", ConnectedAt: sub.since, NackDetail: sub.detail}
		if sub.delta {
			r.Protocol = "delta"
		}
		for kind, l := range sub.ledgers {
			if l == nil {
				continue
			}
			h := ResourceStatus{Type: typeNames[kind], NameCount: l.nameCount(), Version: l.sentVersion(current[kind]), Nacked: l.nackedNames(current[kind]), NackCount: l.nackCount}
			h.UpToDate = l.outstandingCount() == 0 && h.Version == l.currentVersion(current[kind])
			if w := sub.unackedSince[kind]; !w.IsZero() {
				h.UnackedSeconds = time.Since(w).Seconds()
			}
			r.Resources = append(r.Resources, h)
		}
		sub.mu.Unlock()
		rows = append(rows, r)
	}
	slices.SortFunc(rows, func(a, b SubscriberStatus) int { return strings.Compare(a.ID+a.Peer, b.ID+b.Peer) })
	return rows
}

// restrictToPools is what is left of the fixed resources for a subscriber that may see these pools.
func restrictToPools(all resourceSet, pools []string) resourceSet {
	var out resourceSet
	for kind := range all {
		out[kind] = maps.Clone(all[kind])
	}
	for name := range all[typeCluster] {
		if !slices.Contains(pools, name) {
			delete(out[typeCluster], name)
			delete(out[typeListener], poolPrefix+name)
			delete(out[typeRoute], poolPrefix+name)
		}
	}
	if r := all[typeRoute][allRoutesName]; r != nil {
		if table := without(body(r), pools); table != nil {
			out.add(typeRoute, allRoutesName, r.onDemand, table)
		}
	}
	return out
}
