package simulation

// Text an event of the agenda is.
const (
	eventIntentDue      uint8 = iota // the next request is wanted
	eventConnect                     // a: try
	eventClientLeaves                // a: try: its deadline
	eventRequestTimer                // a: try: its own timer
	eventDeciderTimer                // a: proxy: its balancer's timer; gen: its era
	eventAttemptArrives              // a: attempt
	eventAttemptEnds                 // a: attempt, b: outcome
	eventServerDue                   // a: member: something ends there
	eventTimelineEntry               // a: of the acts
	eventProxyNotified               // a: proxy
	eventProxyStarts                 // a: proxy
	eventSecondEnds                  // the end of a second
)

type event struct {
	at   float64
	seq  uint64 // those of one time come in the order in which they were added
	gen  uint32
	a, b int32
	what uint8
}

// agenda is a heap of events.
type agenda struct {
	list []event
	seq  uint64
}

func (g *agenda) before(i, j int) bool {
	a, b := &g.list[i], &g.list[j]
	return a.at < b.at || a.at == b.at && a.seq < b.seq
}

func (g *agenda) add(e event) {
	g.seq++
	e.seq = g.seq
	g.list = append(g.list, e)
	for i := len(g.list) - 1; i > 0; {
		up := (i - 1) / 4
		if !g.before(i, up) {
			break
		}
		g.list[i], g.list[up] = g.list[up], g.list[i]
		i = up
	}
}

func (g *agenda) next() event {
	e, n := g.list[0], len(g.list)-1
	g.list[0] = g.list[n]
	g.list = g.list[:n]
	for i := 0; ; {
		least := i
		for c := 4*i + 1; c <= 4*i+4 && c < n; c++ {
			if g.before(c, least) {
				least = c
			}
		}
		if least == i {
			return e
		}
		g.list[i], g.list[least] = g.list[least], g.list[i]
		i = least
	}
}
