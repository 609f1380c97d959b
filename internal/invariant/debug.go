//go:build debug

package invariant

// Asserted reports whether a broken invariant panics.
const Asserted = true

func fail(name string) { panic("broken invariant: " + name) }
