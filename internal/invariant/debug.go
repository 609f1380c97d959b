//go:build debug

package invariant

// PanicsWhenBroken reports whether a broken invariant panics.
const PanicsWhenBroken = true

func fail(name string) { panic("broken invariant: " + name) }
