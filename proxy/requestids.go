package proxy

import (
	"crypto/sha256"
	"math"

	"github.com/sirupsen/logrus"

	"lockloom/balance"
)

const (
	// maxRetainedIDs is how many ids are retained at most; they take about 2 MB.
	maxRetainedIDs = 16 << 10
	// retentionMarginSeconds is how long after its client's last time an attempt may still run: the slack of the deadline
	// that is sent to a server.
	retentionMarginSeconds = 0.15
)

// idHash is a hash of a request's id.
type idHash [16]byte

func hashID(id string) idHash {
	sum := sha256.Sum256([]byte(id))
	return idHash(sum[:len(idHash{})])
}

// requestIDs holds the ids that no other request may have. These are the ids of the open requests, and for a while
// those of requests that are not idempotent, may have run, and whose clients left without their responses: such a
// client may send its request again. It belongs to the owner.
type requestIDs struct {
	open      map[string]bool
	retained  map[idHash]idRetention
	order     []idHash // of retained, in the order in which they were added
	forgotten int      // ids that were dropped before their time since there were too many
}

// idRetention is the time in which a request with a retained id must not run, in seconds since 1970. Before from,
// servers still drop repeats by the idempotency key.
type idRetention struct{ from, until float64 }

func newRequestIDs() requestIDs {
	return requestIDs{open: map[string]bool{}, retained: map[idHash]idRetention{}}
}

// mayRun reports whether a request with an id may run now. repeatBy is the time by which its attempts must be sent, in
// seconds since 1970, so that a server that has run an earlier one drops them.
func (ids *requestIDs) mayRun(id string, class *balance.Class, now float64) (allowed bool, repeatBy float64) {
	if ids.open[id] {
		return false, 0
	}
	if class.Idempotency == balance.Idempotent || len(ids.retained) == 0 {
		return true, math.Inf(1)
	}
	retention, found := ids.retained[hashID(id)]
	if !found || now >= retention.until {
		return true, math.Inf(1)
	}
	return now < retention.from, retention.from
}

// retain keeps an id until the retention ends.
func (ids *requestIDs) retain(id idHash, retention idRetention, now float64) {
	ids.removeExpired(now)
	if _, found := ids.retained[id]; !found {
		ids.order = append(ids.order, id)
	}
	ids.retained[id] = retention
	if len(ids.order) > maxRetainedIDs {
		ids.forgotten++
		ids.removeOldest()
	}
}

// removeExpired removes ids whose retention is over, up to the first one that is not.
func (ids *requestIDs) removeExpired(now float64) {
	for len(ids.order) > 0 && ids.retained[ids.order[0]].until <= now {
		ids.removeOldest()
	}
}

func (ids *requestIDs) removeOldest() {
	delete(ids.retained, ids.order[0])
	ids.order = ids.order[1:]
}

// addFields adds the fields of the log message with the counts.
func (ids *requestIDs) addFields(fields logrus.Fields) {
	fields["ids_retained"], fields["ids_forgotten"] = len(ids.order), ids.forgotten
}

// retention returns how long the id of a request must be retained if its client has left without the response. It
// returns false if the request may run again.
func (req *request) retention(now float64) (idRetention, bool) {
	if !req.mayNotRepeat() || !req.mayHaveRun() {
		return idRetention{}, false
	}
	retention := newRetention(req.class, req.dedupedUntil(), now+req.class.Deadline)
	return retention, retention.from < retention.until
}

// openRetention returns how long the id of an open request must be retained at other processes, unless this one reports
// its end earlier.
func (req *request) openRetention() idRetention {
	return newRetention(req.class, min(req.repeatBy, req.arrivedAt+req.class.DedupWindow), req.deadline)
}

// newRetention returns the retention of an id whose client waits until a time at most. dedupedUntil is when servers no
// longer drop a repeat by its idempotency key; it counts only where all servers drop repeats.
func newRetention(class *balance.Class, dedupedUntil, clientWaitsUntil float64) idRetention {
	retention := idRetention{until: clientWaitsUntil + retentionMarginSeconds}
	if class.Idempotency == balance.Keyed && class.DedupScope == balance.DedupAll {
		retention.from = dedupedUntil
	}
	return retention
}

// dedupedUntil returns the time until which every server drops a repeat of the request by its idempotency key, in
// seconds since 1970.
func (req *request) dedupedUntil() float64 {
	until := req.repeatBy
	for _, att := range req.attempts {
		if !att.neverRan {
			until = min(until, att.sentAt+req.class.DedupWindow)
		}
	}
	return until
}

// clientLeft records that a request's client left without its response. The owner calls it.
func (p *Proxy) clientLeft(req *request) {
	req.leftByClient = true
	if req.released {
		p.retainID(req)
	}
}

// retainID retains the id of a request that is released, if it must not run again.
func (p *Proxy) retainID(req *request) {
	now := p.now()
	if retention, needed := req.retention(now); needed {
		p.retain(hashID(req.id), retention, now)
	}
}

// retain retains an id at this process and at the others.
func (p *Proxy) retain(id idHash, retention idRetention, now float64) {
	p.requests.ids.retain(id, retention, now)
	p.shareIDs(idChange{id: id, retention: retention})
}

// mayNotRepeat reports whether the class forbids to run the request twice.
func (req *request) mayNotRepeat() bool { return req.class.Idempotency != balance.Idempotent }

// leftUnserved reports whether a request's client has left, as far as is known. The socket is queried only for requests
// that must not run twice.
func (req *request) leftUnserved() bool {
	return req.leftByClient || req.mayNotRepeat() && req.client != nil && req.client.peerHasGone()
}
