package balance

// ServerStatus is the state of one server that decides whether it receives attempts, for diagnostics.
type ServerStatus struct {
	Endpoint          int
	InFlight          int     // attempts of this proxy that count as in flight
	Limit, Payoff     float64 // the concurrency limit in attempts, and the payoff expected of an attempt of class 0
	Paused, WarmingUp bool
	Trial             bool    // paused, but its cooldown is over: one attempt may be sent
	Errors, Results   int     // failures and all results in the window of its breaker
	Age               float64 // s since the server's own estimate of the payoff was updated
}

// ServerStatuses returns the status of every listed server.
func (b *Balancer) ServerStatuses(now float64) []ServerStatus {
	return b.beginCall(now).CurrentStatuses()
}

// CurrentStatuses returns the same as ServerStatuses, but as of the last call that passed the time to the balancer, and
// without changing the state of the balancer.
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
	Paused, Trial   bool // the server's breaker is paused, and whether its cooldown is over, so that it admits a trial
	Errors, Results int  // failures and all results in the window of that breaker
	ClassPaused     bool // the breaker of the request's class at the server admits no attempt
	ClassErrors     int  // failures in the window of the class breaker
	ClassResults    int  // all results in the window of the class breaker
	MayAttempt      bool // the request's next attempt may be sent to this server; see Balancer.mayAttempt
	WarmingUp       bool
	Load, Capacity  float64 // attempts in flight and their limit, of all proxies if servers report loads, else of this one
	Payoff          float64 // the payoff expected of an attempt
	Score           float64 // if Considered: score in the last selection, the greatest one with capacity wins
	Considered      bool    // the server was a candidate in the last selection
}

// ScoreBreakdown returns the breakdown of every listed server for this request. The scores are those of the last
// selection of a server, for whichever request. It does not change the state of the balancer.
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
		MayAttempt:   b.mayAttempt(r, s),
		WarmingUp:    b.warmingUp(s),
		Load:         b.loadOf(s),
		Capacity:     b.capacityOf(s),
		Payoff:       b.payoffOf(s, r.Class),
	}
	for i := range b.selection.candidates {
		if c := &b.selection.candidates[i]; c.server == s {
			breakdown.Score, breakdown.Considered = c.score, c.score != 0 // 0: not scored, as there was no capacity
		}
	}
	return breakdown
}
