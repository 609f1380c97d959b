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

const plain = `
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

// station is a service under test with the sights of its pools.
type station struct {
	*Service
	t      testing.TB
	log    *test.Hook
	addr   string
	mu     sync.Mutex
	sights map[string]assignment.Observation
}

// station opens a service whose pool p has so many servers.
func open(t testing.TB, text string, servers int) *station {
	k := begin(t, text, servers)
	k.see()
	return k
}

// begin opens one that has seen nothing yet.
func begin(t testing.TB, text string, servers int) *station {
	log, hook := test.NewNullLogger()
	s, err := New(setupOf(t, text), assignment.Settings{SlowStartFraction: .2, SlowStartDuration: 20, CrashFactor: 3}, log)
	require.NoError(t, err)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	k := &station{Service: s, t: t, log: hook, addr: ln.Addr().String(), sights: map[string]assignment.Observation{"p": sight(servers)}}
	go s.Serve(ln)
	t.Cleanup(k.stop)
	return k
}

var stopped sync.Map

func (k *station) stop() {
	if _, again := stopped.LoadOrStore(k.Service, true); !again {
		k.Stop()
	}
}

// see has the service see the sights now, and returns when it has.
func (k *station) see() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.Update(float64(time.Now().UnixMicro())/1e6, maps.Clone(k.sights))
	for p, s := range k.sights {
		s.Removed = nil
		k.sights[p] = s
	}
}

// change changes pool p's sight.
func (k *station) change(call func(s *assignment.Observation)) {
	k.mu.Lock()
	s := k.sights["p"]
	s.Servers = slices.Clone(s.Servers)
	call(&s)
	k.sights["p"] = s
	k.mu.Unlock()
	k.see()
}

func (k *station) drain(i int) {
	k.change(func(s *assignment.Observation) { s.Servers[i].Draining = true })
}

func sight(n int) (s assignment.Observation) {
	for i := range n {
		s.Servers = append(s.Servers, assignment.ServerEstimate{Name: fmt.Sprint("s", i), Addr: fmt.Sprintf("127.0.0.1:%d", 1000+i), Zone: string("ab"[i%2]), Payoff: .9})
	}
	return s
}

// script is what a subscriber does.
type script struct {
	delta   bool
	id      string
	zone    string
	addr    string // the station's, if empty
	from    *scripted
	refuses func(name string, body *anypb.Any) bool
	mute    bool          // acknowledges nothing
	slow    time.Duration // before it acknowledges
	pools   []string      // asked for; nil: p
	only    bool          // endpoints alone
	lean    bool          // keeps nothing of what it is told but how much it was
	keys    credentials.TransportCredentials
}

// scripted is a subscriber written from the published protocol.
type scripted struct {
	script
	t       testing.TB
	mu      sync.Mutex
	holds   map[string]map[string]*anypb.Any // by type and name
	version map[string]map[string]string     // of differences
	world   map[string]string                // by type
	came    []string                         // in order: type and names, "-" before those taken away
	answers int
	bytes   int
	changed chan struct{}
	err     error
	stop    context.CancelFunc
	over    chan struct{}
}

// subscribe opens a stream.
func (k *station) subscribe(s script) *scripted {
	if s.addr == "" {
		s.addr = k.addr
	}
	if s.pools == nil {
		s.pools = []string{"p"}
	}
	if s.keys == nil {
		s.keys = insecure.NewCredentials()
	}
	out := &scripted{script: s, t: k.t, holds: map[string]map[string]*anypb.Any{}, version: map[string]map[string]string{}, world: map[string]string{},
		changed: make(chan struct{}), over: make(chan struct{})}
	for _, url := range urls {
		out.holds[url], out.version[url] = map[string]*anypb.Any{}, map[string]string{}
		if s.from != nil {
			s.from.mu.Lock()
			out.holds[url], out.version[url] = maps.Clone(s.from.holds[url]), maps.Clone(s.from.version[url])
			out.world[url] = s.from.world[url]
			s.from.mu.Unlock()
		}
	}
	conn, err := grpc.NewClient(s.addr, grpc.WithTransportCredentials(s.keys))
	require.NoError(k.t, err)
	ctx, stop := context.WithCancel(context.Background())
	out.stop = stop
	client := discovery.NewAggregatedDiscoveryServiceClient(conn)
	run := out.states
	if s.delta {
		run = out.differences
	}
	go func() {
		defer close(out.over)
		defer conn.Close()
		err := run(ctx, client)
		out.mu.Lock()
		defer out.mu.Unlock()
		out.err = err
	}()
	k.t.Cleanup(func() { stop(); <-out.over })
	return out
}

func (s *scripted) node() *core.Node {
	return &core.Node{Id: s.id, Locality: &core.Locality{Zone: s.zone}}
}

// names are what it asks for of a type; none: all.
func (s *scripted) names(url string) []string {
	switch url {
	case urls[endpoints]:
		return s.pools
	case urls[routeTables]:
		return []string{allRoutes}
	}
	return nil
}

func (s *scripted) types() []string {
	if s.only {
		return urls[endpoints : endpoints+1]
	}
	return urls[:]
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

func (s *scripted) states(ctx context.Context, client discovery.AggregatedDiscoveryServiceClient) error {
	st, err := client.StreamAggregatedResources(ctx)
	if err != nil {
		return err
	}
	for _, url := range s.types() {
		if err := st.Send(&discovery.DiscoveryRequest{Node: s.node(), TypeUrl: url, ResourceNames: s.names(url), VersionInfo: s.world[url]}); err != nil {
			return streamError(err, st.Recv)
		}
	}
	for {
		m, err := st.Recv()
		if err != nil {
			return err
		}
		next := map[string]*anypb.Any{}
		for i := 0; i < len(m.Resources) && !s.lean; i++ {
			next[nameOf(m.TypeUrl, m.Resources[i])] = m.Resources[i]
		}
		ack := &discovery.DiscoveryRequest{Node: s.node(), TypeUrl: m.TypeUrl, ResourceNames: s.names(m.TypeUrl), ResponseNonce: m.Nonce}
		if refused := s.take(m.TypeUrl, next, nil, m, m.TypeUrl == urls[clusters] || m.TypeUrl == urls[listeners]); refused != "" {
			ack.ErrorDetail = &rpc.Status{Message: refused}
		} else {
			s.world[m.TypeUrl] = m.VersionInfo
		}
		ack.VersionInfo = s.world[m.TypeUrl]
		if time.Sleep(s.slow); !s.mute {
			if err := st.Send(ack); err != nil {
				return streamError(err, st.Recv)
			}
		}
	}
}

func (s *scripted) differences(ctx context.Context, client discovery.AggregatedDiscoveryServiceClient) error {
	st, err := client.DeltaAggregatedResources(ctx)
	if err != nil {
		return err
	}
	for _, url := range s.types() {
		if err := st.Send(&discovery.DeltaDiscoveryRequest{Node: s.node(), TypeUrl: url, ResourceNamesSubscribe: s.names(url), InitialResourceVersions: s.version[url]}); err != nil {
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
		if refused := s.take(m.TypeUrl, next, m.RemovedResources, m, false); refused != "" {
			ack.ErrorDetail = &rpc.Status{Message: refused}
		} else {
			s.mu.Lock()
			maps.Copy(s.version[m.TypeUrl], versions)
			for _, name := range m.RemovedResources {
				delete(s.version[m.TypeUrl], name)
			}
			s.mu.Unlock()
		}
		if time.Sleep(s.slow); !s.mute {
			if err := st.Send(ack); err != nil {
				return streamError(err, st.Recv)
			}
		}
	}
}

// take takes an answer over, or says why not.
func (s *scripted) take(url string, next map[string]*anypb.Any, removed []string, m proto.Message, all bool) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	kind := slices.Index(urls[:], url)
	line := short[kind]
	for _, name := range slices.Sorted(maps.Keys(next)) {
		line += " " + name
	}
	for _, name := range removed {
		line += " -" + name
	}
	s.came = append(s.came, line)
	s.bytes += proto.Size(m)
	s.answers++
	defer func() { close(s.changed); s.changed = make(chan struct{}) }()
	if s.lean {
		s.came = nil
		return ""
	}
	for name, b := range next {
		if s.refuses != nil && s.refuses(name, b) {
			return "no " + name
		}
	}
	if all {
		s.holds[url] = next
	} else {
		maps.Copy(s.holds[url], next)
	}
	for _, name := range removed {
		delete(s.holds[url], name)
	}
	return ""
}

func nameOf(url string, b *anypb.Any) string {
	m, err := b.UnmarshalNew()
	if err != nil {
		return err.Error()
	}
	if of, ok := m.(interface{ GetName() string }); ok {
		return of.GetName()
	}
	return m.(*endpoint.ClusterLoadAssignment).ClusterName
}

// until waits until something holds, and says how long that took.
func (s *scripted) until(within time.Duration, what string, holds func() bool) time.Duration {
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
			require.Fail(s.t, s.id+" "+what, "%v %v", s.came, s.err)
		}
	}
}

// told is what it holds of a server: its health and weight; "" where it holds none. The caller holds the lock, as until does.
func (s *scripted) told(server string) (core.HealthStatus, uint32, bool) {
	c := &endpoint.ClusterLoadAssignment{}
	for _, pool := range s.pools {
		if b := s.holds[urls[endpoints]][pool]; b != nil && b.UnmarshalTo(c) == nil {
			for _, l := range c.Endpoints {
				if l.Locality.SubZone == server {
					return l.LbEndpoints[0].HealthStatus, l.LoadBalancingWeight.GetValue(), true
				}
			}
		}
	}
	return 0, 0, false
}

// is says whether it holds a server with that health.
func (s *scripted) is(server string, h core.HealthStatus) func() bool {
	return func() bool {
		now, _, ok := s.told(server)
		return ok && now == h
	}
}

// whole says whether it holds what there is of every type.
func (s *scripted) whole() bool {
	for _, url := range s.types() {
		if len(s.holds[url]) == 0 && url != urls[listeners] { // the plain file has none that listens
			return false
		}
	}
	return true
}

// history is what came so far.
func (s *scripted) history() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.came)
}

// forget forgets what came.
func (s *scripted) forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.came = nil
}

// close ends the stream and tells with which error.
func (s *scripted) close() error {
	s.stop()
	<-s.over
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err
}
