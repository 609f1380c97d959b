package main

import (
	"errors"
	"fmt"
	"io"
	"strings"
)

// builds are the values of the go test flag -tags with which all tests run: none for the released build, "debug" for
// the build with debug assertions.
var builds = []string{"", "debug"}

// errTestsFailed reports that a test that is not listed failed, or that a listed test passed in every build though its
// entry does not state that it fails only sometimes.
var errTestsFailed = errors.New("tests failed")

// unknownTestError is the name of a listed test that does not exist in any package.
type unknownTestError string

func (e unknownTestError) Error() string {
	return fmt.Sprintf("%s: no test is called %s", listFile, string(e))
}

// goCommand runs the go command with these arguments and returns its output.
type goCommand func(args ...string) (output string, err error)

// check runs all tests, the listed ones by themselves, and prints the results to out; text is the list. The error is a
// *syntaxError, an unknownTestError, errTestsFailed, or the failure of a go command to list the tests.
func check(text string, out io.Writer, goTool goCommand) error {
	entries, err := parse(text)
	if err != nil {
		return err
	}
	printBenches(entries, out)
	tests := onlyTests(entries)
	for _, e := range tests { // first, since running the tests takes long
		if err := exists(e.name, goTool); err != nil {
			return err
		}
	}
	failed := othersFail(tests, out, goTool)
	for _, e := range tests {
		switch {
		case !passes(e, out, goTool):
		case e.failsSometimes():
			fmt.Fprintf(out, "known failure: %s passes in every build this time: %s", e.name, e.details())
		default:
			fmt.Fprintf(out, "%s: %s passes in every build: remove it from the list\n", listFile, e.name)
			failed = true
		}
	}
	if failed {
		return errTestsFailed
	}
	return nil
}

func printBenches(entries []entry, out io.Writer) {
	for _, e := range entries {
		if e.isBench {
			fmt.Fprintf(out, "known failure: bench %s, not run: %s", e.name, e.details())
		}
	}
}

func onlyTests(entries []entry) []entry {
	var tests []entry
	for _, e := range entries {
		if !e.isBench {
			tests = append(tests, e)
		}
	}
	return tests
}

// details returns the text of an entry that follows its name: how the failure looks and how to reproduce it.
func (e entry) details() string {
	text := fmt.Sprintf("%s (issue %s)\n  command: %s\n  seed: %s\n", e.seen, e.issue, e.command, e.seed)
	if e.failsSometimes() {
		text += fmt.Sprintf("  failed: %s\n", e.failed)
	}
	return text
}

// exists returns an unknownTestError if no package has a test of that name.
func exists(name string, goTool goCommand) error {
	listed, err := goTool("test", "-list", exactly(name), "./...")
	if err != nil {
		return fmt.Errorf("listing test %s: %w\n%s", name, err, listed)
	}
	if !strings.Contains("\n"+listed, "\n"+name+"\n") {
		return unknownTestError(name)
	}
	return nil
}

// othersFail runs all tests except the listed ones in every build, and reports whether one failed.
func othersFail(listed []entry, out io.Writer, goTool goCommand) bool {
	failed := false
	for _, tags := range builds {
		args := append([]string{"test", "-race", "-tags", tags}, skip(listed)...)
		output, err := goTool(append(args, "./...")...)
		fmt.Fprint(out, output)
		failed = failed || err != nil
	}
	return failed
}

// skip returns the go test flag that skips the listed tests.
func skip(listed []entry) []string {
	if len(listed) == 0 {
		return nil
	}
	var names []string
	for _, e := range listed {
		names = append(names, e.name)
	}
	return []string{"-skip", "^(" + strings.Join(names, "|") + ")$"}
}

// passes runs a listed test in every build, prints each failure, and reports whether the test passed in every build.
func passes(e entry, out io.Writer, goTool goCommand) bool {
	passed := true
	for _, tags := range builds {
		output, err := goTool("test", "-race", "-tags", tags, "-run", exactly(e.name), "./...")
		if err != nil {
			passed = false
			fmt.Fprintf(out, "known failure: %s, tags %q: %s%s", e.name, tags, e.details(), output)
		}
	}
	return passed
}

// exactly returns a regular expression that matches only the test of that name.
func exactly(name string) string { return "^" + name + "$" }
