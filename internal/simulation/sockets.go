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

// Every constant of a run on sockets.
const (
	readyFor   = 15 * time.Second       // for a proxy to be up after its start
	readyEach  = 20 * time.Millisecond  // between questions
	settleFor  = 500 * time.Millisecond // from all being up to the first request
	sliceSlack = 0.05                   // s past each limit of the rules, for two clocks' reading and the wire
	lateMost   = 0.01                   // s that the rig may be late ...
	lateShare  = 0.01                   // ... for this share of what it does; past that the figures are void
	killAfter  = 2 * time.Second        // past what a proxy has to end by itself once told to stop
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

// stage is all that a run on sockets has going.
type stage struct {
	s       *Scenario
	o       *Sockets
	servers *fakeserver.ServerGroup
	front   *loadgen.RoundRobin
	score   *score
	dir     string
	addrs   []string
	doors   []string // where clients connect: addrs, or the ordinary doors
	proxies []*process
	doorsOf [][]string // the operators', two a proxy: one for each of two processes
	era     int
	ctx     context.Context
	mu      sync.Mutex
	fault   error
	abort   context.CancelFunc
}

// process is one proxy's program.
type process struct {
	mu     sync.Mutex
	cmd    *exec.Cmd
	ended  chan struct{}
	ending bool   // it was told to
	door   string // the operators'
	peak   float64
	last   string // line of its log
}

// Sockets plays a scenario on loopback sockets with a program for each proxy. Whatever happens, nothing is left running.
func (s *Scenario) Sockets(ctx context.Context, o Sockets) (*Result, error) {
	if _, err := exec.LookPath(o.Proxy); err != nil {
		return nil, fmt.Errorf("proxy program: %w", err)
	}
	if s.Bank.Proxies > programsMost {
		return nil, s.file.At("bank", 0, "proxies", "%d: on sockets each is a program, and %d are the most", s.Bank.Proxies, programsMost)
	}
	began := time.Now()
	f := s.Figures(o.Seed)
	ctx, abort := context.WithCancel(ctx)
	defer abort()
	st := &stage{s: s, o: &o, ctx: ctx, abort: abort, dir: o.Dir}
	if st.dir == "" {
		dir, err := os.MkdirTemp("", "rehearse")
		if err != nil {
			return nil, err
		}
		defer os.RemoveAll(dir)
		st.dir = dir
	}
	st.score = &score{tally: newTally(s, f.Classes, o.Seed, o.Name, "sockets"), slow: &lateness{}, start: math.Inf(1),
		audit: NewAudit(f.Classes, sliceSlack, s.Deployment.Grace, s.Deployment.CountsAfter)}
	clock := time.Now()
	st.score.now = func() float64 { return float64(clock.UnixMicro())/1e6 + time.Since(clock).Seconds() }
	fleet := s.Fleet(o.Seed, st.score.now())
	yard, err := fakeserver.Open(fleet, s.Bank.Proxies, s.Lookups(), st.score)
	if err != nil {
		return nil, err
	}
	defer yard.Close()
	yard.OnLate, yard.IndentLists = st.score.slow.note, s.Deployment.Indented
	st.servers = yard
	if st.addrs, err = yard.FreeAddrs(s.Bank.Proxies); err != nil {
		return nil, err
	}
	if st.doors = st.addrs; s.Ordinary() {
		if st.doors, err = yard.FreeAddrs(s.Bank.Proxies); err != nil {
			return nil, err
		}
	}
	for range st.addrs {
		doors, err := yard.FreeAddrs(2)
		if err != nil {
			return nil, err
		}
		st.doorsOf = append(st.doorsOf, doors)
	}
	st.front = loadgen.NewRoundRobin(st.doors)
	for i, t := range st.front.Targets {
		t.ReadyAddr = st.addrs[i]
	}
	defer st.front.Close()
	for range st.addrs {
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
	for _, err := range []error{st.err(), yard.Err(), err, ctx.Err()} { // the cause first: it ended the others
		if err != nil {
			return nil, err
		}
	}
	st.stopAll()
	st.score.audit.Close(st.score.now())
	var r *Result
	yard.Inspect(func(f *emulator.Fleet) { r = st.score.tally.close(f, st.score.audit) })
	for i := range st.addrs {
		r.Peak = max(r.Peak, st.proxy(i).peak)
	}
	if l := st.score.slow; r.RigLate > lateMost || float64(l.over) > lateShare*float64(max(l.all, 1)) {
		r.Void = fmt.Sprintf("the rig ran late: tries %.1f ms at the 99th percentile, servers over %.0f ms in %d of %d cases, %.1f ms at most",
			r.RigLate*1000, lateMost*1000, l.over, l.all, l.worst*1000)
	}
	r.Took = time.Since(began).Seconds()
	return r, nil
}

// Requests is what servers need to know of each class's.
func (s *Scenario) Lookups() map[string]fakeserver.RequestClass {
	zones := map[string]int{}
	for i, z := range s.zones() {
		zones[z] = i
	}
	all := map[string]fakeserver.RequestClass{}
	for i, t := range s.Figures(0).Classes {
		all[t.Name] = fakeserver.RequestClass{Number: i, Work: s.Tariffs[i].Work, DedupWindow: t.DedupWindow,
			DedupGroup: func(m *emulator.Member) int { return marks(t, i, m, zones[m.Zone]) }}
	}
	return all
}

func (st *stage) err() error {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.fault
}

// fail ends the run with an error; the first one counts.
func (st *stage) fail(err error) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.fault == nil {
		st.fault = err
	}
	st.abort()
}

// ready waits until all proxies are up.
func (st *stage) ready() error {
	wait := st.o.Ready
	if wait == 0 {
		wait = readyFor
	}
	end := time.Now().Add(wait)
	for i, p := range st.proxies {
		for loadgen.CheckReady(st.addrs[i], readyEach*5) != nil {
			select {
			case <-p.ended:
				return fmt.Errorf("proxy %d ended before it was up: %s", i+1, p.tail())
			case <-st.ctx.Done():
				return st.ctx.Err()
			case <-time.After(readyEach):
			}
			if time.Now().After(end) {
				return fmt.Errorf("proxy %d is not up after %v: %s", i+1, wait, p.tail())
			}
		}
		st.front.Targets[i].MarkReady()
	}
	return nil
}

// run plays timeline and requests, and looks at the fleet each second.
func (st *stage) run() {
	s := st.s
	start := time.Now().Add(settleFor)
	st.score.mu.Lock()
	st.score.start = st.score.now() + settleFor.Seconds()
	st.score.mu.Unlock()
	watching, stop := context.WithCancel(st.ctx)
	var work sync.WaitGroup
	defer work.Wait()
	defer stop()
	work.Go(func() { st.front.Watch(watching) })
	work.Go(func() {
		for _, h := range s.Timeline() {
			select {
			case <-time.After(time.Until(start.Add(seconds(h.At)))):
			case <-watching.Done():
				return
			}
			st.score.event(h.String())
			st.happen(&work, h)
		}
	})
	work.Go(func() {
		for n := 1; n <= s.UpTo(); n++ {
			select {
			case <-time.After(time.Until(start.Add(time.Duration(n) * time.Second))):
			case <-watching.Done():
				return
			}
			st.servers.Inspect(func(f *emulator.Fleet) { st.score.look(float64(n-1), f) })
			if st.o.Progress != nil {
				st.o.Progress(n, s.UpTo())
			}
		}
	})
	d := &loadgen.Driver{Plan: loadgen.NewPlan(s.Mix(), st.o.Seed), Classes: st.score.tally.tariffs, Clients: loadgen.Clients(s.Clients),
		Proxies: st.front, Observer: st.score, Seed: st.o.Seed, PlainHTTP: s.Ordinary()}
	for _, c := range s.Customers {
		d.Tenants = append(d.Tenants, c.Name)
	}
	d.Run(st.ctx, start)
}

// happen carries out something of the timeline.
func (st *stage) happen(work *sync.WaitGroup, h Happening) {
	if h.Proxy == NoTurn {
		if err := st.servers.Apply(h.Act); err != nil {
			st.fail(err)
		}
		return
	}
	for i := range st.addrs {
		if h.Who >= 0 && h.Who != i {
			continue
		}
		switch h.Proxy {
		case Upgrade:
			work.Go(func() { st.try(st.upgrade(i)) })
		case Drain:
			work.Go(func() { st.try(st.drain(i, seconds(h.Value))) })
		case Ban:
			work.Go(func() { st.try(st.ban(i, h.Act.Position, seconds(h.Value))) })
		default:
			h.listed(st.servers.Agent(i))
		case Kill, Restart:
			work.Go(func() {
				if h.Proxy == Kill {
					st.front.Targets[i].MarkKilled()
					st.stop(i, syscall.SIGKILL)
					time.Sleep(seconds(h.Value))
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

// listed carries out what happens to a proxy's list, if it is that.
func (h Happening) listed(a *fakeserver.Agent) {
	switch h.Proxy {
	case ListLate:
		a.Delay(seconds(h.Late), seconds(h.Value))
	case ListSilent:
		a.Silence(seconds(h.Value))
	case ListReset:
		a.CloseWatches()
	case ListMute:
		a.MuteWatches()
	}
}

// start starts a proxy's program anew.
func (st *stage) start(i int) error {
	p := st.proxy(i)
	p.mu.Lock()
	defer p.mu.Unlock()
	name, agent := "p"+strconv.Itoa(i+1), st.servers.Agent(i)
	door, own := st.doorsOf[i][0], filepath.Join(st.dir, name+".tmp")
	if p.door == door { // danger: two processes of one proxy never share a door
		door = st.doorsOf[i][1]
	}
	if err := os.MkdirAll(own, 0o700); err != nil {
		return err
	}
	text, err := st.s.Launch(name, st.addrs[i], agent.Addr(), st.o.Seed+uint64(st.era)<<16+uint64(i), agent.List())
	if err != nil {
		return err
	}
	st.era++
	file := filepath.Join(st.dir, name+".json")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return err
	}
	args := []string{"serve"}
	if st.s.Ordinary() {
		operator := filepath.Join(st.dir, name+".toml")
		if err := os.WriteFile(operator, st.s.Operator(st.doors[i]), 0o600); err != nil {
			return err
		}
		args = append(args, "-operator", operator)
	}
	cmd := exec.Command(st.o.Proxy, args...)
	cmd.Env = append(os.Environ(), Variables(name, st.addrs[i], agent.Addr(), file)...)
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
	if st.o.Logs != "" {
		if out, err = os.OpenFile(filepath.Join(st.o.Logs, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644); err != nil {
			cmd.Process.Kill()
			cmd.Wait()
			return err
		}
	}
	p.cmd, p.ended, p.ending, p.door = cmd, make(chan struct{}), false, door
	ended := p.ended
	go func() {
		lines := bufio.NewScanner(log)
		for lines.Scan() {
			p.mu.Lock()
			p.last = lines.Text()
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
		ending := p.ending
		p.mu.Unlock()
		if !ending && st.ctx.Err() == nil {
			st.fail(fmt.Errorf("proxy %d ended by itself (%v): %s", i+1, err, p.tail()))
		}
	}()
	return nil
}

func (p *process) tail() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.last == "" {
		return "its log is empty"
	}
	return p.last
}

// stop signals a proxy and waits until it has ended; one that does not end in time is killed.
func (st *stage) stop(i int, signal syscall.Signal) { st.end(st.proxy(i), signal) }

func (st *stage) end(p *process, signal syscall.Signal) {
	p.mu.Lock()
	cmd, ended := p.cmd, p.ended
	p.ending = true
	if cmd != nil {
		p.peak = max(p.peak, peak(cmd.Process.Pid))
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
	case <-time.After(seconds(st.s.longest()+killMargin) + killAfter):
		cmd.Process.Kill()
		<-ended
	}
}

func (st *stage) stopAll() {
	var work sync.WaitGroup
	for i := range st.addrs {
		work.Go(func() { st.stop(i, syscall.SIGTERM) })
	}
	work.Wait()
}

// peak is the most memory that a program has used, in MB; 0: not known.
func peak(pid int) float64 {
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
	f := s.Figures(seed)
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
		"limits": object{"cores": s.Bank.Cores, "memory_mb": s.Bank.MemoryMB, "sockets": s.Bank.Sockets}, "known": known,
		"settings": object{"ReplicasOfMe": s.Bank.Proxies, "Zones": f.Zones, "Discovery": "push",
			"FamilyInfo": object{"WarmKeys": f.CacheAffinity},
			"Ceilings": object{"MaxLegs": d.MaxLegs, "Cancel": d.CallOff, "ParallelTries": d.Beside, "RetryAfter": d.MaxAdvice > 0,
				"MaxRetryAfterMs": ms(d.MaxAdvice), "ConnectTimeoutMs": ms(d.ConnectFor), "ConnIdleMs": ms(d.IdleFor)},
			"Rules": object{"StopSendingWithinMs": ms(d.Grace), "AskEveryMs": ms(d.CountsAfter), "ColdFrom": d.ColdShare, "ColdMs": ms(d.ColdFor),
				"FallMultiple": d.FallMultiple, "OverloadForMs": ms(d.FallFor)},
			"Profiles": profiles, "Realms": realms}}, "", " ")
}
