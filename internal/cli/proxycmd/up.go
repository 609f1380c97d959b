package proxycmd

import (
	"context"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"lockloom/internal/cli"
	"lockloom/internal/http1"
)

const askFor = 2 * time.Second // for a proxy to tell whether it is up

func asking(out io.Writer) *ffcli.Command {
	return cli.New("up", "up ADDR", "ask the proxy that listens at ADDR whether it takes lookups", flags("up"),
		func(_ context.Context, words []string) error {
			switch {
			case len(words) == 0:
				return cli.Wrong("the proxy's address is missing")
			case len(words) > 1:
				return cli.Wrong("it takes no further words")
			}
			return up(words[0], out)
		})
}

// up asks a proxy whether it is ready.
func up(addr string, out io.Writer) error {
	conn, err := net.DialTimeout("tcp", addr, askFor)
	if err != nil {
		return err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(askFor))
	if _, err := fmt.Fprintf(conn, "GET /up HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n", addr); err != nil {
		return err
	}
	h, err := http1.NewReader(conn).Response()
	if err != nil {
		return err
	}
	if h.Status != 200 {
		return fmt.Errorf("%s does not take lookups: %d", addr, h.Status)
	}
	fmt.Fprintln(out, addr, "takes lookups")
	return nil
}
