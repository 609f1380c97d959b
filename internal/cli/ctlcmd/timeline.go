package ctlcmd

import (
	"context"
	"io"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"lockloom/internal/capture"
	"lockloom/internal/cli"
	"lockloom/internal/report"
)

// timelineCommand returns the sub-command that prints the status of servers over a capture's time.
func timelineCommand(out, errOut cli.Output) *ffcli.Command {
	flags := cli.NewFlagSet("timeline")
	interval := flags.Duration("every", time.Second, "`time` between two lines of a server")
	html := flags.String("html", "", "write a page with plots to this `FILE`")
	help := "show the status of each server over time"
	return cli.NewCommand("timeline", "timeline FILE|FOLDER... [FLAGS]", help, flags,
		func(_ context.Context, args []string) error {
			files, err := captureFiles(args)
			if err != nil {
				return err
			}
			line := &capture.Timeline{Interval: interval.Seconds()}
			player := newPlayer(errOut)
			player.After = line.Observe
			if err := player.Play(files, openFile); err != nil {
				return err
			}
			if *html != "" {
				return report.WriteFile(*html, func(w io.Writer) error {
					return report.ServerStatuses(w, player.FileHead.Proxy, line.Samples)
				})
			}
			printTimeline(out, line)
			return nil
		})
}

// printTimeline prints a line for each moment and server, with tabs between its columns.
func printTimeline(out cli.Output, line *capture.Timeline) {
	out.Println("pool\tat\tserver\tin_flight\tlimit\tpayoff\tpaused\twarming_up\tsucceeded\tfailed\trejected")
	for _, m := range line.Samples {
		out.Printf("%s\t%.2f\t%d\t%d\t%.1f\t%.2f\t%v\t%v\t%d\t%d\t%d\n", m.Pool, m.At, m.Endpoint, m.InFlight, m.Limit,
			m.Payoff, m.Paused, m.WarmingUp, m.Succeeded, m.Failed, m.Rejected)
	}
}
