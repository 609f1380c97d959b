package balance

import "math"

const (
	overheadShare             = 0.004 // of the service, to pay for health checks, and as much for gossip
	maxHealthChecksPerRequest = 2.0   // health checks, however cheap
	loadReportTimeout         = 3.0   // s; loads reported longer ago are not counted on
	freshLoadDuration         = 0.08  // s; a report this old says little more than the mean
	minMeanUtilization        = 0.02  // share of cores; below it the cores of a machine model cannot be told
	minModelReports           = 50    // reports of a machine model before its cores are told
)

// loadReportStats are what servers report of their load, and the health checks that ask them.
type loadReportStats struct {
	lastReport        float64 // 0: never
	healthCheckBudget float64 // health checks saved up
	latencyHeadroom   float64 // latency objective over the usual latency of a request alone; the least of the classes
}

// reportedLoad is what a server reported last.
type reportedLoad struct {
	inFlight  float64 // attempts of all proxies
	at        float64
	sentSince int // attempts of this proxy
}

// model is what servers on machines of one kind have in common.
type model struct {
	estimate
	inFlight    float64 // attempts at a server, smoothed
	utilization float64 // share of its cores in use, smoothed
	reports     float64
	cores       float64 // the first over the second where least waits; 0: not known
}

// report learns the cores from a load report.
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

// coresOrOne are the cores of a server of this model, as far as reports tell; else one is taken for granted.
func (m *model) coresOrOne() float64 { return max(m.cores, 1) }

// HealthChecked tells the result of a health check. One that fails is no failed request.
func (b *Balancer) HealthChecked(now float64, index int, ok bool, r LoadReport) *Actions {
	b.begin(now)
	if index < len(b.servers) && b.servers[index] != nil && ok && r.InFlight >= 0 {
		s := b.servers[index]
		s.load = reportedLoad{inFlight: r.InFlight, at: now}
		b.loadReports.lastReport = now
		s.model.report(r)
	}
	return b.dispatch()
}

// requestHealthChecks orders health checks, as many for a request as their cost allows.
func (b *Balancer) requestHealthChecks() {
	stats := &b.loadReports
	stats.healthCheckBudget = min(
		stats.healthCheckBudget+overheadShare/max(b.deployment.HealthCheckCost, 1e-9),
		maxHealthChecksPerRequest, // saved up while there is no list, they would come as a flood
	)
	for ; b.deployment.HealthChecks && stats.healthCheckBudget >= 1 && len(b.servers) > 0; stats.healthCheckBudget-- {
		s := b.servers[int(b.random.Float64()*float64(len(b.servers)))]
		if s != nil && s.State == Ready {
			b.actions.HealthChecks = append(b.actions.HealthChecks, s.Index)
		}
	}
}

// loadsKnown reports whether servers report their loads.
func (b *Balancer) loadsKnown() bool {
	return b.loadReports.lastReport > 0 && b.now < b.loadReports.lastReport+loadReportTimeout
}

// loadOf is how many attempts a server holds: as reported, or those of this proxy alone.
func (b *Balancer) loadOf(s *server) float64 {
	if !b.loadsKnown() {
		return float64(s.breaker.inFlight)
	}
	trust := math.Exp((s.load.at - b.now) / freshLoadDuration)
	mean := (1 - trust) * b.concurrency.utilization * b.capacityOf(s)
	return trust*s.load.inFlight + mean + float64(s.load.sentSince)
}

// latencyHeadroom is how many times longer than alone at a server a usual request may take, in the tightest class.
func (b *Balancer) latencyHeadroom() float64 {
	headroom := math.Inf(1)
	for i := range b.classes {
		class := &b.classes[i]
		headroom = min(headroom, class.LatencyObjective/class.medianUnloadedLatency())
	}
	return headroom
}
