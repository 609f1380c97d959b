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
	times := flags.Int("times", 1, "replay the captures this `number` of times")
	loose := flags.Bool("loose", false, "continue after a decision that differs from the recorded one")
	choices := flags.Bool("choices", false, "print the decisions (attempts sent or canceled, replies), one per line")
	help := "replay a capture and compare each decision with the recorded one"
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

// replayChoices replays captures and prints the decisions, one per line.
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

// replaySummary replays captures and prints how much was replayed and how many actions differ.
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

// printChoices prints the decisions (actions) that a call returned, one per line. The diff sub-command compares these
// lines with those that another, possibly older, build prints, so the format must stay the same.
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
