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

// endpointNotes are the notes printed for servers in each state.
var endpointNotes = [...]string{
	balance.Ready:    "",
	balance.Draining: "draining",
	balance.Removed:  "removed",
}

// printBreakdown prints, for each server, its score in the last draw for a request and the reasons against sending the
// request to it.
func printBreakdown(out io.Writer, r *balance.Request) {
	inFlight, available, queued := r.Capacity()
	fmt.Fprintf(out, "%s%d attempts in flight, capacity for %.1f at its priority, %d queued\n",
		breakdownIndent, inFlight, available, queued)
	servers := r.ScoreBreakdown()
	slices.SortStableFunc(servers, compareBreakdowns)
	for i := range servers {
		fmt.Fprintln(out, breakdownLine(&servers[i]))
	}
}

// compareBreakdowns orders the servers that were in the draw before all others, and by score, the highest first.
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
	line := fmt.Sprintf("%sserver %-3d payoff %.2f  %.1f of %.1f attempts",
		breakdownIndent, s.Endpoint, s.Payoff, s.Load, s.Capacity)
	if s.Considered {
		line += fmt.Sprintf("  score %.2f", s.Score)
	}
	if notes := breakdownNotes(s); len(notes) > 0 {
		line += "  " + strings.Join(notes, "; ")
	}
	return line
}

// breakdownNotes returns the reasons against sending the request to a server.
func breakdownNotes(s *balance.ScoreBreakdown) (notes []string) {
	addIf := func(applies bool, note string) {
		if applies {
			notes = append(notes, note)
		}
	}
	addIf(s.State != balance.Ready, endpointNotes[s.State])
	addIf(s.Paused && !s.Trial, fmt.Sprintf("paused: %d of %d failed", s.Errors, s.Results))
	addIf(s.Trial, "paused, cooled down: one attempt may try")
	addIf(s.ClassPaused, fmt.Sprintf("paused for this class: %d of %d failed", s.ClassErrors, s.ClassResults))
	addIf(!s.MayAttempt, "another attempt there is not safe, or was just made")
	addIf(s.WarmingUp, "warming up")
	addIf(s.Load >= max(s.Capacity, 1), "full")
	return notes
}
