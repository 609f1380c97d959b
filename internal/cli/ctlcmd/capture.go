package ctlcmd

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/peterbourgon/ff/v3/ffcli"

	"lockloom/internal/capture"
	"lockloom/internal/cli"
)

// captureCommand returns the sub-command that turns a running proxy's capture on or off.
func captureCommand(out cli.Output) *ffcli.Command {
	flags := cli.NewFlagSet("capture")
	duration := flags.Duration("for", 0, "turn it on for this `time`; 0: until -off")
	off := flags.Bool("off", false, "turn it off")
	dump := flags.Bool("dump", false, "write what is kept in memory")
	look := flags.Bool("look", false, "change nothing, tell how it stands")
	help := "turn a running proxy's capture on or off, by its address for that"
	return cli.NewCommand("capture", "capture ADDR [FLAGS]", help, flags, func(ctx context.Context, args []string) error {
		if len(args) != 1 {
			return cli.UsageErrorf("it takes the address")
		}
		method, path := http.MethodPost, "/on?for="+duration.String()
		switch {
		case *look:
			method, path = http.MethodGet, "/"
		case *off:
			path = "/off"
		case *dump:
			path = "/dump"
		}
		body, err := fetch(ctx, method, args[0], path)
		if err != nil {
			return err
		}
		var status capture.Status
		if err := json.Unmarshal(body, &status); err != nil {
			return err
		}
		out.Printf("on %v, %d calls, %d gaps, %d bytes, %d segments written\n",
			status.On, status.Calls, status.Gaps, status.Bytes, status.Written)
		return nil
	})
}
