package ctlcmd

import (
	"context"
	"errors"
	"os"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"lockloom/internal/cli"
	"lockloom/internal/simulation"
)

// serversCommand returns the sub-command that runs a scenario's servers and discovery agents.
func serversCommand(out cli.Output) *ffcli.Command {
	flags := cli.NewFlagSet("servers")
	dir := flags.String("dir", "", "write the launch files to this `folder` (default: a temporary one)")
	seed := flags.Uint64("seed", 1, "`seed` of the random numbers")
	play := flags.Bool("play", false, "also play the scenario's faults, from the start")
	help := "run only a scenario's servers and discovery agents until Ctrl-C; print the environment for lockloom serve"
	return cli.NewCommand("servers", "servers SCENARIO [FLAGS]", help, flags,
		func(ctx context.Context, args []string) (err error) {
			s, err := openScenario(args)
			if err != nil {
				return err
			}
			if *dir != "" {
				return runServers(ctx, s, *dir, *seed, *play, out)
			}
			temporary, err := os.MkdirTemp("", "lockloomctl")
			if err != nil {
				return err
			}
			defer func() { err = errors.Join(err, os.RemoveAll(temporary)) }()
			return runServers(ctx, s, temporary, *seed, *play, out)
		})
}

// runServers writes the launch files to dir, prints the environment variables of each proxy, and runs the servers until
// the context ends.
func runServers(
	ctx context.Context, s *simulation.Scenario, dir string, seed uint64, play bool, out cli.Output,
) error {
	servers, err := s.StartServers(dir, seed)
	if err != nil {
		return err
	}
	defer servers.Close()
	for _, variables := range servers.Environments {
		out.Println("export", strings.Join(variables, " "))
	}
	return servers.Run(ctx, play)
}
