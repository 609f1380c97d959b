package main

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
)

// maxEntries limits the list, which is for a few faults that are about to be fixed, not for keeping faults.
const maxEntries = 3

// The keys of an entry. The first line's key is keyTest or keyBench.
const (
	keyTest    = "test"
	keyBench   = "bench"
	keyCommand = "command"
	keySeed    = "seed"
	keySeen    = "seen"
	keyIssue   = "issue"
)

const noSeed = "none"

// keyOrder holds the permitted keys for each line of an entry.
var keyOrder = [][]string{{keyTest, keyBench}, {keyCommand}, {keySeed}, {keySeen}, {keyIssue}}

// valuePatterns are the patterns that the values must match, by key.
var valuePatterns = map[string]*regexp.Regexp{
	keyTest:    regexp.MustCompile(`^Test\w+$`),
	keyBench:   regexp.MustCompile(`^[a-z0-9]+([+:-][a-z0-9]+)*$`),
	keyCommand: regexp.MustCompile(`^\S(.*\S)?$`),
	keySeed:    regexp.MustCompile(`^(` + noSeed + `|\d+)$`),
	keySeen:    regexp.MustCompile(`^\S(.*\S)?$`),
	keyIssue:   regexp.MustCompile(`^[1-9]\d*$`),
}

// entry is one known failure.
type entry struct {
	name    string // of the test or of the bench's case
	isBench bool
	command string
	seed    string // a decimal number or noSeed
	seen    string // how the test or case failed
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
	for first := 0; first < len(lines); first += len(keyOrder) + 1 {
		e, err := parseEntry(lines, first)
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
	}
	return entries, nil
}

// parseEntry parses the entry that begins at lines[first], and checks the empty line after it.
func parseEntry(lines []string, first int) (entry, error) {
	values := map[string]string{}
	for i, allowed := range keyOrder {
		key, value, err := parseLine(lines, first+i, allowed)
		if err != nil {
			return entry{}, err
		}
		values[key] = value
	}
	end := first + len(keyOrder)
	if end < len(lines) && lines[end] != "" {
		return entry{}, &syntaxError{end + 1, fmt.Sprintf("an empty line must follow an entry, not %q", lines[end])}
	}
	return newEntry(values, first+1)
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
		issue:   values[keyIssue],
	}
	if e.name == "" {
		e.name, e.isBench = values[keyBench], true
	}
	namePattern := regexp.MustCompile(`\b` + regexp.QuoteMeta(e.name) + `\b`)
	if !namePattern.MatchString(e.command) {
		return entry{}, &syntaxError{line + 1, fmt.Sprintf("the command does not name %s", e.name)}
	}
	return e, nil
}
