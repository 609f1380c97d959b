// Package proxy serves HTTP/1.1 requests on sockets around the decisions of package balance.
//
// A request passes these stages, each in a file of its own: its client connection (clientconn.go) is accepted
// (listener.go), the request is read (readrequest.go), admitted to this core and to the decisions (admission.go),
// routed to a pool (operatorroute.go) and forwarded in attempts (attempt.go); its outcome is recorded (outcome.go)
// and the response relayed to the client (response.go).
//
// One goroutine, the owner (eventLoop), makes every call on the decisions and owns all state of requests and
// endpoints. Each client connection has a goroutine of its own, which posts events to the owner and waits for one
// response. The owner never waits for a socket or for a client.
package proxy

import (
	"context"
	"net"
	"reflect"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"lockloom/balance"
	"lockloom/internal/bootstrap"
	"lockloom/internal/discovery"
	"lockloom/internal/gossip"
	"lockloom/internal/settings"
	"lockloom/internal/upstream"
)

// Aliases of what a proxy is configured with when it starts.
type (
	// BootstrapConfig is the whole configuration.
	BootstrapConfig = bootstrap.Config
	// Limits are the bounds of the machine.
	Limits = bootstrap.Limits
	// Settings are those of the fleet.
	Settings = settings.Settings
	// List is a list of servers, as discovery sends it.
	List = discovery.List
)

// ReadBootstrap reads the bootstrap configuration from the environment's variables, by get, and from the file that
// they name.
func ReadBootstrap(get func(string) string) (BootstrapConfig, error) { return bootstrap.Read(get) }

// Sockets are divided between reserved ones, client connections and connections to servers.
const (
	defaultMaxSockets    = 1024 // descriptors, where the bootstrap configuration sets no limit
	reservedSockets      = 64   // descriptors for files, listeners, discovery and connections that are closing
	minSockets           = 4    // descriptors for clients and servers together, however low the limit is
	clientSocketFraction = 0.75 // of the sockets that are not reserved; a request may wait longer than its attempts take

	defaultConnectTimeout    = time.Second
	defaultServerIdleTimeout = 2 * time.Second // where the deployment does not say when servers close idle connections

	// serverIdleMargin is how long before its server an idle connection is closed here: the time for a request to
	// get there, and for a late sweep.
	serverIdleMargin = 250 * time.Millisecond
)

// Proxy is one proxy of the fleet. Create it with New, configure it, then call Serve once. Methods that are
// documented as such may be called by any goroutine while it serves.
type Proxy struct {
	// Dial opens the connections to discovery and servers. It may be set before Serve.
	Dial func(ctx context.Context, addr string) (net.Conn, error)

	// OnShareChanged is called with this process's share, from 0 to 1, of the proxy's resources, whenever another
	// process of the same proxy starts or ends beside it. It may be nil. It may be set before Listen.
	OnShareChanged func(share float64)

	clock
	log         logrus.FieldLogger
	bootstrap   BootstrapConfig
	maxDeadline time.Duration // the longest deadline of any class

	// Shared by all goroutines; each part synchronizes itself.
	registry       *settings.Registry // of endpoints, classes and tenants; the last two never change
	routing        atomic.Pointer[routingConfig]
	conns          connTable
	overload       overloadMonitor
	memory         memoryBudget
	process        *processState
	shutdown       shutdownState
	loop           eventLoop
	gossipLink     *gossip.Link // to the fleet's other proxies; nil: no gossip
	listeners      []net.Listener
	maxServerConns int // that this proxy's processes may have together

	// Owned by the owner goroutine.
	upstream  *upstream.Pool
	endpoints endpointList
	requests  requestTable
	pools     poolSet
	estimates estimateReporter
	counters  counters
}

// New makes a proxy that does not serve yet.
func New(cfg BootstrapConfig, log logrus.FieldLogger) (*Proxy, error) {
	clk := clock{startedAt: time.Now()}
	p := &Proxy{
		Dial:      dial,
		clock:     clk,
		log:       log.WithField("proxy", cfg.Name),
		bootstrap: cfg,
		registry:  cfg.NewRegistry(),
		process:   newProcessState(),
		endpoints: newEndpointList(),
		requests:  requestTable{openIDs: map[string]bool{}},
	}
	p.loop.init(clk, p.log)
	balancer, err := balance.New(cfg.Deployment, p.now())
	if err != nil {
		return nil, err
	}
	p.pools.init(&serverPool{decisions: uncaptured{balancer}, classes: cfg.Classes})
	p.raiseMaxDeadline(cfg.Classes)
	clients, servers := divideSockets(cfg.Limits.Sockets)
	p.conns.init(clients)
	p.maxServerConns = servers
	p.memory.init(cfg.Limits.Memory)
	p.overload.init(len(cfg.Tenants))
	p.upstream = p.newUpstreamPool()
	return p, nil
}

func (p *Proxy) raiseMaxDeadline(classes []balance.Class) {
	for i := range classes {
		p.maxDeadline = max(p.maxDeadline, seconds(classes[i].Deadline))
	}
}

// divideSockets returns how many client connections and connections to servers a number of descriptors allows; 0
// stands for the default.
func divideSockets(sockets int) (clients, servers int) {
	if sockets == 0 {
		sockets = defaultMaxSockets
	}
	usable := max(sockets-reservedSockets, minSockets)
	clients = max(int(clientSocketFraction*float64(usable)), 2)
	return clients, usable - clients
}

func (p *Proxy) newUpstreamPool() *upstream.Pool {
	dialNow := func(ctx context.Context, addr string) (net.Conn, error) { return p.Dial(ctx, addr) }
	pool := upstream.New(dialNow, p.post)
	pool.MaxConnections, pool.ReserveMemory = p.maxServerConns, p.memory.reserve
	pool.ConnectTimeout, pool.IdleTimeout = defaultConnectTimeout, defaultServerIdleTimeout
	if timeout := p.bootstrap.ConnectTimeout; timeout > 0 {
		pool.ConnectTimeout = seconds(timeout)
	}
	if timeout := p.bootstrap.ServerIdleTimeout; timeout > 0 {
		// As long as is safe: in a large fleet most new connections replace expired ones.
		pool.IdleTimeout = max(seconds(timeout)-serverIdleMargin, seconds(timeout/2))
	}
	return pool
}

func dial(ctx context.Context, addr string) (net.Conn, error) {
	return (&net.Dialer{}).DialContext(ctx, "tcp", addr)
}

// ReloadBootstrap applies a new bootstrap configuration. Only the address of discovery may change; every other
// difference takes effect at the next start, since requests were admitted by it. Any goroutine may call it.
func (p *Proxy) ReloadBootstrap(cfg BootstrapConfig) {
	p.post(func() {
		log := p.log.WithField("discovery", cfg.Discovery)
		current, next := p.bootstrap.Settings, cfg.Settings
		current.Seed, next.Seed = 0, 0
		if cfg.Limits != p.bootstrap.Limits || !reflect.DeepEqual(current, next) ||
			!reflect.DeepEqual(cfg.Fleet, p.bootstrap.Fleet) {
			log.Warn("limits, peers or settings differ: they take effect at the next start")
		}
		log.Info("launch file reloaded")
		p.subscribe(cfg.Discovery)
	})
}

// post has the owner run a function soon; see eventLoop.post.
func (p *Proxy) post(f func()) { p.loop.post(f) }
