// Command knownfailures runs the project's tests for `make test`: first all tests except those that KNOWN-RED.txt
// lists, then each listed test by itself, whose result it reports.
//
// KNOWN-RED.txt lists tests that fail because of a real fault that is not fixed yet. An entry is five lines of
// "key: value", with the keys in this order; one empty line separates two entries:
//
//	test: TestStopUnderLoad
//	command: go test -race -tags debug ./proxy -run TestStopUnderLoad
//	seed: 5
//	seen: 17 requests lost at a stop
//	issue: 47
//
// A test that fails only sometimes has one line more before the issue, with the runs seen so far, such as
// "failed: 7 of 17 runs": if it passes, that is printed and the run does not fail.
//
// The command is the one that failed, and must contain the test's name; seed is "none" if the test has no seed. An
// entry can also be for a failed case of the bench, a test program that the operators supply in their kit, outside of
// this repository. Its first line is then, for example, "bench: roll+brink", and its command is the bench's command
// line. Such an entry is printed and never run, even if the kit is present: running one case takes
// minutes and must have the machine's cores to itself.
//
// All tests run in every build: without build tags, and with the tag debug. A listed test may fail there. The whole run
// fails for a malformed entry, a test or case listed twice, more than maxEntries entries, a test that does not exist,
// and a listed test that passes in every build without an entry that states that it fails only sometimes: it must be
// removed from the list. If the file does not exist, the
// list is empty.
package main

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"os/exec"
)

// listFile is the list's path, relative to the repository's root.
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

// load returns the list's text; it is empty if the file does not exist.
func load(path string) (string, error) {
	text, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return "", nil
	}
	return string(text), err
}

// runGo runs the go command and returns its standard output and standard error.
func runGo(args ...string) (string, error) {
	output, err := exec.Command("go", args...).CombinedOutput()
	return string(output), err
}
