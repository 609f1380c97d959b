package ctlcmd

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"lockloom/controlplane"
	"lockloom/internal/cli"
)

// subscribersCommand returns the sub-command that lists what a control service's subscribers hold.
func subscribersCommand(out cli.Output) *ffcli.Command {
	help := "tell what a control service's subscribers hold, by its status address"
	return cli.NewCommand("subscribers", "subscribers ADDR", help, cli.NewFlagSet("subscribers"),
		func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return cli.UsageErrorf("it takes the status address")
			}
			body, err := fetch(ctx, http.MethodGet, args[0], "/subscribers")
			if err != nil {
				return err
			}
			var rows []controlplane.SubscriberStatus
			if err := json.Unmarshal(body, &rows); err != nil {
				return fmt.Errorf("%s: %w", args[0], err)
			}
			return printSubscribers(out, rows)
		})
}

// printSubscribers prints a table with a line for each type that a subscriber holds.
func printSubscribers(out cli.Output, rows []controlplane.SubscriberStatus) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	table := cli.Output{Writer: w}
	table.Println("SUBSCRIBER\tZONE\tWAY\tSINCE\tTYPE\tNAMES\tVERSION\tSTATE")
	for _, r := range rows {
		for _, h := range r.Resources {
			state := "newest"
			switch {
			case len(h.Nacked) > 0:
				state = fmt.Sprintf("refuses %s: %s", strings.Join(h.Nacked, ", "), r.NackDetail)
			case h.UnackedSeconds > 0:
				state = fmt.Sprintf("unacknowledged for %.1f s", h.UnackedSeconds)
			case !h.UpToDate:
				state = "behind"
			}
			names := fmt.Sprint(h.NameCount)
			if h.NameCount < 0 {
				names = "all"
			}
			table.Printf("%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n",
				r.ID, r.Zone, r.Protocol, r.ConnectedAt.Format(time.TimeOnly), h.Type, names, h.Version, state)
		}
	}
	return w.Flush()
}
