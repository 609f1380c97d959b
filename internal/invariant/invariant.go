// Package invariant checks what must always hold. With the build tag debug a broken invariant ends the program; without
// it, it is counted, and the counts are logged.
package invariant

import (
	"maps"
	"sync"
)

// The broken invariants since the start, by name.
var (
	mu     sync.Mutex
	broken = map[string]int{}
)

// Holds checks an invariant and returns whether it holds. The name says what must hold.
func Holds(holds bool, name string) bool {
	if !holds {
		fail(name)
	}
	return holds
}

// Broken returns how often each invariant was found broken since the start. It may be called concurrently.
func Broken() map[string]int {
	mu.Lock()
	defer mu.Unlock()
	return maps.Clone(broken)
}
