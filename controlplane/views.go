package controlplane

import (
	"maps"
	"slices"

	"lockloom/assignment"
	"lockloom/internal/config"
)

// viewer identifies a kind of subscriber: all subscribers with the same viewer receive the same resources.
type viewer struct {
	zone  string
	pools poolFilter
}

// views holds the resources of each kind of subscriber. Service.mu guards it; the sets themselves are immutable.
type views struct {
	static   resourceSet // resources derived from the operator file alone
	byViewer map[viewer]*resourceSet
}

// view returns the resources that a kind of subscriber receives now. The caller must hold s.mu.
func (s *Service) view(v viewer) *resourceSet {
	if s.views.byViewer[v] == nil {
		s.views.byViewer[v] = s.buildView(v)
	}
	return s.views.byViewer[v]
}

// rebuildViews builds all views again. The caller must hold s.mu.
func (s *Service) rebuildViews() {
	s.dropUnusedViews()
	for v := range s.views.byViewer {
		s.views.byViewer[v] = s.buildView(v)
	}
}

// updateViews replaces, in all views, the endpoints of the changed pools and of the pools that have one of them as a
// backup. The caller must hold s.mu.
func (s *Service) updateViews(changed []string) {
	s.dropUnusedViews()
	for v, previous := range s.views.byViewer {
		updated := *previous
		updated[typeEndpoint] = maps.Clone(previous[typeEndpoint])
		s.addEndpoints(&updated, v.zone, func(chain []string) bool {
			return slices.ContainsFunc(chain, func(pool string) bool { return slices.Contains(changed, pool) })
		})
		s.views.byViewer[v] = &updated
	}
}

// dropUnusedViews drops the views that no subscriber uses any more. Subscribers may state any zone, so without this the
// number of views would be unbounded.
func (s *Service) dropUnusedViews() {
	used := map[viewer]bool{}
	for sub := range s.subscribers {
		used[sub.viewer] = true
	}
	maps.DeleteFunc(s.views.byViewer, func(v viewer, _ *resourceSet) bool { return !used[v] })
}

func (s *Service) buildView(v viewer) *resourceSet {
	resources := s.views.static
	if v.pools != allPools {
		resources = restrictToPools(s.views.static, v.pools.names())
	}
	resources[typeEndpoint] = nil
	s.addEndpoints(&resources, v.zone, func([]string) bool { return true })
	return &resources
}

// addEndpoints adds the endpoints of each observed pool whose cluster is in resources, if isSelected returns true for
// the names of the pool and its backups.
func (s *Service) addEndpoints(resources *resourceSet, zone string, isSelected func(chain []string) bool) {
	for i := range s.config.Pools {
		pool := &s.config.Pools[i]
		if resources[typeCluster][pool.Name] == nil || s.pools.assigned[pool.Name] == nil {
			continue
		}
		chain := s.backupChain(pool)
		if !isSelected(chain) {
			continue
		}
		var assignments []assignment.Assignment
		for _, name := range chain {
			if assigned := s.pools.assigned[name]; assigned != nil {
				assignments = append(assignments, assigned.AssignmentFor(zone))
			}
		}
		message := loadAssignment(pool.Name, assignments)
		if err := resources.add(typeEndpoint, pool.Name, false, message); err != nil {
			s.log.WithError(err).Error("resource cannot be encoded")
		}
	}
}

// backupChain returns the names of a pool and its backups in order. In a cycle of backups it names each pool once.
func (s *Service) backupChain(pool *config.Pool) (chain []string) {
	for pool != nil && !slices.Contains(chain, pool.Name) {
		chain = append(chain, pool.Name)
		pool = s.pool(pool.Backup)
	}
	return chain
}

// pool returns the configuration of a pool, or nil if there is no pool of that name.
func (s *Service) pool(name string) *config.Pool {
	for i := range s.config.Pools {
		if pool := &s.config.Pools[i]; pool.Name == name {
			return pool
		}
	}
	return nil
}
