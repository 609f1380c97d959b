package settings

import (
	"fmt"
	"strconv"
)

// valueReader reads values by their published key. Its methods return no errors; err keeps the first one.
type valueReader struct {
	values map[string]string
	err    error
}

func (r *valueReader) fail(key, problem, value string) {
	if r.err == nil {
		r.err = fmt.Errorf("%s: %s: %q", key, problem, value)
	}
}

func (r *valueReader) has(key string) bool {
	_, ok := r.values[key]
	return ok
}

// number returns a number, or 0 for a missing key. A value that is not a number is an error.
func (r *valueReader) number(key string) float64 {
	text, ok := r.values[key]
	if !ok {
		return 0
	}
	number, err := strconv.ParseFloat(text, 64)
	if err != nil {
		r.fail(key, "not a number", text)
	}
	return number
}

// seconds returns, in seconds, a duration whose value is in milliseconds.
func (r *valueReader) seconds(key string) float64 { return r.number(key) / millisecondsPerSecond }

// count returns the length of the list under key.
func (r *valueReader) count(key string) int { return int(r.number(key + ".count")) }

// bool returns a boolean, or false for a missing key. A value other than true, false, 1 and 0 is an error.
func (r *valueReader) bool(key string) bool {
	text, ok := r.values[key]
	if ok && text != "true" && text != "false" && text != "1" && text != "0" {
		r.fail(key, "not true or false", text)
	}
	return text == "true" || text == "1"
}

// choice returns the constant that the value under key stands for. A missing key, or a value that is not in constants,
// is an error.
func choice[T any](r *valueReader, key string, constants map[string]T) T {
	constant, ok := constants[r.values[key]]
	if !ok {
		r.fail(key, "unknown", r.values[key])
	}
	return constant
}
