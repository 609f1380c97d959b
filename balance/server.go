package balance

// server is an endpoint and what this balancer has learned about it.
type server struct {
	Endpoint
	breaker       breaker   // for all classes
	classBreakers []breaker // by class
	model         *model    // machine model
	scores        serverScores
	limit         concurrencyLimit
	load          reportedLoad
	slowStart     slowStartBudget
	lastSuccess   float64 // time at which an attempt last succeeded
	lastUsed      float64 // time at which an attempt last ended; 0: never, or its connections were closed since
	drained       bool    // the endpoint list has marked this incarnation of the server as draining
}

// newServer returns a server with initial state, for a machine model and a number of cores (0: unknown).
func (b *Balancer) newServer(modelIndex int, cores float64) *server {
	initial, minimum := b.limitBounds(cores)
	m := b.estimates.model(modelIndex)
	return &server{
		classBreakers: make([]breaker, len(b.classes)),
		model:         m,
		scores:        b.newServerScores(m),
		limit:         concurrencyLimit{value: initial, minimum: minimum},
		slowStart:     slowStartBudget{refilledAt: b.now},
	}
}

// attemptsInFlight counts the attempts in flight at the server, including those that Balancer.release no longer counts.
func (s *server) attemptsInFlight() (n int) {
	for i := range s.classBreakers {
		n += s.classBreakers[i].inFlight
	}
	return n
}

// attemptSent counts an attempt as in flight at the server.
func (s *server) attemptSent(class int) {
	s.breaker.inFlight++
	s.load.sentSince++
	s.classBreakers[class].inFlight++
}

// attemptEnded counts an attempt as ended. Balancer.release updates the count of the server's breaker.
func (s *server) attemptEnded(class int, sentAt, now float64) {
	s.classBreakers[class].inFlight--
	if sentAt > s.load.at {
		s.load.sentSince--
	}
	s.lastUsed = now
}
