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

// differenceError reports how many plays differ and how many could not be played.
type differenceError struct{ plays, differing, failed int }

func (e *differenceError) Error() string {
	return fmt.Sprintf("of %d plays %d differ and %d could not be played", e.plays, e.differing, e.failed)
}

// compare plays the days with both builds and prints a line for each play. Once the plays have run, the error wraps a
// *differenceError if some differ or could not be played.
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

// makeScratch makes a temporary directory for checkouts. It puts a link to the operators' folder there, so that the
// relative path givenFolder leads from each checkout to that folder.
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

// prepare builds both checkouts in the scratch directory; if o.baseDir is set, the base is the checkout there.
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

// withJournals calls do, then copies the files that the plays added to the checkouts' journals to the repository, even
// if do failed.
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
		copied, err := j.copyAdded(repo)
		result = errors.Join(result, err)
		total += copied
	}
	fmt.Fprintf(out, "%d new files in %s: commit them as they are\n", total, journalFolder)
	return result
}

// playAndPrint plays all days and prints a line for each play. A non-nil error is a *differenceError.
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

// line returns the line that is printed for a play.
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
