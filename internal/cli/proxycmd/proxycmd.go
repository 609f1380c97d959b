// Package proxycmd is the command line of lockloom, the platform's proxy.
package proxycmd

import (
	"context"
	"flag"
	"io"

	"github.com/peterbourgon/ff/v3/ffcli"

	"lockloom/internal/cli"
)

// Run runs one command and returns what the program ends with.
func Run(args []string, out, errs io.Writer) int {
	return cli.Run(context.Background(), &ffcli.Command{Name: "lockloom", Subcommands: Commands("lockloom", nil, out, errs)}, args, out, errs)
}

// Commands are those of a program that is a proxy, with a front or none.
func Commands(name string, front Front, out, errs io.Writer) []*ffcli.Command {
	return append([]*ffcli.Command{serving(errs, front), asking(out), checking(out, errs), explaining(out, errs), cli.Versions(name, out)},
		calling(out)...)
}

// bare is a command without words.
func bare(name, help string, flags *flag.FlagSet, run func() error) *ffcli.Command {
	return cli.New(name, name+" [FLAGS]", help, flags, func(_ context.Context, words []string) error {
		if len(words) > 0 {
			return cli.Wrong("it takes no further words")
		}
		return run()
	})
}

func flags(name string) *flag.FlagSet { return flag.NewFlagSet(name, flag.ContinueOnError) }
