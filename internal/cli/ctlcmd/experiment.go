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

// maxSeeds limits the runs of one scenario and policy.
const maxSeeds = 1000

// experiment holds the flags and outputs of the experiment sub-command.
type experiment struct {
	clock, policies, proxy, against string
	firstSeed                       uint64
	seeds                           int
	files                           resultFiles
	out, errOut                     cli.Output
}

// experimentCommand returns the sub-command that plays scenarios several times and compares the results.
func experimentCommand(out, errOut cli.Output) *ffcli.Command {
	e := &experiment{out: out, errOut: errOut}
	flags := cli.NewFlagSet("experiment")
	flags.StringVar(&e.clock, "clock", clockVirtual,
		"`virtual`: only the decision code runs, in virtual time; sockets: the proxy programs run, in real time")
	flags.Uint64Var(&e.firstSeed, "seed", 1, "`seed` of the first run of a policy; each further run adds 1")
	flags.IntVar(&e.seeds, "seeds", 5, "`number` of seeds, and of runs per scenario and policy")
	flags.StringVar(&e.policies, "policies", "lockloom,least,round-robin,random",
		"with -clock virtual: `names` of the policies to compare, separated by commas")
	flags.StringVar(&e.proxy, "proxy", "",
		"with -clock sockets: the proxy's `program` (default: lockloom in the directory of this program)")
	flags.StringVar(&e.against, "against", "",
		"with -clock sockets: the proxy's `program` of an earlier build, to compare with")
	e.files.addFlags(flags)
	help := "play scenarios with several seeds and policies, and compare the results"
	return cli.NewCommand("experiment", "experiment SCENARIO... [FLAGS]", help, flags, e.run)
}

// run plays the scenarios, prints the results, writes them to the files named by flags, and returns the error of
// checkRules.
func (e *experiment) run(ctx context.Context, args []string) error {
	if len(args) == 0 {
		return cli.UsageErrorf("expected at least one scenario")
	}
	if e.seeds < 1 || e.seeds > maxSeeds {
		return cli.UsageErrorf("-seeds: %d is not from 1 to %d", e.seeds, maxSeeds)
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

// checkRules returns errRunFailed if a run of this project's policy broke a rule or is void. The other policies are
// only there for comparison and may break rules.
func checkRules(page report.Page) error {
	for _, row := range page.Rows {
		if row.Policy == ourPolicy && (row.RulesBroken != [5]int{} || row.VoidSeeds > 0) {
			return errRunFailed
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

// play plays a scenario with every seed, and returns the results of each policy or program.
func (e *experiment) play(ctx context.Context, s *simulation.Scenario) ([][]*simulation.Result, error) {
	seeds := simulation.Seeds(e.firstSeed, e.seeds)
	switch e.clock {
	case clockVirtual:
		if e.proxy != "" || e.against != "" {
			return nil, cli.UsageErrorf("-proxy and -against require -clock sockets")
		}
		return s.Experiment(ctx, e.policyNames(), seeds)
	case clockSockets:
		return e.playPrograms(ctx, s, seeds)
	}
	return nil, cli.UsageErrorf("-clock: %q is not virtual or sockets", e.clock)
}

// playPrograms plays a scenario with -clock sockets. It plays each seed with all programs before the next one, so that
// changes of the machine's load affect all programs alike.
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
			result, err := s.PlayOnSockets(ctx, simulation.SocketOptions{
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

// programs returns the paths of the programs to compare, and their names in reports.
func (e *experiment) programs() (paths, names []string, err error) {
	current, err := proxyProgram(e.proxy)
	if err != nil {
		return nil, nil, err
	}
	if e.against == "" {
		return []string{current}, []string{ourPolicy}, nil
	}
	earlier, err := filepath.Abs(e.against)
	if err != nil {
		return nil, nil, err
	}
	if earlier == current {
		return nil, nil, errors.New("-against: the same program as -proxy")
	}
	return []string{current, earlier}, []string{ourPolicy, "earlier"}, nil
}
