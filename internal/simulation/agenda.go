package simulation

// eventKind is the kind of an event of the agenda.
type eventKind uint8

// The kinds of events, with the meaning of target and detail.
const (
	eventIntentDue      eventKind = iota
	eventConnect                  // target: try
	eventClientLeaves             // target: try
	eventRequestTimer             // target: try
	eventDeciderTimer             // target: proxy; detail: pool; generation: incarnation of the proxy
	eventAttemptArrives           // at its server; target: attempt
	eventAttemptEnds              // at its proxy; target: attempt; detail: outcome
	eventServerDue                // target: member whose state changes by itself
	eventTimelineEntry            // target: index in the timeline
	eventProxyNotified            // target: proxy
	eventProxyStarts              // target: proxy
	eventSecondEnds
)

// event is a scheduled event of a run in virtual time. It is dropped if its target has another generation when it is
// due: the target was freed or restarted meanwhile.
type event struct {
	at         float64
	sequence   uint64 // order of insertion, which decides between events of the same time
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
