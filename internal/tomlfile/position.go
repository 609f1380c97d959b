package tomlfile

import (
	"fmt"
	"regexp"
	"strings"
	"sync"
)

// tableHeader matches the header of a table and captures its name. It is compiled on first use, because a proxy without
// an operator file never needs it.
var tableHeader = sync.OnceValue(func() *regexp.Regexp {
	return regexp.MustCompile(`^\s*\[+\s*"?([\w.-]+)"?\s*\]+`)
})

// ErrorAt returns a *PositionError at a field of the n-th table with the name table, counted from 1 in the order of the
// file. n = 0 means the same as n = 1. If table is empty, the field is at the top level of the file. If field is empty,
// or the table does not set it, the position is that of the table's header.
func (f *File) ErrorAt(table string, n int, field, format string, args ...any) error {
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

// locate returns the position of a field of the n-th table with the name table. If that table does not set the field,
// it returns the position of the table's header, and if there is no such table, 0, 0.
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
		if fieldColumn := assignmentColumn(text, field); fieldColumn > 0 {
			return i + 1, fieldColumn
		}
	}
	return line, column
}

// assignmentColumn returns the column, from 1, of a field if the line assigns it, else 0.
func assignmentColumn(line, field string) int {
	index := strings.Index(line, field)
	if field == "" || index < 0 {
		return 0
	}
	before, after := line[:index], line[index+len(field):]
	if strings.TrimSpace(before) != "" || !strings.HasPrefix(strings.TrimSpace(after), "=") {
		return 0
	}
	return index + 1
}
