package capture

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"

	"lockloom/balance"
)

const breakdownIndent = "             "

// endpointNotes tell what a server's state means for a request.
var endpointNotes = [...]string{
	balance.Ready:    "",
	balance.Draining: "drains",
	balance.Removed:  "gone",
}

// printBreakdown prints what spoke for and against each server in a request's last draw.
func printBreakdown(out io.Writer, r *balance.Request) {
	inFlight, available, waiting := r.Capacity()
	fmt.Fprintf(out, "%s%d legs out, %.1f places for its value, %d held\n",
		breakdownIndent, inFlight, available, waiting)
	servers := r.ScoreBreakdown()
	slices.SortStableFunc(servers, compareBreakdowns)
	for i := range servers {
		fmt.Fprintln(out, breakdownLine(&servers[i]))
	}
}

// compareBreakdowns orders servers that were in the draw before others, and those by score, the highest first.
func compareBreakdowns(a, b balance.ScoreBreakdown) int {
	if a.Considered != b.Considered {
		if a.Considered {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(b.Score, a.Score), cmp.Compare(a.Endpoint, b.Endpoint))
}

func breakdownLine(s *balance.ScoreBreakdown) string {
	line := fmt.Sprintf("%sbackend %-3d payoff %.2f  %.1f of %.1f legs",
		breakdownIndent, s.Endpoint, s.Payoff, s.Load, s.Capacity)
	if s.Considered {
		line += fmt.Sprintf("  weighed %.2f", s.Score)
	}
	if notes := breakdownNotes(s); len(notes) > 0 {
		line += "  " + strings.Join(notes, "; ")
	}
	return line
}

// breakdownNotes tell what speaks against a server.
func breakdownNotes(s *balance.ScoreBreakdown) (notes []string) {
	addIf := func(applies bool, note string) {
		if applies {
			notes = append(notes, note)
		}
	}
	addIf(s.State != balance.Ready, endpointNotes[s.State])
	addIf(s.Paused && !s.Trial, fmt.Sprintf("paused: %d of %d failed", s.Errors, s.Results))
	addIf(s.Trial, "paused, cooled down: one leg may try")
	addIf(s.ClassPaused, fmt.Sprintf("paused for this tariff: %d of %d failed", s.ClassErrors, s.ClassResults))
	addIf(!s.RetrySafe, "another leg there is not harmless, or was just tried")
	addIf(s.WarmingUp, "cold")
	addIf(s.Load >= max(s.Capacity, 1), "full")
	return notes
}
