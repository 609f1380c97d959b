package simwire

import (
	"fmt"
	"strconv"
	"strings"

	"lockloom/internal/settings"
)

// launch reads what a new instance is told.
func launch(l *line) settings.Settings {
	seed, err := strconv.ParseUint(l.must("Prng"), 10, 64)
	if err != nil {
		l.fail("Prng", "not a whole number")
	}
	values := map[string]string{}
	for part := range strings.SplitSeq(l.rest, " ") {
		if path, value, ok := strings.Cut(part, "="); ok {
			values[path] = value
		}
	}
	f, err := settings.Read(values, seed)
	if err != nil && l.err == nil {
		l.err = fmt.Errorf("line %d: %s: %w", l.number, l.name, err)
	}
	return f
}
