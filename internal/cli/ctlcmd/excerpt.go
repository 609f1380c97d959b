package ctlcmd

import (
	"context"
	"io"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"lockloom/internal/capture"
	"lockloom/internal/cli"
	"lockloom/internal/report"
)

// excerptCommand returns the sub-command that shortens a capture.
func excerptCommand(out cli.Output) *ffcli.Command {
	flags := cli.NewFlagSet("excerpt")
	event := flags.String("shows", "",
		"the `event` that the excerpt must still show: "+strings.Join(capture.EventNames, ", ")+", or paused:BACKEND")
	pool := flags.String("pool", "", "the `pool` (default: the platform's)")
	to := flags.String("to", "", "write the excerpt to this `FILE`")
	help := "shorten a capture to an excerpt that still shows an event"
	return cli.NewCommand("excerpt", "excerpt FILE|FOLDER... -shows WHAT -to FILE", help, flags,
		func(_ context.Context, args []string) error {
			files, err := captureFiles(args)
			if err != nil {
				return err
			}
			newMatcher, err := capture.ParseEvent(*event)
			if err != nil {
				return cli.UsageErrorf("-shows: %w", err)
			}
			if *to == "" {
				return cli.UsageErrorf("-to: missing")
			}
			excerpt, err := capture.Shorten(files, openFile, *pool, newMatcher)
			if err != nil {
				return err
			}
			write := func(w io.Writer) error { return excerpt.Write(w, cli.BuildVersion()) }
			if err := report.WriteFile(*to, write); err != nil {
				return err
			}
			out.Printf("%d calls that show it, after %d replays\n", len(excerpt.Calls), excerpt.Replays)
			return nil
		})
}
