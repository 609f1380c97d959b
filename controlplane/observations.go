package controlplane

import (
	"maps"
	"slices"
	"sync"

	"lockloom/assignment"
)

// inbox passes observations from Update to the service's goroutine. It holds only the newest observations. To them it
// adds the removed servers of the unprocessed observations that they replace.
type inbox struct {
	wake chan struct{} // has capacity 1; receives a value when there are observations to process

	mu           sync.Mutex // guards the fields below
	now          float64
	observations map[string]assignment.Observation // by pool
}

// poolStates holds the assignments of all pools. Service.mu guards it.
type poolStates struct {
	settings assignment.Settings
	assigned map[string]*assignment.Pool    // by pool
	restored map[string]assignment.Snapshot // of pools that were not observed since the start
	observed chan struct{}                  // closed by the first observation; may be received from without the lock
}

func newPoolStates(settings assignment.Settings) poolStates {
	return poolStates{
		settings: settings,
		assigned: map[string]*assignment.Pool{},
		observed: make(chan struct{}),
	}
}

// Update passes the proxy's observations of its pools, by name, to the service. The time now is in seconds since 1970.
// Update does not block. The service keeps the map, which the caller must not use afterwards.
func (s *Service) Update(now float64, observations map[string]assignment.Observation) {
	s.inbox.store(now, observations)
}

func (in *inbox) store(now float64, observations map[string]assignment.Observation) {
	in.mu.Lock()
	defer in.mu.Unlock()
	for pool, replaced := range in.observations {
		// Otherwise the servers removed in an observation that was replaced unprocessed would be missed.
		if observation, ok := observations[pool]; ok && len(replaced.Removed) > 0 {
			observation.Removed = slices.Concat(replaced.Removed, observation.Removed)
			observations[pool] = observation
		}
	}
	in.now, in.observations = now, observations
	select {
	case in.wake <- struct{}{}:
	default:
	}
}

func (in *inbox) take() (now float64, observations map[string]assignment.Observation) {
	in.mu.Lock()
	defer in.mu.Unlock()
	observations = in.observations
	in.observations = nil
	return in.now, observations
}

// updatePools updates the assignments of the observed pools and notifies the subscribers of changes.
func (s *Service) updatePools(now float64, observations map[string]assignment.Observation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-s.pools.observed:
	default:
		defer close(s.pools.observed)
	}
	var changed []string
	anyUrgent := false
	for _, name := range slices.Sorted(maps.Keys(observations)) {
		observation := observations[name]
		load := s.reportedLoad(name)
		observation.Load += load.inFlight
		observation.Rate += load.rate
		poolChanged, urgent := s.pools.get(now, name).Update(now, observation)
		if poolChanged {
			changed = append(changed, name)
			anyUrgent = anyUrgent || urgent
		}
	}
	if len(changed) > 0 {
		s.updateViews(changed)
		s.notifySubscribers(anyUrgent)
	}
}

// get returns the assignment of a pool. For a pool that is observed for the first time, it creates the assignment, and
// restores it from the snapshot if the snapshot contains the pool.
func (p *poolStates) get(now float64, name string) *assignment.Pool {
	if pool := p.assigned[name]; pool != nil {
		return pool
	}
	pool := assignment.New(p.settings)
	if snapshot, ok := p.restored[name]; ok {
		pool.Restore(now, snapshot)
		delete(p.restored, name)
	}
	p.assigned[name] = pool
	return pool
}

// notifySubscribers wakes the goroutines of all subscribers to send changes. The caller must hold s.mu.
func (s *Service) notifySubscribers(urgent bool) {
	for sub := range s.subscribers {
		sub.wakeup.notify(urgent)
	}
}
