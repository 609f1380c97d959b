package main

import (
	"errors"
	"fmt"
	"io"
	"strings"
)

// builds are the build tags that everything is tested with.
var builds = []string{"", "debug"}

// errTestsFailed says that a test failed that is not listed, or that a listed one passes.
var errTestsFailed = errors.New("tests failed")

// unknownTestError is the name of a listed test that no package has.
type unknownTestError string

func (e unknownTestError) Error() string {
	return fmt.Sprintf("%s: no test is called %s", listFile, string(e))
}

// goCommand runs the go command with these arguments and returns what it printed.
type goCommand func(args ...string) (printed string, err error)

// check runs the tests around the list's text and prints to out. Its errors are a *syntaxError, an unknownTestError,
// errTestsFailed or that of a go command which could not list the tests.
func check(text string, out io.Writer, goTool goCommand) error {
	entries, err := parse(text)
	if err != nil {
		return err
	}
	printBenches(entries, out)
	tests := onlyTests(entries)
	for _, e := range tests { // before the long part
		if err := exists(e.name, goTool); err != nil {
			return err
		}
	}
	failed := othersFail(tests, out, goTool)
	for _, e := range tests {
		if passes(e, out, goTool) {
			fmt.Fprintf(out, "%s: %s passes: take it off\n", listFile, e.name)
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

// details are the lines that say what is known of a failure.
func (e entry) details() string {
	return fmt.Sprintf("%s (issue %s)\n  command: %s\n  seed: %s\n", e.seen, e.issue, e.command, e.seed)
}

// exists returns an unknownTestError where no package has a test of that name.
func exists(name string, goTool goCommand) error {
	listed, err := goTool("test", "-list", only(name), "./...")
	if err != nil {
		return fmt.Errorf("listing %s: %w\n%s", name, err, listed)
	}
	if !strings.Contains("\n"+listed, "\n"+name+"\n") {
		return unknownTestError(name)
	}
	return nil
}

// othersFail runs all tests but those listed, in every build.
func othersFail(listed []entry, out io.Writer, goTool goCommand) bool {
	failed := false
	for _, tags := range builds {
		args := append([]string{"test", "-race", "-tags", tags}, skip(listed)...)
		printed, err := goTool(append(args, "./...")...)
		fmt.Fprint(out, printed)
		failed = failed || err != nil
	}
	return failed
}

// skip is the go command's flag that leaves out what is listed.
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

// passes runs a listed test in every build, prints how it failed, and reports whether it failed in none.
func passes(e entry, out io.Writer, goTool goCommand) bool {
	passed := true
	for _, tags := range builds {
		printed, err := goTool("test", "-race", "-tags", tags, "-run", only(e.name), "./...")
		if err != nil {
			passed = false
			fmt.Fprintf(out, "known failure: %s, tags %q: %s%s", e.name, tags, e.details(), printed)
		}
	}
	return passed
}

// only is the regular expression of one test's name.
func only(name string) string { return "^" + name + "$" }
