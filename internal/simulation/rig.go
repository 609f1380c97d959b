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

// BurstInterval constant of a run on sockets.
const (
	readyTimeout    = 15 * time.Second       // for a proxy to be up after its start
	readyInterval   = 20 * time.Millisecond  // between questions
	settleDuration  = 500 * time.Millisecond // from all being up to the first request
	auditSlack      = 0.05                   // s past each limit of the rules, for two clocks' reading and the wire
	maxLateness     = 0.01                   // s that the rig may be late ...
	maxLateFraction = 0.01                   // ... for this share of what it does; past that the figures are void
	killDelay       = 2 * time.Second        // past what a proxy has to end by itself once told to stop
)

// Sockets is how to play a scenario with whole programs.
type Sockets struct {
	Proxy    string // the program, run as PROXY serve
	Name     string // of the policy, in results
	Seed     uint64
	Ready    time.Duration        // for a proxy to be up after its start; 0: 15 s
	Logs     string               // where the proxies' logs go; empty: nowhere
	Progress func(second, of int) // called each second; may be nil
	Dir      string               // for launch files; empty: one of its own, removed in the end
}

// rig is all that a run on sockets has going.
type rig struct {
	scenario     *Scenario
	options      *Sockets
	servers      *fakeserver.ServerGroup
	proxyTargets *loadgen.RoundRobin
	score        *score
	dir          string
	proxyAddrs   []string
	clientAddrs  []string // where clients connect: addrs, or the ordinary doors
	proxies      []*process
	adminAddrs   [][]string // the operators', two a proxy: one for each of two processes
	starts       int
	ctx          context.Context
	mu           sync.Mutex
	err          error
	abort        context.CancelFunc
}

// Sockets plays a scenario on loopback sockets with a program for each proxy. Whatever happens, nothing is left
// running.
func (s *Scenario) Sockets(ctx context.Context, o Sockets) (*Result, error) {
	if _, err := exec.LookPath(o.Proxy); err != nil {
		return nil, fmt.Errorf("proxy program: %w", err)
	}
	if s.ProxyFleet.Count > maxPrograms {
		return nil, s.file.At(
			"bank",
			0,
			"proxies",
			"%d: on sockets each is a program, and %d are the most",
			s.ProxyFleet.Count,
			maxPrograms,
		)
	}
	began := time.Now()
	f := s.Settings(o.Seed)
	ctx, abort := context.WithCancel(ctx)
	defer abort()
	st := &rig{scenario: s, options: &o, ctx: ctx, abort: abort, dir: o.Dir}
	if st.dir == "" {
		dir, err := os.MkdirTemp("", "rehearse")
		if err != nil {
			return nil, err
		}
		defer os.RemoveAll(dir)
		st.dir = dir
	}
	st.score = &score{
		tally:         newTally(s, f.Classes, o.Seed, o.Name, "sockets"),
		clockLateness: &lateness{},
		start:         math.Inf(1),
		audit:         NewAudit(f.Classes, auditSlack, s.Deployment.DrainGrace, s.Deployment.NotificationDeadline),
	}
	clock := time.Now()
	st.score.now = func() float64 { return float64(clock.UnixMicro())/1e6 + time.Since(clock).Seconds() }
	fleet := s.Fleet(o.Seed, st.score.now())
	servers, err := fakeserver.Open(fleet, s.ProxyFleet.Count, s.RequestClasses(), st.score)
	if err != nil {
		return nil, err
	}
	defer servers.Close()
	servers.OnLate, servers.IndentLists = st.score.clockLateness.record, s.Deployment.IndentedLists
	st.servers = servers
	if st.proxyAddrs, err = servers.FreeAddrs(s.ProxyFleet.Count); err != nil {
		return nil, err
	}
	if st.clientAddrs = st.proxyAddrs; s.PlainHTTP() {
		if st.clientAddrs, err = servers.FreeAddrs(s.ProxyFleet.Count); err != nil {
			return nil, err
		}
	}
	for range st.proxyAddrs {
		doors, err := servers.FreeAddrs(2)
		if err != nil {
			return nil, err
		}
		st.adminAddrs = append(st.adminAddrs, doors)
	}
	st.proxyTargets = loadgen.NewRoundRobin(st.clientAddrs)
	for i, t := range st.proxyTargets.Targets {
		t.ReadyAddr = st.proxyAddrs[i]
	}
	defer st.proxyTargets.Close()
	for range st.proxyAddrs {
		st.proxies = append(st.proxies, &process{})
	}
	defer st.stopAll()
	for i := range st.proxies {
		if err := st.start(i); err != nil {
			return nil, err
		}
	}
	err = st.ready()
	if err == nil {
		st.run()
	}
	for _, err := range []error{st.firstError(), servers.Err(), err, ctx.Err()} { // the cause first: it ended the others
		if err != nil {
			return nil, err
		}
	}
	st.stopAll()
	st.score.audit.Close(st.score.now())
	var r *Result
	servers.Inspect(func(f *emulator.Fleet) { r = st.score.tally.result(f, st.score.audit) })
	for i := range st.proxyAddrs {
		r.ProxyMemoryMB = max(r.ProxyMemoryMB, st.proxy(i).peakMemoryMB)
	}
	if l := st.score.clockLateness; r.RigLateP99 > maxLateness ||
		float64(l.over) > maxLateFraction*float64(max(l.all, 1)) {
		r.Void = fmt.Sprintf(
			"the rig ran late: tries %.1f ms at the 99th percentile, servers over %.0f ms in %d of %d cases, %.1f ms at most",
			r.RigLateP99*1000,
			maxLateness*1000,
			l.over,
			l.all,
			l.worst*1000,
		)
	}
	r.WallTime = time.Since(began).Seconds()
	return r, nil
}

func (st *rig) firstError() error {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.err
}

// fail ends the run with an error; the first one counts.
func (st *rig) fail(err error) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.err == nil {
		st.err = err
	}
	st.abort()
}

// ready waits until all proxies are up.
func (st *rig) ready() error {
	wait := st.options.Ready
	if wait == 0 {
		wait = readyTimeout
	}
	end := time.Now().Add(wait)
	for i, p := range st.proxies {
		for loadgen.CheckReady(st.proxyAddrs[i], readyInterval*5) != nil {
			select {
			case <-p.ended:
				return fmt.Errorf("proxy %d ended before it was up: %s", i+1, p.lastLog())
			case <-st.ctx.Done():
				return st.ctx.Err()
			case <-time.After(readyInterval):
			}
			if time.Now().After(end) {
				return fmt.Errorf("proxy %d is not up after %v: %s", i+1, wait, p.lastLog())
			}
		}
		st.proxyTargets.Targets[i].MarkReady()
	}
	return nil
}

// run plays timeline and requests, and looks at the fleet each second.
func (st *rig) run() {
	s := st.scenario
	start := time.Now().Add(settleDuration)
	st.score.mu.Lock()
	st.score.start = st.score.now() + settleDuration.Seconds()
	st.score.mu.Unlock()
	watching, stop := context.WithCancel(st.ctx)
	var work sync.WaitGroup
	defer work.Wait()
	defer stop()
	work.Go(func() { st.proxyTargets.Watch(watching) })
	work.Go(func() {
		for _, h := range s.Timeline() {
			select {
			case <-time.After(time.Until(start.Add(seconds(h.At)))):
			case <-watching.Done():
				return
			}
			st.score.event(h.String())
			st.apply(&work, h)
		}
	})
	work.Go(func() {
		for n := 1; n <= s.WholeSeconds(); n++ {
			select {
			case <-time.After(time.Until(start.Add(time.Duration(n) * time.Second))):
			case <-watching.Done():
				return
			}
			st.servers.Inspect(func(f *emulator.Fleet) { st.score.endSecond(float64(n-1), f) })
			if st.options.Progress != nil {
				st.options.Progress(n, s.WholeSeconds())
			}
		}
	})
	d := &loadgen.Driver{
		Plan:      loadgen.NewPlan(s.Workload(), st.options.Seed),
		Classes:   st.score.tally.classes,
		Clients:   loadgen.Clients(s.Clients),
		Proxies:   st.proxyTargets,
		Observer:  st.score,
		Seed:      st.options.Seed,
		PlainHTTP: s.PlainHTTP(),
	}
	for _, c := range s.Tenants {
		d.Tenants = append(d.Tenants, c.Name)
	}
	d.Run(st.ctx, start)
}

// apply carries out something of the timeline.
func (st *rig) apply(work *sync.WaitGroup, h TimelineEntry) {
	if h.ProxyEvent == NoProxyEvent {
		if err := st.servers.Apply(h.Change); err != nil {
			st.fail(err)
		}
		return
	}
	for i := range st.proxyAddrs {
		if h.ProxyIndex >= 0 && h.ProxyIndex != i {
			continue
		}
		switch h.ProxyEvent {
		case ProxyUpgrade:
			work.Go(func() { st.failOn(st.upgrade(i)) })
		case ProxyDrain:
			work.Go(func() { st.failOn(st.drain(i, seconds(h.Duration))) })
		case DisableServer:
			work.Go(func() { st.failOn(st.disableServer(i, h.Change.Position, seconds(h.Duration))) })
		default:
			h.applyToList(st.servers.Agent(i))
		case ProxyKill, ProxyRestart:
			work.Go(func() {
				if h.ProxyEvent == ProxyKill {
					st.proxyTargets.Targets[i].MarkKilled()
					st.stop(i, syscall.SIGKILL)
					time.Sleep(seconds(h.Duration))
				} else {
					st.stop(i, syscall.SIGTERM)
				}
				if st.ctx.Err() == nil {
					if err := st.start(i); err != nil {
						st.fail(err)
					}
				}
			})
		}
	}
}

// listChanged carries out what happens to a proxy's list, if it is that.
func (h TimelineEntry) applyToList(a *fakeserver.Agent) {
	switch h.ProxyEvent {
	case ListLate:
		a.Delay(seconds(h.Delay), seconds(h.Duration))
	case ListSilent:
		a.Silence(seconds(h.Duration))
	case ListReset:
		a.CloseWatches()
	case ListMute:
		a.MuteWatches()
	}
}
