// Package main runs the project's tests as `make test` does: all but those that KNOWN-RED.txt names, then each of these by itself, and
// tells how it ended. A line there names a test that fails for a real fault not yet mended, what causes it, and the issue that it
// belongs to; a named test that passes is a failure too, since it is to be taken off the list.
package main

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"os/exec"
	"regexp"
	"strings"
)

const (
	file      = "KNOWN-RED.txt"
	linesMost = 3
)

// builds are the tags that everything is tested with.
var builds = []string{"", "debug"}

// red is one line of the file.
type red struct{ test, cause, issue string }

var form = regexp.MustCompile(`^(Test\w+): (\S.*); issue (\d+)$`)

// read reads the file's text.
func read(text string) ([]red, error) {
	var all []red
	for i, line := range strings.Split(strings.TrimRight(text, "\n"), "\n") {
		if line == "" && text == "" {
			break
		}
		m := form.FindStringSubmatch(line)
		if m == nil {
			return nil, fmt.Errorf("%s:%d: not of the form \"TestName: cause; issue N\": %q", file, i+1, line)
		}
		if len(all) == linesMost {
			return nil, fmt.Errorf("%s:%d: more than %d lines", file, i+1, linesMost)
		}
		all = append(all, red{m[1], m[2], m[3]})
	}
	return all, nil
}

// check runs the tests; goTool runs the go command with its arguments and returns what it printed.
func check(text string, out io.Writer, goTool func(args ...string) (string, error)) error {
	all, err := read(text)
	if err != nil {
		return err
	}
	var names []string
	for _, r := range all {
		names = append(names, r.test)
	}
	for _, r := range all { // before the long part
		listed, err := goTool("test", "-list", "^"+r.test+"$", "./...")
		if err != nil {
			return err
		}
		if !strings.Contains("\n"+listed, "\n"+r.test+"\n") {
			return fmt.Errorf("%s: no test is called %s", file, r.test)
		}
	}
	failed := false
	for _, tags := range builds {
		args := []string{"test", "-race", "-tags", tags}
		if len(names) > 0 {
			args = append(args, "-skip", "^("+strings.Join(names, "|")+")$")
		}
		printed, err := goTool(append(args, "./...")...)
		fmt.Fprint(out, printed)
		failed = failed || err != nil
	}
	for _, r := range all {
		passes := true
		for _, tags := range builds {
			printed, err := goTool("test", "-race", "-tags", tags, "-run", "^"+r.test+"$", "./...")
			if err != nil {
				passes = false
				fmt.Fprintf(out, "known red: %s, tags %q: %s (issue %s)\n%s", r.test, tags, r.cause, r.issue, printed)
			}
		}
		if passes {
			fmt.Fprintf(out, "%s: %s passes: take it off\n", file, r.test)
			failed = true
		}
	}
	if failed {
		return errors.New("tests failed")
	}
	return nil
}

func main() {
	text, err := os.ReadFile(file)
	if errors.Is(err, fs.ErrNotExist) {
		err = nil
	}
	if err == nil {
		err = check(string(text), os.Stdout, func(args ...string) (string, error) {
			printed, err := exec.Command("go", args...).CombinedOutput()
			return string(printed), err
		})
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
