package routes

import (
	"math"
	"strings"

	"lockloom/internal/pcg"
)

// SelectPool returns the index in the route's Pools of the pool to which requests with a key go, or -1 if the route has
// none. When weights change, only as many keys move to another pool as the new weights require. The caller passes a
// random key for a request without one.
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
		// Weighted rendezvous hashing selects the pool with the greatest ln(u)/weight; u hashes key and pool to (0, 1).
		if score := math.Log(pcg.HashFloat64(key, nameHash(pool.Pool))) / pool.Weight; score > bestScore {
			best, bestScore = i, score
		}
	}
	return best
}

// nameHash returns the 64-bit FNV-1a hash of a name. It is implemented here because hash/fnv needs a conversion to
// bytes.
func nameHash(name string) uint64 {
	const offset, prime = 14695981039346656037, 1099511628211
	hash := uint64(offset)
	for i := range len(name) {
		hash = (hash ^ uint64(name[i])) * prime
	}
	return hash
}

// UpstreamPath returns the path that is forwarded to the pool: the request's path, rewritten if the route says so. The
// error is a *PathError if the rewritten path cannot be normalized.
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

// Location returns the value of a redirect's Location field. The query is that of the request, and the route's action
// must be a redirect.
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

// expand replaces $1 and ${name} in a template by the submatches of the route's regular expression in the path.
func (m *Match) expand(template string) string {
	expression := m.compiled.expression
	submatches := expression.FindStringSubmatchIndex(m.path)
	return string(expression.ExpandString(nil, template, m.path, submatches))
}
