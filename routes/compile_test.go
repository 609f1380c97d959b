package routes

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestCompileErrors(t *testing.T) {
	pools := []WeightedPool{{testPool, 1}}
	fixed := &FixedResponse{Status: 200}
	nested := func(routes ...Route) Route { return Route{Path: "/a/", Action: toPool(), Nested: routes} }
	badField := []Condition{{Name: "X", Value: "(", Regex: true}}
	for want, route := range map[string]Route{
		"is not in its normal form": {Path: "/a//b", Action: toPool()},
		"does not begin with":       {Path: "a", Action: toPool()},
		"expression: ":              {Kind: Regex, Path: "(?=x)", Action: toPool()},
		"field X: expression":       {Path: "/", Fields: badField, Action: toPool()},
		"query without a name":      {Path: "/", Query: []Condition{{}}, Action: toPool()},
		"one of pools":              {Path: "/"},
		"weights of 0":              {Path: "/", Action: Action{Pools: []WeightedPool{{testPool, 0}}}},
		"weight -1":                 {Path: "/", Action: Action{Pools: []WeightedPool{{testPool, -1}}}},
		"redirect 200":              {Path: "/", Action: Action{Redirect: &Redirect{Status: 200, To: "/"}}},
		"fixed answer 99":           {Path: "/", Action: Action{Response: &FixedResponse{Status: 99}}},
		"rewrite without pools":     {Path: "/", Action: Action{Rewrite: "/x", Response: fixed}},
		"normal form of a path":     {Path: "/", Action: Action{Rewrite: "x", Pools: pools}},
		"cannot be nested here":     nested(Route{Name: "n", Path: "/b/", Action: toPool()}),
		"hosts of its own":          nested(Route{Name: "n", Path: "/a/b/", Hosts: []string{"x"}, Action: toPool()}),
		`host "a.*.b"`:              {Path: "/", Hosts: []string{"a.*.b"}, Action: toPool()},
	} {
		route.Name = "r"
		_, err := Compile([]Route{route, {Name: "s", Path: "bad", Action: toPool()}})
		assert.ErrorContains(t, err, want)
		assert.ErrorContains(t, err, `route "s"`, "the errors of all routes are joined")
		var routeError *RouteError
		if assert.ErrorAs(t, err, &routeError) {
			assert.Equal(t, "r", routeError.Route)
		}
	}
}
