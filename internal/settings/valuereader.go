package settings

import (
	"fmt"
	"strconv"
)

// valueReader reads values by their published key, and keeps the first error.
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

// number returns a number, or 0 for a missing key.
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

// seconds returns a duration that the key gives in milliseconds.
func (r *valueReader) seconds(key string) float64 { return r.number(key) / millisecondsPerSecond }

// count returns the length of a list.
func (r *valueReader) count(key string) int { return int(r.number(key + ".count")) }

// bool returns a truth value, or false for a missing key.
func (r *valueReader) bool(key string) bool {
	text, ok := r.values[key]
	if ok && text != "true" && text != "false" && text != "1" && text != "0" {
		r.fail(key, "not true or false", text)
	}
	return text == "true" || text == "1"
}

// choice returns what the word under a key stands for.
func choice[T any](r *valueReader, key string, meanings map[string]T) T {
	meaning, ok := meanings[r.values[key]]
	if !ok {
		r.fail(key, "unknown", r.values[key])
	}
	return meaning
}
