package proxycmd

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"lockloom/internal/admin"
	"lockloom/internal/cli"
)

const callFor = 2 * time.Second // for the operators' door to answer

// calling are the commands for staff, one for each call of the operators' door.
func calling(out io.Writer) (all []*ffcli.Command) {
	for _, c := range []struct {
		act  admin.Action
		help string
	}{
		{admin.Ready, "ask whether the proxy's process takes clients"},
		{admin.Drain, "empty the proxy: it says at /up that it is not up, and sends its clients away"},
		{admin.Resume, "end a drain"},
		{admin.Disable, "send nothing more to the backend ID, until it is enabled"},
		{admin.Enable, "send to the backend ID again"},
	} {
		usage, words := c.act.String()+" [ADDR]", 0
		if c.act == admin.Disable || c.act == admin.Enable {
			usage, words = c.act.String()+" ID [ADDR]", 1
		}
		all = append(all, cli.New(c.act.String(), usage, c.help, flags(c.act.String()),
			func(_ context.Context, args []string) error {
				addr := os.Getenv("ROUTER_OPERATOR")
				if len(args) == words+1 {
					addr = args[words]
				}
				switch {
				case len(args) < words:
					return cli.Wrong("the backend's id is missing")
				case len(args) > words+1:
					return cli.Wrong("it takes no further words")
				case addr == "":
					return cli.Wrong("the address of the operators' door is missing, and ROUTER_OPERATOR is not set")
				}
				call := admin.Call{Action: c.act}
				if words > 0 {
					call.ID = args[0]
				}
				return ring(addr, call, out)
			}))
	}
	return all
}

// ring makes a call at a door; no is an error.
func ring(addr string, call admin.Call, out io.Writer) error {
	status, text, err := admin.Send(addr, call, callFor)
	if err != nil {
		return err
	}
	if status < 200 || status > 299 {
		return fmt.Errorf("%s says no: %d: %s", addr, status, text)
	}
	fmt.Fprintf(out, "%s: %s\n", addr, text)
	return nil
}
