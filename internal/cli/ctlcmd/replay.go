package ctlcmd

import (
	"bufio"
	"context"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"lockloom/balance"
	"lockloom/internal/capture"
	"lockloom/internal/cli"
)

// replayCommand returns the sub-command that replays captures.
func replayCommand(out, errOut cli.Output) *ffcli.Command {
	flags := cli.NewFlagSet("replay")
	times := flags.Int("times", 1, "replay it so `often`")
	loose := flags.Bool("loose", false, "go on where actions differ")
	choices := flags.Bool("choices", false, "print each choice, a line each")
	help := "have a capture's decisions again, and compare each with what was recorded"
	return cli.NewCommand("replay", "replay FILE|FOLDER... [FLAGS]", help, flags,
		func(_ context.Context, args []string) error {
			files, err := captureFiles(args)
			if err != nil {
				return err
			}
			for range *times {
				player := newPlayer(errOut)
				player.Loose = *loose
				if *choices {
					err = replayChoices(player, files, out)
				} else {
					err = replaySummary(player, files, out)
				}
				if err != nil {
					return err
				}
			}
			return nil
		})
}

// replayChoices replays captures and prints each choice.
func replayChoices(player *capture.Player, files []string, out cli.Output) error {
	buffer := bufio.NewWriter(out)
	player.After = func(pool *capture.Pool, call *capture.Call, actions *balance.Actions) {
		printChoices(cli.Output{Writer: buffer}, pool, call, actions)
	}
	if err := player.Play(files, openFile); err != nil {
		return err
	}
	return buffer.Flush()
}

// replaySummary replays captures and prints what was replayed.
func replaySummary(player *capture.Player, files []string, out cli.Output) error {
	began := time.Now()
	if err := player.Play(files, openFile); err != nil {
		return err
	}
	out.Printf("%d calls, %d requests, %.1f s of %s replayed in %.2f s: %d differ, %d passed over\n",
		player.Played, player.Requests, player.LastCallAt-player.FirstCallAt, player.FileHead.Proxy,
		time.Since(began).Seconds(),
		player.Different, player.Skipped)
	return nil
}

// printChoices prints the actions that a call returned, a line each, so that those of two programs can be compared:
// diff also compares with those that an older build prints.
func printChoices(out cli.Output, pool *capture.Pool, call *capture.Call, actions *balance.Actions) {
	if actions == nil {
		return
	}
	for _, a := range actions.Requests {
		switch {
		case a.Send:
			out.Printf("%.6f %q ref %d sent to %d\n", call.Now, pool.Name, a.Ref, a.Endpoint)
		case a.Reply != balance.NoReply:
			out.Printf("%.6f %q ref %d answered %d\n", call.Now, pool.Name, a.Ref, a.Reply)
		case a.CancelAttempt > 0:
			out.Printf("%.6f %q ref %d calls off %d\n", call.Now, pool.Name, a.Ref, a.CancelAttempt)
		}
	}
}
