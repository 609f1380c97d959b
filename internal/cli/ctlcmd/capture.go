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
	duration := flags.Duration("for", 0, "turn the capture on for this `time`; 0: until -off")
	off := flags.Bool("off", false, "turn the capture off")
	dump := flags.Bool("dump", false, "write the calls that are kept in memory to files")
	look := flags.Bool("look", false, "change nothing, only print the capture's status")
	help := "turn a running proxy's capture on or off; ADDR is the address of its capture endpoint"
	return cli.NewCommand("capture", "capture ADDR [FLAGS]", help, flags, func(ctx context.Context, args []string) error {
		if len(args) != 1 {
			return cli.UsageErrorf("expected one argument, the address of the capture endpoint")
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
