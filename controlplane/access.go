package controlplane

import (
	"context"
	"fmt"
	"slices"
	"strings"

	core "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
)

// poolFilter is the set of pools that a subscriber may see, in a form that can be compared: their names in order, each
// followed by a newline.
type poolFilter string

const (
	allPools poolFilter = ""
	noPools  poolFilter = "\n"
)

// newPoolFilter returns the filter for these pools; for none it returns allPools, as the operator file has it.
func newPoolFilter(pools []string) poolFilter {
	if len(pools) == 0 {
		return allPools
	}
	return poolFilter(strings.Join(slices.Sorted(slices.Values(pools)), "\n") + "\n")
}

// includes reports whether the subscriber may see a pool.
func (f poolFilter) includes(pool string) bool {
	return f == allPools || strings.Contains("\n"+string(f), "\n"+pool+"\n")
}

// names returns the names of the pools; it must not be called for allPools.
func (f poolFilter) names() []string {
	return strings.Split(strings.TrimSuffix(string(f), "\n"), "\n")
}

// allowedPools returns the pools that the subscriber of a stream may see by its certificate, or an error if it may not
// subscribe at all.
func (s *Service) allowedPools(ctx context.Context) (poolFilter, error) {
	s.mu.Lock()
	allowed := s.config.ControlPlane.Allow
	s.mu.Unlock()
	if len(allowed) == 0 {
		return allPools, nil
	}
	names := certificateNames(ctx)
	for i := range allowed {
		if slices.ContainsFunc(names, allowed[i].Fits) {
			return newPoolFilter(allowed[i].Pools), nil
		}
	}
	return noPools, fmt.Errorf("no subscriber by the name of %q is allowed", names)
}

// subsetPools returns the pools that a node receives, of those that it may see, by what it states of itself.
func (s *Service) subsetPools(allowed poolFilter, node *core.Node) poolFilter {
	s.mu.Lock()
	defer s.mu.Unlock()
	subsets := s.config.ControlPlane.Subsets
	for i := range subsets {
		if !subsets[i].Fits(node.GetId(), node.GetCluster(), node.GetLocality().GetZone()) {
			continue
		}
		var pools []string
		for _, pool := range subsets[i].Pools {
			if allowed.includes(pool) {
				pools = append(pools, pool)
			}
		}
		if len(pools) == 0 { // an empty filter would stand for all
			return noPools
		}
		return newPoolFilter(pools)
	}
	return allowed
}
