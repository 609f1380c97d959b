package assignment

import "math"

const (
	loadDecayTime        = 10.0 // seconds; the load estimate rises at once and falls with this time constant
	unloadedTimeRiseTime = 60.0 // seconds; the unloaded response time falls at once and rises with this time constant
	loadSmoothingTime    = 2.0  // seconds; time constant of the means of requests in flight and of their rate
)

// loadEstimate estimates how much work all subscribers send together. What is in flight includes requests that wait at
// overloaded servers: reckoned by that, a crowd at the warm servers would close the warming ones, which makes the
// crowd. So where the rate is known, the load is the rate times the response time of a server on which little waits.
type loadEstimate struct {
	value        float64 // requests in flight, less those that only wait; 0: unknown
	inFlight     float64 // requests, smoothed
	rate         float64 // requests begun per second, smoothed
	unloadedTime float64 // seconds that a request takes where little waits; 0: unknown
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
