// Package tomlfile reads TOML files strictly and tells what is wrong with them by file, line and column. Operators' files and
// scenarios are read with it.
package tomlfile

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"reflect"
	"regexp"
	"strings"
	"sync"

	"github.com/pelletier/go-toml/v2"
)

// Fault is what is wrong with a file, and where.
type Fault struct {
	File         string
	Line, Column int // 0: not at one place
	Text         string
}

func (f *Fault) Error() string {
	if f.Line == 0 {
		return fmt.Sprintf("%s: %s", f.File, f.Text)
	}
	return fmt.Sprintf("%s:%d:%d: %s", f.File, f.Line, f.Column, f.Text)
}

// File is a file's text, to find places in.
type File struct {
	Name  string
	lines []string
}

// Load reads a file of so many bytes at most.
func Load(name string, most int64) ([]byte, error) {
	info, err := os.Stat(name)
	if err != nil {
		return nil, err
	}
	if info.Size() > most {
		return nil, &Fault{File: name, Text: fmt.Sprintf("%d bytes: %d at most", info.Size(), most)}
	}
	return os.ReadFile(name)
}

// Decode reads text into a struct. What the struct does not know is refused, every such field at once, with the nearest name
// that it does know.
func Decode(name string, text []byte, into any) (*File, []error) {
	f := &File{Name: name, lines: strings.Split(string(text), "\n")}
	dec := toml.NewDecoder(bytes.NewReader(text))
	dec.DisallowUnknownFields()
	err := dec.Decode(into)
	if err == nil {
		return f, nil
	}
	var strict *toml.StrictMissingError
	var wrong *toml.DecodeError
	switch {
	case errors.As(err, &strict):
		known := names(reflect.TypeOf(into), nil, map[reflect.Type]bool{})
		var faults []error
		for i := range strict.Errors {
			e := &strict.Errors[i]
			key := e.Key()
			line, column := e.Position()
			text := strings.Join(key, ".") + ": no such field"
			if near := Nearest(key[len(key)-1], known); near != "" {
				text += ": " + near + "?"
			}
			faults = append(faults, &Fault{name, line, column, text})
		}
		return f, faults
	case errors.As(err, &wrong):
		line, column := wrong.Position()
		return f, []error{&Fault{name, line, column, oneLine(wrong.Error())}}
	}
	return f, []error{&Fault{File: name, Text: oneLine(err.Error())}}
}

func oneLine(text string) string {
	return strings.Join(strings.Fields(strings.TrimPrefix(text, "toml: ")), " ")
}

// names are all that a struct's fields are called, those of structs within it too.
func names(t reflect.Type, list []string, seen map[reflect.Type]bool) []string {
	for t.Kind() == reflect.Pointer || t.Kind() == reflect.Slice || t.Kind() == reflect.Map {
		t = t.Elem()
	}
	if t.Kind() != reflect.Struct || seen[t] {
		return list
	}
	seen[t] = true
	for i := range t.NumField() {
		if name := t.Field(i).Tag.Get("toml"); name != "" {
			list = append(list, name)
		}
		list = names(t.Field(i).Type, list, seen)
	}
	return list
}

// header is compiled when first used: the platform's proxy reads no such file.
var header = sync.OnceValue(func() *regexp.Regexp { return regexp.MustCompile(`^\s*\[+\s*"?([\w.-]+)"?\s*\]+`) })

// At is a fault at a field of the n-th table of a name, from 1, in the order of the file; n 0: of the first, or the only one.
func (f *File) At(table string, n int, field, format string, args ...any) error {
	fault := &Fault{File: f.Name, Text: fmt.Sprintf(format, args...)}
	if field != "" {
		fault.Text = field + ": " + fault.Text
	}
	inside, seen := table == "", 0
	for i, line := range f.lines {
		if m := header().FindStringSubmatch(line); m != nil {
			if inside = m[1] == table; inside {
				if seen++; seen == max(n, 1) {
					fault.Line, fault.Column = i+1, 1
				}
			}
			continue
		}
		if at := strings.Index(line, field); inside && (seen == max(n, 1) || table == "") && field != "" && at >= 0 &&
			strings.TrimSpace(line[:at]) == "" && strings.HasPrefix(strings.TrimSpace(line[at+len(field):]), "=") {
			fault.Line, fault.Column = i+1, at+1
			break
		}
	}
	if table != "" {
		fault.Text = table + ": " + fault.Text
	}
	return fault
}

const (
	nearMost = 2  // slips of the pen between a word and the one meant
	wordMost = 64 // bytes of a word that is compared
)

// Nearest is the word that was likely meant; empty: none is near.
func Nearest(word string, among []string) string {
	best, least := "", nearMost+1
	for _, w := range among {
		if d := distance(word, w); d < least && d < len(w) {
			best, least = w, d
		}
	}
	return best
}

// distance is how many letters must change, come, go, or change places with the next.
func distance(a, b string) int {
	if len(a) > wordMost || len(b) > wordMost {
		return wordMost
	}
	rows := make([][]int, len(a)+1)
	for i := range rows {
		rows[i] = make([]int, len(b)+1)
		rows[i][0] = i
	}
	for j := range rows[0] {
		rows[0][j] = j
	}
	for i := 1; i <= len(a); i++ {
		for j := 1; j <= len(b); j++ {
			change := 1
			if a[i-1] == b[j-1] {
				change = 0
			}
			rows[i][j] = min(rows[i-1][j]+1, rows[i][j-1]+1, rows[i-1][j-1]+change)
			if i > 1 && j > 1 && a[i-1] == b[j-2] && a[i-2] == b[j-1] {
				rows[i][j] = min(rows[i][j], rows[i-2][j-2]+1)
			}
		}
	}
	return rows[len(a)][len(b)]
}
