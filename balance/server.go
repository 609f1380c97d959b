package balance

// server is one server as this proxy knows it.
type server struct {
	Endpoint
	breaker       breaker   // for requests of all classes
	classBreakers []breaker // for those of one class
	model         *model    // of its machine
	scores        serverScores
	limit         concurrencyLimit
	load          reportedLoad
	slowStart     slowStartBudget
	lastSuccess   float64 // when an attempt last succeeded
	lastUsed      float64 // when an attempt last ended; 0: no connection is open
	drained       bool    // the endpoint list said so since the server started
}

// newServer returns a server of which nothing is known but its machine's model and cores.
func (b *Balancer) newServer(modelIndex int, cores float64) *server {
	initial, least := b.limitBounds(cores)
	m := b.estimates.model(modelIndex)
	return &server{
		classBreakers: make([]breaker, len(b.classes)),
		model:         m,
		scores:        b.newServerScores(m),
		limit:         concurrencyLimit{value: initial, minimum: least},
		slowStart:     slowStartBudget{filledAt: b.now},
	}
}

// attemptsInFlight counts the attempts at the server, overdue ones too.
func (s *server) attemptsInFlight() (n int) {
	for i := range s.classBreakers {
		n += s.classBreakers[i].inFlight
	}
	return n
}

// attemptSent and attemptEnded keep what is in flight at a server, together with Balancer.release.
func (s *server) attemptSent(class int) {
	s.breaker.inFlight++
	s.load.sentSince++
	s.classBreakers[class].inFlight++
}

func (s *server) attemptEnded(class int, sentAt, now float64) {
	s.classBreakers[class].inFlight--
	if sentAt > s.load.at {
		s.load.sentSince--
	}
	s.lastUsed = now
}
