// Package controlplane implements an xDS control plane over gRPC. Its subscribers are proxies and clients that are not
// part of lockloom, such as Envoy and gRPC clients. They receive the configured routes, and the health, weight and
// priority of each server as package assignment computes them from the observations of one lockloom proxy. The proxy
// passes its observations to Update. The loads that subscribers report are added to these observations, and the
// outcomes that they report go to OutcomesReported. The package computes no weights and selects no servers itself.
//
// A Service has one goroutine that processes observations and writes snapshots. Each discovery stream has two: one
// receives requests, the other does the rest of the work. The state that they share is guarded by Service.mu, which is
// held for computations only and never during I/O, except when Reload reads certificates.
package controlplane

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	loadstats "github.com/envoyproxy/go-control-plane/envoy/service/load_stats/v3"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/keepalive"

	"lockloom/assignment"
	"lockloom/internal/config"
)

const (
	maxRequestSize    = 1 << 20 // bytes
	connectionBuffer  = 4 << 10 // bytes; small, for a thousand connections that are mostly idle
	maxStreams        = 16      // per connection
	pingInterval      = time.Second
	pingTimeout       = time.Second // a half-open connection is closed after pingInterval + pingTimeout
	gracefulStopDelay = time.Second // after which Stop closes the connections of streams that have not ended
)

// errNoControlPlane is returned for an operator file that does not configure the service.
var errNoControlPlane = errors.New("the operator file has no control table")

// Service serves resources to subscribers and receives their load reports. Its exported methods may be called
// concurrently.
type Service struct {
	// OutcomesReported is called with the outcomes of a subscriber's attempts at the servers of a pool, for each pool in
	// a load report. The map holds, by server name, the numbers of attempts that succeeded and that failed. Set the
	// function before Serve. It may be called concurrently.
	OutcomesReported func(pool string, attempts map[string][2]int)

	log          logrus.FieldLogger
	run          runID
	certificates *certificates // nil if connections are not encrypted
	server       *grpc.Server
	inbox        inbox

	mu          sync.Mutex // guards the fields below
	config      *config.Config
	pools       poolStates
	views       views
	subscribers map[*subscriber]bool
	reporters   map[*loadReporter]bool

	lifecycle lifecycle
}

// lifecycle signals the goroutines of the service to stop and waits for those in the background.
type lifecycle struct {
	quit       chan struct{} // closed by Stop
	background sync.WaitGroup
}

// New returns a service configured by the control table of an operator file. Its background goroutine runs until Stop.
func New(c *config.Config, settings assignment.Settings, log logrus.FieldLogger) (*Service, error) {
	if c.ControlPlane == nil {
		return nil, errNoControlPlane
	}
	settings.PreferLocalZone = c.ControlPlane.PreferLocalZone
	s := &Service{
		OutcomesReported: func(string, map[string][2]int) {},
		log:              log,
		run:              newRunID(),
		inbox:            inbox{wake: make(chan struct{}, 1)},
		pools:            newPoolStates(settings),
		views:            views{byViewer: map[viewer]*resourceSet{}},
		subscribers:      map[*subscriber]bool{},
		reporters:        map[*loadReporter]bool{},
		lifecycle:        lifecycle{quit: make(chan struct{})},
	}
	options, err := s.serverOptions(c.ControlPlane)
	if err != nil {
		return nil, err
	}
	if err := s.Reload(c); err != nil {
		return nil, err
	}
	s.pools.restored = s.readSnapshot()
	s.server = grpc.NewServer(options...)
	discovery.RegisterAggregatedDiscoveryServiceServer(s.server, discoveryServer{service: s})
	loadstats.RegisterLoadReportingServiceServer(s.server, loadReportServer{service: s})
	// Not started by Serve: if Serve ran after Stop, the goroutine would write a snapshot after Stop.
	s.lifecycle.background.Go(s.processObservations)
	return s, nil
}

// serverOptions returns the options of the gRPC server. It loads the certificates if any are configured.
func (s *Service) serverOptions(c *config.ControlPlane) ([]grpc.ServerOption, error) {
	options := []grpc.ServerOption{
		grpc.ReadBufferSize(connectionBuffer),
		grpc.WriteBufferSize(connectionBuffer),
		grpc.MaxRecvMsgSize(maxRequestSize),
		grpc.MaxConcurrentStreams(maxStreams),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: pingInterval, Timeout: pingTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: pingInterval, PermitWithoutStream: true}),
	}
	if c.Certificate == "" {
		return options, nil
	}
	s.certificates = &certificates{certificateFile: c.Certificate, keyFile: c.Key, authorityFile: c.Authority}
	if err := s.certificates.load(); err != nil {
		return nil, err
	}
	return append(options, grpc.Creds(credentials.NewTLS(s.certificates.tlsConfig()))), nil
}

// Reload applies another operator file and reads the certificates again. Changes of the addresses, of the certificates'
// paths, of the preference for the local zone and of the connection limits take effect only at the next start. After an
// error the previous file stays in effect.
func (s *Service) Reload(c *config.Config) error {
	if c.ControlPlane == nil {
		return errNoControlPlane
	}
	static, warnings, err := staticResources(c)
	if err != nil {
		return err
	}
	for _, warning := range warnings {
		s.log.Warn(warning)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.certificates != nil && s.config != nil {
		if err := s.certificates.load(); err != nil {
			return err
		}
	}
	s.config, s.views.static = c, static
	maps.DeleteFunc(s.pools.assigned, func(name string, _ *assignment.Pool) bool {
		return !slices.ContainsFunc(c.Pools, func(pool config.Pool) bool { return pool.Name == name })
	})
	s.rebuildViews()
	s.notifySubscribers(false)
	return nil
}

// Serve accepts subscribers on a listener until Stop, which closes the listener.
func (s *Service) Serve(ln net.Listener) error {
	if err := s.server.Serve(ln); !errors.Is(err, grpc.ErrServerStopped) {
		return err
	}
	return nil
}

// Stop ends all streams, writes a last snapshot and waits for the background goroutine. Call it only once.
func (s *Service) Stop() {
	defer time.AfterFunc(gracefulStopDelay, s.server.Stop).Stop()
	close(s.lifecycle.quit)
	s.server.GracefulStop()
	s.lifecycle.background.Wait()
}

// processObservations applies observations as they arrive and writes a snapshot every snapshotInterval, until Stop. It
// writes a last snapshot then.
func (s *Service) processObservations() {
	snapshots := time.NewTicker(snapshotInterval)
	defer snapshots.Stop()
	defer s.writeSnapshot()
	for {
		select {
		case <-s.lifecycle.quit:
			return
		case <-snapshots.C:
			s.writeSnapshot()
		case <-s.inbox.wake:
			now, observations := s.inbox.take()
			s.updatePools(now, observations)
		}
	}
}

// runID is a random identifier of one run of the service. It is part of each version and nonce that is sent, so that
// those of different runs can be told apart.
type runID string

func newRunID() runID {
	id := make([]byte, 4)
	rand.Read(id) // it never returns an error
	return runID(hex.EncodeToString(id))
}
