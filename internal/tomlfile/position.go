package tomlfile

import (
	"fmt"
	"regexp"
	"strings"
	"sync"
)

// tableHeader is compiled when first used: the platform's proxy reads no such file.
var tableHeader = sync.OnceValue(func() *regexp.Regexp {
	return regexp.MustCompile(`^\s*\[+\s*"?([\w.-]+)"?\s*\]+`)
})

// At returns a *PositionError at a field of the n-th table of a name, from 1, in the order of the file; with n 0, of
// the first or only one. Without such a field, or with an empty one, the position is the table's.
func (f *File) At(table string, n int, field, format string, args ...any) error {
	text := fmt.Sprintf(format, args...)
	if field != "" {
		text = field + ": " + text
	}
	if table != "" {
		text = table + ": " + text
	}
	line, column := f.locate(table, max(n, 1), field)
	return &PositionError{File: f.Name, Line: line, Column: column, Text: text}
}

// locate returns the position of a field of the n-th table of a name, else that of the table, else 0.
func (f *File) locate(table string, n int, field string) (line, column int) {
	inTable, tables := table == "", 0
	for i, text := range f.lines {
		if header := tableHeader().FindStringSubmatch(text); header != nil {
			inTable = header[1] == table
			if !inTable {
				continue
			}
			tables++
			if tables == n {
				line, column = i+1, 1
			}
			continue
		}
		if !inTable || table != "" && tables != n {
			continue
		}
		if at := assignmentColumn(text, field); at > 0 {
			return i + 1, at
		}
	}
	return line, column
}

// assignmentColumn returns the column of a field that a line sets; 0: it does not.
func assignmentColumn(line, field string) int {
	at := strings.Index(line, field)
	if field == "" || at < 0 {
		return 0
	}
	before, after := line[:at], line[at+len(field):]
	if strings.TrimSpace(before) != "" || !strings.HasPrefix(strings.TrimSpace(after), "=") {
		return 0
	}
	return at + 1
}
