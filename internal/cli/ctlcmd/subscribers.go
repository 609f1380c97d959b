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

// subscribersCommand returns the sub-command that lists the resources held by a control plane's subscribers.
func subscribersCommand(out cli.Output) *ffcli.Command {
	help := "list the resources held by a control plane's subscribers; ADDR is its status address"
	return cli.NewCommand("subscribers", "subscribers ADDR", help, cli.NewFlagSet("subscribers"),
		func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return cli.UsageErrorf("expected one argument, the control plane's status address")
			}
			body, err := fetch(ctx, http.MethodGet, args[0], "/subscribers")
			if err != nil {
				return err
			}
			var rows []controlplane.SubscriberStatus
			if err := json.Unmarshal(body, &rows); err != nil {
				return fmt.Errorf("status from %s: %w", args[0], err)
			}
			return printSubscribers(out, rows)
		})
}

// printSubscribers prints a table with a line for each resource type of each subscriber.
func printSubscribers(out cli.Output, rows []controlplane.SubscriberStatus) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	table := cli.Output{Writer: w}
	table.Println("SUBSCRIBER\tZONE\tWAY\tSINCE\tTYPE\tNAMES\tVERSION\tSTATE")
	for _, r := range rows {
		for _, resource := range r.Resources {
			state := "newest"
			switch {
			case len(resource.Nacked) > 0: // the subscriber rejected (NACK) these resources
				state = fmt.Sprintf("refuses %s: %s", strings.Join(resource.Nacked, ", "), r.NackDetail)
			case resource.UnackedSeconds > 0:
				state = fmt.Sprintf("unacknowledged for %.1f s", resource.UnackedSeconds)
			case !resource.UpToDate:
				state = "behind"
			}
			names := fmt.Sprint(resource.NameCount)
			if resource.NameCount < 0 {
				names = "all"
			}
			table.Printf("%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n",
				r.ID, r.Zone, r.Protocol, r.ConnectedAt.Format(time.TimeOnly),
				resource.Type, names, resource.Version, state)
		}
	}
	return w.Flush()
}
