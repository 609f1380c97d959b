package assignment

import "math"

const (
	loadDecayTime        = 10.0 // seconds; the load estimate rises at once and decays with this time constant
	unloadedTimeRiseTime = 60.0 // seconds; the unloaded response time falls at once and rises with this time constant
	loadSmoothingTime    = 2.0  // seconds; time constant by which requests in flight and their rate are smoothed
)

// loadEstimate estimates the load that all subscribers put on the pool together. The number of requests in flight is
// not enough, since it includes requests queued at overloaded servers: the higher load would lower the slow-start caps
// of servers that are warming up, which moves more requests to the overloaded ones. So if the rate is known, the load
// is at most the rate times the unloaded response time.
type loadEstimate struct {
	value        float64 // requests in flight, except those queued at servers; 0: unknown
	inFlight     float64 // requests in flight, smoothed
	rate         float64 // requests started per second, smoothed
	unloadedTime float64 // response time in seconds while few requests are queued; 0: unknown
	updatedAt    float64
}

func (l *loadEstimate) update(now float64, observation *Observation) {
	elapsed := now - l.updatedAt
	l.updatedAt = now
	load := observation.Load
	if observation.Rate > 0 {
		l.updateUnloadedTime(elapsed, observation)
		load = min(load, max(observation.Rate, l.rate)*l.unloadedTime)
	}
	l.value = max(load, l.value*math.Exp(-elapsed/loadDecayTime))
}

func (l *loadEstimate) updateUnloadedTime(elapsed float64, observation *Observation) {
	gain := 1 - math.Exp(-min(elapsed, loadSmoothingTime)/loadSmoothingTime)
	if l.rate == 0 {
		gain = 1
	}
	l.inFlight += gain * (observation.Load - l.inFlight)
	l.rate += gain * (observation.Rate - l.rate)
	responseTime := l.inFlight / l.rate // by Little's law
	if l.unloadedTime == 0 || responseTime < l.unloadedTime {
		l.unloadedTime = responseTime
		return
	}
	gain = 1 - math.Exp(-min(elapsed, unloadedTimeRiseTime)/unloadedTimeRiseTime)
	l.unloadedTime += gain * (responseTime - l.unloadedTime)
}
