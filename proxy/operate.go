package proxy

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"net"
	"reflect"
	"slices"

	"github.com/sirupsen/logrus"

	"lockloom/balance"
	"lockloom/internal/config"
	"lockloom/internal/discovery"
	"lockloom/internal/settings"
	"lockloom/limits"
	"lockloom/routes"
)

// Config is an operator file ready for use; see internal/operator.
type Config = config.Config

// ReadConfig reads an operator file; the errors are all its faults, a line each.
func ReadConfig(name string) (*Config, []error) { return config.Open(name) }

// kindsOf is the order of a class's rows in an operator's pool: one for each way in which a request may be sent again.
var kindsOf = [...]balance.Idempotency{limits.RetryNever: balance.NonIdempotent, limits.RetryKeyed: balance.Keyed, limits.RetryAlways: balance.Idempotent}

var scopesOf = map[string]balance.DedupScope{"": balance.DedupAll, "none": balance.DedupAll, "all": balance.DedupAll, "zone": balance.DedupZone,
	"pod": balance.DedupPod}

// ordinary is what a proxy needs to serve ordinary HTTP. Clients' goroutines read the table and the terms; the limits, budgets
// and branches are the owner's. It never changes: a reload puts another in its place.
type ordinary struct {
	setup   *Config
	pools   map[string]*branch
	tariffs map[string]int
	limits  map[string]int
}

// Configure has the proxy serve an operator's routes on these listeners too, from Serve on. Call it before.
func (p *Proxy) Configure(s *Config, listeners ...net.Listener) error {
	for _, t := range s.Classes {
		p.longest = max(p.longest, seconds(t.Deadline))
	}
	o, err := p.build(s, nil)
	if err != nil {
		return err
	}
	p.listeners = listeners
	p.take(o)
	return nil
}

// ReloadConfig serves by another operator file from now on, all of it or nothing. Requests in hand end as they were begun; pools that
// are as they were keep what they have learned, and limits that are as they were their counts. Listeners, and deadlines longer
// than any before, change with the next start.
func (p *Proxy) ReloadConfig(s *Config) error {
	done := make(chan error, 1)
	p.post(func() { done <- p.reoperate(s) })
	select {
	case err := <-done:
		return err
	case <-p.ended:
		return errors.New("the proxy has ended")
	}
}

func (p *Proxy) reoperate(s *Config) error {
	old := p.ordinary.Load()
	if old == nil {
		return errors.New("it was started without an operator file")
	}
	if !reflect.DeepEqual(old.setup.Listeners, s.Listeners) {
		return errors.New("listeners change with the next start")
	}
	for _, t := range s.Classes {
		if seconds(t.Deadline) > p.longest {
			return fmt.Errorf("tariff %q: a hard stop longer than %v counts from the next start", t.Name, p.longest)
		}
	}
	o, err := p.build(s, old)
	if err != nil {
		return err
	}
	p.take(o)
	for name, in := range old.pools {
		if o.pools[name] != in {
			in.retired = true
			p.dropped(in)
		}
	}
	p.log.WithFields(logrus.Fields{"pools": len(s.Pools), "routes": len(s.Routes)}).Info("operated anew")
	return nil
}

// take puts a built one in its place; its new pools are told the list as it is.
func (p *Proxy) take(o *ordinary) {
	for i := range o.setup.Pools {
		w := &o.setup.Pools[i]
		in := o.pools[w.Name]
		in.backup, in.standby.ActivateAfter, in.standby.RecoverAfter = o.pools[w.Backup], w.BackupAfter, w.BackupUntil
		if w.Backup == "" {
			in.away = false
		}
		shares := map[string]int{}
		o.share(shares, w.Name, o.setup.Routes)
		if w.Capacity == 0 {
			in.fair = nil
		} else if in.fair == nil || in.fair.Capacity != w.Capacity || !maps.Equal(in.shares, shares) {
			in.fair = limits.NewFairLimiter(w.Capacity, slices.Repeat([]float64{1}, len(shares)))
		}
		in.shares = shares
		if slices.Contains(p.branches, in) {
			continue
		}
		p.branches = append(p.branches, in)
		in.b.SetBudgetShare(p.part())
		in.b.SetLocalDelay(p.strained.slack, p.strained.lag)
		if len(w.Servers) > 0 {
			in.written = true
			p.writeOut(in, w.Servers)
		}
		if p.listed {
			in.begin(p)
		}
	}
	p.ordinary.Store(o)
}

// build makes what a setup needs, with the pools of an old one that are as they were.
func (p *Proxy) build(s *Config, old *ordinary) (*ordinary, error) {
	o := &ordinary{setup: s, pools: map[string]*branch{}, tariffs: map[string]int{}, limits: map[string]int{}}
	d := p.launch.Deployment
	d.Classes, d.Tenants = nil, nil
	d.Gossip = false // danger: a note numbers the platform's classes; a pool's would be taken for those
	for i, t := range s.Classes {
		o.tariffs[t.Name] = i
		for _, kind := range kindsOf {
			d.Classes = append(d.Classes, balance.Class{Name: t.Name, Idempotency: kind, DedupScope: scopesOf[t.DedupScope], DedupWindow: t.DedupWindow, LatencyObjective: t.LatencyObjective,
				Deadline: t.Deadline, PriorityWeight: t.PriorityWeight})
		}
	}
	for i, l := range s.File.Limits {
		o.limits[l.Name] = i
	}
	if old != nil && reflect.DeepEqual(old.setup.File.Limits, s.File.Limits) {
		s.Limits = old.setup.Limits
	}
	for i := range s.Pools {
		w := &s.Pools[i]
		if old != nil && reflect.DeepEqual(old.setup.Classes, s.Classes) {
			if k := slices.IndexFunc(old.setup.Pools, func(x config.Pool) bool { return x.Name == w.Name }); k >= 0 && w.Same(&old.setup.Pools[k]) {
				o.pools[w.Name] = old.pools[w.Name]
				continue
			}
		}
		d.Seed = p.launch.Seed ^ settings.NameHash(w.Name)
		b, err := balance.New(d, p.now())
		if err != nil {
			return nil, fmt.Errorf("pool %q: %w", w.Name, err)
		}
		o.pools[w.Name] = &branch{b: p.decisions(w.Name, b), rows: d.Classes, name: w.Name, budgets: map[string]*limits.RetryBudget{},
			has: func(e *discovery.Entry) bool {
				return (len(w.Kinds) == 0 || slices.Contains(w.Kinds, e.ModelName)) && (len(w.Zones) == 0 || slices.Contains(w.Zones, e.ZoneName))
			}}
	}
	return o, nil
}

// dropped forgets a pool that a reload has taken away, once the last request in hand has left it. Until then it hears of drains.
func (p *Proxy) dropped(in *branch) {
	if !in.retired || in.live > 0 {
		return
	}
	p.branches = slices.DeleteFunc(p.branches, func(b *branch) bool { return b == in })
	if told, ok := in.b.(interface{ Dropped() }); ok {
		told.Dropped()
	}
	for _, b := range in.first { // unless another pool has the same server written out
		if !slices.ContainsFunc(p.branches, func(o *branch) bool {
			return slices.ContainsFunc(o.first, func(x balance.Endpoint) bool { return x.Index == b.Index })
		}) {
			delete(p.written, b.Index)
			p.forget(b.Index)
		}
	}
}

// share numbers the routes that go to a pool.
func (o *ordinary) share(shares map[string]int, pool string, list []config.Route) {
	for i := range list {
		r := &list[i]
		if r.Pool == pool || slices.ContainsFunc(r.Split, func(s config.WeightedPool) bool { return s.Pool == pool }) {
			shares[r.Name] = len(shares)
		}
		o.share(shares, pool, r.Routes)
	}
}

// writeOut tells a pool its servers, which no list changes.
func (p *Proxy) writeOut(in *branch, addrs []string) {
	var list []balance.Endpoint
	for i, addr := range addrs {
		b := p.names.Endpoint(settings.Entry{Name: in.name + "/" + addr, ModelName: in.name, Endpoint: balance.Endpoint{Pod: i}})
		p.pool.SetEndpoint(b.Index, addr, 0)
		p.told(b.Index, balance.Ready, p.now(), 0)
		p.written[b.Index] = true
		list = append(list, b)
		p.life.listed(in.name + "/" + addr)
	}
	in.first = list
}

// budget is a branch's for a retry rule.
func (in *branch) budget(r *limits.RetryRule) *limits.RetryBudget {
	if in.budgets[r.Name] == nil {
		in.budgets[r.Name] = &limits.RetryBudget{Ratio: r.BudgetRatio}
	}
	in.budgets[r.Name].Ratio = r.BudgetRatio // a reload may have changed it
	return in.budgets[r.Name]
}

// narrowed says whether a request's retry rule lets another attempt be sent. The decisions choose each attempt; the rule only narrows.
func (p *Proxy) narrowed(l *lookup) bool {
	if l.rule == nil {
		return false
	}
	b := l.in.budget(l.rule)
	if len(l.legs) == 0 {
		b.FirstAttempt(p.now())
		return false
	}
	return l.rule.MaxAttempts > 0 && len(l.legs) >= l.rule.MaxAttempts || !b.AllowRetry(p.now())
}

// limited takes a request through its limits and its pool's room. Where it does not pass it tells the client so at once, and when
// to come back if that is known.
func (p *Proxy) limited(l *lookup) bool {
	if l.rule == nil { // the platform's
		return true
	}
	if l.in.retired { // danger: a pool that a reload took away hears of no drain any more
		p.turnedAt(l, reply{status: 503, body: []byte("its pool has gone\n")})
		return false
	}
	if len(l.asks) > 0 {
		ticket, refusal := l.limits.Acquire(p.now(), l.asks)
		if refusal != nil {
			p.turnedAt(l, reply{status: 429, advice: whole(refusal.RetryAfter), body: []byte("over a limit\n")})
			return false
		}
		l.ticket = ticket
	}
	if f := l.in.fair; f != nil {
		l.share = l.in.shares[l.route]
		if !f.Acquire(p.now(), l.share) {
			l.limits.Release(&l.ticket)
			p.turnedAt(l, reply{status: 503, body: []byte("the pool is full\n")})
			return false
		}
		l.shared = f
	}
	l.in = l.in.serving(p.now()) // the pool of its route, or the backup that serves for it
	return true
}

// turnedAt dismisses a request that the decisions never saw.
func (p *Proxy) turnedAt(l *lookup, r reply) {
	p.counts.Taken++
	p.counts.Dismissed++
	l.answered = true
	l.answer <- r
}

// giveBack returns what a request held of limits and room.
func (l *lookup) giveBack() {
	if l.rule == nil {
		return
	}
	l.limits.Release(&l.ticket)
	if l.shared != nil {
		l.shared.Release(l.share)
		l.shared = nil
	}
}

// asks are the limits of a route, with the keys that a request counts under.
func (o *ordinary) asks(r *routes.Route, w *config.Route, tenant, address string, field func(name string) string) []limits.LimitKey {
	var list []limits.LimitKey
	for _, name := range w.Limits {
		i := o.limits[name]
		a := limits.LimitKey{Limit: i}
		switch by := o.setup.File.Limits[i].By; by {
		case "all":
		case "route":
			a.Key = settings.NameHash(r.Name)
		case "customer":
			a.Key = settings.NameHash(tenant)
		case "address":
			a.Key = settings.NameHash(address)
		default:
			a.Key = settings.NameHash(field(by[len("field:"):]))
		}
		list = append(list, a)
	}
	return list
}

// row is the index of a class's row of a kind.
func (o *ordinary) row(class string, again limits.RetrySafety) int {
	return o.tariffs[class]*len(kindsOf) + int(again)
}

// whole is a wait in whole seconds, as Retry-After has it, and not less than it is.
func whole(s float64) float64 { return math.Ceil(s) }
