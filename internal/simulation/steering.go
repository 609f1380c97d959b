package simulation

import (
	"strconv"

	"lockloom/assignment"
	"lockloom/balance"
)

const (
	reportInterval = 1.0 // s between the reports of outcomes by the steered proxies
	updateInterval = 0.1 // s between assignments; a change of the estimates takes effect at most this much later
)

// steeringController is a control plane in virtual time. Its Balancer sends no requests: it estimates the servers from
// the outcomes that the steered proxies report. Assignments are made from these estimates.
type steeringController struct {
	balancer    *balance.Balancer
	pool        *assignment.Pool
	proxies     map[uint64]*baseline       // by number of the proxy
	list        []balance.Endpoint         // by index: the newest entry that any proxy was notified of
	results     []balance.ReportedOutcomes // by index: outcomes since the last report
	assignments []assignment.Server        // by index; Weight 0: no requests are sent to the server
	drop        float64                    // fraction of requests that proxies reject without sending them
	rate        float64                    // attempts per second, as of the last report
	reportAt    float64                    // when the next report is due
	updateAt    float64                    // when the next assignment is due
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

// steered returns a policy of proxies that choose servers at random by assigned weights, as in installations that do
// not run lockloom's proxies. One controller for each pool assigns the weights. The seed of a proxy contains its number
// and that of the pool; see virtualRun.startProxy.
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
		controller.proxies[number] = proxy // replaces a proxy that was killed
		return proxy, nil
	}
}

// endpointsUpdated merges the endpoint list of one proxy. Proxies are notified at different times, so an older entry
// never replaces a newer one: a server that is draining or removed stays so until its next start.
func (s *steeringController) endpointsUpdated(now float64, list []balance.Endpoint) {
	for _, b := range list {
		for len(s.list) <= b.Index {
			s.list = append(s.list, balance.Endpoint{State: balance.Removed, StartedAt: -1})
			s.results = append(s.results, balance.ReportedOutcomes{Endpoint: len(s.results)})
			s.assignments = append(s.assignments, assignment.Server{})
		}
		if old := s.list[b.Index]; b.StartedAt > old.StartedAt || b.StartedAt == old.StartedAt && b.State > old.State {
			s.list[b.Index] = b
		}
	}
	s.balancer.EndpointsUpdated(now, true, true, s.list)
	s.updateAt = 0
	s.update(now)
}

// attemptEnded counts the outcome of an attempt. Outcomes that say nothing about the server are left out.
func (s *steeringController) attemptEnded(to int, o balance.Outcome) {
	switch o {
	case balance.Succeeded:
		s.results[to].Succeeded++
	case balance.Canceled, balance.NotSent, balance.InvalidRequest:
	default:
		s.results[to].Failed++
	}
}

// update processes the reports and makes a new assignment, each if it is due.
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

// report updates the estimates and the rate from the outcomes since the last report.
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

// assign makes a new assignment and takes over the weights of its healthy servers.
func (s *steeringController) assign(now float64) {
	s.pool.Update(now, s.observe(now))
	view := s.pool.AssignmentFor("")
	s.drop = view.Drop
	clear(s.assignments)
	for _, server := range view.Servers {
		// observe names each server by its index, so Atoi cannot fail.
		if i, _ := strconv.Atoi(server.Name); server.Health == assignment.Healthy {
			s.assignments[i] = server
		}
	}
}

// observe returns the input of an assignment: the estimates of the servers, the rate, and the load, which is the number
// of attempts in flight from all steered proxies.
func (s *steeringController) observe(now float64) assignment.Observation {
	observation := assignment.Observation{Rate: s.rate}
	for _, proxy := range s.proxies { // sums of integers, exact in any map order
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

// choose draws a server by the assigned weights, as gRPC clients do. It returns -1 if the request is to be rejected or
// no candidate has a weight.
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
