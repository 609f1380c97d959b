package simulation

import (
	"context"
	"fmt"
	"sync"
	"time"

	"lockloom/internal/emulator"
	"lockloom/internal/loadgen"
)

// OverrideLoad sets another rate, without phases, and another duration in seconds, and drops all faults; 0 leaves
// either as it is.
func (s *Scenario) OverrideLoad(rate, duration float64) error {
	if rate != 0 {
		s.Arrivals = Arrivals{Rate: rate}
	}
	if duration != 0 {
		s.Seconds = duration
	}
	s.Faults = nil
	return s.check()
}

// Load sends the workload to proxies that run already. Their servers are not seen: only what clients see is checked.
func (s *Scenario) Load(ctx context.Context, addrs []string, seed uint64) (*Result, error) {
	sc := newScore(s, seed, "as it runs", wallClock())
	sc.setStart(sc.now() + settleDuration.Seconds())
	sc.audit.ClientsOnly = true
	proxies := loadgen.NewRoundRobin(addrs)
	defer proxies.Close()
	for _, target := range proxies.Targets {
		if err := loadgen.CheckReady(target.Addr, readyTimeout/10); err != nil {
			return nil, fmt.Errorf("proxy at %s: %w", target.Addr, err)
		}
		target.MarkReady()
	}
	watching, stop := context.WithCancel(ctx)
	var watch sync.WaitGroup
	defer watch.Wait()
	defer stop()
	watch.Go(func() { proxies.Watch(watching) })
	driver := &loadgen.Driver{
		Plan:     loadgen.NewPlan(s.Workload(), seed),
		Classes:  sc.tally.classes,
		Tenants:  s.tenantNames(),
		Clients:  loadgen.Clients(s.Clients),
		Proxies:  proxies,
		Observer: sc,
		Seed:     seed,
	}
	startedAt := time.Now()
	driver.Run(ctx, startedAt.Add(settleDuration))
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	sc.audit.Close(sc.now())
	r := sc.tally.result(emulator.NewFleet(0), sc.audit)
	r.WallTime = time.Since(startedAt).Seconds()
	if r.RigLateP99 > maxLateness {
		r.Void = fmt.Sprintf("the rig ran late: tries %.1f ms at the 99th percentile", r.RigLateP99*1000)
	}
	return r, nil
}
