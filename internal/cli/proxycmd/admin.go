package proxycmd

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"lockloom/internal/admin"
	"lockloom/internal/cli"
)

// adminTimeout bounds a call to the admin endpoint.
const adminTimeout = 2 * time.Second

// adminCommands returns the sub-commands that call the admin endpoint, one for each action.
func adminCommands(out cli.Output) []*ffcli.Command {
	return []*ffcli.Command{
		adminCommand(admin.Ready, "check whether the proxy process accepts clients", out),
		adminCommand(admin.Drain, "drain the proxy: /up reports that it is not up, and client connections are closed", out),
		adminCommand(admin.Resume, "end a drain", out),
		adminCommand(admin.Disable, "send no requests to the server ID until it is enabled", out),
		adminCommand(admin.Enable, "send requests to the server ID again", out),
	}
}

// adminCommand returns the sub-command that calls the admin endpoint with an action.
func adminCommand(action admin.Action, help string, out cli.Output) *ffcli.Command {
	name := action.String()
	takesID := action == admin.Disable || action == admin.Enable
	usage := name + " [ADDR]"
	if takesID {
		usage = name + " ID [ADDR]"
	}
	return cli.NewCommand(name, usage, help, cli.NewFlagSet(name), func(_ context.Context, args []string) error {
		call := admin.Call{Action: action}
		if takesID {
			if len(args) == 0 {
				return cli.UsageErrorf("the server's ID is missing")
			}
			call.ID = args[0]
			args = args[1:]
		}
		addr, err := adminAddress(args)
		if err != nil {
			return err
		}
		return sendAdminCall(addr, call, out)
	})
}

// adminAddress returns the admin endpoint's address: the only argument or, without one, that of ROUTER_OPERATOR.
func adminAddress(args []string) (string, error) {
	if len(args) > 1 {
		return "", cli.UsageErrorf("unexpected argument %q", args[1])
	}
	addr := os.Getenv("ROUTER_OPERATOR")
	if len(args) == 1 {
		addr = args[0]
	}
	if addr == "" {
		return "", cli.UsageErrorf("the address of the admin endpoint is missing, and ROUTER_OPERATOR is not set")
	}
	return addr, nil
}

// sendAdminCall sends a call to the admin endpoint at an address and prints the response. A status other than 2xx is an
// error.
func sendAdminCall(addr string, call admin.Call, out cli.Output) error {
	status, text, err := admin.Send(addr, call, adminTimeout)
	if err != nil {
		return err
	}
	if status < 200 || status > 299 {
		return fmt.Errorf("%s rejected the call: status %d: %s", addr, status, text)
	}
	out.Printf("%s: %s\n", addr, text)
	return nil
}
