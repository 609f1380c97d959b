package simwire

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"lockloom/balance"
	"lockloom/internal/settings"
)

// message is one line of the protocol: its name, its fields, and the first error in them.
type message struct {
	line   int // line number, from 1
	name   string
	fields string // NAME=VALUE, separated by spaces
	err    error
}

// parseMessage splits a line into the message's name and its fields.
func parseMessage(line int, text string) *message {
	m := &message{line: line}
	m.name, m.fields, _ = strings.Cut(strings.TrimRight(text, "\r\n"), " ")
	return m
}

// fail records an error in a field, unless the message has an error already.
func (m *message) fail(field, reason string) {
	if m.err == nil {
		m.err = fmt.Errorf("line %d: %s: %s: %s", m.line, m.name, field, reason)
	}
}

// text returns a field's value and whether the field is present. A message has few fields, so a linear search costs
// less than a map.
func (m *message) text(name string) (value string, ok bool) {
	for rest := m.fields; rest != ""; {
		var field string
		field, rest, _ = strings.Cut(rest, " ")
		if fieldName, value, ok := strings.Cut(field, "="); ok && fieldName == name {
			return value, true
		}
	}
	return "", false
}

// optionalText returns a field's value, "" if it is absent.
func (m *message) optionalText(name string) string {
	value, _ := m.text(name)
	return value
}

// requiredText returns a field's value, which must not be empty.
func (m *message) requiredText(name string) string {
	value := m.optionalText(name)
	if value == "" {
		m.fail(name, "missing")
	}
	return value
}

// optionalNumber returns a field's number, 0 if it is absent.
func (m *message) optionalNumber(name string) float64 {
	value, ok := m.text(name)
	if !ok {
		return 0
	}
	number, err := strconv.ParseFloat(value, 64)
	if err != nil || math.IsNaN(number) || math.IsInf(number, 0) {
		m.fail(name, fmt.Sprintf("not a number: %q", value))
	}
	return number
}

// number returns the number of a required field.
func (m *message) number(name string) float64 {
	m.requiredText(name)
	return m.optionalNumber(name)
}

// integer returns the integer of a required field.
func (m *message) integer(name string) int {
	number := m.number(name)
	if number != math.Trunc(number) || math.Abs(number) > 1<<62 {
		m.fail(name, "not a whole number")
	}
	return int(number)
}

// flag reports whether a field is 1; an absent field counts as 0.
func (m *message) flag(name string) bool {
	value, ok := m.text(name)
	if ok && value != "0" && value != "1" {
		m.fail(name, fmt.Sprintf("not 0 or 1: %q", value))
	}
	return value == "1"
}

// loadReport returns the message's load report. Without one in the message, nothing is reported: all values are -1.
func (m *message) loadReport() balance.LoadReport {
	return settings.ParseLoadReport(m.optionalText("Pressure"))
}

// lookUp returns the constant that the value of a required field stands for. A missing value, or one that is not in
// constants, is an error.
func lookUp[T any](m *message, name string, constants map[string]T) T {
	value := m.requiredText(name)
	constant, ok := constants[value]
	if !ok {
		m.fail(name, fmt.Sprintf("unknown: %q", value))
	}
	return constant
}

// settings returns the settings in a launch message, which starts an instance.
func (m *message) settings() settings.Settings {
	seed, err := strconv.ParseUint(m.requiredText("Prng"), 10, 64)
	if err != nil {
		m.fail("Prng", "not a whole number")
	}
	values := map[string]string{}
	for field := range strings.SplitSeq(m.fields, " ") {
		if name, value, ok := strings.Cut(field, "="); ok {
			values[name] = value
		}
	}
	result, err := settings.Read(values, seed)
	if err != nil && m.err == nil {
		m.err = fmt.Errorf("line %d: %s: %w", m.line, m.name, err)
	}
	return result
}
