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

func loading(out io.Writer) *ffcli.Command {
	set := flags("load")
	to := set.String("to", "", "the proxies' `addresses`, with commas between them")
	rate := set.Float64("rate", 0, "lookups a `second` (default: the scenario's, phases and all)")
	lasts := set.Float64("for", 0, "`seconds` (default: the scenario's)")
	seed := set.Uint64("seed", 1, "`number` that chance comes from")
	file := set.String("json", "", "write the results to this `FILE` for machines")
	return cli.New("load", "load SCENARIO -to ADDR[,ADDR...] [FLAGS]",
		"ask proxies that run already what a scenario's clients ask, in an open loop", set,
		func(ctx context.Context, words []string) error {
			s, err := one(words)
			if err != nil {
				return err
			}
			if *to == "" {
				return cli.Wrong("-to: missing")
			}
			if err := s.OverrideLoad(*rate, *lasts); err != nil {
				return err
			}
			r, err := s.Load(ctx, strings.Split(*to, ","), *seed)
			if err != nil {
				return err
			}
			if err := report.Result(out, r); err != nil {
				return err
			}
			if *file != "" {
				if err := report.WriteFile(*file, func(w io.Writer) error { return report.JSON(w, r) }); err != nil {
					return err
				}
			}
			if r.Lost > 0 || r.Mismatched > 0 || r.NoProxy > 0 || r.Void != "" {
				return fmt.Errorf("%d lost, %d spoilt, %d found no proxy", r.Lost, r.Mismatched, r.NoProxy)
			}
			return nil
		})
}
