// Package proxy accepts HTTP/1.1 requests on sockets and forwards them to servers as package balance decides.
//
// A request passes these stages, each in a file of its own: its client connection (clientconn.go) is accepted
// (listener.go), the request is read (readrequest.go), queued for this machine's cores and admitted (admission.go),
// routed to a pool (operatorroute.go) and forwarded in attempts (attempt.go); its outcome is recorded (outcome.go) and
// the response relayed to the client (response.go).
//
// One goroutine, the owner (eventLoop), makes every call to the balancers, one for each pool of servers (Decider),
// and owns all state of requests and endpoints. Each client connection has a goroutine of its own, which posts events
// to the owner and waits for one response. The owner never waits for a socket or for a client.
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
	"lockloom/internal/settings"
	"lockloom/internal/upstream"
)

// Aliases of the types that configure a proxy at its start.
type (
	// BootstrapConfig is everything that a proxy is configured with at its start.
	BootstrapConfig = bootstrap.Config
	// Limits are the resources of the machine: cores, memory and file descriptors.
	Limits = bootstrap.Limits
	// Settings are the settings that all proxies of the fleet share.
	Settings = settings.Settings
	// List is an endpoint list, or changes to it, as discovery sends it.
	List = discovery.List
)

// ReadBootstrap reads the bootstrap configuration from environment variables, which get looks up, and from the file
// that they name.
func ReadBootstrap(get func(string) string) (BootstrapConfig, error) { return bootstrap.Read(get) }

// File descriptors are divided among reserved ones, client connections and connections to servers.
const (
	defaultMaxSockets = 1024 // descriptors if the bootstrap configuration sets no limit
	reservedSockets   = 64   // descriptors for files, listeners, discovery and connections that are closing
	minSockets        = 4    // descriptors for clients and servers together, even if the limit is lower

	// clientSocketFraction is the share of the usable (not reserved) descriptors that client connections get. It is more
	// than half because a request may be queued for longer than its attempts take.
	clientSocketFraction = 0.75

	defaultConnectTimeout    = time.Second
	defaultServerIdleTimeout = 2 * time.Second // for idle connections to servers, if the deployment sets none

	// serverReuseDelay is the delay from a server's response to the next request on the same connection. It covers servers
	// that send a second response some milliseconds after the first, and delays of a busy machine.
	serverReuseDelay = 10 * time.Millisecond

	// serverIdleMargin is how long before the server the proxy closes an idle connection. It covers the time that a
	// request takes to reach the server and the delay of a late sweep.
	serverIdleMargin = 250 * time.Millisecond
)

// Proxy is one proxy of the fleet. Create it with New, configure it, then call Serve once. Any goroutine may call the
// methods whose documentation says so, also while Serve runs.
type Proxy struct {
	// Dial opens the connections to discovery and to servers. It may be set before Serve.
	Dial func(ctx context.Context, addr string) (net.Conn, error)

	// OnShareChanged is called with this process's share, from 0 to 1, of the proxy's resources, whenever another
	// process of the same proxy starts or ends while this one runs. It may be nil. It may be set before Listen.
	OnShareChanged func(share float64)

	clock
	log         logrus.FieldLogger
	bootstrap   BootstrapConfig
	maxDeadline time.Duration // the longest deadline of any class

	// Shared by all goroutines; each field does its own locking.
	registry       *settings.Registry // indexes of endpoints, classes and tenants; only those of endpoints change
	routing        atomic.Pointer[routingConfig]
	conns          connTable
	overload       overloadMonitor
	readDelays     readDelays
	turns          turnScheduler
	memory         memoryBudget
	lookahead      requestLookahead
	process        *processState
	sharedIDs      sharedIDs
	shutdown       shutdownState
	loop           eventLoop
	gossip         gossipTransport
	listeners      []net.Listener
	maxServerConns int // connections to servers, of all processes of this proxy together

	// Used by the owner goroutine only.
	upstream  *upstream.Pool
	endpoints endpointList
	requests  requestTable
	pools     poolSet
	estimates estimateReporter
	counters  counters
}

// New returns a proxy that does not serve yet. It fails if the balancer rejects the deployment.
func New(cfg BootstrapConfig, log logrus.FieldLogger) (*Proxy, error) {
	clk := clock{startedAt: time.Now()}
	p := &Proxy{
		Dial:      dial,
		clock:     clk,
		log:       log.WithField("proxy", cfg.Name),
		bootstrap: cfg,
		registry:  cfg.NewRegistry(),
		process:   newProcessState(),
		endpoints: newEndpointList(cfg.RemovalIsAdvisory),
		requests:  requestTable{ids: newRequestIDs()},
	}
	p.loop.init(clk, p.log)
	p.gossip.init()
	p.turns.init(clk)
	p.sharedIDs.init()
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

// divideSockets returns how many client connections and how many connections to servers a number of file descriptors
// allows; 0 stands for defaultMaxSockets.
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
	pool.MaxConnections, pool.ReserveMemory = p.maxServerConns, p.memory.reserveForResponse
	pool.ReleaseMemory = p.memory.release
	pool.IsStopped = p.disabledPastGrace
	pool.ConnectTimeout, pool.IdleTimeout = defaultConnectTimeout, defaultServerIdleTimeout
	pool.ReuseDelay = serverReuseDelay
	if timeout := p.bootstrap.ConnectTimeout; timeout > 0 {
		pool.ConnectTimeout = seconds(timeout)
	}
	if timeout := p.bootstrap.ServerIdleTimeout; timeout > 0 {
		// The timeout is as long as is safe, because in a large fleet most new connections replace expired ones.
		pool.IdleTimeout = max(seconds(timeout)-serverIdleMargin, seconds(timeout/2))
	}
	return pool
}

func dial(ctx context.Context, addr string) (net.Conn, error) {
	return (&net.Dialer{}).DialContext(ctx, "tcp", addr)
}

// ReloadBootstrap applies a new bootstrap configuration. Only the address of discovery may change; every other
// difference takes effect at the next start, since requests in flight were admitted under the old configuration. Any
// goroutine may call it.
func (p *Proxy) ReloadBootstrap(cfg BootstrapConfig) {
	p.post(func() {
		log := p.log.WithField("discovery", cfg.Discovery)
		current, next := p.bootstrap.Settings, cfg.Settings
		current.Seed, next.Seed = 0, 0
		if cfg.Limits != p.bootstrap.Limits || !reflect.DeepEqual(current, next) ||
			!reflect.DeepEqual(cfg.Fleet, p.bootstrap.Fleet) {
			log.Warn("launch file: changed limits, peers or settings take effect only at the next start")
		}
		log.Info("launch file reloaded")
		p.subscribe(cfg.Discovery)
	})
}

// post queues a function for the owner; see eventLoop.post.
func (p *Proxy) post(f func()) { p.loop.post(f) }
