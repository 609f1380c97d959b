package ctlcmd

import (
	"context"
	"errors"
	"path/filepath"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"lockloom/internal/cli"
	"lockloom/internal/report"
	"lockloom/internal/simulation"
)

// maxSeeds bounds the runs of one scenario and policy.
const maxSeeds = 1000

// experiment is one call of experiment.
type experiment struct {
	clock, policies, proxy, against string
	firstSeed                       uint64
	seeds                           int
	files                           resultFiles
	out, errOut                     cli.Output
}

// experimentCommand returns the sub-command that plays scenarios several times and compares.
func experimentCommand(out, errOut cli.Output) *ffcli.Command {
	e := &experiment{out: out, errOut: errOut}
	flags := cli.NewFlagSet("experiment")
	flags.StringVar(&e.clock, "clock", clockVirtual, "`virtual` or sockets")
	flags.Uint64Var(&e.firstSeed, "seed", 1, "the first `number` that chance comes from")
	flags.IntVar(&e.seeds, "seeds", 5, "`how many` of them")
	flags.StringVar(&e.policies, "policies", "lockloom,least,round-robin,random",
		"`names` of what decides, in virtual time")
	flags.StringVar(&e.proxy, "proxy", "", "the proxy's `program`, on sockets (default: lockloom beside this program)")
	flags.StringVar(&e.against, "against", "", "an earlier build's `program` to compare with, on sockets")
	e.files.addFlags(flags)
	help := "play scenarios over several seeds and policies, and compare"
	return cli.NewCommand("experiment", "experiment SCENARIO... [FLAGS]", help, flags, e.run)
}

// run plays the scenarios, prints and writes the results, and returns errNotHeld if a rule was broken.
func (e *experiment) run(ctx context.Context, args []string) error {
	if len(args) == 0 {
		return cli.UsageErrorf("it takes scenarios, one at least")
	}
	if e.seeds < 1 || e.seeds > maxSeeds {
		return cli.UsageErrorf("-seeds: %d: it is from 1 to %d", e.seeds, maxSeeds)
	}
	scenarios, err := openScenarios(args)
	if err != nil {
		return err
	}
	if err := simulation.CheckPolicies(e.policyNames()); err != nil {
		return cli.UsageErrorf("-policies: %w", err)
	}
	page := report.Page{
		Title: "Experiment",
		About: "Value in time is the part of the value of all requests that were answered within the due time.",
	}
	var all []*simulation.Result
	for _, s := range scenarios {
		byPolicy, err := e.play(ctx, s)
		if err != nil {
			return err
		}
		for _, results := range byPolicy {
			page.Rows = append(page.Rows, simulation.Summarize(results))
			page.Runs = append(page.Runs, results[0])
			all = append(all, results...)
		}
	}
	if err := report.Table(e.out, page.Rows); err != nil {
		return err
	}
	if err := e.files.write(all, page); err != nil {
		return err
	}
	return checkRules(page)
}

// checkRules returns errNotHeld if our policy broke a rule. Others are there to compare with, and may.
func checkRules(page report.Page) error {
	for _, row := range page.Rows {
		if row.Policy == ourPolicy && (row.RulesBroken != [5]int{} || row.VoidSeeds > 0) {
			return errNotHeld
		}
	}
	return nil
}

// openScenarios opens the scenarios that a command's arguments name.
func openScenarios(args []string) ([]*simulation.Scenario, error) {
	var scenarios []*simulation.Scenario
	for _, arg := range args {
		s, err := simulation.Open(arg)
		if err != nil {
			return nil, err
		}
		scenarios = append(scenarios, s)
	}
	return scenarios, nil
}

func (e *experiment) policyNames() []string { return strings.Split(e.policies, ",") }

// play plays a scenario with every seed, and returns the results by policy or program.
func (e *experiment) play(ctx context.Context, s *simulation.Scenario) ([][]*simulation.Result, error) {
	seeds := simulation.Seeds(e.firstSeed, e.seeds)
	switch e.clock {
	case clockVirtual:
		if e.proxy != "" || e.against != "" {
			return nil, cli.UsageErrorf("-proxy and -against are of the clock sockets")
		}
		return s.Experiment(ctx, e.policyNames(), seeds)
	case clockSockets:
		return e.playPrograms(ctx, s, seeds)
	}
	return nil, cli.UsageErrorf("-clock: %q: it is virtual or sockets", e.clock)
}

// playPrograms plays a scenario on sockets, with each program in turn for each seed, so that all meet the same machine.
func (e *experiment) playPrograms(
	ctx context.Context, s *simulation.Scenario, seeds []uint64,
) ([][]*simulation.Result, error) {
	programs, names, err := e.programs()
	if err != nil {
		return nil, err
	}
	results := make([][]*simulation.Result, len(programs))
	for _, seed := range seeds {
		for i, program := range programs {
			result, err := s.Sockets(ctx, simulation.Sockets{
				Proxy:    program,
				Name:     names[i],
				Seed:     seed,
				Progress: showProgress(e.errOut, s.Name),
			})
			if err != nil {
				return nil, err
			}
			results[i] = append(results[i], result)
		}
	}
	return results, nil
}

// programs returns the paths of the programs that are compared, and their names in reports.
func (e *experiment) programs() (paths, names []string, err error) {
	present, err := proxyProgram(e.proxy)
	if err != nil {
		return nil, nil, err
	}
	if e.against == "" {
		return []string{present}, []string{ourPolicy}, nil
	}
	earlier, err := filepath.Abs(e.against)
	if err != nil {
		return nil, nil, err
	}
	if earlier == present {
		return nil, nil, errors.New("-against: it is the same program")
	}
	return []string{present, earlier}, []string{ourPolicy, "earlier"}, nil
}
