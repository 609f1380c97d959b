package simulation

import (
	"strconv"

	"lockloom/assignment"
	"lockloom/balance"
)

const (
	reportInterval = 1.0 // s between the reports of those that are steered
	updateInterval = 0.1 // s between its sights, and what a push takes at most
)

// controller is a control service in virtual time: a Balancer that sends nothing itself and hears what those that it
// steers report, and the assignment made of its opinions.
type steeringController struct {
	b                *balance.Balancer
	pool             *assignment.Pool
	proxies          map[uint64]*baseline       // by number
	list             []balance.Endpoint         // by index, the newest that any of them was told
	results          []balance.ReportedOutcomes // since the last report, by index
	assignments      []assignment.Server        // by index; Weight 0: nothing is to be sent there
	drop, rate       float64
	reportAt, lookAt float64
}

// steered makes proxies with weighted random choice that one steward for each pool steers: what installations have that
// lockloom does not run. A seed tells which proxy and pool it is for; see start.
func steered() Policy {
	pools := map[uint64]*steeringController{}
	return func(d balance.Deployment, now float64) (Decider, error) {
		pool, number := d.Seed>>16&0xffff, d.Seed>>32
		s := pools[pool]
		if s == nil {
			b, err := balance.New(d, now)
			if err != nil {
				return nil, err
			}
			s = &steeringController{b: b, proxies: map[uint64]*baseline{}}
			pools[pool] = s
			s.pool = assignment.New(
				assignment.Settings{
					SlowStartFraction: d.SlowStartFraction,
					SlowStartDuration: d.SlowStartDuration,
					CrashFactor:       d.CrashFactor,
					CrashDuration:     d.CrashDuration,
				},
			)
		}
		made, _ := newBaseline(s.choose)(d, now)
		p := made.(*baseline)
		p.controller = s
		s.proxies[number] = p // in place of the one that was killed
		return p, nil
	}
}

// listChanged takes in a list. Danger: one of them may be told late; what drains or is gone stays so until its next
// start.
func (s *steeringController) listUpdated(now float64, list []balance.Endpoint) {
	for _, b := range list {
		for len(s.list) <= b.Index {
			s.list = append(s.list, balance.Endpoint{State: balance.Removed, StartedAt: -1})
			s.results = append(s.results, balance.ReportedOutcomes{Endpoint: len(s.results)})
			s.assignments = append(s.assignments, assignment.Server{})
		}
		if was := s.list[b.Index]; b.StartedAt > was.StartedAt || b.StartedAt == was.StartedAt && b.State > was.State {
			s.list[b.Index] = b
		}
	}
	s.b.EndpointsUpdated(now, true, true, s.list)
	s.lookAt = 0
	s.update(now)
}

// attemptEnded counts how an attempt ended, as its sender would see it.
func (s *steeringController) attemptEnded(to int, o balance.Outcome) {
	switch o {
	case balance.Succeeded:
		s.results[to].Succeeded++
	case balance.Canceled, balance.NotSent, balance.InvalidRequest:
	default:
		s.results[to].Failed++
	}
}

// endSecond takes in what was reported and pushes what came of it, where it is time.
func (s *steeringController) update(now float64) {
	if now >= s.reportAt {
		s.reportAt = now + reportInterval
		s.b.OutcomesReported(now, s.results)
		s.rate = 0
		for i := range s.results {
			s.rate += float64(s.results[i].Succeeded+s.results[i].Failed) / reportInterval
			s.results[i].Succeeded, s.results[i].Failed = 0, 0
		}
	}
	if now < s.lookAt {
		return
	}
	s.lookAt = now + updateInterval
	sight := assignment.Observation{Rate: s.rate}
	for _, p := range s.proxies { // whole numbers: their order does not matter
		for _, n := range p.inFlight {
			sight.Load += float64(n)
		}
	}
	for _, x := range s.b.ServerStatuses(now) {
		b := s.list[x.Endpoint]
		sight.Servers = append(
			sight.Servers,
			assignment.ServerEstimate{Name: strconv.Itoa(b.Index), Draining: b.State != balance.Ready, Paused: x.Paused,
				Trial: x.Trial, Payoff: x.Payoff, Cores: b.Cores, StartedAt: b.StartedAt},
		)
	}
	for _, b := range s.list {
		if b.State == balance.Removed {
			sight.Removed = append(sight.Removed, strconv.Itoa(b.Index))
		}
	}
	s.pool.Update(now, sight)
	view := s.pool.AssignmentFor("")
	s.drop = view.Drop
	clear(s.assignments)
	for _, x := range view.Servers {
		if i, _ := strconv.Atoi(x.Name); x.Health == assignment.Healthy {
			s.assignments[i] = x
		}
	}
}

// choose draws a server by the told weights, as gRPC's clients do; -1: the request is dropped, or none may be sent to.
func (s *steeringController) choose(p *baseline, candidates []int) int {
	if p.rand.Float64() < s.drop {
		return -1
	}
	sum := 0
	for _, c := range candidates {
		sum += s.assignments[c].Weight
	}
	if sum == 0 {
		return -1
	}
	n := p.rand.IntN(sum)
	for _, c := range candidates {
		if n -= s.assignments[c].Weight; n < 0 {
			return c
		}
	}
	return -1
}
