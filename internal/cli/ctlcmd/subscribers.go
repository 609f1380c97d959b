package ctlcmd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"lockloom/controlplane"
	"lockloom/internal/cli"
)

const (
	askFor   = 3 * time.Second
	rowsMost = 64 << 20 // bytes of the answer
)

// subscribing tells who holds what.
func subscribing(out io.Writer) *ffcli.Command {
	return cli.New("subscribers", "subscribers ADDR", "tell what a control service's subscribers hold, by its status address", flags("subscribers"),
		func(ctx context.Context, words []string) error {
			if len(words) != 1 {
				return cli.Wrong("it takes the status address")
			}
			ctx, stop := context.WithTimeout(ctx, askFor)
			defer stop()
			r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+words[0]+"/subscribers", nil)
			if err != nil {
				return err
			}
			answer, err := http.DefaultClient.Do(r)
			if err != nil {
				return err
			}
			defer answer.Body.Close()
			if answer.StatusCode != http.StatusOK {
				return fmt.Errorf("%s: %s", words[0], answer.Status)
			}
			var rows []controlplane.SubscriberStatus
			if err := json.NewDecoder(io.LimitReader(answer.Body, rowsMost)).Decode(&rows); err != nil {
				return fmt.Errorf("%s: %w", words[0], err)
			}
			return table(out, rows)
		})
}

func table(out io.Writer, rows []controlplane.SubscriberStatus) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "SUBSCRIBER\tZONE\tWAY\tSINCE\tTYPE\tNAMES\tVERSION\tSTATE")
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
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", r.ID, r.Zone, r.Protocol, r.ConnectedAt.Format(time.TimeOnly), h.Type, names, h.Version, state)
		}
	}
	return w.Flush()
}
