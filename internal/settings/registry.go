package settings

import (
	"hash/fnv"

	"lockloom/balance"
)

const unknown = -1

// Entry is a server with the names that an endpoint list gives it. Registry.Endpoint sets the embedded Index, NameHash,
// Zone and Model from them.
type Entry struct {
	balance.Endpoint
	Name, ZoneName, ModelName string
}

// Registry gives names the numbers by which the decisions know them. A server keeps its number until it is forgotten,
// and every other name as long as the registry lives. It is not safe for concurrent use.
type Registry struct {
	classes map[string]int
	tenants map[string]int
	zones   map[string]int
	models  map[string]int
	servers serverNumbers
}

// NewRegistry returns a registry in which the deployment's classes, tenants and zones have numbers in their order.
func (s Settings) NewRegistry() *Registry {
	registry := &Registry{
		classes: map[string]int{},
		tenants: map[string]int{},
		zones:   map[string]int{},
		models:  map[string]int{},
		servers: serverNumbers{byName: map[string]int{}},
	}
	for i, class := range s.Classes {
		registry.classes[class.Name] = i
	}
	for i, tenant := range s.Tenants {
		registry.tenants[tenant.Name] = i
	}
	for i, zone := range s.Zones {
		registry.zones[zone] = i
	}
	return registry
}

// Class returns a class's number, and whether there is such a class.
func (r *Registry) Class(name string) (int, bool) {
	number, ok := r.classes[name]
	return number, ok
}

// Tenant returns a tenant's number, or -1 for one that is unknown.
func (r *Registry) Tenant(name string) int { return numberOf(r.tenants, name) }

// Endpoint returns an entry as the decisions take it, and numbers its server if it has no number yet.
func (r *Registry) Endpoint(entry Entry) balance.Endpoint {
	endpoint := entry.Endpoint
	endpoint.NameHash = NameHash(entry.Name)
	endpoint.Zone = numberOf(r.zones, entry.ZoneName)
	endpoint.Index = r.servers.number(entry.Name)
	endpoint.Model = assignNumber(r.models, entry.ModelName)
	return endpoint
}

// Forget frees a server's number for another. Without it, servers under ever new names would grow the registry, and
// every loop over the numbers, without bound.
func (r *Registry) Forget(index int) { r.servers.forget(index) }

// Size returns the number above the highest that was ever in use.
func (r *Registry) Size() int { return len(r.servers.names) }

// Find returns the number of a server's name, and whether it has one.
func (r *Registry) Find(name string) (int, bool) {
	number, ok := r.servers.byName[name]
	return number, ok
}

// Name returns a server's name.
func (r *Registry) Name(index int) string { return r.servers.names[index] }

// serverNumbers numbers servers by name; numbers are used again.
type serverNumbers struct {
	byName map[string]int
	names  []string // by number, empty where it is free
	free   []int
}

func (s *serverNumbers) number(name string) int {
	number, ok := s.byName[name]
	if ok {
		return number
	}
	if count := len(s.free); count > 0 {
		number = s.free[count-1]
		s.free = s.free[:count-1]
		s.names[number] = name
	} else {
		number = len(s.names)
		s.names = append(s.names, name)
	}
	s.byName[name] = number
	return number
}

func (s *serverNumbers) forget(number int) {
	delete(s.byName, s.names[number])
	s.names[number] = ""
	s.free = append(s.free, number)
}

// numberOf returns a name's number, or -1 if it has none.
func numberOf(numbers map[string]int, name string) int {
	if number, ok := numbers[name]; ok {
		return number
	}
	return unknown
}

// assignNumber returns a name's number, the next if it has none yet.
func assignNumber(numbers map[string]int, name string) int {
	number, ok := numbers[name]
	if !ok {
		number = len(numbers)
		numbers[name] = number
	}
	return number
}

// NameHash returns the hash by which all proxies know a name or key; that of the empty name is 0.
func NameHash(name string) uint64 {
	if name == "" {
		return 0
	}
	hash := fnv.New64a()
	hash.Write([]byte(name))
	return hash.Sum64()
}
