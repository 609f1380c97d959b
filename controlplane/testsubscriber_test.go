package controlplane

import (
	"context"
	"errors"
	"io"
	"maps"
	"slices"
	"sync"
	"testing"
	"time"

	core "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpoint "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	rpc "google.golang.org/genproto/googleapis/rpc/status"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"
)

// subscriberOptions configures the behavior of a testSubscriber.
type subscriberOptions struct {
	delta         bool
	id            string
	zone          string
	addr          string          // address to connect to; empty: the service's
	resumeFrom    *testSubscriber // subscriber whose resources this one has at the start; nil: none
	nacks         func(name string, body *anypb.Any) bool
	neverAcks     bool
	ackDelay      time.Duration
	pools         []string // pools whose endpoints it subscribes to; nil: pool p only
	endpointsOnly bool
	discard       bool // keep no resources, only count responses and bytes
	credentials   credentials.TransportCredentials
}

// testSubscriber is a subscriber written from the xDS specification, not from the code under test.
type testSubscriber struct {
	subscriberOptions
	tb   testing.TB
	stop context.CancelFunc
	done chan struct{}

	mu            sync.Mutex                       // guards the fields below
	resources     map[string]map[string]*anypb.Any // by type URL and name
	versions      map[string]map[string]string     // delta: versions of the resources, by type URL and name
	stateVersions map[string]string                // state-of-the-world: version accepted last, by type URL
	received      []string                         // responses in order: type and names, with "-" before removed ones
	responseCount int
	receivedBytes int
	changed       chan struct{} // closed and replaced with every response
	err           error         // error with which the stream ended
}

// subscribe connects a new subscriber, which opens a stream.
func (s *testService) subscribe(options subscriberOptions) *testSubscriber {
	if options.addr == "" {
		options.addr = s.addr
	}
	if options.pools == nil {
		options.pools = []string{"p"}
	}
	if options.credentials == nil {
		options.credentials = insecure.NewCredentials()
	}
	conn, err := grpc.NewClient(options.addr, grpc.WithTransportCredentials(options.credentials))
	require.NoError(s.tb, err)
	ctx, stop := context.WithCancel(context.Background())
	subscriber := newTestSubscriber(s.tb, options)
	subscriber.stop = stop
	go func() {
		defer close(subscriber.done)
		err := subscriber.run(ctx, discovery.NewAggregatedDiscoveryServiceClient(conn))
		assert.NoError(s.tb, conn.Close())
		subscriber.mu.Lock()
		defer subscriber.mu.Unlock()
		subscriber.err = err
	}()
	s.tb.Cleanup(subscriber.close)
	return subscriber
}

func newTestSubscriber(tb testing.TB, options subscriberOptions) *testSubscriber {
	tb.Helper()
	subscriber := &testSubscriber{
		subscriberOptions: options,
		tb:                tb,
		done:              make(chan struct{}),
		resources:         map[string]map[string]*anypb.Any{},
		versions:          map[string]map[string]string{},
		stateVersions:     map[string]string{},
		changed:           make(chan struct{}),
	}
	for _, url := range typeURLs {
		subscriber.resources[url] = map[string]*anypb.Any{}
		subscriber.versions[url] = map[string]string{}
		if earlier := options.resumeFrom; earlier != nil {
			earlier.mu.Lock()
			subscriber.resources[url] = maps.Clone(earlier.resources[url])
			subscriber.versions[url] = maps.Clone(earlier.versions[url])
			subscriber.stateVersions[url] = earlier.stateVersions[url]
			earlier.mu.Unlock()
		}
	}
	return subscriber
}

func (s *testSubscriber) node() *core.Node {
	return &core.Node{Id: s.id, Locality: &core.Locality{Zone: s.zone}}
}

// names returns the names of resources of a type that the subscriber subscribes to. An empty list means all names.
func (s *testSubscriber) names(url string) []string {
	switch url {
	case typeURLs[typeEndpoint]:
		return s.pools
	case typeURLs[typeRoute]:
		return []string{allRoutesName}
	}
	return nil
}

func (s *testSubscriber) typeURLs() []string {
	if s.endpointsOnly {
		return typeURLs[typeEndpoint : typeEndpoint+1]
	}
	return typeURLs[:]
}

func (s *testSubscriber) run(ctx context.Context, client discovery.AggregatedDiscoveryServiceClient) error {
	if s.delta {
		return s.runDelta(ctx, client)
	}
	return s.runStateOfTheWorld(ctx, client)
}

// streamError returns the status with which the server ended a stream on which Send failed. By gRPC's contract Send
// returns only io.EOF then, and Recv returns the status, after the messages that arrived before it.
func streamError[M any](sendErr error, recv func() (M, error)) error {
	if !errors.Is(sendErr, io.EOF) {
		return sendErr
	}
	for {
		if _, err := recv(); err != nil {
			return err
		}
	}
}

func (s *testSubscriber) runStateOfTheWorld(
	ctx context.Context, client discovery.AggregatedDiscoveryServiceClient,
) error {
	stream, err := client.StreamAggregatedResources(ctx)
	if err != nil {
		return err
	}
	for _, url := range s.typeURLs() {
		first := &discovery.DiscoveryRequest{
			Node:          s.node(),
			TypeUrl:       url,
			ResourceNames: s.names(url),
			VersionInfo:   s.stateVersions[url],
		}
		if err := stream.Send(first); err != nil {
			return streamError(err, stream.Recv)
		}
	}
	for {
		message, err := stream.Recv()
		if err != nil {
			return err
		}
		ack := s.acceptState(message)
		time.Sleep(s.ackDelay)
		if s.neverAcks {
			continue
		}
		if err := stream.Send(ack); err != nil {
			return streamError(err, stream.Recv)
		}
	}
}

// acceptState processes a response of the state-of-the-world protocol and returns the acknowledgement or nack.
func (s *testSubscriber) acceptState(message *discovery.DiscoveryResponse) *discovery.DiscoveryRequest {
	url := message.TypeUrl
	resources := map[string]*anypb.Any{}
	if !s.discard {
		for _, body := range message.Resources {
			resources[resourceName(body)] = body
		}
	}
	ack := &discovery.DiscoveryRequest{
		Node:          s.node(),
		TypeUrl:       url,
		ResourceNames: s.names(url),
		ResponseNonce: message.Nonce,
	}
	replaceAll := url == typeURLs[typeCluster] || url == typeURLs[typeListener]
	if nack := s.accept(url, resources, nil, message, replaceAll); nack != "" {
		ack.ErrorDetail = &rpc.Status{Message: nack}
	} else {
		s.stateVersions[url] = message.VersionInfo
	}
	ack.VersionInfo = s.stateVersions[url]
	return ack
}

func (s *testSubscriber) runDelta(ctx context.Context, client discovery.AggregatedDiscoveryServiceClient) error {
	stream, err := client.DeltaAggregatedResources(ctx)
	if err != nil {
		return err
	}
	for _, url := range s.typeURLs() {
		first := &discovery.DeltaDiscoveryRequest{
			Node:                    s.node(),
			TypeUrl:                 url,
			ResourceNamesSubscribe:  s.names(url),
			InitialResourceVersions: s.versions[url],
		}
		if err := stream.Send(first); err != nil {
			return streamError(err, stream.Recv)
		}
	}
	for {
		message, err := stream.Recv()
		if err != nil {
			return err
		}
		ack := s.acceptDelta(message)
		time.Sleep(s.ackDelay)
		if s.neverAcks {
			continue
		}
		if err := stream.Send(ack); err != nil {
			return streamError(err, stream.Recv)
		}
	}
}

// acceptDelta processes a response of the delta protocol and returns the acknowledgement or nack.
func (s *testSubscriber) acceptDelta(message *discovery.DeltaDiscoveryResponse) *discovery.DeltaDiscoveryRequest {
	resources, versions := map[string]*anypb.Any{}, map[string]string{}
	for _, r := range message.Resources {
		resources[r.Name], versions[r.Name] = r.Resource, r.Version
	}
	ack := &discovery.DeltaDiscoveryRequest{TypeUrl: message.TypeUrl, ResponseNonce: message.Nonce}
	if nack := s.accept(message.TypeUrl, resources, message.RemovedResources, message, false); nack != "" {
		ack.ErrorDetail = &rpc.Status{Message: nack}
		return ack
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.Copy(s.versions[message.TypeUrl], versions)
	for _, name := range message.RemovedResources {
		delete(s.versions[message.TypeUrl], name)
	}
	return ack
}

// accept stores the resources of a response, or returns the detail of a nack. With replaceAll, the response contains
// all resources of the type.
func (s *testSubscriber) accept(
	url string, resources map[string]*anypb.Any, removed []string, message proto.Message, replaceAll bool,
) (nack string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.receivedBytes += proto.Size(message)
	s.responseCount++
	defer func() { close(s.changed); s.changed = make(chan struct{}) }()
	if s.discard {
		return ""
	}
	s.received = append(s.received, summary(url, resources, removed))
	for name, body := range resources {
		if s.nacks != nil && s.nacks(name, body) {
			return "no " + name
		}
	}
	if replaceAll {
		s.resources[url] = resources
	} else {
		maps.Copy(s.resources[url], resources)
	}
	for _, name := range removed {
		delete(s.resources[url], name)
	}
	return ""
}

// summary returns the entry of a response in received.
func summary(url string, resources map[string]*anypb.Any, removed []string) string {
	line := typeNames[slices.Index(typeURLs[:], url)]
	for _, name := range slices.Sorted(maps.Keys(resources)) {
		line += " " + name
	}
	for _, name := range removed {
		line += " -" + name
	}
	return line
}

func resourceName(body *anypb.Any) string {
	message, err := body.UnmarshalNew()
	if err != nil {
		return err.Error()
	}
	if named, ok := message.(interface{ GetName() string }); ok {
		return named.GetName()
	}
	return message.(*endpoint.ClusterLoadAssignment).ClusterName
}

// waitUntil waits until condition, which is called with s.mu held, returns true. The test fails after the timeout.
func (s *testSubscriber) waitUntil(timeout time.Duration, description string, condition func() bool) {
	s.tb.Helper()
	timedOut := time.After(timeout)
	for {
		s.mu.Lock()
		ok, changed := condition(), s.changed
		s.mu.Unlock()
		if ok {
			return
		}
		select {
		case <-changed:
		case <-time.After(50 * time.Millisecond): // the stream may have ended
		case <-timedOut:
			s.mu.Lock()
			defer s.mu.Unlock()
			require.Fail(s.tb, s.id+" "+description, "%v %v", s.received, s.err)
		}
	}
}

// serverHealth returns the health of a server, and false if the subscriber does not have the server. The caller must
// hold s.mu.
func (s *testSubscriber) serverHealth(name string) (core.HealthStatus, bool) {
	message := &endpoint.ClusterLoadAssignment{}
	for _, pool := range s.pools {
		body := s.resources[typeURLs[typeEndpoint]][pool]
		if body == nil || body.UnmarshalTo(message) != nil {
			continue
		}
		for _, locality := range message.Endpoints {
			if locality.Locality.SubZone == name {
				return locality.LbEndpoints[0].HealthStatus, true
			}
		}
	}
	return 0, false
}

// hasHealth returns the condition that the subscriber has a server with that health.
func (s *testSubscriber) hasHealth(server string, expected core.HealthStatus) func() bool {
	return func() bool {
		health, ok := s.serverHealth(server)
		return ok && health == expected
	}
}

// isComplete is the condition that the subscriber has resources of every type.
func (s *testSubscriber) isComplete() bool {
	for _, url := range s.typeURLs() {
		if len(s.resources[url]) == 0 && url != typeURLs[typeListener] { // plainConfig has no listener
			return false
		}
	}
	return true
}

// receivedSoFar returns a copy of received.
func (s *testSubscriber) receivedSoFar() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.received)
}

func (s *testSubscriber) clearReceived() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.received = nil
}

// close ends the stream and waits for its end.
func (s *testSubscriber) close() {
	s.stop()
	<-s.done
}
