package balance

import "math"

const (
	overheadShare             = 0.004 // share of the service's cost allowed for health checks, and the same for gossip
	maxHealthChecksPerRequest = 2.0   // health checks per request at most, however low their cost is
	loadReportTimeout         = 3.0   // s since the last load report, after which loads count as unknown
	freshLoadDuration         = 0.08  // s; time constant with which a report loses weight; older loads are not gossiped
	minMeanUtilization        = 0.02  // share of cores in use; with less, the cores of a machine model cannot be estimated
	minModelReports           = 50    // reports from servers of a machine model before its cores are estimated
)

// loadReportStats is the state of health checks and of the load reports that they return.
type loadReportStats struct {
	lastReport        float64 // time of the last report; 0: never
	healthCheckBudget float64 // number of health checks that may be sent
	latencyHeadroom   float64 // see Balancer.latencyHeadroom
}

// reportedLoad is the last load that a server reported, or that a peer sent.
type reportedLoad struct {
	inFlight  float64 // attempts in flight from all proxies
	at        float64 // time of the report
	sentSince int     // attempts in flight that this proxy has sent after the report
}

// model is what this balancer has learned about the servers of a machine model.
type model struct {
	estimate
	inFlight    float64 // smoothed mean of the requests in flight at a server
	utilization float64 // smoothed mean of the share of a server's cores in use
	reports     float64 // number of reports
	cores       float64 // the least inFlight/utilization so far, as queueing raises this ratio; 0: unknown
}

// report updates the estimated cores from a load report.
func (m *model) report(r LoadReport) {
	if r.Utilization < 0 {
		return
	}
	m.inFlight += meanSmoothing * (r.InFlight - m.inFlight)
	m.utilization += meanSmoothing * (r.Utilization - m.utilization)
	m.reports++
	if m.reports <= minModelReports || m.utilization <= minMeanUtilization {
		return
	}
	if m.cores == 0 || m.inFlight/m.utilization < m.cores {
		m.cores = m.inFlight / m.utilization
	}
}

// coresOrOne is the estimated number of cores of a server of this model, or one if it is unknown.
func (m *model) coresOrOne() float64 { return max(m.cores, 1) }

// HealthChecked reports the result of a health check. A failed one does not count as a failed attempt.
func (b *Balancer) HealthChecked(now float64, index int, ok bool, r LoadReport) *Actions {
	b.beginCall(now)
	if index < len(b.servers) && b.servers[index] != nil && ok && r.InFlight >= 0 {
		s := b.servers[index]
		s.load = reportedLoad{inFlight: r.InFlight, at: now}
		b.loadReports.lastReport = now
		s.model.report(r)
	}
	return b.dispatch()
}

// requestHealthChecks adds health checks of random servers to the actions, as many as their cost allows.
func (b *Balancer) requestHealthChecks() {
	stats := &b.loadReports
	stats.healthCheckBudget = min(
		stats.healthCheckBudget+overheadShare/max(b.deployment.HealthCheckCost, 1e-9),
		maxHealthChecksPerRequest, // otherwise budget saved up before the endpoint list arrives would be spent all at once
	)
	for ; b.deployment.HealthChecks && stats.healthCheckBudget >= 1 && len(b.servers) > 0; stats.healthCheckBudget-- {
		s := b.servers[int(b.random.Float64()*float64(len(b.servers)))]
		if s != nil && s.State == Ready {
			b.actions.HealthChecks = append(b.actions.HealthChecks, s.Index)
		}
	}
}

// loadsKnown reports whether any server has reported its load within loadReportTimeout.
func (b *Balancer) loadsKnown() bool {
	return b.loadReports.lastReport > 0 && b.now < b.loadReports.lastReport+loadReportTimeout
}

// loadOf is the number of attempts in flight at a server. If servers report loads, it is the reported load plus the
// attempts sent since; the older the report is, the more of it is replaced by the mean load of all servers. Otherwise
// it counts only this proxy's attempts.
func (b *Balancer) loadOf(s *server) float64 {
	if !b.loadsKnown() {
		return float64(s.breaker.inFlight)
	}
	weight := math.Exp((s.load.at - b.now) / freshLoadDuration)
	mean := (1 - weight) * b.concurrency.utilization * b.capacityOf(s)
	return weight*s.load.inFlight + mean + float64(s.load.sentSince)
}

// latencyHeadroom returns the ratio of the latency objective to the median unloaded latency, the smallest of all
// classes.
func (b *Balancer) latencyHeadroom() float64 {
	headroom := math.Inf(1)
	for i := range b.classes {
		class := &b.classes[i]
		headroom = min(headroom, class.LatencyObjective/class.medianUnloadedLatency())
	}
	return headroom
}
