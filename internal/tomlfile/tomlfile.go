// Package tomlfile decodes TOML files strictly and reports errors by file, line and column. The operator file and
// scenario files are read with it.
package tomlfile

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"reflect"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// PositionError is an error in a file, with its position.
type PositionError struct {
	File         string
	Line, Column int // from 1; 0: the error has no single position
	Text         string
}

func (e *PositionError) Error() string {
	if e.Line == 0 {
		return fmt.Sprintf("%s: %s", e.File, e.Text)
	}
	return fmt.Sprintf("%s:%d:%d: %s", e.File, e.Line, e.Column, e.Text)
}

// File holds the lines of a file, in which ErrorAt locates tables and fields.
type File struct {
	Name  string
	lines []string
}

// Load reads a file of at most maxBytes bytes.
func Load(name string, maxBytes int64) ([]byte, error) {
	info, err := os.Stat(name)
	if err != nil {
		return nil, err
	}
	if info.Size() > maxBytes {
		return nil, &PositionError{File: name, Text: fmt.Sprintf("%d bytes exceed the maximum of %d", info.Size(), maxBytes)}
	}
	return os.ReadFile(name)
}

// Decode decodes TOML text into the struct that into points to. Each error begins with name, the name of the file.
// Decode returns a *PositionError for each field that the struct does not have, with the most similar field name as a
// suggestion.
func Decode(name string, text []byte, into any) (*File, []error) {
	file := &File{Name: name, lines: strings.Split(string(text), "\n")}
	decoder := toml.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(into)
	var unknownFields *toml.StrictMissingError
	var malformed *toml.DecodeError
	switch {
	case err == nil:
		return file, nil
	case errors.As(err, &unknownFields):
		return file, file.unknownFields(unknownFields, reflect.TypeOf(into))
	case errors.As(err, &malformed):
		line, column := malformed.Position()
		return file, []error{&PositionError{name, line, column, oneLine(malformed.Error())}}
	}
	return file, []error{&PositionError{File: name, Text: oneLine(err.Error())}}
}

func (f *File) unknownFields(unknown *toml.StrictMissingError, into reflect.Type) []error {
	known := fieldNames(into, nil, map[reflect.Type]bool{})
	var errs []error
	for i := range unknown.Errors {
		field := &unknown.Errors[i]
		key := field.Key()
		line, column := field.Position()
		text := strings.Join(key, ".") + ": no such field"
		if nearest := Nearest(key[len(key)-1], known); nearest != "" {
			text += ", did you mean " + nearest + "?"
		}
		errs = append(errs, &PositionError{f.Name, line, column, text})
	}
	return errs
}

// oneLine removes the decoder's prefix and line breaks from an error text.
func oneLine(text string) string {
	return strings.Join(strings.Fields(strings.TrimPrefix(text, "toml: ")), " ")
}

// fieldNames appends the TOML names of a struct type's fields, and of the structs nested in it, to a list.
func fieldNames(t reflect.Type, list []string, seen map[reflect.Type]bool) []string {
	for t.Kind() == reflect.Pointer || t.Kind() == reflect.Slice || t.Kind() == reflect.Map {
		t = t.Elem()
	}
	if t.Kind() != reflect.Struct || seen[t] {
		return list
	}
	seen[t] = true
	for field := range t.Fields() {
		if name := field.Tag.Get("toml"); name != "" {
			list = append(list, name)
		}
		list = fieldNames(field.Type, list, seen)
	}
	return list
}
