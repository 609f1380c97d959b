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
	Take(now float64, a balance.Arrival, id string) (Handle, *balance.Orders)
	Wake(now float64) *balance.Orders
	Listed(now float64, full, first bool, list []balance.Backend) *balance.Orders
	Probed(now float64, backend int, ok bool, r balance.Report) *balance.Orders
	Heard(now float64, from int, n balance.Note) *balance.Orders
	Reported(now float64, all []balance.Results)
	Part(part float64)
	Slack(times, lag float64)
	Remember(now float64, m balance.Memory)
	Recall(now float64) balance.Memory
	Beliefs(now float64) []balance.Belief
	Admits(now float64) (any, trial bool)
	Keeps(index int) bool
}

// Handle is a lookup's.
type Handle interface {
	Ended(now float64, leg int, o balance.Outcome, latency float64, over bool) *balance.Orders
	Left(now float64) *balance.Orders
	Started(now float64, leg int) *balance.Orders
	Whole(now float64) *balance.Orders
	Wake(now float64) *balance.Orders
	Done() bool
}

// bare is a Balancer whose calls nobody captures.
type bare struct{ *balance.Balancer }

func (b bare) Take(now float64, a balance.Arrival, _ string) (Handle, *balance.Orders) {
	return b.Balancer.Take(now, a)
}

// Capture has the decisions of every pool made through what a call makes of its Balancer; the platform's has no name. Call it before
// Operate. One that has a method Dropped is told when a reload has taken its pool away.
func (p *Proxy) Capture(through func(pool string, b *balance.Balancer) Decisions) {
	p.through = through
	p.main.b = through("", p.main.b.(bare).Balancer)
}

func (p *Proxy) decisions(pool string, b *balance.Balancer) Decisions {
	if p.through == nil {
		return bare{b}
	}
	return p.through(pool, b)
}

// branch is a pool of servers with a Balancer of its own. The platform's lookups go to the main one, which has all that are
// listed; an operator's pools have some of them, or those written out.
type branch struct {
	b    Decisions
	rows []balance.Tariff
	has  func(*discovery.Entry) bool // whether a listed server is one of its; nil: all are

	alarm   alarm // of its Balancer's wakes
	name    string
	written bool // its servers are written out, in first; no list is told to it
	first   []balance.Backend
	budgets map[string]*limits.Budget // by retry rule
	backup  *branch                   // serves for it while it has no server admitted; nil: none
	standby routes.Standby
	away    bool           // the backup serves now
	fair    *limits.Fair   // its room, shared between routes; nil: no bound
	shares  map[string]int // a route's number in fair
	live    int            // lookups in hand
	retired bool           // a reload has taken it away

	admitted, opined int     // lookups so far; as of when opinions were told last
	rate, opinedAt   float64 // of them a second, then
}

// listed tells a branch what of a list concerns it. In list are the list's entries, numbered.
func (in *branch) listed(p *Proxy, l List, first bool, list []balance.Backend) {
	if in.written {
		if !first {
			return
		}
		p.decide(in, func(now float64) *balance.Orders { return in.b.Listed(now, true, true, p.ruledOut(in.first)) })
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
	p.decide(in, func(now float64) *balance.Orders { return in.b.Listed(now, l.Full, first, own) })
}

// begin tells a branch that is new while the proxy serves all that it has to know.
func (in *branch) begin(p *Proxy) {
	if in.written {
		in.listed(p, List{Full: true}, true, nil)
		return
	}
	var l List
	var list []balance.Backend
	for _, index := range slices.Sorted(maps.Keys(p.known)) {
		e, _ := p.ruled(p.known[index])
		l.Entries = append(l.Entries, e)
		list = append(list, p.names.Backend(e.Entry))
	}
	l.Full = true
	in.listed(p, l, true, list)
}

// serving is the branch that serves for this one: itself, or the first backup on the way that does not stand aside too. Danger:
// a pool that gets nothing while its backup serves would never be known to be well again, so a lookup goes to it whenever one
// of its servers has cooled down; the decisions let one at a time go there.
func (in *branch) serving(now float64) *branch {
	for in.away && in.backup != nil {
		if _, trial := in.b.Admits(now); trial {
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
		admitted, _ := in.b.Admits(p.now())
		if away := in.standby.Serves(p.now(), admitted); away != in.away {
			in.away = away
			p.log.WithFields(logrus.Fields{"pool": in.name, "backup": in.backup.name, "serves": away}).Warn("backup")
		}
	}
}
