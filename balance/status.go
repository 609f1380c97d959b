package balance

// ServerStatus is the state of one server on which decisions are based, for diagnostics.
type ServerStatus struct {
	Endpoint          int
	InFlight          int     // attempts
	Limit, Payoff     float64 // the concurrency limit in attempts, and the payoff expected of one
	Paused, WarmingUp bool
	Trial             bool    // paused, but its cooldown is over: one attempt may be sent
	Errors, Results   int     // in the window of its breaker
	Age               float64 // s since its own estimate was updated
}

// ServerStatuses returns the status of every listed server.
func (b *Balancer) ServerStatuses(now float64) []ServerStatus {
	return b.beginCall(now).CurrentStatuses()
}

// CurrentStatuses is ServerStatuses as of the last call. It does not change the state of the balancer.
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

// ScoreBreakdown holds the criteria by which a server is selected for one request, for diagnostics.
type ScoreBreakdown struct {
	Endpoint        int
	State           EndpointState
	Paused, Trial   bool // by the breaker of the server; Trial: its cooldown is over
	Errors, Results int  // in the window of that breaker
	ClassPaused     bool // by the breaker of the request's class at the server
	ClassErrors     int  // in the window of that breaker
	ClassResults    int  // in the window of that breaker
	RetrySafe       bool // another attempt may be sent there; see Balancer.mayAttempt
	WarmingUp       bool
	Load, Capacity  float64 // attempts at the server, and the number that it can have
	Payoff          float64 // expected of an attempt
	Score           float64 // in the last draw, if Considered; the greatest is selected if it has capacity
	Considered      bool    // the server was a candidate in the last draw
}

// ScoreBreakdown returns the breakdown of every listed server. Scores are those of the last draw. It does not change
// the state of the balancer.
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
			breakdown.Score, breakdown.Considered = c.score, c.score != 0 // 0: not scored, for want of capacity
		}
	}
	return breakdown
}
