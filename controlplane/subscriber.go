package controlplane

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	core "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"
)

const (
	maxNames              = 10_000 // per resource type and stream
	defaultMaxSubscribers = 2_000  // if the operator file sets no limit
)

// subscriber is the state of one discovery stream. Only the stream's goroutine changes it.
type subscriber struct {
	service     *Service
	delta       bool
	peer        string
	connectedAt time.Time
	node        *core.Node
	viewer      viewer
	wakeup      wakeup

	mu            sync.Mutex // guards the fields below, which the status page reads
	subscriptions [typeCount]*subscription
	unackedSince  [typeCount]time.Time // since when responses are outstanding; zero: none is
	nackDetail    string               // error message of the last nack
}

// wakeup notifies a subscriber's goroutine that there may be changes to send.
type wakeup struct {
	signal chan struct{} // has capacity 1
	mu     sync.Mutex
	urgent bool
}

// notify signals that there may be changes to send, and whether any of them is urgent, that is, does not wait for the
// acknowledgement of earlier responses. It does not block.
func (w *wakeup) notify(urgent bool) {
	w.mu.Lock()
	w.urgent = w.urgent || urgent
	w.mu.Unlock()
	select {
	case w.signal <- struct{}{}:
	default:
	}
}

// takeUrgent reports whether any notification since the last call was urgent.
func (w *wakeup) takeUrgent() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	urgent := w.urgent
	w.urgent = false
	return urgent
}

// newSubscriber returns the subscriber of a stream whose first request came from node.
func (s *Service) newSubscriber(ctx context.Context, delta bool, allowed poolFilter, node *core.Node) *subscriber {
	sub := &subscriber{
		service:     s,
		delta:       delta,
		connectedAt: time.Now(),
		node:        node,
		viewer:      viewer{zone: node.GetLocality().GetZone(), pools: s.subsetPools(allowed, node)},
		wakeup:      wakeup{signal: make(chan struct{}, 1)},
	}
	if p, ok := peer.FromContext(ctx); ok {
		sub.peer = p.Addr.String()
	}
	return sub
}

// addSubscriber adds a subscriber, or returns an error if there are too many.
func (s *Service) addSubscriber(sub *subscriber) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	limit := cmp.Or(s.config.ControlPlane.Subscribers, defaultMaxSubscribers)
	if len(s.subscribers) >= limit {
		return fmt.Errorf("%d subscribers: no more are taken", limit)
	}
	s.subscribers[sub] = true
	return nil
}

func (s *Service) removeSubscriber(sub *subscriber) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.subscribers, sub)
}

// currentResources returns the resources that the subscriber should have now.
func (sub *subscriber) currentResources() *resourceSet {
	sub.service.mu.Lock()
	defer sub.service.mu.Unlock()
	return sub.service.view(sub.viewer)
}

// handleRequest processes a request: an acknowledgement or a nack, a change of the subscribed names, or both.
func (sub *subscriber) handleRequest(r *request) error {
	kind, ok := parseTypeURL(r.typeURL)
	if !ok { // the service has no resources of that type
		return nil
	}
	current := sub.currentResources()[kind]
	sub.mu.Lock()
	defer sub.mu.Unlock()
	state := sub.subscriptions[kind]
	isFirst := state == nil
	if isFirst {
		state = newSubscription(sub.delta, kind.hasFullState())
		sub.subscriptions[kind] = state
	}
	latest := true
	if nonce, ok := sub.service.run.parseNonce(r.nonce); ok && !isFirst {
		latest = sub.handleReply(kind, nonce, r)
	}
	switch {
	case sub.delta:
		state.applyDeltaRequest(r, isFirst)
	case latest: // otherwise the names are outdated: the reply to the last response will contain the newest
		state.applyStateRequest(r, isFirst, current)
	}
	if state.nameCount() > maxNames {
		return status.Errorf(codes.InvalidArgument, "%s: more than %d names", r.typeURL, maxNames)
	}
	return nil
}

// handleReply processes an acknowledgement or a nack. It reports whether that was for the last response sent.
func (sub *subscriber) handleReply(kind resourceType, nonce uint64, r *request) (latest bool) {
	state := sub.subscriptions[kind]
	if r.nack {
		var changed []string
		changed, latest = state.nack(nonce)
		sub.nackDetail = r.nackDetail
		sub.service.log.WithFields(logrus.Fields{
			"subscriber": sub.node.GetId(),
			"type":       kind.url(),
			"changed":    changed,
			"detail":     r.nackDetail,
		}).Warn("response nacked by a subscriber: it keeps the last acknowledged versions")
	} else {
		latest = state.ack(nonce)
	}
	if state.outstandingCount() == 0 {
		sub.unackedSince[kind] = time.Time{}
	}
	return latest
}

// applyDeltaRequest applies the names in a request of the delta protocol. From the first request of a stream it also
// takes the versions that the subscriber has.
func (s *subscription) applyDeltaRequest(r *request, isFirst bool) {
	subscribe := r.subscribe
	if isFirst {
		versions := make(map[string]string, len(r.initial))
		for name, version := range r.initial {
			versions[name] = contentVersion(version)
		}
		s.setInitialVersions(versions)
		if len(subscribe) == 0 && s.fullState { // older subscribers request all resources this way
			subscribe = []string{wildcard}
		}
	}
	s.updateNames(subscribe, r.unsubscribe)
}

// applyStateRequest applies the names in a request of the state-of-the-world protocol. From the first request of a
// stream it also takes the version that the subscriber has.
func (s *subscription) applyStateRequest(r *request, isFirst bool, current map[string]*resource) {
	all := len(r.names) == 0 && s.fullState || slices.Contains(r.names, wildcard)
	names := slices.DeleteFunc(slices.Clone(r.names), func(name string) bool { return name == wildcard })
	s.setNames(all, names)
	if isFirst && r.version != "" && contentVersion(r.version) == s.currentVersion(current) {
		s.setInitialState(current)
	}
}

// sendOrder is the order in which changes are sent. New clusters and endpoints are sent before the listeners and routes
// that refer to them. They are removed only once no listener or route refers to them, since requests on a route to a
// removed cluster would fail. So both types come a second time, at the end.
var sendOrder = []resourceType{typeCluster, typeEndpoint, typeListener, typeRoute, typeCluster, typeEndpoint}

// sendChanges sends the responses of all types that are to be sent now.
func (sub *subscriber) sendChanges(ctx context.Context, st stream) error {
	urgent := sub.wakeup.takeUrgent()
	current := sub.currentResources()
	for _, kind := range sendOrder {
		next, version := sub.nextResponse(kind, current, urgent)
		if next == nil {
			continue
		}
		send := func() error { return st.send(kind, version, next) }
		if err := sendWithTimeout(ctx, send); err != nil {
			return err
		}
	}
	return nil
}

// nextResponse returns the response of a type to send now, or nil, and its version.
func (sub *subscriber) nextResponse(
	kind resourceType, current *resourceSet, urgent bool,
) (next *response, version string) {
	sub.mu.Lock()
	defer sub.mu.Unlock()
	state := sub.subscriptions[kind]
	if state == nil {
		return nil, ""
	}
	next = state.nextResponse(current[kind], urgent && kind == typeEndpoint, sub.mustKeepRemoved(kind, current))
	if next == nil {
		return nil, ""
	}
	if sub.unackedSince[kind].IsZero() {
		sub.unackedSince[kind] = time.Now()
	}
	return next, sub.service.run.version(state.sentVersion(current[kind]))
}

// mustKeepRemoved reports whether the subscriber's listeners or routes may still refer to removed resources of a type,
// because changes of these listeners or routes are not sent or not acknowledged yet.
func (sub *subscriber) mustKeepRemoved(kind resourceType, current *resourceSet) bool {
	if kind != typeCluster && kind != typeEndpoint {
		return false
	}
	for _, referrer := range []resourceType{typeListener, typeRoute} {
		state := sub.subscriptions[referrer]
		if state == nil {
			continue
		}
		if state.outstandingCount() > 0 || state.hasUnsentChanges(current[referrer]) {
			return true
		}
	}
	return false
}

// hasUnsentChanges reports whether changes are still to be sent, other than those that the subscriber nacked.
func (s *subscription) hasUnsentChanges(current map[string]*resource) bool {
	return len(s.nackedNames(current)) == 0 && s.sentVersion(current) != s.currentVersion(current)
}

// overdueAck reports whether responses of a type have been outstanding for longer than ackTimeout, and of which type.
func (sub *subscriber) overdueAck() (kind resourceType, overdue bool) {
	sub.mu.Lock()
	defer sub.mu.Unlock()
	for kind, since := range sub.unackedSince {
		if !since.IsZero() && time.Since(since) > ackTimeout {
			return resourceType(kind), true
		}
	}
	return 0, false
}
