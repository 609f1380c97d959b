// Package invariant checks invariants. With the build tag debug a broken invariant panics; without it, broken
// invariants are counted by name, and the program logs the counts.
package invariant

import (
	"maps"
	"sync"
)

// broken counts the broken invariants since the start of the process, by name. mu guards it.
var (
	mu     sync.Mutex
	broken = map[string]int{}
)

// Holds checks an invariant and returns whether it holds. The name states the invariant. Holds may be called
// concurrently.
func Holds(holds bool, name string) bool {
	if !holds {
		fail(name)
	}
	return holds
}

// Broken returns how often each invariant was broken since the start of the process. It may be called concurrently.
func Broken() map[string]int {
	mu.Lock()
	defer mu.Unlock()
	return maps.Clone(broken)
}
