// Package main shows whether two builds decide alike, bit for bit: it builds a base commit and the present tree, plays
// the same days of the operators' simulator (lbsim) with both, and fails if a figure of the decisions differs.
//
//	make compare BASE=f83df88            every site file of both simulators, three kinds of day
//	make compare BASE=f83df88 QUICK=1    one site file of each simulator, two kinds of day
//	make compare BASE=f83df88 BASE_DIR=D the base was built before, in D, and D/../given is the operators' folder
//
// The present tree is what git would commit now, with files that are new and with changes that are not staged. Each
// build gets a clone of its own in a temporary directory, with a link to ../given beside it, and is made there by the
// build line of its own deploy/balancer.toml. The plays' journal entries are copied to the repository's journal at the
// end, as the operators want every entry kept; commit them as they are.
//
// One line is printed for each play. Only a change that changes a decision on one of these days is seen. The program
// ends with 1 if a play differs or cannot be played, and without the operators' kit.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// defaultWhy is the journal's note where the command line gives none.
const defaultWhy = "Trial: the present tree against another build, which must decide alike"

// options are what the command line asks for.
type options struct {
	dir     string // in the repository
	base    string // commit
	baseDir string // empty: the base is built from its commit
	quick   bool
	why     string // the journal's note on each play
}

func main() {
	if err := runCommandLine(); err != nil {
		fmt.Fprintln(os.Stderr, "compare:", err)
		os.Exit(1)
	}
}

// runCommandLine compares as the command line asks, until a signal ends it.
func runCommandLine() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	o := options{dir: "."}
	flag.StringVar(&o.base, "base", "", "the commit to compare with")
	flag.StringVar(&o.baseDir, "base-dir", "", "a checkout of the base that is built already")
	flag.BoolVar(&o.quick, "quick", false, "one site file of each simulator, two kinds of day")
	flag.StringVar(&o.why, "why", defaultWhy, "the journal's note on each play")
	flag.Parse()
	return compare(ctx, o, os.Stdout)
}

var errNoBase = errors.New("no base to compare with: give BASE=<commit>, BASE_DIR=<a built checkout> or both")
