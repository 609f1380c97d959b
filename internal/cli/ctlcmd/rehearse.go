package ctlcmd

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"lockloom/balance"
	"lockloom/internal/capture"
	"lockloom/internal/cli"
	"lockloom/internal/report"
	"lockloom/internal/simulation"
)

// ourPolicy is the name of the policy that this project's decisions make.
const ourPolicy = "lockloom"

// The clocks that a scenario can be played on.
const (
	clockVirtual = "virtual" // the decisions alone, in virtual time
	clockSockets = "sockets" // whole programs, in real time
)

// captureSegmentBytes is the size of a captured simulation's files: one file for each proxy.
const captureSegmentBytes = 1 << 30

// errNotHeld ends a run in which a rule was broken; the table says which.
var errNotHeld = errors.New("it did not hold: a rule was broken, or the run is void")

// rehearsal is one call of rehearse.
type rehearsal struct {
	clock, policy, proxy, logs, captureDir string
	seed                                   uint64
	match                                  bool
	files                                  resultFiles
	out, errOut                            cli.Output
}

// rehearseCommand returns the sub-command that plays a scenario.
func rehearseCommand(out, errOut cli.Output) *ffcli.Command {
	r := &rehearsal{out: out, errOut: errOut}
	flags := cli.NewFlagSet("rehearse")
	flags.StringVar(&r.clock, "clock", clockVirtual,
		"`virtual`: the decisions alone, in virtual time; sockets: whole programs, in real time")
	flags.Uint64Var(&r.seed, "seed", 1, "`number` that chance comes from")
	flags.StringVar(&r.policy, "policy", ourPolicy,
		"`name` of what decides, in virtual time: "+strings.Join(simulation.PolicyNames(), ", "))
	flags.StringVar(&r.proxy, "proxy", "", "the proxy's `program`, on sockets (default: lockloom beside this program)")
	flags.StringVar(&r.logs, "logs", "", "put the proxies' logs in this `folder`")
	flags.StringVar(&r.captureDir, "capture", "",
		"in virtual time: capture each proxy's calls on the decisions into this `folder`")
	flags.BoolVar(&r.match, "match", false, "on sockets: play it in virtual time too, and compare")
	r.files.addFlags(flags)
	r.files.addTimelineFlag(flags)
	return cli.NewCommand("rehearse", "rehearse SCENARIO [FLAGS]", "play a scenario and check the rules", flags,
		func(ctx context.Context, args []string) error {
			s, err := openScenario(args)
			if err != nil {
				return err
			}
			if err := r.checkFlags(); err != nil {
				return err
			}
			return r.run(ctx, s)
		})
}

// checkFlags returns an error for flags that do not go together.
func (r *rehearsal) checkFlags() error {
	if err := simulation.CheckPolicies([]string{r.policy}); err != nil {
		return cli.UsageErrorf("-policy: %w", err)
	}
	switch {
	case r.captureDir != "" && r.clock == clockSockets:
		return cli.UsageErrorf("-capture: of the clock virtual; on sockets the operator file's capture table does it")
	case r.clock == clockSockets && r.policy != ourPolicy:
		return cli.UsageErrorf("-policy: on sockets -proxy names what decides")
	case r.clock == clockSockets:
		return nil
	case r.clock != clockVirtual:
		return cli.UsageErrorf("-clock: %q: it is virtual or sockets", r.clock)
	case r.match || r.proxy != "" || r.logs != "":
		return cli.UsageErrorf("-match, -proxy and -logs are of the clock sockets")
	case r.captureDir != "" && r.policy != ourPolicy:
		return cli.UsageErrorf("-capture: of the policy lockloom")
	}
	return nil
}

// run plays a scenario, prints and writes its result, and returns errNotHeld if a rule was broken.
func (r *rehearsal) run(ctx context.Context, s *simulation.Scenario) error {
	result, err := r.play(ctx, s)
	if err != nil {
		return err
	}
	if err := report.Result(r.out, result); err != nil {
		return err
	}
	matches := true
	if r.match {
		if matches, err = r.compareWithVirtual(s, result); err != nil {
			return err
		}
	}
	page := report.Page{Title: s.Name, About: s.About, Runs: []*simulation.Result{result}}
	if err := r.files.write(result, page); err != nil {
		return err
	}
	if !result.Passed() || result.Void != "" || !matches {
		return errNotHeld
	}
	return nil
}

// play plays a scenario on the clock that was chosen.
func (r *rehearsal) play(ctx context.Context, s *simulation.Scenario) (*simulation.Result, error) {
	if r.clock == clockSockets {
		program, err := proxyProgram(r.proxy)
		if err != nil {
			return nil, err
		}
		return s.Sockets(ctx, simulation.Sockets{
			Proxy:    program,
			Name:     r.policy,
			Seed:     r.seed,
			Logs:     r.logs,
			Progress: showProgress(r.errOut, s.Name),
		})
	}
	if r.captureDir == "" {
		return s.Virtual(r.policy, simulation.Policies[r.policy](), r.seed)
	}
	recorders := &simulationRecorders{dir: r.captureDir, bySeed: map[uint64]*capture.Recorder{}}
	result, err := s.Virtual(r.policy, recorders.newDecider, r.seed)
	return result, errors.Join(err, recorders.close())
}

// compareWithVirtual plays a scenario in virtual time too, prints where its result differs, and reports whether it does
// not.
func (r *rehearsal) compareWithVirtual(s *simulation.Scenario, onSockets *simulation.Result) (bool, error) {
	virtual, err := s.Virtual(r.policy, simulation.Policies[r.policy](), r.seed)
	if err != nil {
		return false, err
	}
	differences := s.Differences(onSockets, virtual)
	r.out.Printf("virtual time: value in time %.3f; beyond the scenario's tolerance: %d\n",
		virtual.ValueInTime, len(differences))
	for _, difference := range differences {
		r.out.Println(" ", difference)
	}
	return len(differences) == 0, nil
}

// simulationRecorders capture the decisions of a simulation's proxies.
type simulationRecorders struct {
	dir    string
	bySeed map[uint64]*capture.Recorder // by the number that a proxy's seed begins with
}

// newDecider is a simulation.Policy.
func (r *simulationRecorders) newDecider(d balance.Deployment, now float64) (simulation.Decider, error) {
	recorder, err := r.recorder(d.Seed >> 32) // the simulation numbers its proxies there
	if err != nil {
		return nil, err
	}
	balancer, err := balance.New(d, now)
	if err != nil {
		return nil, err
	}
	return recordedDecider{recorder.Balancer("", balancer)}, nil
}

// recorder returns the recorder of a proxy, which may have been launched before.
func (r *simulationRecorders) recorder(proxy uint64) (*capture.Recorder, error) {
	if recorder := r.bySeed[proxy]; recorder != nil {
		return recorder, nil
	}
	recorder, err := capture.Open(capture.Options{
		Dir:             r.dir,
		Proxy:           fmt.Sprint("n", proxy),
		Program:         cli.BuildVersion(),
		StartOn:         true,
		WaitForWriter:   true,
		MaxSegmentBytes: captureSegmentBytes,
		MaxSegmentAge:   time.Hour,
	})
	if err != nil {
		return nil, err
	}
	r.bySeed[proxy] = recorder
	return recorder, nil
}

// close completes the captures.
func (r *simulationRecorders) close() (err error) {
	for _, recorder := range r.bySeed {
		err = errors.Join(err, recorder.Close())
	}
	return err
}

// recordedDecider is a captured Balancer as what decides in a simulation.
type recordedDecider struct{ *capture.Balancer }

// RequestArrived makes the call of simulation.Decider.
func (d recordedDecider) RequestArrived(
	now float64, request balance.RequestInfo,
) (simulation.RequestHandle, *balance.Actions) {
	return d.Balancer.RequestArrived(now, request, "")
}
