package settings

import (
	"hash/fnv"

	"lockloom/balance"
)

const unknownIndex = -1

// Entry is an entry of an endpoint list, with the names of the server, its zone and its model. Index, NameHash, Zone
// and Model of the embedded Endpoint are not set: Registry.Endpoint derives them from the names.
type Entry struct {
	balance.Endpoint
	Name, ZoneName, ModelName string
}

// Registry assigns to names the indexes that package balance uses for them. A server keeps its index until Forget is
// called for it; a class, tenant, zone or model keeps its index for the lifetime of the registry. Registry is not safe
// for concurrent use.
type Registry struct {
	classes map[string]int
	tenants map[string]int
	zones   map[string]int
	models  map[string]int
	servers serverIndexes
}

// NewRegistry returns a registry in which the deployment's classes, tenants and zones have indexes in their order.
func (s Settings) NewRegistry() *Registry {
	registry := &Registry{
		classes: map[string]int{},
		tenants: map[string]int{},
		zones:   map[string]int{},
		models:  map[string]int{},
		servers: serverIndexes{byName: map[string]int{}},
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

// Class returns the index of a class, and whether there is such a class.
func (r *Registry) Class(name string) (int, bool) {
	index, ok := r.classes[name]
	return index, ok
}

// Tenant returns the index of a tenant, or -1 if the tenant is unknown.
func (r *Registry) Tenant(name string) int { return indexOf(r.tenants, name) }

// Endpoint converts an entry for package balance, and assigns an index to its server if it has none yet.
func (r *Registry) Endpoint(entry Entry) balance.Endpoint {
	endpoint := entry.Endpoint
	endpoint.NameHash = NameHash(entry.Name)
	endpoint.Zone = indexOf(r.zones, entry.ZoneName)
	endpoint.Index = r.servers.assign(entry.Name)
	endpoint.Model = assignIndex(r.models, entry.ModelName)
	return endpoint
}

// Forget frees a server's index, so that another server can get it. Without Forget, the registry, and every loop over
// the indexes, would grow without bound as servers with new names replace old ones.
func (r *Registry) Forget(index int) { r.servers.forget(index) }

// Size returns one more than the highest server index that was ever in use.
func (r *Registry) Size() int { return len(r.servers.names) }

// Find returns the index of the server with a name, and whether it has one.
func (r *Registry) Find(name string) (int, bool) {
	index, ok := r.servers.byName[name]
	return index, ok
}

// Name returns the name of the server with an index, or an empty string if the index is free.
func (r *Registry) Name(index int) string { return r.servers.names[index] }

// serverIndexes assigns indexes to servers by name; freed indexes are reused.
type serverIndexes struct {
	byName map[string]int
	names  []string // by index, empty where the index is free
	free   []int
}

func (s *serverIndexes) assign(name string) int {
	index, ok := s.byName[name]
	if ok {
		return index
	}
	if count := len(s.free); count > 0 {
		index = s.free[count-1]
		s.free = s.free[:count-1]
		s.names[index] = name
	} else {
		index = len(s.names)
		s.names = append(s.names, name)
	}
	s.byName[name] = index
	return index
}

func (s *serverIndexes) forget(index int) {
	delete(s.byName, s.names[index])
	s.names[index] = ""
	s.free = append(s.free, index)
}

// indexOf returns a name's index, or -1 if it has none.
func indexOf(indexes map[string]int, name string) int {
	if index, ok := indexes[name]; ok {
		return index
	}
	return unknownIndex
}

// assignIndex returns a name's index, and assigns the next one if it has none yet.
func assignIndex(indexes map[string]int, name string) int {
	index, ok := indexes[name]
	if !ok {
		index = len(indexes)
		indexes[name] = index
	}
	return index
}

// NameHash returns the hash that identifies a name or an affinity key, and is the same at every proxy; the hash of the
// empty name is 0.
func NameHash(name string) uint64 {
	if name == "" {
		return 0
	}
	hash := fnv.New64a()
	hash.Write([]byte(name))
	return hash.Sum64()
}
