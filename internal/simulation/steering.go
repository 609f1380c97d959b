package simulation

import (
	"strconv"

	"lockloom/assignment"
	"lockloom/balance"
)

const (
	reportInterval = 1.0 // s between the reports of the steered proxies
	updateInterval = 0.1 // s between assignments, and at most until one takes effect
)

// steeringController is a control plane in virtual time: a Balancer that sends nothing itself and learns from the
// reports of the proxies that it steers, and the assignment made of its estimates.
type steeringController struct {
	balancer    *balance.Balancer
	pool        *assignment.Pool
	proxies     map[uint64]*baseline       // by number
	list        []balance.Endpoint         // by index, the newest that any proxy was notified of
	results     []balance.ReportedOutcomes // since the last report, by index
	assignments []assignment.Server        // by index; Weight 0: nothing is to be sent there
	drop        float64                    // fraction of requests
	rate        float64                    // attempts a second
	reportAt    float64
	updateAt    float64
}

func newSteeringController(d balance.Deployment, now float64) (*steeringController, error) {
	balancer, err := balance.New(d, now)
	if err != nil {
		return nil, err
	}
	pool := assignment.New(assignment.Settings{
		SlowStartFraction: d.SlowStartFraction,
		SlowStartDuration: d.SlowStartDuration,
		CrashFactor:       d.CrashFactor,
		CrashDuration:     d.CrashDuration,
	})
	return &steeringController{balancer: balancer, pool: pool, proxies: map[uint64]*baseline{}}, nil
}

// steered makes proxies with weighted random choice, which one controller for each pool steers, as in installations
// that do not run lockloom's proxies. A seed holds the number of the proxy and of the pool; see virtualRun.start.
func steered() Policy {
	controllers := map[uint64]*steeringController{}
	return func(d balance.Deployment, now float64) (Decider, error) {
		pool, number := d.Seed>>16&0xffff, d.Seed>>32
		controller := controllers[pool]
		if controller == nil {
			var err error
			if controller, err = newSteeringController(d, now); err != nil {
				return nil, err
			}
			controllers[pool] = controller
		}
		decider, err := newBaseline(controller.choose)(d, now)
		if err != nil {
			return nil, err
		}
		proxy := decider.(*baseline)
		proxy.controller = controller
		controller.proxies[number] = proxy // in place of one that was killed
		return proxy, nil
	}
}

// listUpdated merges the list of one proxy. Since a proxy may be notified late, a server that is draining or removed
// stays so until its next start.
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
	s.balancer.EndpointsUpdated(now, true, true, s.list)
	s.updateAt = 0
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

// update learns from the reports and makes a new assignment, each when it is time.
func (s *steeringController) update(now float64) {
	if now >= s.reportAt {
		s.reportAt = now + reportInterval
		s.report(now)
	}
	if now >= s.updateAt {
		s.updateAt = now + updateInterval
		s.assign(now)
	}
}

func (s *steeringController) report(now float64) {
	s.balancer.OutcomesReported(now, s.results)
	s.rate = 0
	for i := range s.results {
		result := &s.results[i]
		s.rate += float64(result.Succeeded+result.Failed) / reportInterval
		result.Succeeded = 0
		result.Failed = 0
	}
}

func (s *steeringController) assign(now float64) {
	s.pool.Update(now, s.observe(now))
	view := s.pool.AssignmentFor("")
	s.drop = view.Drop
	clear(s.assignments)
	for _, server := range view.Servers {
		// The name is an index: observe made it.
		if i, _ := strconv.Atoi(server.Name); server.Health == assignment.Healthy {
			s.assignments[i] = server
		}
	}
}

func (s *steeringController) observe(now float64) assignment.Observation {
	observation := assignment.Observation{Rate: s.rate}
	for _, proxy := range s.proxies { // sums of integers, so the order does not matter
		for _, n := range proxy.inFlight {
			observation.Load += float64(n)
		}
	}
	for _, status := range s.balancer.ServerStatuses(now) {
		endpoint := s.list[status.Endpoint]
		observation.Servers = append(observation.Servers, assignment.ServerEstimate{
			Name:      strconv.Itoa(endpoint.Index),
			Draining:  endpoint.State != balance.Ready,
			Paused:    status.Paused,
			Trial:     status.Trial,
			Payoff:    status.Payoff,
			Cores:     endpoint.Cores,
			StartedAt: endpoint.StartedAt,
		})
	}
	for _, endpoint := range s.list {
		if endpoint.State == balance.Removed {
			observation.Removed = append(observation.Removed, strconv.Itoa(endpoint.Index))
		}
	}
	return observation
}

// choose draws a server by the assigned weights, as gRPC's clients do; -1: the request is dropped, or none may be sent
// to.
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
