// Package proxycmd implements the command line of lockloom, the proxy.
package proxycmd

import (
	"context"
	"flag"
	"io"

	"github.com/peterbourgon/ff/v3/ffcli"

	"lockloom/internal/cli"
)

// program is the name that usage and errors show.
const program = "lockloom"

// Run runs one command line and returns the exit code.
func Run(args []string, out, errOut io.Writer) int {
	commands := Commands(program, nil, cli.Output{Writer: out}, cli.Output{Writer: errOut})
	root := &ffcli.Command{Name: program, Subcommands: commands}
	return cli.Run(context.Background(), root, args, out, errOut)
}

// Commands returns the sub-commands of a proxy program. Unless start is nil, serve also runs an extension.
func Commands(program string, start StartExtension, out, errOut cli.Output) []*ffcli.Command {
	commands := []*ffcli.Command{
		serveCommand(start, errOut),
		upCommand(out),
		checkCommand(out, errOut),
		explainCommand(out, errOut),
		cli.VersionCommand(program, out),
	}
	return append(commands, adminCommands(out)...)
}

// newFlagsCommand returns a sub-command that takes only flags.
func newFlagsCommand(name, help string, flags *flag.FlagSet, run func() error) *ffcli.Command {
	return cli.NewCommand(name, name+" [FLAGS]", help, flags, func(_ context.Context, args []string) error {
		if len(args) > 0 {
			return cli.UsageErrorf("unexpected argument %q", args[0])
		}
		return run()
	})
}
