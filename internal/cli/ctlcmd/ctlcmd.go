// Package ctlcmd is the command line of lockloomctl: simulations, experiments, load generation, and tools for captures
// and for the control plane.
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

// Run runs one command line and returns the exit code. SIGINT and SIGTERM cancel the command, which ends the processes
// that it started and leaves no partial results.
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

// openScenario opens the scenario that is the only argument in args.
func openScenario(args []string) (*simulation.Scenario, error) {
	if len(args) != 1 {
		return nil, cli.UsageErrorf("expected one scenario, got %d", len(args))
	}
	return simulation.Open(args[0])
}

// proxyProgram returns the absolute path of the proxy's program: path or, if that is empty, lockloom in the directory
// of this program.
func proxyProgram(path string) (string, error) {
	if path != "" {
		return filepath.Abs(path)
	}
	own, err := os.Executable()
	if err != nil {
		return "", err
	}
	return filepath.Join(filepath.Dir(own), "lockloom"), nil
}
