package ctlcmd

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"lockloom/balance"
	"lockloom/internal/capture"
	"lockloom/internal/cli"
	"lockloom/internal/report"
	"lockloom/internal/simulation"
)

// errNotHeld ends a run in which a rule was broken; the table has said which.
var errNotHeld = errors.New("it did not hold: a rule was broken, or the run is void")

func rehearsing(out, errs io.Writer) *ffcli.Command {
	set := flags("rehearse")
	clock := set.String("clock", "virtual", "`virtual`: the decisions alone, in virtual time; sockets: whole programs, in real time")
	seed := set.Uint64("seed", 1, "`number` that chance comes from")
	policy := set.String("policy", "lockloom", "`name` of what decides, in virtual time: "+strings.Join(simulation.PolicyNames(), ", "))
	proxy := set.String("proxy", "", "the proxy's `program`, on sockets (default: lockloom beside this program)")
	logs := set.String("logs", "", "put the proxies' logs in this `folder`")
	folder := set.String("capture", "", "in virtual time: capture each proxy's calls on the decisions into this `folder`")
	match := set.Bool("match", false, "on sockets: play it in virtual time too, and compare")
	var to files
	to.on(set, true)
	return cli.New("rehearse", "rehearse SCENARIO [FLAGS]", "play a scenario and check the rules", set,
		func(ctx context.Context, words []string) error {
			s, err := one(words)
			if err != nil {
				return err
			}
			if err := simulation.CheckPolicies([]string{*policy}); err != nil {
				return cli.Wrong("-policy: %w", err)
			}
			var r *simulation.Result
			switch {
			case *folder != "" && *clock == "sockets":
				return cli.Wrong("-capture: of the clock virtual; on sockets the operator file's capture table does it")
			case *clock == "sockets" && *policy != "lockloom":
				return cli.Wrong("-policy: on sockets -proxy names what decides")
			case *clock == "sockets":
				path, err := program(*proxy)
				if err != nil {
					return err
				}
				r, err = s.Sockets(ctx, simulation.Sockets{Proxy: path, Name: *policy, Seed: *seed, Logs: *logs, Progress: progress(errs, s.Name)})
				if err != nil {
					return err
				}
			case *clock != "virtual":
				return cli.Wrong("-clock: %q: it is virtual or sockets", *clock)
			case *match || *proxy != "" || *logs != "":
				return cli.Wrong("-match, -proxy and -logs are of the clock sockets")
			default:
				played := simulation.Policies[*policy]()
				shut := func() error { return nil }
				if *folder != "" {
					if *policy != "lockloom" {
						return cli.Wrong("-capture: of the policy lockloom")
					}
					played, shut = captured(*folder)
				}
				r, err = s.Virtual(*policy, played, *seed)
				if err := errors.Join(err, shut()); err != nil {
					return err
				}
			}
			if err := report.Result(out, r); err != nil {
				return err
			}
			differs := false
			if *match {
				v, err := s.Virtual(*policy, simulation.Policies[*policy](), *seed)
				if err != nil {
					return err
				}
				list := s.Differences(r, v)
				differs = len(list) > 0
				fmt.Fprintf(out, "virtual time: value in time %.3f; beyond the scenario's tolerance: %d\n", v.ValueInTime, len(list))
				for _, line := range list {
					fmt.Fprintln(out, " ", line)
				}
			}
			if err := to.write(r, report.Page{Title: s.Name, About: s.About, Runs: []*simulation.Result{r}}); err != nil {
				return err
			}
			if !r.Passed() || r.Void != "" || differs {
				return errNotHeld
			}
			return nil
		})
}

// captured is the policy lockloom with each proxy's calls captured, and what ends it.
func captured(folder string) (simulation.Policy, func() error) {
	all := map[uint64]*capture.Recorder{}
	policy := func(d balance.Deployment, now float64) (simulation.Decider, error) {
		number := d.Seed >> 32 // see rehearse's start
		if all[number] == nil {
			r, err := capture.Open(capture.Options{Dir: folder, Name: fmt.Sprint("n", number), Program: cli.Version(), On: true, Wait: true, Segment: 1 << 30, Age: time.Hour})
			if err != nil {
				return nil, err
			}
			all[number] = r
		}
		b, err := balance.New(d, now)
		if err != nil {
			return nil, err
		}
		return recorded{all[number].Balancer("", b)}, nil
	}
	return policy, func() (err error) {
		for _, r := range all {
			err = errors.Join(err, r.Close())
		}
		return err
	}
}

// recorded is a captured Balancer as what decides in a rehearsal.
type recorded struct{ *capture.Balancer }

func (r recorded) RequestArrived(now float64, a balance.RequestInfo) (simulation.RequestHandle, *balance.Actions) {
	return r.Balancer.RequestArrived(now, a, "")
}
