// Command comparebuilds checks whether two builds make the same decisions, bit for bit. It builds a base commit and the
// present working tree, plays the same simulated days with both, and fails if a figure that depends on decisions
// differs. The days are run by the simulators (lbsim) that the operators supply in their kit, ../given/kit. A play is
// one day, determined by a site file (an input file of lbsim), a kind of day such as quiet or overload, and a seed.
//
//	make compare BASE=f83df88            every site file of both simulators, three kinds of day
//	make compare BASE=f83df88 QUICK=1    one site file of each simulator, two kinds of day
//	make compare BASE=f83df88 BASE_DIR=D the base was built before in D, and D/../given is the operators' folder
//
// The present tree includes new files and changes that are not staged, but no ignored files. Each build has its own
// clone in a temporary directory, with a link to ../given beside it, and is made there by the build line of its own
// deploy/balancer.toml. The simulator writes an entry on each play to the journal of the build's checkout. At the end
// the entries are copied to the repository's journal, since the operators want every entry kept; commit them unchanged.
//
// One line is printed for each play. Only a change that affects a decision on one of these days is detected. The exit
// code is 1 if a play differs or cannot be played, or if the operators' kit is missing.
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

// defaultWhy is the reason that each play's journal entry records if the command line gives none.
const defaultWhy = "Trial: the present tree against another build, which must decide alike"

// options are the options of the command line.
type options struct {
	dir     string // any directory in the repository
	base    string // commit to compare with; may be empty if baseDir is set
	baseDir string // checkout of the base that is built already; empty: the base is built from its commit
	quick   bool   // play one site file of each simulator and two kinds of day
	why     string // the reason for the play, which its journal entry records
}

func main() {
	if err := runCommandLine(); err != nil {
		fmt.Fprintln(os.Stderr, "compare:", err)
		os.Exit(1)
	}
}

// runCommandLine parses the command line and compares the builds. SIGINT and SIGTERM cancel it.
func runCommandLine() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	o := options{dir: "."}
	flag.StringVar(&o.base, "base", "", "the commit to compare with")
	flag.StringVar(&o.baseDir, "base-dir", "", "a checkout of the base that is built already")
	flag.BoolVar(&o.quick, "quick", false, "play only one site file of each simulator and two of the three kinds of day")
	flag.StringVar(&o.why, "why", defaultWhy, "the reason for the plays, which their journal entries record")
	flag.Parse()
	return compare(ctx, o, os.Stdout)
}

var errNoBase = errors.New("no base to compare with: give BASE=<commit>, BASE_DIR=<a built checkout> or both")
