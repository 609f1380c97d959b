package figures

import (
	"hash/fnv"

	"lockloom/balance"
)

// Entry is a backend with its names; Register.Backend settles Index, Mark, Zone and Model.
type Entry struct {
	balance.Backend
	Name, ZoneName, ModelName string
}

// Register numbers names. A backend and a model keep their number as long as the register lives.
type Register struct {
	tariffs, customers, zones, backends, models map[string]int
	names                                       []string // of backends
}

// Register has the deployment's tariffs, customers and zones in their order.
func (f Figures) Register() *Register {
	r := &Register{tariffs: map[string]int{}, customers: map[string]int{}, zones: map[string]int{},
		backends: map[string]int{}, models: map[string]int{}}
	for i, t := range f.Tariffs {
		r.tariffs[t.Name] = i
	}
	for i, c := range f.Customers {
		r.customers[c.Name] = i
	}
	for i, z := range f.Zones {
		r.zones[z] = i
	}
	return r
}

// Tariff is a tariff's number, and whether there is such a tariff.
func (r *Register) Tariff(name string) (int, bool) {
	i, ok := r.tariffs[name]
	return i, ok
}

// Customer is a customer's number, or -1 for one that is not known.
func (r *Register) Customer(name string) int { return find(r.customers, name) }

// Backend is an entry as the decisions take it.
func (r *Register) Backend(e Entry) balance.Backend {
	b := e.Backend
	b.Mark, b.Zone = Hash(e.Name), find(r.zones, e.ZoneName)
	b.Index, b.Model = number(r.backends, e.Name), number(r.models, e.ModelName)
	if b.Index == len(r.names) {
		r.names = append(r.names, e.Name)
	}
	return b
}

// Name is that of a backend.
func (r *Register) Name(index int) string { return r.names[index] }

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

// Hash is the mark of a name or key, alike at every proxy; no name has none.
func Hash(s string) uint64 {
	if s == "" {
		return 0
	}
	f := fnv.New64a()
	f.Write([]byte(s))
	return f.Sum64()
}
