package proxy

import (
	"maps"
	"slices"

	"github.com/sirupsen/logrus"

	"lockloom/balance"
	"lockloom/internal/discovery"
	"lockloom/limits"
	"lockloom/routes"
)

// Decisions are what the owner calls: a Balancer, or one whose calls are captured. The owner makes all calls but none at once.
type Decisions interface {
	RequestArrived(now float64, a balance.RequestInfo, id string) (RequestHandle, *balance.Actions)
	TimerFired(now float64) *balance.Actions
	EndpointsUpdated(now float64, full, first bool, list []balance.Endpoint) *balance.Actions
	HealthChecked(now float64, server int, ok bool, r balance.LoadReport) *balance.Actions
	GossipReceived(now float64, from int, n balance.GossipMessage) *balance.Actions
	OutcomesReported(now float64, all []balance.ReportedOutcomes)
	SetBudgetShare(part float64)
	SetLocalDelay(times, lag float64)
	Restore(now float64, m balance.Snapshot)
	Snapshot(now float64) balance.Snapshot
	ServerStatuses(now float64) []balance.ServerStatus
	Availability(now float64) (any, trial bool)
	HasEndpoint(index int) bool
}

// RequestHandle is a request's.
type RequestHandle interface {
	AttemptEnded(now float64, attempt int, o balance.Outcome, latency float64, over bool) *balance.Actions
	ClientDisconnected(now float64) *balance.Actions
	ResponseStarted(now float64, attempt int) *balance.Actions
	BodyCompleted(now float64) *balance.Actions
	TimerFired(now float64) *balance.Actions
	Done() bool
}

// uncaptured is a Balancer whose calls nobody captures.
type uncaptured struct{ *balance.Balancer }

func (b uncaptured) RequestArrived(now float64, a balance.RequestInfo, _ string) (RequestHandle, *balance.Actions) {
	return b.Balancer.RequestArrived(now, a)
}

// Capture has the decisions of every pool made through what a call makes of its Balancer; the platform's has no name. Call it before
// Operate. One that has a method Dropped is told when a reload has taken its pool away.
func (p *Proxy) Capture(through func(pool string, b *balance.Balancer) Decisions) {
	p.through = through
	p.main.b = through("", p.main.b.(uncaptured).Balancer)
}

func (p *Proxy) decisions(pool string, b *balance.Balancer) Decisions {
	if p.through == nil {
		return uncaptured{b}
	}
	return p.through(pool, b)
}

// branch is a pool of servers with a Balancer of its own. The platform's requests go to the main one, which has all that are
// listed; an operator's pools have some of them, or those written out.
type branch struct {
	b    Decisions
	rows []balance.Class
	has  func(*discovery.Entry) bool // whether a listed server is one of its; nil: all are

	alarm   alarm // of its Balancer's wakes
	name    string
	written bool // its servers are written out, in first; no list is told to it
	first   []balance.Endpoint
	budgets map[string]*limits.RetryBudget // by retry rule
	backup  *branch                        // serves for it while it has no server admitted; nil: none
	standby routes.Failover
	away    bool                // the backup serves now
	fair    *limits.FairLimiter // its room, shared between routes; nil: no bound
	shares  map[string]int      // a route's number in fair
	live    int                 // requests in hand
	retired bool                // a reload has taken it away

	admitted, opined int     // requests so far; as of when opinions were told last
	rate, opinedAt   float64 // of them a second, then
}

// listed tells a branch what of a list concerns it. In list are the list's entries, numbered.
func (in *branch) listed(p *Proxy, l List, first bool, list []balance.Endpoint) {
	if in.written {
		if !first {
			return
		}
		p.decide(in, func(now float64) *balance.Actions {
			return in.b.EndpointsUpdated(now, true, true, p.ruledOut(in.first))
		})
		return
	}
	own := list
	if in.has != nil {
		own = nil
		for i := range list {
			if in.has(&l.Entries[i]) {
				own = append(own, list[i])
			}
		}
	}
	p.decide(in, func(now float64) *balance.Actions { return in.b.EndpointsUpdated(now, l.Full, first, own) })
}

// begin tells a branch that is new while the proxy serves all that it has to know.
func (in *branch) begin(p *Proxy) {
	if in.written {
		in.listed(p, List{Full: true}, true, nil)
		return
	}
	var l List
	var list []balance.Endpoint
	for _, index := range slices.Sorted(maps.Keys(p.known)) {
		e, _ := p.ruled(p.known[index])
		l.Entries = append(l.Entries, e)
		list = append(list, p.names.Endpoint(e.Entry))
	}
	l.Full = true
	in.listed(p, l, true, list)
}

// serving is the branch that serves for this one: itself, or the first backup on the way that does not stand aside too. Danger:
// a pool that gets nothing while its backup serves would never be known to be well again, so a request goes to it whenever one
// of its servers has cooled down; the decisions let one at a time go there.
func (in *branch) serving(now float64) *branch {
	for in.away && in.backup != nil {
		if _, trial := in.b.Availability(now); trial {
			break
		}
		in = in.backup
	}
	return in
}

// standbys looks which pools' backups serve.
func (p *Proxy) standbys() {
	for _, in := range p.branches {
		if in.backup == nil {
			continue
		}
		admitted, _ := in.b.Availability(p.now())
		if away := in.standby.Active(p.now(), admitted); away != in.away {
			in.away = away
			p.log.WithFields(logrus.Fields{"pool": in.name, "backup": in.backup.name, "serves": away}).Warn("backup")
		}
	}
}
