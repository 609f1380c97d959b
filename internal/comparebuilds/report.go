package main

import (
	"bytes"
	"encoding/json"
	"fmt"
)

// compared are the figures of a play that one build gives alike each time: the simulator's hash of the play, what the
// day served, what it broke, and how much happened. What is left out is the measured time of the adapter, the adapter's
// log lines, whose wording is no decision, and what is derived from the figures here.
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

// report holds the figures of one play, by name, as they were printed.
type report map[string]json.RawMessage

// missingFigureError is the name of a compared figure that a report does not have.
type missingFigureError string

func (e missingFigureError) Error() string {
	return fmt.Sprintf("the play's report has no figure %q", string(e))
}

// readReport reads what a play printed. A report without all compared figures is refused, so that none is passed over.
func readReport(printed []byte) (report, error) {
	var all report
	if err := json.Unmarshal(printed, &all); err != nil {
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

// differing are the names of the compared figures whose printed values differ in any digit.
func differing(a, b report) []string {
	var names []string
	for _, name := range compared {
		if !bytes.Equal(a[name], b[name]) {
			names = append(names, name)
		}
	}
	return names
}

// g is the day's figure as it was printed.
func (r report) g() string { return string(r["g"]) }
