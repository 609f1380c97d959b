package settings

import (
	"hash/fnv"

	"lockloom/balance"
)

// Entry is a server with its names; Register.Backend settles Index, Mark, Zone and Model.
type Entry struct {
	balance.Endpoint
	Name, ZoneName, ModelName string
}

// NewRegistry numbers names. A server keeps its number until it is forgotten, all others as long as the register lives.
type Registry struct {
	tariffs, customers, zones, backends, models map[string]int
	names                                       []string // of servers; empty where the number is free
	free                                        []int    // numbers of forgotten servers
}

// NewRegistry has the deployment's classes, tenants and zones in their order.
func (f Settings) NewRegistry() *Registry {
	r := &Registry{tariffs: map[string]int{}, customers: map[string]int{}, zones: map[string]int{},
		backends: map[string]int{}, models: map[string]int{}}
	for i, t := range f.Classes {
		r.tariffs[t.Name] = i
	}
	for i, c := range f.Tenants {
		r.customers[c.Name] = i
	}
	for i, z := range f.Zones {
		r.zones[z] = i
	}
	return r
}

// Class is a class's number, and whether there is such a class.
func (r *Registry) Class(name string) (int, bool) {
	i, ok := r.tariffs[name]
	return i, ok
}

// Tenant is a tenant's number, or -1 for one that is not known.
func (r *Registry) Tenant(name string) int { return find(r.customers, name) }

// Endpoint is an entry as the decisions take it.
func (r *Registry) Endpoint(e Entry) balance.Endpoint {
	b := e.Endpoint
	b.NameHash, b.Zone = NameHash(e.Name), find(r.zones, e.ZoneName)
	b.Index, b.Model = r.backend(e.Name), number(r.models, e.ModelName)
	return b
}

func (r *Registry) backend(name string) int {
	i, ok := r.backends[name]
	if ok {
		return i
	}
	if n := len(r.free); n > 0 {
		i, r.free = r.free[n-1], r.free[:n-1]
		r.names[i] = name
	} else {
		i, r.names = len(r.names), append(r.names, name)
	}
	r.backends[name] = i
	return i
}

// Forget frees a server's number for another. Danger: servers under ever new names would fill the memory, and
// make every walk over them longer.
func (r *Registry) Forget(index int) {
	delete(r.backends, r.names[index])
	r.names[index], r.free = "", append(r.free, index)
}

// Size is how many numbers were given out at once, most.
func (r *Registry) Size() int { return len(r.names) }

// Find is the number of a server's name, and whether it has one.
func (r *Registry) Find(name string) (int, bool) {
	i, ok := r.backends[name]
	return i, ok
}

// Name is that of a server.
func (r *Registry) Name(index int) string { return r.names[index] }

func find(numbers map[string]int, name string) int {
	if i, ok := numbers[name]; ok {
		return i
	}
	return -1
}

func number(numbers map[string]int, name string) int {
	i, ok := numbers[name]
	if !ok {
		i = len(numbers)
		numbers[name] = i
	}
	return i
}

// NameHash is the mark of a name or key, alike at every proxy; no name has none.
func NameHash(s string) uint64 {
	if s == "" {
		return 0
	}
	f := fnv.New64a()
	f.Write([]byte(s))
	return f.Sum64()
}
