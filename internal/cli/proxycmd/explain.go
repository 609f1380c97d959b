package proxycmd

import (
	"context"
	"io"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"lockloom/internal/cli"
	"lockloom/internal/config"
)

func explaining(out, errs io.Writer) *ffcli.Command {
	set := flags("explain")
	file := operatorFlag(set)
	return cli.New("explain", "explain -operator FILE METHOD URL [NAME:VALUE...]",
		"say which route, pool, tariff, limits and retry rule a request would meet, and why not others", set,
		func(_ context.Context, words []string) error {
			if *file == "" {
				return cli.Wrong("-operator: missing")
			}
			if len(words) < 2 {
				return cli.Wrong("it takes a method, a URL or path, and fields as NAME:VALUE")
			}
			ask := config.Request{Method: words[0], Target: words[1], Fields: map[string]string{}}
			for _, word := range words[2:] {
				name, value, ok := strings.Cut(word, ":")
				if !ok || name == "" {
					return cli.Wrong("%q: a field is NAME:VALUE", word)
				}
				ask.Fields[strings.ToLower(name)] = strings.TrimSpace(value)
			}
			ask.Host = ask.Fields["host"]
			s, err := setup(*file, errs)
			if err != nil {
				return err
			}
			return s.Explain(out, &ask)
		})
}
