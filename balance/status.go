package balance

// ServerStatus is what the decisions hold of one server, for those who ask why.
type ServerStatus struct {
	Endpoint          int
	InFlight          int     // attempts
	Limit, Payoff     float64 // attempts that it can have, and what one is worth there
	Paused, WarmingUp bool
	Trial             bool    // paused, but after its cooldown: one attempt may go there
	Errors, Results   int     // of the present window
	Age               float64 // s since an attempt there ended
}

// ServerStatuses returns those of all listed servers.
func (b *Balancer) ServerStatuses(now float64) []ServerStatus { return b.begin(now).CurrentStatuses() }

// CurrentStatuses is ServerStatuses as of the last call. It changes nothing.
func (b *Balancer) CurrentStatuses() []ServerStatus {
	var list []ServerStatus
	for _, s := range b.servers {
		if s != nil {
			list = append(list, b.statusOf(s))
		}
	}
	return list
}

func (b *Balancer) statusOf(s *server) ServerStatus {
	return ServerStatus{
		Endpoint:  s.Index,
		InFlight:  s.breaker.inFlight,
		Limit:     s.limit.value,
		Payoff:    b.payoffOf(s, 0),
		Paused:    s.breaker.paused,
		WarmingUp: b.warmingUp(s),
		Trial:     s.breaker.onTrial(b.now),
		Errors:    s.breaker.failures,
		Results:   s.breaker.results,
		Age:       b.now - s.scores.general[ownEstimate].updatedAt,
	}
}

// ScoreBreakdown is what speaks for and against a server for one request now, for those who ask why.
type ScoreBreakdown struct {
	Endpoint        int
	State           EndpointState
	Paused, Trial   bool // by the server's own breaker; and after its cooldown
	Errors, Results int  // of that breaker
	ClassPaused     bool // by the breaker of the request's class there
	ClassErrors     int  // of that breaker
	ClassResults    int
	RetrySafe       bool // another attempt there is harmless
	WarmingUp       bool
	Load, Capacity  float64 // attempts; as many as it can have
	Payoff          float64
	Score           float64 // of the last draw, if it was in it; the greatest wins where there is capacity
	Considered      bool
}

// ScoreBreakdown returns those of all listed servers. It changes nothing. Scores are those of the last draw.
func (r *Request) ScoreBreakdown() (list []ScoreBreakdown) {
	for _, s := range r.balancer.servers {
		if s != nil {
			list = append(list, r.balancer.breakdownOf(r, s))
		}
	}
	return list
}

func (b *Balancer) breakdownOf(r *Request, s *server) ScoreBreakdown {
	class := &s.classBreakers[r.Class]
	breakdown := ScoreBreakdown{
		Endpoint:     s.Index,
		State:        s.State,
		Paused:       s.breaker.paused,
		Trial:        s.breaker.onTrial(b.now),
		Errors:       s.breaker.failures,
		Results:      s.breaker.results,
		ClassPaused:  !class.admits(b.now),
		ClassErrors:  class.failures,
		ClassResults: class.results,
		RetrySafe:    b.mayAttempt(r, s),
		WarmingUp:    b.warmingUp(s),
		Load:         b.loadOf(s),
		Capacity:     b.capacityOf(s),
		Payoff:       b.payoffOf(s, r.Class),
	}
	for i := range b.selection.candidates {
		if c := &b.selection.candidates[i]; c.server == s {
			breakdown.Score, breakdown.Considered = c.score, c.score != 0 // 0: there was no capacity to draw for
		}
	}
	return breakdown
}
