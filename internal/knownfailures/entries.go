package main

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
)

// maxEntries limits the list, which is for a few faults that are about to be fixed, not for keeping faults.
const maxEntries = 6

// The keys of an entry. The first line's key is keyTest or keyBench.
const (
	keyTest    = "test"
	keyBench   = "bench"
	keyCommand = "command"
	keySeed    = "seed"
	keySeen    = "seen"
	keyFailed  = "failed"
	keyIssue   = "issue"
)

const noSeed = "none"

// entryLine describes one line of an entry.
type entryLine struct {
	keys     []string // the permitted ones
	optional bool
}

// entryLines are the lines of an entry in their order.
var entryLines = []entryLine{
	{keys: []string{keyTest, keyBench}},
	{keys: []string{keyCommand}},
	{keys: []string{keySeed}},
	{keys: []string{keySeen}},
	{keys: []string{keyFailed}, optional: true},
	{keys: []string{keyIssue}},
}

// valuePatterns are the patterns that the values must match, by key.
var valuePatterns = map[string]*regexp.Regexp{
	keyTest:    regexp.MustCompile(`^Test\w+$`),
	keyBench:   regexp.MustCompile(`^[a-z0-9]+([+:-][a-z0-9]+)*$`),
	keyCommand: regexp.MustCompile(`^\S(.*\S)?$`),
	keySeed:    regexp.MustCompile(`^(` + noSeed + `|\d+)$`),
	keySeen:    regexp.MustCompile(`^\S(.*\S)?$`),
	keyFailed:  regexp.MustCompile(`^[1-9]\d* of [1-9]\d* runs$`),
	keyIssue:   regexp.MustCompile(`^[1-9]\d*$`),
}

// entry is one known failure.
type entry struct {
	name    string // of the test or of the bench's case
	isBench bool
	command string
	seed    string // a decimal number or noSeed
	seen    string // how the test or case failed
	failed  string // how many of the runs failed, such as "7 of 17 runs"; empty: the test always fails
	issue   string // its number, in decimal
}

// syntaxError reports a line of the list that is malformed. Lines are counted from 1.
type syntaxError struct {
	line   int
	reason string
}

func (e *syntaxError) Error() string { return fmt.Sprintf("%s:%d: %s", listFile, e.line, e.reason) }

// parse parses the list's text. A non-nil error is a *syntaxError.
func parse(text string) ([]entry, error) {
	if text == "" {
		return nil, nil
	}
	var entries []entry
	lines := strings.Split(strings.TrimRight(text, "\n"), "\n")
	for next := 0; next < len(lines); {
		first := next
		e, end, err := parseEntry(lines, first)
		if err != nil {
			return nil, err
		}
		if slices.ContainsFunc(entries, func(other entry) bool { return other.name == e.name }) {
			return nil, &syntaxError{first + 1, fmt.Sprintf("%s is listed twice", e.name)}
		}
		if len(entries) == maxEntries {
			return nil, &syntaxError{first + 1, fmt.Sprintf("more than %d entries", maxEntries)}
		}
		entries = append(entries, e)
		next = end + 1
	}
	return entries, nil
}

// parseEntry parses the entry that begins at lines[first], and checks the empty line after it, whose index is end.
func parseEntry(lines []string, first int) (e entry, end int, err error) {
	values := map[string]string{}
	end = first
	for _, line := range entryLines {
		if line.optional && !hasKey(lines, end, line.keys) {
			continue
		}
		key, value, err := parseLine(lines, end, line.keys)
		if err != nil {
			return entry{}, 0, err
		}
		values[key] = value
		end++
	}
	if end < len(lines) && lines[end] != "" {
		return entry{}, 0, &syntaxError{end + 1, fmt.Sprintf("an empty line must follow an entry, not %q", lines[end])}
	}
	e, err = newEntry(values, first+1)
	return e, end, err
}

// hasKey reports whether lines[i] exists and its key is one of those given.
func hasKey(lines []string, i int, keys []string) bool {
	if i >= len(lines) {
		return false
	}
	key, _, _ := strings.Cut(lines[i], ": ")
	return slices.Contains(keys, key)
}

// parseLine parses lines[i], whose key must be one of those allowed.
func parseLine(lines []string, i int, allowed []string) (key, value string, err error) {
	wanted := strings.Join(allowed, " or ")
	if i >= len(lines) || lines[i] == "" {
		return "", "", &syntaxError{i + 1, fmt.Sprintf("key %s is missing", wanted)}
	}
	key, value, separated := strings.Cut(lines[i], ": ")
	if !separated {
		return "", "", &syntaxError{i + 1, fmt.Sprintf(`not of the form "key: value": %q`, lines[i])}
	}
	pattern, known := valuePatterns[key]
	if !known {
		return "", "", &syntaxError{i + 1, fmt.Sprintf("unknown key %q", key)}
	}
	if !slices.Contains(allowed, key) {
		return "", "", &syntaxError{i + 1, fmt.Sprintf("key %s is missing: found %s", wanted, key)}
	}
	if !pattern.MatchString(value) {
		return "", "", &syntaxError{i + 1, fmt.Sprintf("value of %s: %q must match %s", key, value, pattern)}
	}
	return key, value, nil
}

// newEntry returns the entry with these values by key. It begins at the given line, which errors refer to.
func newEntry(values map[string]string, line int) (entry, error) {
	e := entry{
		name:    values[keyTest],
		command: values[keyCommand],
		seed:    values[keySeed],
		seen:    values[keySeen],
		failed:  values[keyFailed],
		issue:   values[keyIssue],
	}
	if e.name == "" {
		e.name, e.isBench = values[keyBench], true
	}
	namePattern := regexp.MustCompile(`\b` + regexp.QuoteMeta(e.name) + `\b`)
	if !namePattern.MatchString(e.command) {
		return entry{}, &syntaxError{line + 1, fmt.Sprintf("the command does not name %s", e.name)}
	}
	if e.failed != "" {
		return e, checkFailed(e, line+slices.IndexFunc(entryLines, func(l entryLine) bool { return l.optional }))
	}
	return e, nil
}

// checkFailed checks the counts of an entry whose test fails only sometimes. line is that of the counts.
func checkFailed(e entry, line int) error {
	if e.isBench {
		return &syntaxError{line, fmt.Sprintf("key %s is for a test: a bench case is not run", keyFailed)}
	}
	var failures, runs int
	if _, err := fmt.Sscanf(e.failed, "%d of %d runs", &failures, &runs); err != nil || failures >= runs {
		return &syntaxError{line, fmt.Sprintf("value of %s: %q must be fewer failures than runs", keyFailed, e.failed)}
	}
	return nil
}

// failsSometimes reports whether the entry states that its test passes in some runs.
func (e entry) failsSometimes() bool { return e.failed != "" }
