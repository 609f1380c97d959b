package simulation

import (
	"context"
	"fmt"
	"time"

	"lockloom/internal/emulator"
	"lockloom/internal/loadgen"
)

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
	sc := &score{
		now:           now,
		start:         now() + settleDuration.Seconds(),
		tally:         newTally(s, f.Classes, seed, "as it runs", "sockets"),
		clockLateness: &lateness{},
		audit:         NewAudit(f.Classes, auditSlack, s.Deployment.DrainGrace, s.Deployment.NotificationDeadline),
	}
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
	d := &loadgen.Driver{
		Plan:     loadgen.NewPlan(s.Workload(), seed),
		Classes:  f.Classes,
		Clients:  loadgen.Clients(s.Clients),
		Proxies:  front,
		Observer: sc,
		Seed:     seed,
	}
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
