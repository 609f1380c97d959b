package controlplane

import (
	"context"
	"fmt"
	"slices"
	"strings"

	core "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
)

// poolFilter is the set of pools that a subscriber is allowed to receive, as a comparable string: the sorted names of
// the pools, each followed by a newline.
type poolFilter string

const (
	allPools poolFilter = ""
	noPools  poolFilter = "\n"
)

// newPoolFilter returns the filter for a list of pools. For an empty list it returns allPools, since an empty list in
// the operator file means all pools.
func newPoolFilter(pools []string) poolFilter {
	if len(pools) == 0 {
		return allPools
	}
	return poolFilter(strings.Join(slices.Sorted(slices.Values(pools)), "\n") + "\n")
}

// includes reports whether the subscriber is allowed to receive a pool.
func (f poolFilter) includes(pool string) bool {
	return f == allPools || strings.Contains("\n"+string(f), "\n"+pool+"\n")
}

// names returns the names of the pools. It must not be called on allPools.
func (f poolFilter) names() []string {
	return strings.Split(strings.TrimSuffix(string(f), "\n"), "\n")
}

// allowedPools returns the pools that the certificate of a stream's subscriber allows it to receive, or an error if it
// is not allowed to subscribe at all.
func (s *Service) allowedPools(ctx context.Context) (poolFilter, error) {
	s.mu.Lock()
	allowed := s.config.ControlPlane.Allow
	s.mu.Unlock()
	if len(allowed) == 0 {
		return allPools, nil
	}
	names := certificateNames(ctx)
	for i := range allowed {
		if slices.ContainsFunc(names, allowed[i].Matches) {
			return newPoolFilter(allowed[i].Pools), nil
		}
	}
	return noPools, fmt.Errorf("no subscriber by the name of %q is allowed", names)
}

// subsetPools returns the pools that a node receives. These are the allowed pools of the first configured subset that
// matches the id, cluster and zone that the node states, or all allowed pools if no subset matches.
func (s *Service) subsetPools(allowed poolFilter, node *core.Node) poolFilter {
	s.mu.Lock()
	defer s.mu.Unlock()
	subsets := s.config.ControlPlane.Subsets
	for i := range subsets {
		if !subsets[i].Matches(node.GetId(), node.GetCluster(), node.GetLocality().GetZone()) {
			continue
		}
		var pools []string
		for _, pool := range subsets[i].Pools {
			if allowed.includes(pool) {
				pools = append(pools, pool)
			}
		}
		if len(pools) == 0 { // an empty filter would mean all pools
			return noPools
		}
		return newPoolFilter(pools)
	}
	return allowed
}
