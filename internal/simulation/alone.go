package simulation

import (
	"context"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"lockloom/internal/emulator"
	"lockloom/internal/fakeserver"
	"lockloom/internal/loadgen"
)

// PolicyNames are those of Policies, in order.
func PolicyNames() []string { return sortedNames(Policies) }

// OverrideLoad sets another rate, without phases, and another length; 0 leaves either as it is.
func (s *Scenario) OverrideLoad(rate, lasts float64) error {
	if rate != 0 {
		s.Arrivals = Arrivals{Rate: rate}
	}
	if lasts != 0 {
		s.Seconds = lasts
	}
	s.Faults = nil
	if err := s.check(); err != nil {
		return err
	}
	return nil
}

// Load asks proxies that run already. Servers' counts are not at hand: only what clients see is checked.
func (s *Scenario) Load(ctx context.Context, addrs []string, seed uint64) (*Result, error) {
	f := s.Settings(seed)
	clock := time.Now()
	now := func() float64 { return float64(clock.UnixMicro())/1e6 + time.Since(clock).Seconds() }
	sc := &score{now: now, start: now() + settleDuration.Seconds(), tally: newTally(s, f.Classes, seed, "as it runs", "sockets"), clockLateness: &lateness{},
		audit: NewAudit(f.Classes, auditSlack, s.Deployment.DrainGrace, s.Deployment.NotificationDeadline)}
	sc.audit.ClientsOnly = true
	front := loadgen.NewRoundRobin(addrs)
	defer front.Close()
	for _, t := range front.Targets {
		if err := loadgen.CheckReady(t.Addr, readyTimeout/10); err != nil {
			return nil, fmt.Errorf("proxy at %s: %w", t.Addr, err)
		}
		t.MarkReady()
	}
	watching, stop := context.WithCancel(ctx)
	ended := make(chan struct{})
	go func() { front.Watch(watching); close(ended) }()
	defer func() { stop(); <-ended }()
	d := &loadgen.Driver{Plan: loadgen.NewPlan(s.Workload(), seed), Classes: f.Classes, Clients: loadgen.Clients(s.Clients), Proxies: front, Observer: sc, Seed: seed}
	for _, c := range s.Tenants {
		d.Tenants = append(d.Tenants, c.Name)
	}
	began := time.Now()
	d.Run(ctx, began.Add(settleDuration))
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	sc.audit.Close(now())
	r := sc.tally.result(emulator.NewFleet(0), sc.audit)
	if r.WallTime = time.Since(began).Seconds(); r.RigLateP99 > maxLateness {
		r.Void = fmt.Sprintf("the rig ran late: tries %.1f ms at the 99th percentile", r.RigLateP99*1000)
	}
	return r, nil
}

// StandaloneServers is a scenario's servers and list agents on sockets, without proxies or clients.
type StandaloneServers struct {
	Variables [][]string // for each proxy, what it needs in its environment

	s       *Scenario
	servers *fakeserver.ServerGroup
}

// noObserver takes note of nothing.
type noObserver struct{}

func (noObserver) AttemptReceived(float64, string, int, int, int) {}
func (noObserver) AttemptRejected(string)                         {}
func (noObserver) MemberNotReady(float64, int)                    {}
func (noObserver) ProxyNotified(float64, int, int)                {}
func (noObserver) ServerCrashed(float64, int)                     {}
func (noObserver) AttemptServed(string, float64)                  {}

// StartServers puts them up, and writes a launch file for each proxy into a folder.
func (s *Scenario) StartServers(folder string, seed uint64) (*StandaloneServers, error) {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return nil, err
	}
	clock := time.Now()
	servers, err := fakeserver.Open(s.Fleet(seed, float64(clock.UnixMicro())/1e6), s.ProxyFleet.Count, s.RequestClasses(), noObserver{})
	if err != nil {
		return nil, err
	}
	servers.IndentLists = s.Deployment.IndentedLists
	st := &StandaloneServers{s: s, servers: servers}
	addrs, err := servers.FreeAddrs(s.ProxyFleet.Count)
	for i := 0; err == nil && i < len(addrs); i++ {
		name, file := "p"+strconv.Itoa(i+1), filepath.Join(folder, "p"+strconv.Itoa(i+1)+".json")
		var text []byte
		if text, err = s.Launch(name, addrs[i], servers.Agent(i).Addr(), seed+uint64(i), servers.Agent(i).List()); err == nil {
			err = os.WriteFile(file, text, 0o644)
		}
		variables := Variables(name, addrs[i], servers.Agent(i).Addr(), file)
		if err == nil { // for a shell
			err = os.WriteFile(filepath.Join(folder, name+".env"), []byte(strings.Join(variables, "\n")+"\n"), 0o644)
		}
		st.Variables = append(st.Variables, variables)
	}
	if err != nil {
		servers.Close()
		return nil, err
	}
	return st, nil
}

// Run serves until the context ends, and plays the troubles if asked to. Those of proxies happen to nobody here.
func (st *StandaloneServers) Run(ctx context.Context, play bool) error {
	start := time.Now()
	for _, h := range st.s.Timeline() {
		if !play {
			break
		}
		select {
		case <-time.After(time.Until(start.Add(seconds(h.At)))):
		case <-ctx.Done():
			return nil
		}
		switch h.ProxyEvent {
		case NoProxyEvent:
			if err := st.servers.Apply(h.Change); err != nil {
				return err
			}
		default:
			for i := range st.s.ProxyFleet.Count {
				if h.ProxyIndex < 0 || h.ProxyIndex == i {
					h.applyToList(st.servers.Agent(i))
				}
			}
		}
	}
	for {
		select {
		case <-ctx.Done():
			return st.servers.Err()
		case <-time.After(time.Second):
			if err := st.servers.Err(); err != nil {
				return err
			}
		}
	}
}

// Close ends them.
func (st *StandaloneServers) Close() { st.servers.Close() }

// WholeSeconds is how many whole seconds a scenario lasts.
func (s *Scenario) WholeSeconds() int { return int(math.Ceil(s.Seconds)) }
