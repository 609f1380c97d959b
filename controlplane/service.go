// Package controlplane is a control service over xDS: proxies and clients that lockloom does not run subscribe to what one instance decides
// (see assign), by the published protocol over gRPC. It learns from the instance's proxy beside it, which calls Update, and from the load
// reports of its subscribers, which it hands to Reported. It decides no weight and picks no server.
package controlplane

import (
	"cmp"
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"maps"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	core "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	load "github.com/envoyproxy/go-control-plane/envoy/service/load_stats/v3"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/protobuf/types/known/anypb"

	"lockloom/assignment"
	"lockloom/internal/config"
)

const (
	messageMost     = 1 << 20          // bytes of one request
	bufferOf        = 4 << 10          // bytes, of a connection's buffers
	maxNames        = 10_000           // asked for by one stream
	streamsMost     = 16               // of one connection
	subscribersMost = 2_000            // where the file does not say
	pingAfter       = time.Second      // of silence; the least that gRPC takes
	pingFor         = time.Second      // for the answer: a connection that is half open ends after both
	sendTimeout     = 5 * time.Second  // for a subscriber that does not read to make room
	ackTimeout      = 30 * time.Second // for an answer to be acknowledged or refused
	lookEvery       = time.Second      // at who has not
	stopFor         = time.Second      // for streams to end by themselves
)

// Service is a control service. Its exported methods may be called by anyone.
type Service struct {
	// OutcomesReported hears how attempts ended that subscribers sent to a pool: by server successful and failed. Set it before Serve.
	OutcomesReported func(pool string, attempts map[string][2]int)

	log  logrus.FieldLogger
	run  string // tells two runs apart in versions and nonces
	keys *keys
	grpc *grpc.Server

	inbox inbox

	mu          sync.Mutex
	config      *config.Config
	terms       assignment.Settings
	pools       map[string]*assignment.Pool
	known       map[string]assignment.Snapshot // of pools that were not seen yet since the start
	fixed       resourceSet
	views       map[viewer]*resourceSet
	subscribers map[*subscriber]bool
	loads       map[*reporter]bool

	seen chan struct{} // closed by the first sight
	quit chan struct{}
	work sync.WaitGroup
}

// inbox is what Update leaves for the service's goroutine: the newest sights, with all that was gone in those they replace.
type inbox struct {
	mu     sync.Mutex
	now    float64
	sights map[string]assignment.Observation
	kick   chan struct{}
}

// viewer is a kind of subscribers that are told alike.
type viewer struct {
	zone  string
	pools string // that it may see, each followed by a line's end; empty: all
}

// New makes a service of an operator file with a control table. It is at work until Stop.
func New(s *config.Config, t assignment.Settings, log logrus.FieldLogger) (*Service, error) {
	c := s.ControlPlane
	if c == nil {
		return nil, errors.New("the operator file has no control table")
	}
	run := make([]byte, 4)
	rand.Read(run)
	t.PreferLocalZone = c.PreferLocalZone
	out := &Service{log: log, run: hex.EncodeToString(run), terms: t, pools: map[string]*assignment.Pool{}, views: map[viewer]*resourceSet{},
		subscribers: map[*subscriber]bool{}, loads: map[*reporter]bool{}, seen: make(chan struct{}), quit: make(chan struct{}), inbox: inbox{kick: make(chan struct{}, 1)},
		OutcomesReported: func(string, map[string][2]int) {}}
	options := []grpc.ServerOption{
		grpc.ReadBufferSize(bufferOf), grpc.WriteBufferSize(bufferOf), grpc.SharedWriteBuffer(true), // a thousand connections, most of them at rest
		grpc.MaxRecvMsgSize(messageMost), grpc.MaxConcurrentStreams(streamsMost),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: pingAfter, Timeout: pingFor}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: pingAfter, PermitWithoutStream: true}),
	}
	if c.Certificate != "" {
		out.keys = &keys{certificate: c.Certificate, key: c.Key, authority: c.Authority}
		if err := out.keys.load(); err != nil {
			return nil, err
		}
		options = append(options, grpc.Creds(credentials.NewTLS(out.keys.config())))
	}
	if err := out.Reload(s); err != nil {
		return nil, err
	}
	out.known = out.recall()
	out.grpc = grpc.NewServer(options...)
	discovery.RegisterAggregatedDiscoveryServiceServer(out.grpc, front{s: out})
	load.RegisterLoadReportingServiceServer(out.grpc, reports{s: out})
	out.work.Go(out.follow) // danger: begun by Serve, it could begin after Stop and keep a snapshot then
	return out, nil
}

// Reload tells by another operator file from now on. Address, keys' places and bounds change with the next start.
func (s *Service) Reload(setup *config.Config) error {
	if setup.ControlPlane == nil {
		return errors.New("the operator file has no control table")
	}
	f, left, err := staticResources(setup)
	if err != nil {
		return err
	}
	for _, line := range left {
		s.log.Warn(line)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.keys != nil && s.config != nil {
		if err := s.keys.load(); err != nil {
			return err
		}
	}
	s.config, s.fixed = setup, f
	maps.DeleteFunc(s.pools, func(name string, _ *assignment.Pool) bool {
		return !slices.ContainsFunc(setup.Pools, func(p config.Pool) bool { return p.Name == name })
	})
	s.changed(nil, false)
	return nil
}

// Update takes in what the instance holds of its pools. It does not wait.
func (s *Service) Update(now float64, sights map[string]assignment.Observation) {
	in := &s.inbox
	in.mu.Lock()
	defer in.mu.Unlock()
	for name, was := range in.sights { // danger: what was gone in a sight that nobody looked at would be missed
		if sight, ok := sights[name]; ok && len(was.Removed) > 0 {
			sight.Removed = slices.Concat(was.Removed, sight.Removed)
			sights[name] = sight
		}
	}
	in.now, in.sights = now, sights
	select {
	case in.kick <- struct{}{}:
	default:
	}
}

// Serve serves subscribers until Stop.
func (s *Service) Serve(ln net.Listener) error {
	if err := s.grpc.Serve(ln); err != grpc.ErrServerStopped {
		return err
	}
	return nil
}

// Stop ends all streams and what runs.
func (s *Service) Stop() {
	defer time.AfterFunc(stopFor, s.grpc.Stop).Stop()
	close(s.quit)
	s.grpc.GracefulStop()
	s.work.Wait()
}

// follow takes in sights as they come, and keeps a snapshot.
func (s *Service) follow() {
	keep := time.NewTicker(keepEvery)
	defer keep.Stop()
	defer s.keep()
	for {
		select {
		case <-s.quit:
			return
		case <-keep.C:
			s.keep()
		case <-s.inbox.kick:
			s.inbox.mu.Lock()
			now, sights := s.inbox.now, s.inbox.sights
			s.inbox.sights = nil
			s.inbox.mu.Unlock()
			s.see(now, sights)
		}
	}
}

// observe has the pools settle what is told.
func (s *Service) see(now float64, sights map[string]assignment.Observation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-s.seen:
	default:
		defer close(s.seen)
	}
	var changed []string
	hurry := false
	for _, name := range slices.Sorted(maps.Keys(sights)) {
		p, sight := s.pools[name], sights[name]
		if p == nil {
			p = assignment.New(s.terms)
			if m, ok := s.known[name]; ok {
				p.Restore(now, m)
				delete(s.known, name)
			}
			s.pools[name] = p
		}
		holds, rate := s.load(name)
		sight.Load, sight.Rate = sight.Load+holds, sight.Rate+rate
		if c, urgent := p.Update(now, sight); c {
			changed, hurry = append(changed, name), hurry || urgent
		}
	}
	if len(changed) > 0 {
		s.changed(changed, hurry)
	}
}

// changed makes the views of these pools anew, nil: all views, and has the subscribers look.
func (s *Service) changed(pools []string, urgent bool) {
	used := map[viewer]bool{}
	for sub := range s.subscribers {
		used[sub.viewer] = true
	}
	for v, old := range s.views {
		switch {
		case !used[v]: // danger: subscribers may name any zone
			delete(s.views, v)
		case pools == nil:
			s.views[v] = s.view(v, nil, nil)
		default:
			s.views[v] = s.view(v, old, pools)
		}
	}
	for sub := range s.subscribers {
		sub.look(urgent)
	}
}

// sees is what a subscriber is told now. The caller holds the lock.
func (s *Service) sees(v viewer) *resourceSet {
	if s.views[v] == nil {
		s.views[v] = s.view(v, nil, nil)
	}
	return s.views[v]
}

// view is what one kind of subscribers is told: as before, but for these pools.
func (s *Service) view(v viewer, old *resourceSet, pools []string) *resourceSet {
	var out resourceSet
	if old != nil {
		out = *old
		out[typeEndpoint] = maps.Clone(old[typeEndpoint])
	} else {
		out = s.fixed
		if v.pools != "" {
			out = restrictToPools(s.fixed, strings.Split(strings.TrimSuffix(v.pools, "\n"), "\n"))
		}
		out[typeEndpoint] = nil
		pools = slices.Sorted(maps.Keys(s.pools))
	}
	for i := range s.config.Pools {
		p := &s.config.Pools[i]
		if out[typeCluster][p.Name] == nil || s.pools[p.Name] == nil {
			continue
		}
		var all []assignment.Assignment
		touched := false
		for seen, next := map[string]bool{}, p; next != nil && !seen[next.Name]; next = s.pool(next.Backup) {
			seen[next.Name] = true
			touched = touched || slices.Contains(pools, next.Name)
			if of := s.pools[next.Name]; of != nil {
				all = append(all, of.AssignmentFor(v.zone))
			}
		}
		if touched {
			if err := out.add(typeEndpoint, p.Name, false, loadAssignment(p.Name, all)); err != nil {
				s.log.WithError(err).Error("cannot be told")
			}
		}
	}
	return &out
}

func (s *Service) pool(name string) *config.Pool {
	for i := range s.config.Pools {
		if p := &s.config.Pools[i]; p.Name == name {
			return p
		}
	}
	return nil
}

// load is what the subscribers send to a pool, as they reported last: requests in work, and begun a second.
func (s *Service) load(pool string) (holds, rate float64) {
	for r := range s.loads {
		holds, rate = holds+r.sends[pool].holds, rate+r.sends[pool].rate
	}
	return holds, rate
}

// enter takes in a subscriber, unless there are too many.
func (s *Service) enter(sub *subscriber) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if most := cmp.Or(s.config.ControlPlane.Subscribers, subscribersMost); len(s.subscribers) >= most {
		return fmt.Errorf("%d subscribers: no more are taken", most)
	}
	s.subscribers[sub] = true
	return nil
}

func (s *Service) leave(sub *subscriber) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.subscribers, sub)
}

// allowed are the pools that a subscriber of this certificate may see, as a viewer names them; an error: none.
func (s *Service) allowed(ctx context.Context) (string, error) {
	s.mu.Lock()
	c := s.config.ControlPlane
	s.mu.Unlock()
	if len(c.Allow) == 0 {
		return "", nil
	}
	names := namesOf(ctx)
	for _, a := range c.Allow {
		if slices.ContainsFunc(names, func(n string) bool { return a.Fits(n) }) {
			return listed(a.Pools), nil
		}
	}
	return "", fmt.Errorf("no subscriber by the name of %q is allowed", names)
}

// subsetPools are the pools that a node is told, of those that it may see.
func (s *Service) subsetPools(pools string, n *core.Node) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, sub := range s.config.ControlPlane.Subsets {
		if sub.Fits(n.GetId(), n.GetCluster(), n.GetLocality().GetZone()) {
			left := slices.DeleteFunc(slices.Clone(sub.Pools), func(p string) bool { return !among(pools, p) })
			if len(left) == 0 { // danger: no pools would stand for all
				return "\n"
			}
			return listed(left)
		}
	}
	return pools
}

// listed are pools as a viewer names them.
func listed(pools []string) string {
	if len(pools) == 0 {
		return ""
	}
	return strings.Join(slices.Sorted(slices.Values(pools)), "\n") + "\n"
}

// among tells whether a viewer's pools have one.
func among(pools, name string) bool {
	return pools == "" || strings.Contains("\n"+pools, "\n"+name+"\n")
}

func body(r *resource) *anypb.Any {
	b, _ := r.body.(*anypb.Any)
	return b
}
