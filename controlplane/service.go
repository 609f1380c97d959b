// Package controlplane is a control plane over xDS: proxies and clients that lockloom does not run subscribe to what
// one proxy decides about its servers (see package assignment), by the published protocol over gRPC. It learns from
// that proxy, which calls Update, and from the load reports of its subscribers, which it passes on to OutcomesReported.
// It decides no weight and selects no server itself.
//
// Of a Service, one goroutine takes in observations and writes snapshots, and each stream has two, one that receives
// and one that does all the rest. What they share is guarded by Service.mu; it is held for computations only, never for
// input or output, except when Reload reads certificates.
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
	connectionBuffer  = 4 << 10 // bytes; there may be a thousand connections, most of them idle
	maxStreams        = 16      // of one connection
	pingInterval      = time.Second
	pingTimeout       = time.Second // a connection that is half open ends after pingInterval and this
	gracefulStopDelay = time.Second // for streams to end by themselves
)

// errNoControlPlane is returned for an operator file that does not configure the service.
var errNoControlPlane = errors.New("the operator file has no control table")

// Service is a control plane. Its exported methods may be called concurrently.
type Service struct {
	// OutcomesReported is called with the outcomes of the attempts that a subscriber sent to a pool: by server how many
	// succeeded and failed. Set it before Serve. It may be called concurrently.
	OutcomesReported func(pool string, attempts map[string][2]int)

	log          logrus.FieldLogger
	run          runID
	certificates *certificates // nil: connections are not encrypted
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

// lifecycle ends what runs in the background.
type lifecycle struct {
	quit       chan struct{} // closed by Stop
	background sync.WaitGroup
}

// New returns a service for an operator file with a control table. It runs until Stop.
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
	// Started by Serve it could start after Stop, and write a snapshot then.
	s.lifecycle.background.Go(s.processObservations)
	return s, nil
}

// serverOptions returns the options of the gRPC server. It loads the certificates if there are any.
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

// Reload uses another operator file from now on, and reads the certificates again. Addresses, the certificates' paths
// and the limits of connections change with the next start. After an error the previous file stays in force.
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

// Serve serves subscribers on a listener until Stop, which closes it.
func (s *Service) Serve(ln net.Listener) error {
	if err := s.server.Serve(ln); !errors.Is(err, grpc.ErrServerStopped) {
		return err
	}
	return nil
}

// Stop ends all streams, writes a last snapshot and waits for everything that runs in the background. Call it once.
func (s *Service) Stop() {
	defer time.AfterFunc(gracefulStopDelay, s.server.Stop).Stop()
	close(s.lifecycle.quit)
	s.server.GracefulStop()
	s.lifecycle.background.Wait()
}

// processObservations takes in observations as they arrive and writes snapshots, until Stop.
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

// runID is random, and tells the versions and nonces of one run of the service from those of another.
type runID string

func newRunID() runID {
	id := make([]byte, 4)
	rand.Read(id) // it never returns an error
	return runID(hex.EncodeToString(id))
}
