package proxycmd

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"lockloom/internal/cli"
	"lockloom/internal/http1"
)

// upTimeout bounds the connection to a proxy, and its response.
const upTimeout = 2 * time.Second

// upCommand returns the sub-command that asks whether a proxy is up.
func upCommand(out cli.Output) *ffcli.Command {
	return cli.NewCommand("up", "up ADDR", "ask the proxy that listens at ADDR whether it takes requests",
		cli.NewFlagSet("up"), func(_ context.Context, args []string) error {
			switch {
			case len(args) == 0:
				return cli.UsageErrorf("the proxy's address is missing")
			case len(args) > 1:
				return cli.UsageErrorf("unexpected argument %q", args[1])
			}
			return checkUp(args[0], out)
		})
}

// checkUp asks a proxy whether it is up. A status other than 200 is an error.
func checkUp(addr string, out cli.Output) error {
	conn, err := net.DialTimeout("tcp", addr, upTimeout)
	if err != nil {
		return err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(upTimeout))
	if _, err := fmt.Fprintf(conn, "GET /up HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n", addr); err != nil {
		return err
	}
	head, err := http1.NewReader(conn).Response()
	if err != nil {
		return err
	}
	if head.Status != 200 {
		return fmt.Errorf("%s does not take requests: status %d", addr, head.Status)
	}
	out.Println(addr, "takes requests")
	return nil
}
