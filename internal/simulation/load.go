package simulation

import (
	"context"
	"fmt"
	"sync"
	"time"

	"lockloom/internal/emulator"
	"lockloom/internal/loadgen"
)

// OverrideLoad sets a constant arrival rate per second and the duration in seconds, and removes all faults. A rate or
// duration of 0 keeps the scenario's own.
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

// Load sends the workload to proxies that already run. Their servers are not observed, so the audit checks only what
// clients see.
func (s *Scenario) Load(ctx context.Context, addrs []string, seed uint64) (*Result, error) {
	// The policy of running proxies is not known, so the result names it "as it runs".
	recorder := newRecorder(s, seed, "as it runs", wallClock())
	recorder.setStart(recorder.now() + settleDuration.Seconds())
	recorder.audit.ClientsOnly = true
	proxies := loadgen.NewRoundRobin(addrs)
	defer proxies.Close()
	for _, target := range proxies.Targets {
		if err := loadgen.CheckReady(target.Addr, readyTimeout/10); err != nil {
			return nil, fmt.Errorf("proxy at %s: %w", target.Addr, err)
		}
		target.MarkReady()
	}
	watchCtx, stop := context.WithCancel(ctx)
	var watcher sync.WaitGroup
	defer watcher.Wait()
	defer stop()
	watcher.Go(func() { proxies.WatchReadiness(watchCtx) })
	driver := &loadgen.Driver{
		Plan:     loadgen.NewPlan(s.Workload(), seed),
		Classes:  recorder.tally.classes,
		Tenants:  s.tenantNames(),
		Clients:  loadgen.ClientPolicy(s.Clients),
		Proxies:  proxies,
		Observer: recorder,
		Seed:     seed,
	}
	startedAt := time.Now()
	driver.Run(ctx, startedAt.Add(settleDuration))
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	recorder.audit.Close(recorder.now())
	r := recorder.tally.result(emulator.NewFleet(0), recorder.audit)
	r.WallTime = time.Since(startedAt).Seconds()
	if r.RigLateP99 > maxLateness {
		r.Void = fmt.Sprintf("the rig ran late: tries %.1f ms at the 99th percentile", r.RigLateP99*1000)
	}
	return r, nil
}
