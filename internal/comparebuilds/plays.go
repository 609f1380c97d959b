package main

import (
	"context"
	"errors"
	"fmt"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	maxPlays    = 6 // played concurrently
	playTimeout = 2 * time.Minute
	killDelay   = 5 * time.Second // how long a killed command's output is awaited
	seed        = 81              // of every play
)

// simulator is the program of one of the operators' simulators and the folder of its site files. Both paths are
// relative to kitFolder.
type simulator struct{ program, sites string }

const kitFolder = givenFolder + "/kit"

var simulators = []simulator{
	{"bin/lbsim", "more"},
	{"more/move/bin/lbsim", "more/move/sites"},
}

// The kinds of simulated day, by lbsim's names.
var (
	kinds      = []string{"quiet", "overload", "trouble"}
	quickKinds = []string{"quiet", "trouble"}
)

// play is one simulated day, which both builds play. Its paths are relative to a checkout's root.
type play struct {
	program, site, kind string
	seed                uint64
}

func (p play) String() string {
	name := strings.TrimSuffix(filepath.Base(p.site), ".toml")
	return fmt.Sprintf("%-22s %-8s seed %d", name, p.kind, p.seed)
}

// errNoKit reports that the simulators or their site files are missing.
var errNoKit = errors.New("the operators' kit is not at " + kitFolder + ": nothing to compare with")

// listPlays returns the days to play, with the simulators beside the checkout at root.
func listPlays(root string, quick bool) ([]play, error) {
	var plays []play
	for _, s := range simulators {
		sites, err := siteFiles(root, s)
		if err != nil {
			return nil, err
		}
		days := kinds
		if quick {
			sites, days = sites[:1], quickKinds
		}
		for _, site := range sites {
			for _, kind := range days {
				plays = append(plays, play{filepath.Join(kitFolder, s.program), site, kind, seed})
			}
		}
	}
	return plays, nil
}

// siteFiles returns the paths of a simulator's site files, sorted and relative to root.
func siteFiles(root string, s simulator) ([]string, error) {
	if _, err := exec.LookPath(filepath.Join(root, kitFolder, s.program)); err != nil {
		return nil, errNoKit
	}
	found, err := filepath.Glob(filepath.Join(root, kitFolder, s.sites, "*.toml"))
	if err != nil {
		return nil, err
	}
	if len(found) == 0 {
		return nil, errNoKit
	}
	var sites []string
	for _, path := range found {
		sites = append(sites, filepath.Join(kitFolder, s.sites, filepath.Base(path)))
	}
	return sites, nil
}

// outcome is the result of one play with both builds.
type outcome struct {
	base, present report
	differing     []string // names of the figures that differ
	err           error
}

// playAll calls playOne for every day, at most maxPlays concurrently, and calls each with the outcomes in the order of
// plays.
func playAll(ctx context.Context, plays []play, playOne func(context.Context, play) outcome, each func(play, outcome)) {
	outcomes := make([]chan outcome, len(plays))
	var running sync.WaitGroup
	slots := make(chan struct{}, maxPlays)
	for i, p := range plays {
		outcomes[i] = make(chan outcome, 1)
		running.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			outcomes[i] <- playOne(ctx, p)
		})
	}
	for i, p := range plays {
		each(p, <-outcomes[i])
	}
	running.Wait()
}

// playBoth plays one day with the base, then with the present build, and compares their reports.
func playBoth(ctx context.Context, p play, base, present checkout, why string) outcome {
	var o outcome
	if o.base, o.err = base.play(ctx, p, why); o.err != nil {
		return o
	}
	if o.present, o.err = present.play(ctx, p, why); o.err != nil {
		return o
	}
	o.differing = differing(o.base, o.present)
	return o
}

// play plays one day with the checkout's build and returns the simulator's report.
func (c checkout) play(ctx context.Context, p play, why string) (report, error) {
	ctx, cancel := context.WithTimeout(ctx, playTimeout)
	defer cancel()
	number := strconv.FormatUint(p.seed, 10)
	output, err := run(
		ctx,
		c.dir,
		nil,
		p.program,
		"run",
		p.site,
		"--kind",
		p.kind,
		"--seed",
		number,
		"--no-build",
		"--json",
		"--why",
		why,
	)
	if err != nil {
		return nil, fmt.Errorf("in %s: %w", c.dir, err)
	}
	return readReport([]byte(output))
}

// killWithChildren makes the command run in its own process group, all of which is killed when the command's context
// ends.
func killWithChildren(cmd *exec.Cmd) {
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	cmd.Cancel = func() error { return syscall.Kill(-cmd.Process.Pid, syscall.SIGKILL) }
	cmd.WaitDelay = killDelay
}
