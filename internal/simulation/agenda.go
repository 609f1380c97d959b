package simulation

// eventKind is the kind of a scheduled event.
type eventKind uint8

// The kinds of events, and what the fields target and detail of an event refer to.
const (
	eventIntentDue      eventKind = iota // the next intent of the workload is due
	eventConnect                         // a client connects to a proxy; target: try
	eventClientLeaves                    // a client stops waiting for a reply; target: try
	eventRequestTimer                    // the timer of a request fires; target: try
	eventDeciderTimer                    // a Decider's timer fires; target: proxy; detail: pool; generation: incarnation
	eventAttemptArrives                  // an attempt arrives at its server; target: attempt
	eventAttemptEnds                     // a proxy observes the end of an attempt; target: attempt; detail: outcome
	eventServerDue                       // a server's state changes by itself; target: member
	eventTimelineEntry                   // an entry of the timeline is due; target: index in the timeline
	eventProxyNotified                   // a proxy receives changes of the endpoint list; target: proxy
	eventProxyStarts                     // a proxy starts; target: proxy
	eventSecondEnds                      // a second of the run ends, and its statistics are recorded
)

// event is a scheduled event of a run in virtual time. If its target has another generation when the event is due, the
// target was freed or restarted in the meantime, and the event is ignored.
type event struct {
	at         float64
	sequence   uint64 // order of insertion; breaks ties between events of the same time
	generation uint32
	target     int32
	detail     int32
	kind       eventKind
}

// arity is the number of children of a node of the agenda's heap.
const arity = 4

// agenda is a priority queue of events, ordered by time.
type agenda struct {
	list     []event
	sequence uint64
}

func (g *agenda) before(i, j int) bool {
	a, b := &g.list[i], &g.list[j]
	return a.at < b.at || a.at == b.at && a.sequence < b.sequence
}

func (g *agenda) swap(i, j int) { g.list[i], g.list[j] = g.list[j], g.list[i] }

func (g *agenda) add(e event) {
	g.sequence++
	e.sequence = g.sequence
	g.list = append(g.list, e)
	for i := len(g.list) - 1; i > 0; {
		parent := (i - 1) / arity
		if !g.before(i, parent) {
			break
		}
		g.swap(i, parent)
		i = parent
	}
}

// next removes and returns the earliest event. The agenda must not be empty.
func (g *agenda) next() event {
	first, last := g.list[0], len(g.list)-1
	g.list[0] = g.list[last]
	g.list = g.list[:last]
	for i := 0; ; {
		least := i
		for child := arity*i + 1; child <= arity*i+arity && child < last; child++ {
			if g.before(child, least) {
				least = child
			}
		}
		if least == i {
			return first
		}
		g.swap(i, least)
		i = least
	}
}
