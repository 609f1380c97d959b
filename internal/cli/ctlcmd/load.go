package ctlcmd

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"lockloom/internal/cli"
	"lockloom/internal/report"
)

// loadCommand returns the sub-command that sends a scenario's requests to running proxies.
func loadCommand(out cli.Output) *ffcli.Command {
	flags := cli.NewFlagSet("load")
	to := flags.String("to", "", "the proxies' `addresses`, separated by commas")
	rate := flags.Float64("rate", 0, "`requests` per second (default: the scenario's rate and phases)")
	duration := flags.Float64("for", 0, "duration in `seconds` (default: the scenario's)")
	seed := flags.Uint64("seed", 1, "`seed` of the random numbers")
	file := flags.String("json", "", "write the results to this `FILE` as JSON")
	help := "send a scenario's requests to running proxies, in an open loop"
	return cli.NewCommand("load", "load SCENARIO -to ADDR[,ADDR...] [FLAGS]", help, flags,
		func(ctx context.Context, args []string) error {
			s, err := openScenario(args)
			if err != nil {
				return err
			}
			if *to == "" {
				return cli.UsageErrorf("-to: missing")
			}
			if err := s.OverrideLoad(*rate, *duration); err != nil {
				return err
			}
			result, err := s.Load(ctx, strings.Split(*to, ","), *seed)
			if err != nil {
				return err
			}
			if err := report.Result(out, result); err != nil {
				return err
			}
			if err := writeFile(*file, func(w io.Writer) error { return report.JSON(w, result) }); err != nil {
				return err
			}
			if result.Lost > 0 || result.Mismatched > 0 || result.NoProxy > 0 || result.Void != "" {
				return fmt.Errorf(
					"the run failed or is void: %d tries lost, %d answered with another request's response, %d found no proxy",
					result.Lost, result.Mismatched, result.NoProxy)
			}
			return nil
		})
}
