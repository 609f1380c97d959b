package routes

import (
	"errors"
	"fmt"
	"regexp"
	"strings"
)

// condition is a Condition prepared for matching.
type condition struct {
	Condition
	expression *regexp.Regexp // nil unless Regex
}

func compileConditions(list []Condition) ([]condition, error) {
	var compiled []condition
	for _, source := range list {
		c := condition{Condition: source}
		if source.Name == "" {
			return nil, errors.New("without a name")
		}
		if source.Regex {
			var err error
			if c.expression, err = regexp.Compile(source.Value); err != nil {
				return nil, fmt.Errorf("%s: expression: %w", source.Name, err)
			}
		}
		compiled = append(compiled, c)
	}
	return compiled, nil
}

func (c *condition) matches(value string, present bool) bool {
	matches := present
	switch {
	case c.expression != nil:
		matches = present && c.expression.MatchString(value)
	case c.Value != "":
		matches = present && value == c.Value
	}
	return matches != c.Negate
}

// queryParameter returns the value of the first parameter in a query that has the given name, and whether there is one.
// It does not decode the value.
func queryParameter(query, name string) (string, bool) {
	for query != "" {
		var parameter string
		parameter, query, _ = strings.Cut(query, "&")
		if key, value, _ := strings.Cut(parameter, "="); key == name {
			return value, true
		}
	}
	return "", false
}
