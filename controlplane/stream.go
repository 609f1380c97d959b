package controlplane

import (
	"context"
	"strconv"
	"strings"
	"time"

	core "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

const (
	sendTimeout      = 5 * time.Second  // per message, for a subscriber that does not read
	ackTimeout       = 30 * time.Second // for the acknowledgement or nack of a response
	ackCheckInterval = time.Second
)

var errStopping = status.Error(codes.Unavailable, "stopping")

// discoveryServer implements the aggregated discovery service (ADS) of xDS.
type discoveryServer struct {
	discovery.UnimplementedAggregatedDiscoveryServiceServer
	service *Service
}

// StreamAggregatedResources serves a stream of the state-of-the-world protocol.
func (d discoveryServer) StreamAggregatedResources(
	grpcStream discovery.AggregatedDiscoveryService_StreamAggregatedResourcesServer,
) error {
	return d.service.serveStream(grpcStream.Context(), false, stateOfTheWorldStream{grpcStream, d.service.run})
}

// DeltaAggregatedResources serves a stream of the delta protocol.
func (d discoveryServer) DeltaAggregatedResources(
	grpcStream discovery.AggregatedDiscoveryService_DeltaAggregatedResourcesServer,
) error {
	return d.service.serveStream(grpcStream.Context(), true, deltaStream{grpcStream, d.service.run})
}

// stream is a discovery stream in either variant of the protocol.
type stream interface {
	receive() (*request, error)
	send(kind resourceType, version string, response *response) error
}

// request is a discovery request in either variant of the protocol.
type request struct {
	node        *core.Node
	typeURL     string
	nonce       string
	nack        bool
	nackDetail  string
	version     string            // state-of-the-world: version of the resources that the subscriber has
	names       []string          // state-of-the-world: all names that the subscriber subscribes to
	subscribe   []string          // delta: names to add
	unsubscribe []string          // delta: names to remove
	initial     map[string]string // delta: versions, by name, of the resources from an earlier stream
}

type stateOfTheWorldStream struct {
	grpc discovery.AggregatedDiscoveryService_StreamAggregatedResourcesServer
	run  runID
}

func (s stateOfTheWorldStream) receive() (*request, error) {
	r, err := s.grpc.Recv()
	if err != nil {
		return nil, err
	}
	return &request{
		node:       r.Node,
		typeURL:    r.TypeUrl,
		nonce:      r.ResponseNonce,
		nack:       r.ErrorDetail != nil,
		nackDetail: r.ErrorDetail.GetMessage(),
		version:    r.VersionInfo,
		names:      r.ResourceNames,
	}, nil
}

func (s stateOfTheWorldStream) send(kind resourceType, version string, response *response) error {
	message := &discovery.DiscoveryResponse{
		TypeUrl:     kind.url(),
		VersionInfo: version,
		Nonce:       s.run.nonce(response.nonce),
	}
	for _, r := range response.resources {
		message.Resources = append(message.Resources, r.body)
	}
	return s.grpc.Send(message)
}

type deltaStream struct {
	grpc discovery.AggregatedDiscoveryService_DeltaAggregatedResourcesServer
	run  runID
}

func (s deltaStream) receive() (*request, error) {
	r, err := s.grpc.Recv()
	if err != nil {
		return nil, err
	}
	return &request{
		node:        r.Node,
		typeURL:     r.TypeUrl,
		nonce:       r.ResponseNonce,
		nack:        r.ErrorDetail != nil,
		nackDetail:  r.ErrorDetail.GetMessage(),
		subscribe:   r.ResourceNamesSubscribe,
		unsubscribe: r.ResourceNamesUnsubscribe,
		initial:     r.InitialResourceVersions,
	}, nil
}

func (s deltaStream) send(kind resourceType, version string, response *response) error {
	message := &discovery.DeltaDiscoveryResponse{
		TypeUrl:           kind.url(),
		SystemVersionInfo: version,
		Nonce:             s.run.nonce(response.nonce),
		RemovedResources:  response.removed,
	}
	for _, r := range response.resources {
		message.Resources = append(message.Resources, &discovery.Resource{
			Name:     r.name,
			Version:  s.run.version(r.version),
			Resource: r.body,
		})
	}
	return s.grpc.Send(message)
}

// version returns a version as it is sent: the content's version followed by the run's identifier.
func (id runID) version(content string) string { return content + "-" + string(id) }

// contentVersion returns the part of a sent version that depends on the content only, not on the run that sent it.
func contentVersion(version string) string {
	content, _, _ := strings.Cut(version, "-")
	return content
}

func (id runID) nonce(number uint64) string { return strconv.FormatUint(number, 10) + "-" + string(id) }

// parseNonce returns the number of a nonce, or false if the nonce was not sent by this run of the service.
func (id runID) parseNonce(nonce string) (number uint64, ok bool) {
	text, run, ok := strings.Cut(nonce, "-")
	if !ok || run != string(id) {
		return 0, false
	}
	number, _ = strconv.ParseUint(text, 10, 64) // an invalid number is the nonce of no response
	return number, true
}

// serveStream serves one discovery stream until the subscriber ends it or exceeds a timeout, or the service stops.
func (s *Service) serveStream(ctx context.Context, delta bool, st stream) error {
	allowed, err := s.allowedPools(ctx)
	if err != nil {
		return status.Error(codes.PermissionDenied, err.Error())
	}
	first, err := st.receive()
	if err != nil {
		return err
	}
	sub := s.newSubscriber(ctx, delta, allowed, first.node)
	if err := s.addSubscriber(sub); err != nil {
		return status.Error(codes.ResourceExhausted, err.Error())
	}
	defer s.removeSubscriber(sub)
	// Before the first observation no pool has endpoints. A subscriber that still has some from an earlier stream would
	// be sent their removal.
	select {
	case <-s.pools.observed:
	case <-ctx.Done():
		return nil
	case <-s.lifecycle.quit:
		return errStopping
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	return sub.run(ctx, st, receiveRequests(ctx, first, st))
}

// receiveRequests returns the requests of a stream, starting with one already received. The channel is closed when the
// subscriber ends the stream or ctx is done. Its goroutine ends then too, at the latest when gRPC fails the pending
// receive because the stream's handler has returned.
func receiveRequests(ctx context.Context, first *request, st stream) <-chan *request {
	requests := make(chan *request)
	go func() {
		defer close(requests)
		for next := first; ; {
			select {
			case requests <- next:
			case <-ctx.Done():
				return
			}
			var err error
			if next, err = st.receive(); err != nil {
				return
			}
		}
	}()
	return requests
}

// run processes requests and sends changes until the stream ends.
func (sub *subscriber) run(ctx context.Context, st stream, requests <-chan *request) error {
	ackCheck := time.NewTicker(ackCheckInterval)
	defer ackCheck.Stop()
	for {
		select {
		case r, ok := <-requests:
			if !ok {
				return nil
			}
			if err := sub.handleRequest(r); err != nil {
				return err
			}
		case <-sub.wakeup.signal:
		case <-ackCheck.C:
			if kind, overdue := sub.overdueAck(); overdue {
				return status.Errorf(codes.Aborted, "%s: nothing acknowledged for %v", kind.url(), ackTimeout)
			}
		case <-ctx.Done():
			return nil
		case <-sub.service.lifecycle.quit:
			return errStopping
		}
		if err := sub.sendChanges(ctx, st); err != nil {
			return err
		}
	}
}

// sendWithTimeout calls send and returns an error if it takes longer than sendTimeout: otherwise a subscriber that does
// not read would block its stream forever and never receive newer changes. The goroutine of a send that timed out ends
// when gRPC fails the send, because the stream's handler has returned.
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
