package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
)

// differenceError counts the plays that differ and those that could not be played.
type differenceError struct{ plays, differing, failed int }

func (e *differenceError) Error() string {
	return fmt.Sprintf("of %d plays %d differ and %d could not be played", e.plays, e.differing, e.failed)
}

// compare plays the days with both builds and prints a line for each. Its error is a *differenceError if all was tried.
func compare(ctx context.Context, o options, out io.Writer) (err error) {
	if o.base == "" && o.baseDir == "" {
		return errNoBase
	}
	repo, err := git(ctx, o.dir, "rev-parse", "--show-toplevel")
	if err != nil {
		return err
	}
	plays, err := listPlays(repo, o.quick)
	if err != nil {
		return err
	}
	scratch, err := makeScratch(repo)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, os.RemoveAll(scratch)) }()
	base, present, err := prepare(ctx, repo, scratch, o)
	if err != nil {
		return err
	}
	return withJournals(repo, []checkout{base, present}, out, func() error {
		return playAndPrint(ctx, plays, out, func(ctx context.Context, p play) outcome {
			return playBoth(ctx, p, base, present, o.why)
		})
	})
}

// makeScratch makes a temporary directory in which checkouts find the operators' folder beside them.
func makeScratch(repo string) (string, error) {
	given, err := filepath.EvalSymlinks(filepath.Join(repo, givenFolder))
	if err != nil {
		return "", errNoKit
	}
	scratch, err := os.MkdirTemp("", "comparebuilds")
	if err != nil {
		return "", err
	}
	if err := os.Symlink(given, filepath.Join(scratch, filepath.Base(givenFolder))); err != nil {
		return "", errors.Join(err, os.RemoveAll(scratch))
	}
	return scratch, nil
}

// prepare returns both builds, in the scratch directory unless the base was built before.
func prepare(ctx context.Context, repo, scratch string, o options) (base, present checkout, err error) {
	if o.baseDir != "" {
		base, err = useBuilt(ctx, repo, o.baseDir, o.base)
	} else {
		base, err = buildBase(ctx, repo, filepath.Join(scratch, "base"), o.base)
	}
	if err != nil {
		return checkout{}, checkout{}, err
	}
	present, err = buildPresent(ctx, repo, filepath.Join(scratch, "present"))
	return base, present, err
}

// withJournals calls do, then keeps in the repository what the plays wrote to the checkouts' journals, however do
// ended.
func withJournals(repo string, checkouts []checkout, out io.Writer, do func() error) error {
	var journals []journal
	for _, c := range checkouts {
		j, err := readJournal(c.dir)
		if err != nil {
			return err
		}
		journals = append(journals, j)
	}
	result := do()
	total := 0
	for _, j := range journals {
		kept, err := j.keep(repo)
		result = errors.Join(result, err)
		total += kept
	}
	fmt.Fprintf(out, "%d new files in %s: commit them as they are\n", total, journalFolder)
	return result
}

// playAndPrint plays all days and prints a line for each.
func playAndPrint(ctx context.Context, plays []play, out io.Writer, playOne func(context.Context, play) outcome) error {
	result := &differenceError{plays: len(plays)}
	playAll(ctx, plays, playOne, func(p play, o outcome) {
		fmt.Fprintln(out, line(p, o))
		switch {
		case o.err != nil:
			result.failed++
		case len(o.differing) > 0:
			result.differing++
		}
	})
	if result.differing+result.failed > 0 {
		return result
	}
	return nil
}

// line is what is printed for a play.
func line(p play, o outcome) string {
	switch {
	case o.err != nil:
		return fmt.Sprintf("%v  NOT PLAYED: %v", p, o.err)
	case len(o.differing) > 0:
		return fmt.Sprintf(
			"%v  g %s against %s  DIFFERENT: %s",
			p,
			o.present.g(),
			o.base.g(),
			strings.Join(o.differing, ", "),
		)
	}
	return fmt.Sprintf("%v  g %s  same", p, o.base.g())
}
