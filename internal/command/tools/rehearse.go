package tools

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"lockloom/internal/command"
	"lockloom/internal/rehearse"
	"lockloom/internal/report"
)

// errNotHeld ends a run in which a rule was broken; the table has said which.
var errNotHeld = errors.New("it did not hold: a rule was broken, or the run is void")

func rehearsing(out, errs io.Writer) *ffcli.Command {
	set := flags("rehearse")
	clock := set.String("clock", "virtual", "`virtual`: the decisions alone, in virtual time; sockets: whole programs, in real time")
	seed := set.Uint64("seed", 1, "`number` that chance comes from")
	policy := set.String("policy", "lockloom", "`name` of what decides, in virtual time: "+strings.Join(rehearse.PolicyNames(), ", "))
	proxy := set.String("proxy", "", "the proxy's `program`, on sockets (default: lockloom beside this program)")
	logs := set.String("logs", "", "put the proxies' logs in this `folder`")
	match := set.Bool("match", false, "on sockets: play it in virtual time too, and compare")
	var to files
	to.on(set, true)
	return command.New("rehearse", "rehearse SCENARIO [FLAGS]", "play a scenario and check the rules", set,
		func(ctx context.Context, words []string) error {
			s, err := one(words)
			if err != nil {
				return err
			}
			if err := rehearse.Fit([]string{*policy}); err != nil {
				return command.Wrong("-policy: %w", err)
			}
			var r *rehearse.Result
			switch {
			case *clock == "sockets" && *policy != "lockloom":
				return command.Wrong("-policy: on sockets -proxy names what decides")
			case *clock == "sockets":
				path, err := program(*proxy)
				if err != nil {
					return err
				}
				r, err = s.Sockets(ctx, rehearse.Sockets{Proxy: path, Name: *policy, Seed: *seed, Logs: *logs, Progress: progress(errs, s.Name)})
				if err != nil {
					return err
				}
			case *clock != "virtual":
				return command.Wrong("-clock: %q: it is virtual or sockets", *clock)
			case *match || *proxy != "" || *logs != "":
				return command.Wrong("-match, -proxy and -logs are of the clock sockets")
			default:
				if r, err = s.Virtual(*policy, rehearse.Policies[*policy](), *seed); err != nil {
					return err
				}
			}
			if err := report.One(out, r); err != nil {
				return err
			}
			differs := false
			if *match {
				v, err := s.Virtual(*policy, rehearse.Policies[*policy](), *seed)
				if err != nil {
					return err
				}
				list := s.Differs(r, v)
				differs = len(list) > 0
				fmt.Fprintf(out, "virtual time: value in time %.3f; beyond the scenario's tolerance: %d\n", v.Share, len(list))
				for _, line := range list {
					fmt.Fprintln(out, " ", line)
				}
			}
			if err := to.write(r, report.Page{Title: s.Name, About: s.About, Runs: []*rehearse.Result{r}}); err != nil {
				return err
			}
			if !r.Kept() || r.Void != "" || differs {
				return errNotHeld
			}
			return nil
		})
}
