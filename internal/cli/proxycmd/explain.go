package proxycmd

import (
	"context"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"lockloom/internal/cli"
	"lockloom/internal/config"
)

// explainCommand returns the sub-command that explains how an operator file handles a request.
func explainCommand(out, errOut cli.Output) *ffcli.Command {
	flags := cli.NewFlagSet("explain")
	file := operatorFileFlag(flags)
	return cli.NewCommand("explain", "explain -operator FILE METHOD URL [NAME:VALUE...]",
		"print which route, pool, class, limits and retry rule apply to a request, and why not others", flags,
		func(_ context.Context, args []string) error {
			if *file == "" {
				return cli.UsageErrorf("-operator: missing")
			}
			request, err := parseRequest(args)
			if err != nil {
				return err
			}
			c, err := readOperatorFile(*file, errOut)
			if err != nil {
				return err
			}
			return c.Explain(out, request)
		})
}

// parseRequest returns the request that the arguments describe: a method, a URL or path, and header fields.
func parseRequest(args []string) (*config.Request, error) {
	if len(args) < 2 {
		return nil, cli.UsageErrorf("expected a method, a URL or path, and header fields as NAME:VALUE")
	}
	request := &config.Request{Method: args[0], Target: args[1], Fields: map[string]string{}}
	for _, field := range args[2:] {
		name, value, ok := strings.Cut(field, ":")
		if !ok || name == "" {
			return nil, cli.UsageErrorf("header field %q: expected NAME:VALUE", field)
		}
		request.Fields[strings.ToLower(name)] = strings.TrimSpace(value)
	}
	request.Host = request.Fields["host"]
	return request, nil
}
