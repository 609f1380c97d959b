package ctlcmd

import (
	"context"
	"errors"
	"io"
	"path/filepath"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"lockloom/internal/cli"
	"lockloom/internal/report"
	"lockloom/internal/simulation"
)

const seedsMost = 1000

func experimenting(out, errs io.Writer) *ffcli.Command {
	set := flags("experiment")
	clock := set.String("clock", "virtual", "`virtual` or sockets")
	first := set.Uint64("seed", 1, "the first `number` that chance comes from")
	seeds := set.Int("seeds", 5, "`how many` of them")
	policies := set.String("policies", "lockloom,least,round-robin,random", "`names` of what decides, in virtual time")
	proxy := set.String("proxy", "", "the proxy's `program`, on sockets (default: lockloom beside this program)")
	against := set.String("against", "", "an earlier build's `program` to compare with, on sockets")
	var to files
	to.on(set, false)
	return cli.New("experiment", "experiment SCENARIO... [FLAGS]", "play scenarios over several seeds and policies, and compare", set,
		func(ctx context.Context, words []string) error {
			if len(words) == 0 {
				return cli.Wrong("it takes scenarios, one at least")
			}
			if *seeds < 1 || *seeds > seedsMost {
				return cli.Wrong("-seeds: %d: it is from 1 to %d", *seeds, seedsMost)
			}
			var scenarios []*simulation.Scenario
			for _, word := range words {
				s, err := simulation.Open(word)
				if err != nil {
					return err
				}
				scenarios = append(scenarios, s)
			}
			names := strings.Split(*policies, ",")
			if err := simulation.CheckPolicies(names); err != nil {
				return cli.Wrong("-policies: %w", err)
			}
			list := simulation.Seeds(*first, *seeds)
			page := report.Page{Title: "Experiment", About: "Value in time is the part of the value of all lookups that was honoured within the due time."}
			var all []*simulation.Result
			for _, s := range scenarios {
				var results [][]*simulation.Result
				var err error
				switch *clock {
				case "virtual":
					if *proxy != "" || *against != "" {
						return cli.Wrong("-proxy and -against are of the clock sockets")
					}
					results, err = s.Experiment(ctx, names, list)
				case "sockets":
					results, err = programs(ctx, s, list, *proxy, *against, errs)
				default:
					return cli.Wrong("-clock: %q: it is virtual or sockets", *clock)
				}
				if err != nil {
					return err
				}
				for _, of := range results {
					page.Rows = append(page.Rows, simulation.Summarize(of))
					page.Runs = append(page.Runs, of[0])
					all = append(all, of...)
				}
			}
			if err := report.Table(out, page.Rows); err != nil {
				return err
			}
			if err := to.write(all, page); err != nil {
				return err
			}
			for _, row := range page.Rows { // baselines may break what they like
				if row.Policy == "lockloom" && (row.RulesBroken != [5]int{} || row.VoidSeeds > 0) {
					return errNotHeld
				}
			}
			return nil
		})
}

// programs plays a scenario on sockets, a run of each program in turn for each seed, so that both meet the same machine.
func programs(ctx context.Context, s *simulation.Scenario, seeds []uint64, proxy, against string, errs io.Writer) ([][]*simulation.Result, error) {
	path, err := program(proxy)
	if err != nil {
		return nil, err
	}
	paths, names := []string{path}, []string{"lockloom"}
	if against != "" {
		earlier, err := filepath.Abs(against)
		if err != nil {
			return nil, err
		}
		if earlier == path {
			return nil, errors.New("-against: it is the same program")
		}
		paths, names = append(paths, earlier), append(names, "earlier")
	}
	results := make([][]*simulation.Result, len(paths))
	for _, seed := range seeds {
		for i, path := range paths {
			r, err := s.Sockets(ctx, simulation.Sockets{Proxy: path, Name: names[i], Seed: seed, Progress: progress(errs, s.Name)})
			if err != nil {
				return nil, err
			}
			results[i] = append(results[i], r)
		}
	}
	return results, nil
}
