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

// timelineCommand returns the sub-command that shows the status of each server during a capture.
func timelineCommand(out, errOut cli.Output) *ffcli.Command {
	flags := cli.NewFlagSet("timeline")
	interval := flags.Duration("every", time.Second, "`interval` between two samples of a server")
	html := flags.String("html", "", "write a page with plots to this `FILE`")
	help := "show the status of each server during a capture"
	return cli.NewCommand("timeline", "timeline FILE|FOLDER... [FLAGS]", help, flags,
		func(_ context.Context, args []string) error {
			files, err := captureFiles(args)
			if err != nil {
				return err
			}
			timeline := &capture.Timeline{Interval: interval.Seconds()}
			player := newPlayer(errOut)
			player.After = timeline.Observe
			if err := player.Play(files, openFile); err != nil {
				return err
			}
			if *html != "" {
				return report.WriteFile(*html, func(w io.Writer) error {
					return report.ServerStatuses(w, player.FileHead.Proxy, timeline.Samples)
				})
			}
			printTimeline(out, timeline)
			return nil
		})
}

// printTimeline prints a line for each sample, with columns separated by tabs.
func printTimeline(out cli.Output, timeline *capture.Timeline) {
	out.Println("pool\tat\tserver\tin_flight\tlimit\tpayoff\tpaused\twarming_up\tsucceeded\tfailed\trejected")
	for _, s := range timeline.Samples {
		out.Printf("%s\t%.2f\t%d\t%d\t%.1f\t%.2f\t%v\t%v\t%d\t%d\t%d\n", s.Pool, s.At, s.Endpoint, s.InFlight, s.Limit,
			s.Payoff, s.Paused, s.WarmingUp, s.Succeeded, s.Failed, s.Rejected)
	}
}
