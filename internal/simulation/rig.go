package simulation

import (
	"context"
	"fmt"
	"math"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"lockloom/internal/emulator"
	"lockloom/internal/fakeserver"
	"lockloom/internal/loadgen"
)

const (
	readyTimeout      = 15 * time.Second       // for a proxy to become ready after its start
	readyInterval     = 20 * time.Millisecond  // between readiness checks
	readyCheckTimeout = 5 * readyInterval      // of one readiness check
	settleDuration    = 500 * time.Millisecond // from when all proxies are ready to the start of the workload
	auditSlack        = 0.05                   // s; tolerance of the audit for clock error and network delay
	maxLateness       = 0.01                   // s; limit for server actions, and for the 99th percentile of the sends
	maxLateFraction   = 0.01                   // a run with a larger fraction of late server actions is void
)

// SocketOptions are the options of a run on sockets, with a process for each proxy.
type SocketOptions struct {
	Proxy    string // path of the proxy program, which is run with the argument serve
	Name     string // name of the policy in results
	Seed     uint64
	Ready    time.Duration        // timeout for a proxy to become ready after its start; 0: 15 s
	Logs     string               // folder for the proxies' logs; empty: they are discarded
	Progress func(second, of int) // called each second; may be nil
	Dir      string               // folder for launch files; empty: a temporary one
}

// rig is a run on sockets: the proxy processes, and the fake servers and clients around them.
type rig struct {
	scenario     *Scenario
	options      *SocketOptions
	recorder     *recorder
	servers      *fakeserver.ServerGroup
	proxyTargets *loadgen.RoundRobin
	abort        context.CancelFunc // ends the run
	dir          string             // for launch files
	rigAddrs

	mu        sync.Mutex // guards the fields below
	processes []*process // by proxy: the process that was started last
	starts    int        // number of processes started so far
	err       error      // the first error of the run
}

// rigAddrs are the proxies' addresses.
type rigAddrs struct {
	proxyAddrs  []string   // platform listeners
	clientAddrs []string   // where clients connect: the platform listeners, or the HTTP listeners
	adminAddrs  [][]string // two for each proxy, since a second process cannot share the admin endpoint of the first
}

// PlayOnSockets plays a scenario on loopback sockets with a process for each proxy. It stops all processes before it
// returns, also after an error.
func (s *Scenario) PlayOnSockets(ctx context.Context, options SocketOptions) (*Result, error) {
	if _, err := exec.LookPath(options.Proxy); err != nil {
		return nil, fmt.Errorf("proxy program: %w", err)
	}
	if s.ProxyFleet.Count > maxProcesses {
		return nil, s.file.ErrorAt("bank", 0, "proxies",
			"%d: at most %d on sockets, where each proxy is a process", s.ProxyFleet.Count, maxProcesses)
	}
	startedAt := time.Now()
	ctx, abort := context.WithCancel(ctx)
	defer abort()
	r := &rig{scenario: s, options: &options, abort: abort, dir: options.Dir}
	if r.dir == "" {
		dir, err := os.MkdirTemp("", "rehearse")
		if err != nil {
			return nil, err
		}
		defer func() { _ = os.RemoveAll(dir) }() // ignored: the system removes temporary folders
		r.dir = dir
	}
	result, err := r.play(ctx)
	if err != nil {
		return nil, err
	}
	result.WallTime = time.Since(startedAt).Seconds()
	return result, nil
}

// play starts the servers and the proxies, runs the scenario, and stops them all.
func (r *rig) play(ctx context.Context) (*Result, error) {
	r.recorder = newRecorder(r.scenario, r.options.Seed, r.options.Name, wallClock())
	fleet := r.scenario.NewFleet(r.options.Seed, r.recorder.now())
	servers, err := fakeserver.Open(fleet, r.scenario.ProxyFleet.Count, r.scenario.RequestClasses(), r.recorder)
	if err != nil {
		return nil, err
	}
	defer servers.Close()
	servers.OnCompletionDelay = r.recorder.clockLateness.record
	servers.IndentLists = r.scenario.Deployment.IndentedLists
	r.servers = servers
	if err := r.findAddrs(); err != nil {
		return nil, err
	}
	r.proxyTargets = loadgen.NewRoundRobin(r.clientAddrs)
	defer r.proxyTargets.Close()
	for i, target := range r.proxyTargets.Targets {
		target.ReadyAddr = r.proxyAddrs[i]
		r.processes = append(r.processes, &process{})
	}
	defer r.stopAll()
	for i := range r.processes {
		if err := r.start(ctx, i); err != nil {
			return nil, err
		}
	}
	err = r.waitReady(ctx)
	if err == nil {
		r.run(ctx)
	}
	// The first error of the run comes first: it canceled the context, which made the others fail.
	for _, err := range []error{r.firstError(), servers.Err(), err, ctx.Err()} {
		if err != nil {
			return nil, err
		}
	}
	r.stopAll()
	return r.result(), nil
}

// findAddrs finds free loopback addresses for the proxies' listeners and admin endpoints.
func (r *rig) findAddrs() (err error) {
	n := r.scenario.ProxyFleet.Count
	if r.proxyAddrs, err = r.servers.FreeAddrs(n); err != nil {
		return err
	}
	r.clientAddrs = r.proxyAddrs
	if r.scenario.PlainHTTP() {
		if r.clientAddrs, err = r.servers.FreeAddrs(n); err != nil {
			return err
		}
	}
	for range n {
		addrs, err := r.servers.FreeAddrs(2)
		if err != nil {
			return err
		}
		r.adminAddrs = append(r.adminAddrs, addrs)
	}
	return nil
}

// result returns the result of a run whose proxies have exited. The run is void if the rig was late too often.
func (r *rig) result() *Result {
	r.recorder.audit.Close(r.recorder.now())
	var result *Result
	r.servers.Inspect(func(f *emulator.Fleet) { result = r.recorder.tally.result(f, r.recorder.audit) })
	for i := range r.proxyAddrs {
		result.ProxyMemoryMB = max(result.ProxyMemoryMB, r.process(i).peakMemoryMB)
	}
	late := r.recorder.clockLateness
	if result.RigLateP99 > maxLateness || float64(late.over) > maxLateFraction*float64(max(late.all, 1)) {
		result.Void = fmt.Sprintf("the rig ran late: tries %.1f ms at the 99th percentile, "+
			"servers over %.0f ms in %d of %d cases, %.1f ms at most",
			result.RigLateP99*1000, maxLateness*1000, late.over, late.all, late.worst*1000)
	}
	return result
}

func (r *rig) firstError() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.err
}

// fail aborts the run with an error. Only the first error of a run is kept.
func (r *rig) fail(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.err == nil {
		r.err = err
	}
	r.abort()
}

// failOn aborts the run if err is not nil and the context is not done.
func (r *rig) failOn(ctx context.Context, err error) {
	if err != nil && ctx.Err() == nil {
		r.fail(err)
	}
}

// waitReady waits until all proxies are ready.
func (r *rig) waitReady(ctx context.Context) error {
	timeout := r.options.Ready
	if timeout == 0 {
		timeout = readyTimeout
	}
	deadline := time.Now().Add(timeout)
	for i, p := range r.processes {
		for loadgen.CheckReady(r.proxyAddrs[i], readyCheckTimeout) != nil {
			select {
			case <-p.ended:
				return fmt.Errorf("proxy %d ended before it was ready: %s", i+1, p.lastLog())
			case <-ctx.Done():
				return ctx.Err()
			case <-time.After(readyInterval):
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("proxy %d is not up after %v: %s", i+1, timeout, p.lastLog())
			}
		}
		r.proxyTargets.Targets[i].MarkReady()
	}
	return nil
}

// run plays the timeline and the workload, and returns when both are over.
func (r *rig) run(ctx context.Context) {
	start := time.Now().Add(settleDuration)
	r.recorder.setStart(r.recorder.now() + settleDuration.Seconds())
	watchCtx, stop := context.WithCancel(ctx)
	var work sync.WaitGroup
	defer work.Wait()
	defer stop()
	work.Go(func() { r.proxyTargets.WatchReadiness(watchCtx) })
	work.Go(func() { r.playTimeline(ctx, watchCtx, &work, start) })
	work.Go(func() { r.recordSeconds(watchCtx, start) })
	driver := &loadgen.Driver{
		Plan:      loadgen.NewPlan(r.scenario.Workload(), r.options.Seed),
		Classes:   r.recorder.tally.classes,
		Tenants:   r.scenario.tenantNames(),
		Clients:   loadgen.ClientPolicy(r.scenario.Clients),
		Proxies:   r.proxyTargets,
		Observer:  r.recorder,
		Seed:      r.options.Seed,
		PlainHTTP: r.scenario.PlainHTTP(),
	}
	driver.Run(ctx, start)
}

// playTimeline carries out the entries of the timeline until watchCtx is done. Events at proxies that last for some
// time, such as an upgrade, run in goroutines of work until they are complete or ctx is done.
func (r *rig) playTimeline(ctx, watchCtx context.Context, work *sync.WaitGroup, start time.Time) {
	for _, entry := range r.scenario.Timeline() {
		select {
		case <-time.After(time.Until(start.Add(seconds(entry.At)))):
		case <-watchCtx.Done():
			return
		}
		r.recorder.event(entry.String())
		r.apply(ctx, work, entry)
	}
}

// recordSeconds records the servers' states at the end of each second.
func (r *rig) recordSeconds(ctx context.Context, start time.Time) {
	last := r.scenario.WholeSeconds()
	for n := 1; n <= last; n++ {
		select {
		case <-time.After(time.Until(start.Add(time.Duration(n) * time.Second))):
		case <-ctx.Done():
			return
		}
		r.servers.Inspect(func(f *emulator.Fleet) { r.recorder.endSecond(float64(n-1), f) })
		if r.options.Progress != nil {
			r.options.Progress(n, last)
		}
	}
}

// apply carries out an entry of the timeline.
func (r *rig) apply(ctx context.Context, work *sync.WaitGroup, entry TimelineEntry) {
	if entry.ProxyEvent == NoProxyEvent {
		if err := r.servers.Apply(entry.Change); err != nil {
			r.fail(err)
		}
		return
	}
	for i := range r.proxyAddrs {
		if entry.ProxyIndex < 0 || entry.ProxyIndex == i {
			r.applyProxyEvent(ctx, work, i, entry)
		}
	}
}

// applyProxyEvent carries out an event at one proxy. Events that take longer run in work.
func (r *rig) applyProxyEvent(ctx context.Context, work *sync.WaitGroup, i int, entry TimelineEntry) {
	duration := seconds(entry.Duration)
	switch entry.ProxyEvent {
	case ProxyUpgrade:
		work.Go(func() { r.failOn(ctx, r.upgrade(ctx, i)) })
	case ProxyDrain:
		work.Go(func() { r.failOn(ctx, r.drain(ctx, i, duration)) })
	case DisableServer:
		work.Go(func() { r.failOn(ctx, r.disableServer(ctx, i, entry.Change.Position, duration)) })
	case ProxyKill:
		work.Go(func() {
			r.proxyTargets.Targets[i].MarkKilled()
			r.stop(i, syscall.SIGKILL)
			time.Sleep(duration)
			r.startAgain(ctx, i)
		})
	case ProxyRestart:
		work.Go(func() {
			r.stop(i, syscall.SIGTERM)
			r.startAgain(ctx, i)
		})
	default:
		entry.applyToList(r.servers.Agent(i))
	}
}

// startAgain starts a new process of a proxy that has exited, unless the run is over.
func (r *rig) startAgain(ctx context.Context, i int) {
	if ctx.Err() != nil {
		return
	}
	if err := r.start(ctx, i); err != nil {
		r.fail(err)
	}
}

// applyToList carries out an event at a proxy's endpoint list through its discovery agent, and ignores other events.
func (e TimelineEntry) applyToList(agent *fakeserver.Agent) {
	switch e.ProxyEvent {
	case ListLate:
		agent.Delay(seconds(e.Delay), seconds(e.Duration))
	case ListSilent:
		agent.Silence(seconds(e.Duration))
	case ListReset:
		agent.CloseWatches()
	case ListMute:
		agent.MuteWatches()
	}
}

// wallClock returns a clock in seconds since 1970 that never steps back.
func wallClock() func() float64 {
	start := time.Now()
	return func() float64 { return float64(start.UnixMicro())/1e6 + time.Since(start).Seconds() }
}

// newRecorder returns the recorder of a run on sockets. Call setStart before the first request.
func newRecorder(s *Scenario, seed uint64, policy string, now func() float64) *recorder {
	classes := s.Settings(seed).Classes
	return &recorder{
		tally:         newTally(s, classes, seed, policy, "sockets"),
		clockLateness: &lateness{},
		start:         math.Inf(1),
		now:           now,
		audit:         NewAudit(classes, auditSlack, s.Deployment.DrainGrace, s.Deployment.NotificationDeadline),
	}
}

// setStart sets when the run starts, in seconds since 1970.
func (r *recorder) setStart(at float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.start = at
}

func (s *Scenario) tenantNames() []string {
	var names []string
	for _, t := range s.Tenants {
		names = append(names, t.Name)
	}
	return names
}
