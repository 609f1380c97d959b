//go:build !debug

package invariant

// Asserted reports whether a broken invariant panics.
const Asserted = false

func fail(name string) {
	mu.Lock()
	broken[name]++
	mu.Unlock()
}
