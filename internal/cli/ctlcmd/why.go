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
	id := flags.String("lookup", "", "`id` of the request")
	number := flags.Uint64("number", 0, "instead of -lookup: `number` of the request in its pool")
	first := flags.String("first", "",
		"instead of -lookup: the first request with this `event`: "+
			strings.Join(capture.EventNames, ", ")+", or paused:BACKEND")
	pool := flags.String("pool", "", "the request's `pool` (default: any)")
	help := "explain how one request was served, and how the servers were scored"
	return cli.NewCommand("why", "why FILE|FOLDER... [FLAGS]", help, flags,
		func(_ context.Context, args []string) error {
			files, err := captureFiles(args)
			if err != nil {
				return err
			}
			history := &capture.RequestHistory{Out: out, Pool: *pool, Number: *number, ID: capture.HashID(*id)}
			switch {
			case *first != "":
				if err := findFirst(history, *first, files); err != nil {
					return err
				}
			case (*id == "") == (*number == 0):
				return cli.UsageErrorf("exactly one of -lookup, -number and -first is required")
			}
			player := newPlayer(errOut)
			player.After = history.Observe
			if err := player.Play(files, openFile); err != nil {
				return err
			}
			if !history.Found {
				return errors.New("the capture has no such request")
			}
			return nil
		})
}

// findFirst sets the pool and number of history to the first request with the event. If history has a pool already,
// only that pool is searched.
func findFirst(history *capture.RequestHistory, event string, files []string) error {
	newMatcher, err := capture.ParseEvent(event)
	if err != nil {
		return cli.UsageErrorf("-first: %w", err)
	}
	matcher := newMatcher()
	player := newPlayer(cli.Output{Writer: io.Discard})
	player.After = func(pool *capture.Pool, call *capture.Call, actions *balance.Actions) {
		if history.Number > 0 || history.Pool != "" && history.Pool != pool.Name {
			return
		}
		matcher.Observe(pool, call, actions)
		if matcher.Matched() {
			history.Pool = pool.Name
			history.Number = matcher.Request()
		}
	}
	if err := player.Play(files, openFile); err != nil {
		return err
	}
	if history.Number == 0 {
		return fmt.Errorf("no request in the capture has the event %q", event)
	}
	return nil
}
