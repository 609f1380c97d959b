package simulation

// eventKind is what happens at an event of the agenda.
type eventKind uint8

// The kinds, with the meaning of target and detail.
const (
	eventIntentDue      eventKind = iota
	eventConnect                  // try
	eventClientLeaves             // try
	eventRequestTimer             // try
	eventDeciderTimer             // proxy, pool; generation: its incarnation
	eventAttemptArrives           // attempt, at its server
	eventAttemptEnds              // attempt, outcome; at its proxy
	eventServerDue                // member that changes by itself
	eventTimelineEntry            // index in the timeline
	eventProxyNotified            // proxy
	eventProxyStarts              // proxy
	eventSecondEnds
)

// event is an event of the agenda. One whose target has another generation by then is void.
type event struct {
	at         float64
	sequence   uint64 // orders the events of one time as they were added
	generation uint32
	target     int32
	detail     int32
	kind       eventKind
}

// arity is the number of children of a node of the agenda's heap.
const arity = 4

// agenda is a heap of events.
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

// next takes the first event.
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
