package simulation

// or sets a field that the file leaves out.
func or[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// fill sets what the file left out; docs/operators/rehearsals.md names the same values.
func (s *Scenario) fill() {
	or(&s.ProxyFleet.Count, 1)
	or(&s.ProxyFleet.Cores, 1)
	or(&s.ProxyFleet.MemoryMB, 192)
	or(&s.ProxyFleet.Sockets, 1024)
	d := &s.Deployment
	or(&d.MaxAttempts, 3)
	or(&d.DrainGrace, 2.5)
	or(&d.NotificationDeadline, 6)
	or(&d.ConnectTimeout, .1)
	or(&d.IdleTimeout, 5)
	or(&d.SlowStartFraction, 1)
	or(&d.SlowStartDuration, 1)
	or(&d.CrashFactor, 3)
	or(&d.CrashDuration, 1)
	or(&s.Clients.MaxRequests, 1)
	or(&s.Clients.Backoff, .1)
	or(&s.Clients.Patience, 1)
	or(&s.Match.Seconds, .5)
	or(&s.Match.Share, .1)
	for i := range s.Classes {
		s.Classes[i].fill()
	}
	for i := range s.Tenants {
		or(&s.Tenants[i].Weight, 1)
	}
	for i := range s.Servers {
		s.Servers[i].fill()
	}
	for i := range s.Arrivals.Phases {
		or(&s.Arrivals.Phases[i].Shape, "steady")
	}
}

func (c *Class) fill() {
	or(&c.Idempotency, "replayable")
	or(&c.PriorityWeight, 1)
	or(&c.Weight, 1)
	if c.Idempotency == "referenced" {
		or(&c.DedupScope, "all")
	}
}

func (g *Servers) fill() {
	or(&g.Count, 1)
	if len(g.Zones) == 0 {
		g.Zones = []string{"a"}
	}
	or(&g.Pod, 3)
	or(&g.Model, g.Name)
	or(&g.Cores, 1)
	or(&g.Speed, defaultSpeed)
	or(&g.QueueCapacity, 64)
	or(&g.CrashDowntime, 5)
	or(&g.DegradedSpeed, 1)
	or(&g.DegradeTimeConstant, 1)
	or(&g.RecoverTimeConstant, 20)
	or(&g.CachedWorkFraction, 1)
}
