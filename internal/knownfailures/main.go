// Package main runs the project's tests as `make test` does: every test but those that KNOWN-RED.txt lists, then each
// of these by itself, and reports how it ended.
//
// KNOWN-RED.txt lists what fails for a real fault that is not fixed yet. An entry is five lines of "key: value", with
// the keys in this order; one empty line separates two entries:
//
//	test: TestStopUnderLoad
//	command: go test -race -tags debug ./proxy -run TestStopUnderLoad
//	seed: 5
//	seen: 17 requests lost at a stop
//	issue: 47
//
// The command is how the failure was seen and names the test; seed is "none" where there is none. A case of the
// operators' bench has an entry too, with "bench: roll+brink" as its first line and the bench's command line as its
// command. It is printed and never run, whether or not the operators' kit is there: one play takes minutes and needs
// the machine's cores alone.
//
// A listed test is run by itself in every build and may fail there. What fails the whole run: a malformed entry, a test
// or case listed twice, more than maxEntries entries, a test that does not exist, and a listed test that passes in
// every build, since it is to be taken off the list. Without the file nothing is known to fail.
package main

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"os/exec"
)

// listFile is the list's path from the repository's root.
const listFile = "KNOWN-RED.txt"

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run() error {
	text, err := load(listFile)
	if err != nil {
		return err
	}
	return check(text, os.Stdout, runGo)
}

// load returns the list's text, empty where there is no such file.
func load(path string) (string, error) {
	text, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return "", nil
	}
	return string(text), err
}

// runGo runs the go command and returns what it printed.
func runGo(args ...string) (string, error) {
	printed, err := exec.Command("go", args...).CombinedOutput()
	return string(printed), err
}
