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

// ourPolicy is the name of this project's own policy, which package balance implements.
const ourPolicy = "lockloom"

// The clocks that a scenario can be played on.
const (
	clockVirtual = "virtual" // only the decision code runs, in virtual time
	clockSockets = "sockets" // the proxy programs run with emulated servers on loopback sockets, in real time
)

// captureSegmentBytes is the maximum size of a capture segment, which is one file, for -capture. It is so large that
// the capture of each simulated proxy is a single file.
const captureSegmentBytes = 1 << 30

// errRunFailed is returned for a run that did not pass; the printed results show why.
var errRunFailed = errors.New("run failed: a rule was broken, the run is void, or the clocks' results differ")

// rehearsal holds the flags and outputs of the rehearse sub-command.
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
		"`virtual`: only the decision code runs, in virtual time; sockets: the proxy programs run, in real time")
	flags.Uint64Var(&r.seed, "seed", 1, "`seed` of the random numbers")
	flags.StringVar(&r.policy, "policy", ourPolicy,
		"with -clock virtual: `name` of the policy: "+strings.Join(simulation.PolicyNames(), ", "))
	flags.StringVar(&r.proxy, "proxy", "",
		"with -clock sockets: the proxy's `program` (default: lockloom in the directory of this program)")
	flags.StringVar(&r.logs, "logs", "", "with -clock sockets: write the proxies' logs to this `folder`")
	flags.StringVar(&r.captureDir, "capture", "",
		"with -clock virtual: capture the calls of each proxy's balancer to files in this `folder`")
	flags.BoolVar(&r.match, "match", false,
		"with -clock sockets: play the scenario in virtual time too, and compare the results")
	r.files.addFlags(flags)
	r.files.addTimelineFlag(flags)
	return cli.NewCommand("rehearse", "rehearse SCENARIO [FLAGS]",
		"play a scenario and check the rules on responses, repeated requests, drains and slow starts", flags,
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

// checkFlags returns a usage error for flags that cannot be combined.
func (r *rehearsal) checkFlags() error {
	if err := simulation.CheckPolicies([]string{r.policy}); err != nil {
		return cli.UsageErrorf("-policy: %w", err)
	}
	switch {
	case r.captureDir != "" && r.clock == clockSockets:
		return cli.UsageErrorf("-capture requires -clock virtual; with sockets, use the capture table of the operator file")
	case r.clock == clockSockets && r.policy != ourPolicy:
		return cli.UsageErrorf("-policy requires -clock virtual; with sockets, -proxy selects the program")
	case r.clock == clockSockets:
		return nil
	case r.clock != clockVirtual:
		return cli.UsageErrorf("-clock: %q is not virtual or sockets", r.clock)
	case r.match || r.proxy != "" || r.logs != "":
		return cli.UsageErrorf("-match, -proxy and -logs require -clock sockets")
	case r.captureDir != "" && r.policy != ourPolicy:
		return cli.UsageErrorf("-capture requires -policy lockloom")
	}
	return nil
}

// run plays a scenario, prints and writes its result, and returns errRunFailed if the run did not pass.
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
		return errRunFailed
	}
	return nil
}

// play plays a scenario on the clock that -clock selects.
func (r *rehearsal) play(ctx context.Context, s *simulation.Scenario) (*simulation.Result, error) {
	if r.clock == clockSockets {
		program, err := proxyProgram(r.proxy)
		if err != nil {
			return nil, err
		}
		return s.PlayOnSockets(ctx, simulation.SocketOptions{
			Proxy:    program,
			Name:     r.policy,
			Seed:     r.seed,
			Logs:     r.logs,
			Progress: showProgress(r.errOut, s.Name),
		})
	}
	if r.captureDir == "" {
		return s.PlayVirtual(r.policy, simulation.Policies[r.policy](), r.seed)
	}
	recorders := &simulationRecorders{dir: r.captureDir, byProxy: map[uint64]*capture.Recorder{}}
	result, err := s.PlayVirtual(r.policy, recorders.newDecider, r.seed)
	return result, errors.Join(err, recorders.close())
}

// compareWithVirtual plays a scenario in virtual time too, prints the differences that exceed the scenario's tolerance,
// and reports whether there are none.
func (r *rehearsal) compareWithVirtual(s *simulation.Scenario, onSockets *simulation.Result) (bool, error) {
	virtual, err := s.PlayVirtual(r.policy, simulation.Policies[r.policy](), r.seed)
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
	dir     string
	byProxy map[uint64]*capture.Recorder // by the proxy's number
}

// newDecider is a simulation.Policy: it returns a balancer whose calls are captured.
func (r *simulationRecorders) newDecider(d balance.Deployment, now float64) (simulation.Decider, error) {
	recorder, err := r.recorder(d.Seed >> 32) // the simulation puts the proxy's number in the upper half of the seed
	if err != nil {
		return nil, err
	}
	balancer, err := balance.New(d, now)
	if err != nil {
		return nil, err
	}
	return recordedDecider{recorder.Balancer("", balancer)}, nil
}

// recorder returns the recorder of a proxy, the same one for each launch of that proxy.
func (r *simulationRecorders) recorder(proxy uint64) (*capture.Recorder, error) {
	if recorder := r.byProxy[proxy]; recorder != nil {
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
	r.byProxy[proxy] = recorder
	return recorder, nil
}

// close closes the recorders, which completes their captures.
func (r *simulationRecorders) close() (err error) {
	for _, recorder := range r.byProxy {
		err = errors.Join(err, recorder.Close())
	}
	return err
}

// recordedDecider adapts a captured Balancer to simulation.Decider.
type recordedDecider struct{ *capture.Balancer }

// RequestArrived implements simulation.Decider. Simulated requests have no id to record.
func (d recordedDecider) RequestArrived(
	now float64, request balance.RequestInfo,
) (simulation.RequestHandle, *balance.Actions) {
	return d.Balancer.RequestArrived(now, request, "")
}
