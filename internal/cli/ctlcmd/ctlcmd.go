// Package ctlcmd is the command line of lockloomctl: simulations, experiments, load, and tools for captures and for the
// control service.
package ctlcmd

import (
	"context"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/peterbourgon/ff/v3/ffcli"

	"lockloom/internal/cli"
	"lockloom/internal/simulation"
)

// Run runs one command line and returns the exit code. An interrupt ends a command in order, leaving nothing behind.
func Run(args []string, out, errOut io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	stdout, stderr := cli.Output{Writer: out}, cli.Output{Writer: errOut}
	root := &ffcli.Command{Name: "lockloomctl", Subcommands: []*ffcli.Command{
		rehearseCommand(stdout, stderr),
		experimentCommand(stdout, stderr),
		loadCommand(stdout),
		serversCommand(stdout),
		subscribersCommand(stdout),
		importCommand(stdout, stderr),
		cli.VersionCommand("lockloomctl", stdout),
		replayCommand(stdout, stderr),
		whyCommand(stdout, stderr),
		timelineCommand(stdout, stderr),
		diffCommand(stdout),
		excerptCommand(stdout),
		whatIfCommand(stdout, stderr),
		captureCommand(stdout),
	}}
	return cli.Run(ctx, root, args, out, errOut)
}

// openScenario opens the scenario that is a command's only argument.
func openScenario(args []string) (*simulation.Scenario, error) {
	if len(args) != 1 {
		return nil, cli.UsageErrorf("it takes one scenario, not %d", len(args))
	}
	return simulation.Open(args[0])
}

// proxyProgram returns the path of the proxy's program: the one named or, if none is, lockloom beside this program.
func proxyProgram(named string) (string, error) {
	if named != "" {
		return filepath.Abs(named)
	}
	own, err := os.Executable()
	if err != nil {
		return "", err
	}
	return filepath.Join(filepath.Dir(own), "lockloom"), nil
}
