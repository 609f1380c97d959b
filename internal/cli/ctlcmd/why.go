package ctlcmd

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"lockloom/balance"
	"lockloom/internal/capture"
	"lockloom/internal/cli"
)

// whyCommand returns the sub-command that explains how one request was served.
func whyCommand(out, errOut cli.Output) *ffcli.Command {
	flags := cli.NewFlagSet("why")
	id := flags.String("lookup", "", "the request's `id`")
	number := flags.Uint64("number", 0, "or its `number` in its pool")
	first := flags.String("first", "", "or the first that is `"+strings.Join(capture.MatcherNames, ", ")+"`")
	pool := flags.String("pool", "", "the `pool` (default: whichever has it)")
	help := "explain how one request was served, and what was weighed"
	return cli.NewCommand("why", "why FILE|FOLDER... [FLAGS]", help, flags,
		func(_ context.Context, args []string) error {
			files, err := captureFiles(args)
			if err != nil {
				return err
			}
			story := &capture.RequestHistory{Out: out, Pool: *pool, Number: *number, ID: capture.IDOf(*id)}
			switch {
			case *first != "":
				if err := findFirst(story, *first, files); err != nil {
					return err
				}
			case (*id == "") == (*number == 0):
				return cli.UsageErrorf("it takes one of -lookup, -number and -first")
			}
			player := newPlayer(errOut)
			player.After = story.Observe
			if err := player.Play(files, openFile); err != nil {
				return err
			}
			if !story.Found {
				return errors.New("the capture has no such request")
			}
			return nil
		})
}

// findFirst sets which request a story is of: the first that shows what is wanted, in the story's pool if it has one.
func findFirst(story *capture.RequestHistory, wanted string, files []string) error {
	newSight, err := capture.NewMatcher(wanted)
	if err != nil {
		return cli.UsageErrorf("-first: %w", err)
	}
	sight := newSight()
	player := newPlayer(cli.Output{Writer: io.Discard})
	player.After = func(pool *capture.Pool, call *capture.Call, actions *balance.Actions) {
		if story.Number > 0 || story.Pool != "" && story.Pool != pool.Name {
			return
		}
		sight.Observe(pool, call, actions)
		if sight.Matched() {
			story.Pool = pool.Name
			story.Number = sight.Request()
		}
	}
	if err := player.Play(files, openFile); err != nil {
		return err
	}
	if story.Number == 0 {
		return fmt.Errorf("none is %s", wanted)
	}
	return nil
}
