package controlplane

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	core "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpoint "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"
	rpc "google.golang.org/genproto/googleapis/rpc/status"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"

	"lockloom/assignment"
)

const plainConfig = `
[control]
address = "127.0.0.1:0"
%s
[[tariff]]
name = "t"
hard_stop = 2.0
[[pool]]
name = "p"
[[route]]
name = "all"
prefix = "/"
pool = "p"
`

// testService is a service under test with the sights of its pools.
type testService struct {
	*Service
	t            testing.TB
	log          *test.Hook
	addr         string
	mu           sync.Mutex
	observations map[string]assignment.Observation
}

// testService opens a service whose pool p has so many servers.
func startService(t testing.TB, text string, servers int) *testService {
	k := startWithoutObservation(t, text, servers)
	k.observe()
	return k
}

// startWithoutObservation opens one that has seen nothing yet.
func startWithoutObservation(t testing.TB, text string, servers int) *testService {
	log, hook := test.NewNullLogger()
	s, err := New(parseConfig(t, text), assignment.Settings{SlowStartFraction: .2, SlowStartDuration: 20, CrashFactor: 3}, log)
	require.NoError(t, err)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	k := &testService{Service: s, t: t, log: hook, addr: ln.Addr().String(), observations: map[string]assignment.Observation{"p": observationOf(servers)}}
	go s.Serve(ln)
	t.Cleanup(k.stop)
	return k
}

var stoppedServices sync.Map

func (k *testService) stop() {
	if _, again := stoppedServices.LoadOrStore(k.Service, true); !again {
		k.Stop()
	}
}

// observe has the service see the sights now, and returns when it has.
func (k *testService) observe() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.Update(float64(time.Now().UnixMicro())/1e6, maps.Clone(k.observations))
	for p, s := range k.observations {
		s.Removed = nil
		k.observations[p] = s
	}
}

// changePool changes pool p's sight.
func (k *testService) changePool(call func(s *assignment.Observation)) {
	k.mu.Lock()
	s := k.observations["p"]
	s.Servers = slices.Clone(s.Servers)
	call(&s)
	k.observations["p"] = s
	k.mu.Unlock()
	k.observe()
}

func (k *testService) drain(i int) {
	k.changePool(func(s *assignment.Observation) { s.Servers[i].Draining = true })
}

func observationOf(n int) (s assignment.Observation) {
	for i := range n {
		s.Servers = append(s.Servers, assignment.ServerEstimate{Name: fmt.Sprint("s", i), Addr: fmt.Sprintf("127.0.0.1:%d", 1000+i), Zone: string("ab"[i%2]), Payoff: .9})
	}
	return s
}

// subscriberOptions is what a subscriber does.
type subscriberOptions struct {
	delta         bool
	id            string
	zone          string
	addr          string // the station's, if empty
	resumeFrom    *testSubscriber
	nacks         func(name string, body *anypb.Any) bool
	neverAcks     bool          // acknowledges nothing
	ackDelay      time.Duration // before it acknowledges
	pools         []string      // asked for; nil: p
	endpointsOnly bool          // endpoints alone
	discard       bool          // keeps nothing of what it is told but how much it was
	credentials   credentials.TransportCredentials
}

// testSubscriber is a subscriber written from the published protocol.
type testSubscriber struct {
	subscriberOptions
	t             testing.TB
	mu            sync.Mutex
	resources     map[string]map[string]*anypb.Any // by type and name
	versions      map[string]map[string]string     // of differences
	stateVersions map[string]string                // by type
	received      []string                         // in order: type and names, "-" before those taken away
	responseCount int
	receivedBytes int
	changed       chan struct{}
	err           error
	stop          context.CancelFunc
	done          chan struct{}
}

// subscribe opens a stream.
func (k *testService) subscribe(s subscriberOptions) *testSubscriber {
	if s.addr == "" {
		s.addr = k.addr
	}
	if s.pools == nil {
		s.pools = []string{"p"}
	}
	if s.credentials == nil {
		s.credentials = insecure.NewCredentials()
	}
	out := &testSubscriber{subscriberOptions: s, t: k.t, resources: map[string]map[string]*anypb.Any{}, versions: map[string]map[string]string{}, stateVersions: map[string]string{},
		changed: make(chan struct{}), done: make(chan struct{})}
	for _, url := range typeURLs {
		out.resources[url], out.versions[url] = map[string]*anypb.Any{}, map[string]string{}
		if s.resumeFrom != nil {
			s.resumeFrom.mu.Lock()
			out.resources[url], out.versions[url] = maps.Clone(s.resumeFrom.resources[url]), maps.Clone(s.resumeFrom.versions[url])
			out.stateVersions[url] = s.resumeFrom.stateVersions[url]
			s.resumeFrom.mu.Unlock()
		}
	}
	conn, err := grpc.NewClient(s.addr, grpc.WithTransportCredentials(s.credentials))
	require.NoError(k.t, err)
	ctx, stop := context.WithCancel(context.Background())
	out.stop = stop
	client := discovery.NewAggregatedDiscoveryServiceClient(conn)
	run := out.runStateOfTheWorld
	if s.delta {
		run = out.runDelta
	}
	go func() {
		defer close(out.done)
		defer conn.Close()
		err := run(ctx, client)
		out.mu.Lock()
		defer out.mu.Unlock()
		out.err = err
	}()
	k.t.Cleanup(func() { stop(); <-out.done })
	return out
}

func (s *testSubscriber) node() *core.Node {
	return &core.Node{Id: s.id, Locality: &core.Locality{Zone: s.zone}}
}

// relevantNames are what it asks for of a type; none: all.
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

func (s *testSubscriber) runStateOfTheWorld(ctx context.Context, client discovery.AggregatedDiscoveryServiceClient) error {
	st, err := client.StreamAggregatedResources(ctx)
	if err != nil {
		return err
	}
	for _, url := range s.typeURLs() {
		if err := st.Send(&discovery.DiscoveryRequest{Node: s.node(), TypeUrl: url, ResourceNames: s.names(url), VersionInfo: s.stateVersions[url]}); err != nil {
			return streamError(err, st.Recv)
		}
	}
	for {
		m, err := st.Recv()
		if err != nil {
			return err
		}
		next := map[string]*anypb.Any{}
		for i := 0; i < len(m.Resources) && !s.discard; i++ {
			next[resourceName(m.TypeUrl, m.Resources[i])] = m.Resources[i]
		}
		ack := &discovery.DiscoveryRequest{Node: s.node(), TypeUrl: m.TypeUrl, ResourceNames: s.names(m.TypeUrl), ResponseNonce: m.Nonce}
		if refused := s.accept(m.TypeUrl, next, nil, m, m.TypeUrl == typeURLs[typeCluster] || m.TypeUrl == typeURLs[typeListener]); refused != "" {
			ack.ErrorDetail = &rpc.Status{Message: refused}
		} else {
			s.stateVersions[m.TypeUrl] = m.VersionInfo
		}
		ack.VersionInfo = s.stateVersions[m.TypeUrl]
		if time.Sleep(s.ackDelay); !s.neverAcks {
			if err := st.Send(ack); err != nil {
				return streamError(err, st.Recv)
			}
		}
	}
}

func (s *testSubscriber) runDelta(ctx context.Context, client discovery.AggregatedDiscoveryServiceClient) error {
	st, err := client.DeltaAggregatedResources(ctx)
	if err != nil {
		return err
	}
	for _, url := range s.typeURLs() {
		if err := st.Send(&discovery.DeltaDiscoveryRequest{Node: s.node(), TypeUrl: url, ResourceNamesSubscribe: s.names(url), InitialResourceVersions: s.versions[url]}); err != nil {
			return streamError(err, st.Recv)
		}
	}
	for {
		m, err := st.Recv()
		if err != nil {
			return err
		}
		next, versions := map[string]*anypb.Any{}, map[string]string{}
		for _, r := range m.Resources {
			next[r.Name], versions[r.Name] = r.Resource, r.Version
		}
		ack := &discovery.DeltaDiscoveryRequest{TypeUrl: m.TypeUrl, ResponseNonce: m.Nonce}
		if refused := s.accept(m.TypeUrl, next, m.RemovedResources, m, false); refused != "" {
			ack.ErrorDetail = &rpc.Status{Message: refused}
		} else {
			s.mu.Lock()
			maps.Copy(s.versions[m.TypeUrl], versions)
			for _, name := range m.RemovedResources {
				delete(s.versions[m.TypeUrl], name)
			}
			s.mu.Unlock()
		}
		if time.Sleep(s.ackDelay); !s.neverAcks {
			if err := st.Send(ack); err != nil {
				return streamError(err, st.Recv)
			}
		}
	}
}

// accept takes an answer over, or says why not.
func (s *testSubscriber) accept(url string, next map[string]*anypb.Any, removed []string, m proto.Message, all bool) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	kind := slices.Index(typeURLs[:], url)
	line := typeNames[kind]
	for _, name := range slices.Sorted(maps.Keys(next)) {
		line += " " + name
	}
	for _, name := range removed {
		line += " -" + name
	}
	s.received = append(s.received, line)
	s.receivedBytes += proto.Size(m)
	s.responseCount++
	defer func() { close(s.changed); s.changed = make(chan struct{}) }()
	if s.discard {
		s.received = nil
		return ""
	}
	for name, b := range next {
		if s.nacks != nil && s.nacks(name, b) {
			return "no " + name
		}
	}
	if all {
		s.resources[url] = next
	} else {
		maps.Copy(s.resources[url], next)
	}
	for _, name := range removed {
		delete(s.resources[url], name)
	}
	return ""
}

func resourceName(url string, b *anypb.Any) string {
	m, err := b.UnmarshalNew()
	if err != nil {
		return err.Error()
	}
	if of, ok := m.(interface{ GetName() string }); ok {
		return of.GetName()
	}
	return m.(*endpoint.ClusterLoadAssignment).ClusterName
}

// waitUntil waits until something holds, and says how long that took.
func (s *testSubscriber) waitUntil(within time.Duration, what string, holds func() bool) time.Duration {
	s.t.Helper()
	began := time.Now()
	late := time.After(within)
	for {
		s.mu.Lock()
		ok, changed := holds(), s.changed
		s.mu.Unlock()
		if ok {
			return time.Since(began)
		}
		select {
		case <-changed:
		case <-time.After(50 * time.Millisecond): // a stream may have ended
		case <-late:
			s.mu.Lock()
			defer s.mu.Unlock()
			require.Fail(s.t, s.id+" "+what, "%v %v", s.received, s.err)
		}
	}
}

// server is what it holds of a server: its health and weight; "" where it holds none. The caller holds the lock, as until does.
func (s *testSubscriber) server(server string) (core.HealthStatus, uint32, bool) {
	c := &endpoint.ClusterLoadAssignment{}
	for _, pool := range s.pools {
		if b := s.resources[typeURLs[typeEndpoint]][pool]; b != nil && b.UnmarshalTo(c) == nil {
			for _, l := range c.Endpoints {
				if l.Locality.SubZone == server {
					return l.LbEndpoints[0].HealthStatus, l.LoadBalancingWeight.GetValue(), true
				}
			}
		}
	}
	return 0, 0, false
}

// hasHealth says whether it holds a server with that health.
func (s *testSubscriber) hasHealth(server string, h core.HealthStatus) func() bool {
	return func() bool {
		now, _, ok := s.server(server)
		return ok && now == h
	}
}

// isComplete says whether it holds what there is of every type.
func (s *testSubscriber) isComplete() bool {
	for _, url := range s.typeURLs() {
		if len(s.resources[url]) == 0 && url != typeURLs[typeListener] { // the plain file has none that listens
			return false
		}
	}
	return true
}

// receivedSoFar is what came so far.
func (s *testSubscriber) receivedSoFar() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.received)
}

// clearReceived forgets what came.
func (s *testSubscriber) clearReceived() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.received = nil
}

// close ends the stream and tells with which error.
func (s *testSubscriber) close() error {
	s.stop()
	<-s.done
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err
}
