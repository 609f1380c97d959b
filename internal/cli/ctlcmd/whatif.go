package ctlcmd

import (
	"cmp"
	"context"
	"fmt"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"lockloom/balance"
	"lockloom/internal/capture"
	"lockloom/internal/cli"
	"lockloom/internal/loadgen"
	"lockloom/internal/report"
	"lockloom/internal/simulation"
)

// whatIfCommand returns the sub-command that simulates a capture's arrivals against a scenario's servers.
func whatIfCommand(out, errOut cli.Output) *ffcli.Command {
	flags := cli.NewFlagSet("whatif")
	policy := flags.String("policy", "lockloom",
		"`name` of the policy: "+strings.Join(simulation.PolicyNames(), ", "))
	seed := flags.Uint64("seed", 1, "`seed` of the servers' random numbers")
	name := flags.String("scenario", "",
		"`FILE` of the scenario that defines the servers, proxies, faults and all tariffs that the capture names")
	help := "play a capture's arrivals against emulated servers: a model, not a record"
	return cli.NewCommand("whatif", "whatif FILE|FOLDER... -scenario SCENARIO", help, flags,
		func(_ context.Context, args []string) error {
			files, err := captureFiles(args)
			if err != nil {
				return err
			}
			if *name == "" {
				return cli.UsageErrorf("-scenario: missing")
			}
			scenario, err := simulation.Open(*name)
			if err != nil {
				return err
			}
			if err := simulation.CheckPolicies([]string{*policy}); err != nil {
				return cli.UsageErrorf("-policy: %w", err)
			}
			arrivals, err := capturedArrivals(newPlayer(errOut), files, scenario)
			if err != nil {
				return err
			}
			result, err := scenario.PlayVirtualFrom(
				*policy, simulation.Policies[*policy](), *seed, loadgen.NewListSource(arrivals))
			if err != nil {
				return err
			}
			out.Printf("A MODEL: %d captured arrivals against the servers of scenario %s, with policy %s. "+
				"What happened is in the capture alone.\n", len(arrivals), scenario.Name, *policy)
			return report.Result(out, result)
		})
}

// capturedArrivals returns the requests of captures, except client retries, as arrivals for scenario s. It matches
// their classes with those of the scenario by name, and returns an error if one is missing.
func capturedArrivals(player *capture.Player, files []string, s *simulation.Scenario) ([]loadgen.Intent, error) {
	classes := map[string]int{}
	for i, class := range s.Classes {
		classes[class.Name] = i
	}
	var arrivals []loadgen.Intent
	missing := map[string]int{} // requests by name of the class
	player.Loose = true
	player.After = func(pool *capture.Pool, call *capture.Call, _ *balance.Actions) {
		if call.Kind != capture.RequestArrived || call.Arrival.ClientRetry {
			return
		}
		name := pool.Balancer.Deployment().Classes[call.Arrival.Class].Name
		class, ok := classes[name]
		if !ok {
			missing[name]++
			return
		}
		arrivals = append(arrivals, loadgen.Intent{
			Number: len(arrivals),
			At:     call.Now - player.FirstCallAt,
			Class:  class,
			Tenant: -1,
			Key:    call.Arrival.Key,
			Work:   cmp.Or(call.Arrival.ExpectedWork, s.Classes[class].Work),
		})
	}
	if err := player.Play(files, openFile); err != nil {
		return nil, err
	}
	if len(missing) > 0 {
		return nil, fmt.Errorf("the scenario lacks these tariffs of the capture (with the number of requests): %v", missing)
	}
	return arrivals, nil
}
