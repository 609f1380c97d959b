// Package report writes the results of simulations as text tables, as JSON, and as HTML pages with plots that need no
// other file. It also writes such a page for the servers' status in a capture.
package report

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"lockloom/internal/simulation"
)

// RulesBroken returns the rules that were broken, each with how often; "none" if there are none. counts is by rule
// number.
func RulesBroken(counts [5]int) string {
	var list []string
	for rule, n := range counts {
		if n > 0 {
			list = append(list, fmt.Sprintf("rule %d %dx", rule, n))
		}
	}
	if len(list) == 0 {
		return "none"
	}
	return strings.Join(list, ", ")
}

// Table writes a table with a row for each scenario and policy of an experiment. A request is in time if it succeeded
// within its class's latency objective (or deadline, if there is no objective), counted from its client's first try.
func Table(w io.Writer, rows []simulation.PolicySummary) error {
	t := newTable(w)
	t.row("scenario", "policy", "seeds", "value in time", "worst", "best", "spread", "in time", "late", "unserved",
		"rejected", "failed", "lost", "attempts", "waste", "p50 ms", "p99 ms", "rules broken")
	for _, r := range rows {
		t.row(r.Scenario, r.Policy, seeds(r),
			fraction(r.ValueInTime), fraction(r.MinValueInTime), fraction(r.MaxValueInTime), fraction(r.ValueStdDev),
			percent(r.InTime), percent(r.Late), percent(r.Unserved),
			percent(r.Rejected), fmt.Sprintf("%.2f%%", 100*r.Failed), fmt.Sprint(r.Lost),
			fmt.Sprintf("%.2f", r.AttemptsPerTry), percent(r.WastedFraction),
			milliseconds(r.P50), milliseconds(r.P99), RulesBroken(r.RulesBroken))
	}
	return t.Flush()
}

// Result writes the results of one run: a table by class, and the totals. A try is one sending of a request by its
// client, so that a client's retry is another try. Of the outcomes, "lost" are tries without a response, "lost with
// their proxy" those whose proxy was killed, and "gone" those whose client left before the response. "Found no proxy"
// counts requests that no proxy accepted, which are not among the tries. Work "for nobody" is work on attempts whose
// response reached no client.
func Result(w io.Writer, r *simulation.Result) error {
	fmt.Fprintf(w, "%s, %s clock, %s, seed %d, took %.1f s\n\n", r.Scenario, r.Clock, r.Policy, r.Seed, r.WallTime)
	if err := classTable(w, r); err != nil {
		return err
	}
	fmt.Fprintf(w, "\nrequests: %d in time, %d late, %d unserved\n", r.InTime, r.Late, r.Unserved)
	fmt.Fprintf(w, "tries: %d, of them %d succeeded, %d rejected, %d failed, %d lost, %d lost with their proxy, %d gone; "+
		"%d found no proxy\n",
		r.Tries, r.Succeeded, r.Rejected, r.Failed, r.Lost, r.LostWithProxy, r.ClientGone, r.NoProxy)
	lateness := fmt.Sprintf("rig: tries sent %.2f ms late at the 99th percentile, %.1f ms at most",
		1000*r.RigLateP99, 1000*r.RigLateMax)
	if r.Attempts == 0 { // load on running proxies: attempts at servers are not observed, only clients
		fmt.Fprintln(w, lateness)
		fmt.Fprintln(w, "rules broken, of what clients can see:", RulesBroken(r.RulesBroken))
		return writeBreaches(w, r)
	}
	fmt.Fprintf(w, "servers: %d attempts, %.2f a try; %.1f s of work, %.1f%% of it for nobody; "+
		"%d repeats dropped, %d crashed in slow start\n",
		r.Attempts, float64(r.Attempts)/float64(max(r.Tries, 1)), r.Work, 100*r.WastedFraction,
		r.DuplicatesDropped, r.Crashes)
	if r.Clock == "sockets" {
		fmt.Fprintf(w, "%s; proxies' memory %.1f MB at most\n", lateness, r.ProxyMemoryMB)
	}
	fmt.Fprintln(w, "rules broken:", RulesBroken(r.RulesBroken))
	return writeBreaches(w, r)
}

func classTable(w io.Writer, r *simulation.Result) error {
	t := newTable(w)
	t.row("class", "requests", "in time", "value in time", "p50 ms", "p99 ms")
	for _, c := range r.Classes {
		t.row(c.Name, fmt.Sprint(c.Intents), fmt.Sprint(c.InTime), fraction(c.ValueInTime),
			milliseconds(c.P50), milliseconds(c.P99))
	}
	t.row("all", fmt.Sprint(r.Intents), fmt.Sprint(r.InTime), fraction(r.ValueInTime),
		milliseconds(r.P50), milliseconds(r.P99))
	return t.Flush()
}

// writeBreaches writes the first breaches of rules and, if the run is void, the reason.
func writeBreaches(w io.Writer, r *simulation.Result) (err error) {
	for _, line := range r.FirstBreaches {
		_, err = fmt.Fprintln(w, " ", line)
	}
	if r.Void != "" {
		_, err = fmt.Fprintln(w, "void:", r.Void)
	}
	return err
}

// table writes rows with aligned columns; Flush ends it.
type table struct{ *tabwriter.Writer }

func newTable(w io.Writer) table { return table{tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)} }

func (t table) row(cells ...string) { fmt.Fprintln(t, strings.Join(cells, "\t")) }

// seeds returns the number of seeds that were played, and how many of the runs are void.
func seeds(r simulation.PolicySummary) string {
	if r.VoidSeeds > 0 {
		return fmt.Sprintf("%d (%d void)", r.Seeds, r.VoidSeeds)
	}
	return fmt.Sprint(r.Seeds)
}

func fraction(x float64) string { return fmt.Sprintf("%.3f", x) }

func percent(x float64) string { return fmt.Sprintf("%.1f%%", 100*x) }

func milliseconds(seconds float64) string { return fmt.Sprintf("%.1f", 1000*seconds) }
