// Package controlplanecmd implements the command line of lockloom-controlplane: the proxy with an xDS control plane and
// captures.
package controlplanecmd

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3/ffcli"

	"lockloom/internal/cli"
	"lockloom/internal/cli/proxycmd"
)

// program is the name that usage and errors show.
const program = "lockloom-controlplane"

// Run runs one command line and returns the exit code.
func Run(args []string, out, errOut io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	stdout, stderr := cli.Output{Writer: out}, cli.Output{Writer: errOut}
	commands := proxycmd.Commands(program, startExtension, stdout, stderr)
	commands = append(commands, serversCommand(stdout), callCommand(stdout))
	return cli.Run(ctx, &ffcli.Command{Name: program, Subcommands: commands}, args, out, errOut)
}
