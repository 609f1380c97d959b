// Package invariant checks what must hold. With the build tag debug a broken one ends the program; without it
// a broken one is counted, and the counts are for the log.
package invariant

import (
	"maps"
	"sync"
)

var (
	mu     sync.Mutex
	broken = map[string]int{}
)

// Holds checks one; the name says what must hold.
func Holds(ok bool, name string) bool {
	if !ok {
		fail(name)
	}
	return ok
}

// Broken tells how often each was broken since the start.
func Broken() map[string]int {
	mu.Lock()
	defer mu.Unlock()
	return maps.Clone(broken)
}
