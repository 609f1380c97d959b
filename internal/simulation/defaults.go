package simulation

// setDefault sets a field to value if it has its zero value.
func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// setDefaults sets the fields that the file leaves out. docs/operators/rehearsals.md documents the same values.
func (s *Scenario) setDefaults() {
	setDefault(&s.ProxyFleet.Count, 1)
	setDefault(&s.ProxyFleet.Cores, 1)
	setDefault(&s.ProxyFleet.MemoryMB, 192)
	setDefault(&s.ProxyFleet.Sockets, 1024)
	d := &s.Deployment
	setDefault(&d.MaxAttempts, 3)
	setDefault(&d.DrainGrace, 2.5)
	setDefault(&d.NotificationDeadline, 6)
	setDefault(&d.ConnectTimeout, .1)
	setDefault(&d.IdleTimeout, 5)
	setDefault(&d.SlowStartFraction, 1)
	setDefault(&d.SlowStartDuration, 1)
	setDefault(&d.CrashFactor, 3)
	setDefault(&d.CrashDuration, 1)
	setDefault(&s.Clients.MaxRequests, 1)
	setDefault(&s.Clients.Backoff, .1)
	setDefault(&s.Clients.AbandonFraction, 1)
	setDefault(&s.Match.Seconds, .5)
	setDefault(&s.Match.Share, .1)
	for i := range s.Classes {
		s.Classes[i].setDefaults()
	}
	for i := range s.Tenants {
		setDefault(&s.Tenants[i].Weight, 1)
	}
	for i := range s.Servers {
		s.Servers[i].setDefaults()
	}
	for i := range s.Arrivals.Phases {
		setDefault(&s.Arrivals.Phases[i].Shape, "steady")
	}
}

func (c *Class) setDefaults() {
	setDefault(&c.Idempotency, "replayable")
	setDefault(&c.PriorityWeight, 1)
	setDefault(&c.Weight, 1)
	if c.Idempotency == "referenced" {
		setDefault(&c.DedupScope, "all")
	}
}

func (g *ServerGroup) setDefaults() {
	setDefault(&g.Count, 1)
	if len(g.Zones) == 0 {
		g.Zones = []string{"a"}
	}
	setDefault(&g.Pod, 3)
	setDefault(&g.Model, g.Name)
	setDefault(&g.Cores, 1)
	setDefault(&g.Speed, defaultSpeed)
	setDefault(&g.QueueCapacity, 64)
	setDefault(&g.CrashDowntime, 5)
	setDefault(&g.DegradedSpeed, 1)
	setDefault(&g.DegradeTimeConstant, 1)
	setDefault(&g.RecoverTimeConstant, 20)
	setDefault(&g.CachedWorkFraction, 1)
}
