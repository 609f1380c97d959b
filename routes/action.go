package routes

import (
	"math"
	"strings"

	"lockloom/internal/pcg"
)

// SelectPool returns the pool that a key's requests go to, as an index of the route's Pools; -1 if it has none. When
// weights change, only as great a fraction of the keys moves as the weights do. For a request without a key the caller
// draws one.
func (m *Match) SelectPool(key uint64) int {
	pools := m.Route.Action.Pools
	if len(pools) < 2 {
		return len(pools) - 1
	}
	best, bestScore := -1, math.Inf(-1)
	for i, pool := range pools {
		if pool.Weight == 0 {
			continue
		}
		// Weighted rendezvous hashing: the pool with the greatest ln(u)/weight, where u is the hash of key and pool.
		if score := math.Log(pcg.HashFloat64(key, nameHash(pool.Pool))) / pool.Weight; score > bestScore {
			best, bestScore = i, score
		}
	}
	return best
}

// nameHash is 64-bit FNV-1a, which hash/fnv does not compute without a conversion to bytes.
func nameHash(name string) uint64 {
	const offset, prime = 14695981039346656037, 1099511628211
	hash := uint64(offset)
	for i := range len(name) {
		hash = (hash ^ uint64(name[i])) * prime
	}
	return hash
}

// UpstreamPath returns the path that is forwarded to a pool. It is an error if the rewritten path cannot be normalized.
func (m *Match) UpstreamPath() (string, error) {
	action := &m.Route.Action
	if action.Rewrite == "" {
		return m.path, nil
	}
	if m.compiled.expression != nil {
		return NormalizePath(m.expand(action.Rewrite))
	}
	return NormalizePath(action.Rewrite + m.path[len(m.compiled.path):])
}

// Location returns the address that a redirect sends the client to.
func (m *Match) Location(query string) string {
	redirect := m.Route.Action.Redirect
	location := redirect.To
	if m.compiled.expression != nil {
		location = m.expand(location)
	}
	if redirect.KeepPath {
		location = strings.TrimSuffix(location, "/") + m.path
		if query != "" {
			location += "?" + query
		}
	}
	return location
}

// expand puts the captures of the route's expression into a template.
func (m *Match) expand(template string) string {
	expression := m.compiled.expression
	captures := expression.FindStringSubmatchIndex(m.path)
	return string(expression.ExpandString(nil, template, m.path, captures))
}
