package main

import (
	"bytes"
	"encoding/json"
	"fmt"
)

// compared names the figures of a play's report that one build reproduces exactly: the simulator's hash of the play,
// its results, the broken rules and the counts of events. Left out are the measured time of the adapter, the adapter's
// log lines, whose wording is no decision, and figures that are derived from these.
var compared = []string{
	"g",
	"trace_hash",
	"events",
	"policy_events",
	"requests",
	"breaks",
	"fault",
	"classes",
	"tenants",
	"happenings",
}

// report holds the figures of one play by name, as JSON without insignificant space.
type report map[string]json.RawMessage

// missingFigureError is the name of a compared figure that a play's report lacks.
type missingFigureError string

func (e missingFigureError) Error() string {
	return fmt.Sprintf("the play's report has no figure %q", string(e))
}

// readReport parses the JSON report that a play printed, and keeps the compared figures. A report that lacks one is an
// error, so that no figure goes uncompared.
func readReport(output []byte) (report, error) {
	var all report
	if err := json.Unmarshal(output, &all); err != nil {
		return nil, fmt.Errorf("reading the play's report: %w", err)
	}
	kept := report{}
	for _, name := range compared {
		figure, ok := all[name]
		if !ok {
			return nil, missingFigureError(name)
		}
		var text bytes.Buffer
		if err := json.Compact(&text, figure); err != nil {
			return nil, err
		}
		kept[name] = text.Bytes()
	}
	return kept, nil
}

// differing returns the names of the compared figures whose printed values are not identical.
func differing(a, b report) []string {
	var names []string
	for _, name := range compared {
		if !bytes.Equal(a[name], b[name]) {
			names = append(names, name)
		}
	}
	return names
}

// g returns the figure "g" of the play as it was printed.
func (r report) g() string { return string(r["g"]) }
