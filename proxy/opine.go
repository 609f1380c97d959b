package proxy

import (
	"maps"
	"slices"
	"strings"
	"time"

	"lockloom/assignment"
	"lockloom/balance"
	"lockloom/internal/discovery"
)

// opineEvery is how often opinions are told. What the list or operators say is told as it comes.
const opineEvery = 100 * time.Millisecond

// OnEstimates has a control service beside the proxy hear what the proxy holds of each operator's pool: every so often, and at once when the
// list or an order changes something. The call is the owner's: it must not wait. Set it before Serve.
func (p *Proxy) OnEstimates(call func(now float64, pools map[string]assignment.Observation)) {
	p.opined = call
}

// OutcomesReported takes in how attempts ended that the control service's subscribers sent to a pool, by server's name: successful, failed. Unknown
// names are passed over. It may be called by anyone.
func (p *Proxy) OutcomesReported(pool string, attempts map[string][2]int) {
	p.post(func() {
		o := p.ordinary.Load()
		if o == nil || o.pools[pool] == nil {
			return
		}
		var all []balance.ReportedOutcomes
		for _, name := range slices.Sorted(maps.Keys(attempts)) {
			if index, ok := p.names.Find(name); ok {
				all = append(all, balance.ReportedOutcomes{Endpoint: index, Succeeded: attempts[name][0], Failed: attempts[name][1]})
			}
		}
		o.pools[pool].b.OutcomesReported(p.now(), all)
	})
}

// opine tells what is held now.
func (p *Proxy) opine() {
	o := p.ordinary.Load()
	if p.opined == nil || o == nil || !p.listed {
		return
	}
	all := map[string]assignment.Observation{}
	for name, in := range o.pools {
		all[name] = p.sight(in)
	}
	p.gone = nil
	p.opined(p.now(), all)
}

// sight is what is held of one pool. Danger: the opinion of a server is the Balancer's, whether it may be sent to the list's and the
// operators'.
func (p *Proxy) sight(in *branch) assignment.Observation {
	proxies := float64(max(p.launch.Proxies, 1)) // the others are taken to be alike
	if passed := p.now() - in.opinedAt; passed >= opineEvery.Seconds()/2 {
		in.rate = float64(in.admitted-in.opined) / passed
		in.opined, in.opinedAt = in.admitted, p.now()
	}
	s := assignment.Observation{Removed: p.gone, Rate: in.rate * proxies}
	beliefs := map[int]balance.ServerStatus{}
	for _, b := range in.b.ServerStatuses(p.now()) {
		beliefs[b.Endpoint] = b
		s.Load += float64(b.InFlight) * proxies
	}
	add := func(e discovery.Entry, index int) {
		b := beliefs[index]
		s.Servers = append(s.Servers, assignment.ServerEstimate{Name: e.Name, Addr: e.Addr, Zone: e.ZoneName, Draining: e.State != balance.Ready,
			Paused: b.Paused, Trial: b.Trial, Payoff: b.Payoff, Cores: e.Cores, StartedAt: e.StartedAt})
	}
	if in.written {
		for _, b := range in.first {
			var e discovery.Entry
			e.Name, e.State, e.StartedAt = p.names.Name(b.Index), b.State, b.StartedAt
			e.Addr = strings.TrimPrefix(e.Name, in.name+"/")
			e, _ = p.ruled(e)
			add(e, b.Index)
		}
		return s
	}
	for _, index := range slices.Sorted(maps.Keys(p.known)) {
		if e, _ := p.ruled(p.known[index]); in.has == nil || in.has(&e) {
			add(e, index)
		}
	}
	return s
}
