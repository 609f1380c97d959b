//go:build debug

package invariant

// Asserted reports whether a broken invariant ends the program.
const Asserted = true

func fail(name string) { panic("does not hold: " + name) }
