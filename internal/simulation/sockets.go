package simulation

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"math"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"lockloom/balance"
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

// process is one proxy's program.
type process struct {
	mu           sync.Mutex
	cmd          *exec.Cmd
	ended        chan struct{}
	stopping     bool   // it was told to
	adminAddr    string // the operators'
	peakMemoryMB float64
	lastLogLine  string // line of its log
}

// Sockets plays a scenario on loopback sockets with a program for each proxy. Whatever happens, nothing is left
// running.
func (s *Scenario) Sockets(ctx context.Context, o Sockets) (*Result, error) {
	if _, err := exec.LookPath(o.Proxy); err != nil {
		return nil, fmt.Errorf("proxy program: %w", err)
	}
	if s.ProxyFleet.Count > maxPrograms {
		return nil, s.file.At("bank", 0, "proxies", "%d: on sockets each is a program, and %d are the most", s.ProxyFleet.Count, maxPrograms)
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
	st.score = &score{tally: newTally(s, f.Classes, o.Seed, o.Name, "sockets"), clockLateness: &lateness{}, start: math.Inf(1),
		audit: NewAudit(f.Classes, auditSlack, s.Deployment.DrainGrace, s.Deployment.NotificationDeadline)}
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
	if l := st.score.clockLateness; r.RigLateP99 > maxLateness || float64(l.over) > maxLateFraction*float64(max(l.all, 1)) {
		r.Void = fmt.Sprintf("the rig ran late: tries %.1f ms at the 99th percentile, servers over %.0f ms in %d of %d cases, %.1f ms at most",
			r.RigLateP99*1000, maxLateness*1000, l.over, l.all, l.worst*1000)
	}
	r.WallTime = time.Since(began).Seconds()
	return r, nil
}

// Requests is what servers need to know of each class's.
func (s *Scenario) RequestClasses() map[string]fakeserver.RequestClass {
	zones := map[string]int{}
	for i, z := range s.zones() {
		zones[z] = i
	}
	all := map[string]fakeserver.RequestClass{}
	for i, t := range s.Settings(0).Classes {
		all[t.Name] = fakeserver.RequestClass{Number: i, Work: s.Classes[i].Work, DedupWindow: t.DedupWindow,
			DedupGroup: func(m *emulator.Member) int { return dedupGroup(t, i, m, zones[m.Zone]) }}
	}
	return all
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
	d := &loadgen.Driver{Plan: loadgen.NewPlan(s.Workload(), st.options.Seed), Classes: st.score.tally.classes, Clients: loadgen.Clients(s.Clients),
		Proxies: st.proxyTargets, Observer: st.score, Seed: st.options.Seed, PlainHTTP: s.PlainHTTP()}
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

// start starts a proxy's program anew.
func (st *rig) start(i int) error {
	p := st.proxy(i)
	p.mu.Lock()
	defer p.mu.Unlock()
	name, agent := "p"+strconv.Itoa(i+1), st.servers.Agent(i)
	door, own := st.adminAddrs[i][0], filepath.Join(st.dir, name+".tmp")
	if p.adminAddr == door { // danger: two processes of one proxy never share a door
		door = st.adminAddrs[i][1]
	}
	if err := os.MkdirAll(own, 0o700); err != nil {
		return err
	}
	text, err := st.scenario.Launch(name, st.proxyAddrs[i], agent.Addr(), st.options.Seed+uint64(st.starts)<<16+uint64(i), agent.List())
	if err != nil {
		return err
	}
	st.starts++
	file := filepath.Join(st.dir, name+".json")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return err
	}
	args := []string{"serve"}
	if st.scenario.PlainHTTP() {
		operator := filepath.Join(st.dir, name+".toml")
		if err := os.WriteFile(operator, st.scenario.Operator(st.clientAddrs[i]), 0o600); err != nil {
			return err
		}
		args = append(args, "-operator", operator)
	}
	cmd := exec.Command(st.options.Proxy, args...)
	cmd.Env = append(os.Environ(), Variables(name, st.proxyAddrs[i], agent.Addr(), file)...)
	cmd.Env = append(cmd.Env, "ROUTER_OPERATOR="+door, "TMPDIR="+own)
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL} // Ctrl-C is for this program, which ends it
	log, err := cmd.StderrPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("proxy %d: %w", i+1, err)
	}
	var out *os.File
	if st.options.Logs != "" {
		if out, err = os.OpenFile(filepath.Join(st.options.Logs, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644); err != nil {
			cmd.Process.Kill()
			cmd.Wait()
			return err
		}
	}
	p.cmd, p.ended, p.stopping, p.adminAddr = cmd, make(chan struct{}), false, door
	ended := p.ended
	go func() {
		lines := bufio.NewScanner(log)
		for lines.Scan() {
			p.mu.Lock()
			p.lastLogLine = lines.Text()
			p.mu.Unlock()
			if out != nil {
				fmt.Fprintln(out, lines.Text())
			}
		}
		if out != nil {
			out.Close()
		}
		err := cmd.Wait()
		close(ended)
		p.mu.Lock()
		ending := p.stopping
		p.mu.Unlock()
		if !ending && st.ctx.Err() == nil {
			st.fail(fmt.Errorf("proxy %d ended by itself (%v): %s", i+1, err, p.lastLog()))
		}
	}()
	return nil
}

func (p *process) lastLog() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lastLogLine == "" {
		return "its log is empty"
	}
	return p.lastLogLine
}

// clientLeaves signals a proxy and waits until it has ended; one that does not end in time is killed.
func (st *rig) stop(i int, signal syscall.Signal) { st.end(st.proxy(i), signal) }

func (st *rig) end(p *process, signal syscall.Signal) {
	p.mu.Lock()
	cmd, ended := p.cmd, p.ended
	p.stopping = true
	if cmd != nil {
		p.peakMemoryMB = max(p.peakMemoryMB, peakMemoryMB(cmd.Process.Pid))
		select {
		case <-ended:
		default:
			cmd.Process.Signal(signal)
		}
	}
	p.mu.Unlock()
	if cmd == nil {
		return
	}
	select {
	case <-ended:
	case <-time.After(seconds(st.scenario.longest()+killMargin) + killDelay):
		cmd.Process.Kill()
		<-ended
	}
}

func (st *rig) stopAll() {
	var work sync.WaitGroup
	for i := range st.proxyAddrs {
		work.Go(func() { st.stop(i, syscall.SIGTERM) })
	}
	work.Wait()
}

// peakMemoryMB is the most memory that a program has used, in MB; 0: not known.
func peakMemoryMB(pid int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		if f := strings.Fields(line); len(f) == 3 && f[0] == "VmHWM:" {
			kb, _ := strconv.ParseFloat(f[1], 64)
			return kb / 1024
		}
	}
	return 0
}

// Variables are those that a proxy's program reads.
func Variables(name, listen, discovery, file string) []string {
	return []string{"ROUTER_NAME=" + name, "ROUTER_LISTEN=" + listen, "ROUTER_DISCOVERY=" + discovery, "ROUTER_CONFIG=" + file}
}

// Launch is the launch file of one proxy, in the platform's form.
func (s *Scenario) Launch(name, listen, discovery string, seed uint64, known json.RawMessage) ([]byte, error) {
	ms := func(s float64) float64 { return s * 1000 }
	d := s.Deployment
	type object map[string]any
	effects := map[balance.Idempotency]string{balance.Idempotent: "retryable", balance.Keyed: "dedup", balance.NonIdempotent: "fragile"}
	groups := map[balance.DedupScope]string{balance.DedupAll: "all", balance.DedupZone: "zone", balance.DedupPod: "cell"}
	f := s.Settings(seed)
	var profiles, realms []object
	for _, t := range f.Classes {
		p := object{"Name": t.Name, "Effect": effects[t.Idempotency], "DueTimeMs": ms(t.LatencyObjective), "HardStopMs": ms(t.Deadline), "Value": t.PriorityWeight}
		if t.Idempotency == balance.Keyed {
			p["DedupScope"], p["WindowMs"] = groups[t.DedupScope], ms(t.DedupWindow)
		}
		profiles = append(profiles, p)
	}
	for _, c := range f.Tenants {
		realms = append(realms, object{"Name": c.Name, "QuotaPerS": c.Quota})
	}
	return json.MarshalIndent(object{"name": name, "listen": listen, "discovery": discovery, "seed": strconv.FormatUint(seed, 16),
		"limits": object{"cores": s.ProxyFleet.Cores, "memory_mb": s.ProxyFleet.MemoryMB, "sockets": s.ProxyFleet.Sockets}, "known": known,
		"settings": object{"ReplicasOfMe": s.ProxyFleet.Count, "Zones": f.Zones, "Discovery": "push",
			"FamilyInfo": object{"WarmKeys": f.CacheAffinity},
			"Ceilings": object{"MaxLegs": d.MaxAttempts, "Cancel": d.CancelAllowed, "ParallelTries": d.HedgingAllowed, "RetryAfter": d.MaxRetryAfter > 0,
				"MaxRetryAfterMs": ms(d.MaxRetryAfter), "ConnectTimeoutMs": ms(d.ConnectTimeout), "ConnIdleMs": ms(d.IdleTimeout)},
			"Rules": object{"StopSendingWithinMs": ms(d.DrainGrace), "AskEveryMs": ms(d.NotificationDeadline), "ColdFrom": d.SlowStartFraction, "ColdMs": ms(d.SlowStartDuration),
				"FallMultiple": d.CrashFactor, "OverloadForMs": ms(d.CrashDuration)},
			"Profiles": profiles, "Realms": realms}}, "", " ")
}
