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

// Ask sets another rate, without phases, and another length; 0 leaves either as it is.
func (s *Scenario) Ask(rate, lasts float64) error {
	if rate != 0 {
		s.Arrivals = Arrivals{Rate: rate}
	}
	if lasts != 0 {
		s.Seconds = lasts
	}
	s.Troubles = nil
	if err := s.check(); err != nil {
		return err
	}
	return nil
}

// Load asks proxies that run already. Servers' counts are not at hand: only what clients see is checked.
func (s *Scenario) Load(ctx context.Context, addrs []string, seed uint64) (*Result, error) {
	f := s.Figures(seed)
	clock := time.Now()
	now := func() float64 { return float64(clock.UnixMicro())/1e6 + time.Since(clock).Seconds() }
	sc := &score{now: now, start: now() + settleFor.Seconds(), tally: newTally(s, f.Classes, seed, "as it runs", "sockets"), slow: &lateness{},
		audit: NewAudit(f.Classes, sliceSlack, s.Deployment.Grace, s.Deployment.CountsAfter)}
	sc.audit.Clients = true
	front := loadgen.NewRoundRobin(addrs)
	defer front.Close()
	for _, t := range front.Targets {
		if err := loadgen.CheckReady(t.Addr, readyFor/10); err != nil {
			return nil, fmt.Errorf("proxy at %s: %w", t.Addr, err)
		}
		t.MarkReady()
	}
	watching, stop := context.WithCancel(ctx)
	ended := make(chan struct{})
	go func() { front.Watch(watching); close(ended) }()
	defer func() { stop(); <-ended }()
	d := &loadgen.Driver{Plan: loadgen.NewPlan(s.Mix(), seed), Classes: f.Classes, Clients: loadgen.Clients(s.Clients), Proxies: front, Observer: sc, Seed: seed}
	for _, c := range s.Customers {
		d.Tenants = append(d.Tenants, c.Name)
	}
	began := time.Now()
	d.Run(ctx, began.Add(settleFor))
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	sc.audit.Close(now())
	r := sc.tally.close(emulator.NewFleet(0), sc.audit)
	if r.Took = time.Since(began).Seconds(); r.RigLate > lateMost {
		r.Void = fmt.Sprintf("the rig ran late: tries %.1f ms at the 99th percentile", r.RigLate*1000)
	}
	return r, nil
}

// Standing is a scenario's servers and list agents on sockets, without proxies or clients.
type Standing struct {
	Variables [][]string // for each proxy, what it needs in its environment

	s    *Scenario
	yard *fakeserver.ServerGroup
}

// nobody takes note of nothing.
type nobody struct{}

func (nobody) AttemptReceived(float64, string, int, int, int) {}
func (nobody) AttemptRejected(string)                         {}
func (nobody) MemberNotReady(float64, int)                    {}
func (nobody) ProxyNotified(float64, int, int)                {}
func (nobody) ServerCrashed(float64, int)                     {}
func (nobody) AttemptServed(string, float64)                  {}

// Stand puts them up, and writes a launch file for each proxy into a folder.
func (s *Scenario) Stand(folder string, seed uint64) (*Standing, error) {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return nil, err
	}
	clock := time.Now()
	yard, err := fakeserver.Open(s.Fleet(seed, float64(clock.UnixMicro())/1e6), s.Bank.Proxies, s.Lookups(), nobody{})
	if err != nil {
		return nil, err
	}
	yard.IndentLists = s.Deployment.Indented
	st := &Standing{s: s, yard: yard}
	addrs, err := yard.FreeAddrs(s.Bank.Proxies)
	for i := 0; err == nil && i < len(addrs); i++ {
		name, file := "p"+strconv.Itoa(i+1), filepath.Join(folder, "p"+strconv.Itoa(i+1)+".json")
		var text []byte
		if text, err = s.Launch(name, addrs[i], yard.Agent(i).Addr(), seed+uint64(i), yard.Agent(i).List()); err == nil {
			err = os.WriteFile(file, text, 0o644)
		}
		variables := Variables(name, addrs[i], yard.Agent(i).Addr(), file)
		if err == nil { // for a shell
			err = os.WriteFile(filepath.Join(folder, name+".env"), []byte(strings.Join(variables, "\n")+"\n"), 0o644)
		}
		st.Variables = append(st.Variables, variables)
	}
	if err != nil {
		yard.Close()
		return nil, err
	}
	return st, nil
}

// Run serves until the context ends, and plays the troubles if asked to. Those of proxies happen to nobody here.
func (st *Standing) Run(ctx context.Context, play bool) error {
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
		switch h.Proxy {
		case NoTurn:
			if err := st.yard.Apply(h.Act); err != nil {
				return err
			}
		default:
			for i := range st.s.Bank.Proxies {
				if h.Who < 0 || h.Who == i {
					h.listed(st.yard.Agent(i))
				}
			}
		}
	}
	for {
		select {
		case <-ctx.Done():
			return st.yard.Err()
		case <-time.After(time.Second):
			if err := st.yard.Err(); err != nil {
				return err
			}
		}
	}
}

// Close ends them.
func (st *Standing) Close() { st.yard.Close() }

// UpTo is how many whole seconds a scenario lasts.
func (s *Scenario) UpTo() int { return int(math.Ceil(s.Seconds)) }
