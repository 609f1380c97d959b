package ctlcmd

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"lockloom/balance"
	"lockloom/internal/capture"
	"lockloom/internal/cli"
	"lockloom/internal/loadgen"
	"lockloom/internal/report"
	"lockloom/internal/simulation"
)

// captures are the commands on captures.
func captures(out, errs io.Writer) []*ffcli.Command {
	return []*ffcli.Command{replaying(out, errs), asking(out, errs), drawing(out, errs), differing(out, errs), excerpting(out, errs), supposing(out, errs), capturing(out)}
}

func openFile(name string) (io.ReadCloser, error) { return os.Open(name) }

// filesOf are the captures that a command was given: files, or folders of them.
func filesOf(words []string) (all []string, err error) {
	if len(words) == 0 {
		return nil, cli.Wrong("it takes a capture: a file, or a folder of them")
	}
	for _, w := range words {
		list, err := capture.Files(w)
		if err != nil {
			return nil, err
		}
		all = append(all, list...)
	}
	if len(all) == 0 {
		return nil, fmt.Errorf("%s: no captures", strings.Join(words, " "))
	}
	return all, nil
}

func player(errs io.Writer) *capture.Player {
	return &capture.Player{Warn: func(text string) { fmt.Fprintln(errs, text) }}
}

func replaying(out, errs io.Writer) *ffcli.Command {
	set := flags("replay")
	times := set.Int("times", 1, "replay it so `often`")
	loose := set.Bool("loose", false, "go on where orders differ")
	choices := set.Bool("choices", false, "print each choice, a line each")
	return cli.New("replay", "replay FILE|FOLDER... [FLAGS]", "have a capture's decisions again, and compare each with what was recorded", set,
		func(_ context.Context, words []string) error {
			files, err := filesOf(words)
			if err != nil {
				return err
			}
			for range *times {
				p := player(errs)
				p.Loose = *loose
				w := bufio.NewWriter(out)
				if *choices {
					p.After = func(pool *capture.Pool, x *capture.Call, o *balance.Actions) { choice(w, pool, x, o) }
				}
				began := time.Now()
				if err := p.Play(files, openFile); err != nil {
					return err
				}
				if err := w.Flush(); err != nil {
					return err
				}
				if !*choices {
					fmt.Fprintf(out, "%d calls, %d lookups, %.1f s of %s replayed in %.2f s: %d differ, %d passed over\n", p.Played, p.Lookups, p.Last-p.First, p.Began.Proxy,
						time.Since(began).Seconds(), p.Differ, p.Skipped)
				}
			}
			return nil
		})
}

// choice prints what was ordered, a line each, by call: two programs' lines can be compared.
func choice(w io.Writer, p *capture.Pool, x *capture.Call, o *balance.Actions) {
	if o == nil {
		return
	}
	for _, s := range o.Requests {
		switch {
		case s.Send:
			fmt.Fprintf(w, "%.6f %q ref %d sent to %d\n", x.Now, p.Name, s.Ref, s.Endpoint)
		case s.Reply != balance.NoReply:
			fmt.Fprintf(w, "%.6f %q ref %d answered %d\n", x.Now, p.Name, s.Ref, s.Reply)
		case s.CancelAttempt > 0:
			fmt.Fprintf(w, "%.6f %q ref %d calls off %d\n", x.Now, p.Name, s.Ref, s.CancelAttempt)
		}
	}
}

func asking(out, errs io.Writer) *ffcli.Command {
	set := flags("why")
	id := set.String("lookup", "", "the lookup's `id`")
	number := set.Uint64("number", 0, "or its `number` in its pool")
	first := set.String("first", "", "or the first that is `"+strings.Join(capture.Wanted, ", ")+"`")
	pool := set.String("pool", "", "the `pool` (default: whichever has it)")
	return cli.New("why", "why FILE|FOLDER... [FLAGS]", "tell the story of one lookup, and what was weighed", set,
		func(_ context.Context, words []string) error {
			files, err := filesOf(words)
			if err != nil {
				return err
			}
			s := &capture.Story{W: out, Pool: *pool, Number: *number, ID: capture.IDOf(*id)}
			switch {
			case *first != "":
				made, err := capture.Seen(*first)
				if err != nil {
					return cli.Wrong("-first: %w", err)
				}
				shows, p := made(), player(io.Discard)
				p.After = func(pool *capture.Pool, x *capture.Call, o *balance.Actions) {
					if s.Number > 0 || s.Pool != "" && s.Pool != pool.Name {
						return
					}
					if shows.After(pool, x, o); shows.Shown() {
						s.Pool, s.Number = pool.Name, shows.Lookup()
					}
				}
				if err := p.Play(files, openFile); err != nil {
					return err
				}
				if s.Number == 0 {
					return fmt.Errorf("none is %s", *first)
				}
			case (*id == "") == (*number == 0):
				return cli.Wrong("it takes one of -lookup, -number and -first")
			}
			p := player(errs)
			p.After = s.Tell
			if err := p.Play(files, openFile); err != nil {
				return err
			}
			if !s.Found {
				return errors.New("the capture has no such lookup")
			}
			return nil
		})
}

func drawing(out, errs io.Writer) *ffcli.Command {
	set := flags("timeline")
	every := set.Duration("every", time.Second, "`time` between two looks")
	html := set.String("html", "", "write a page with plots to this `FILE`")
	return cli.New("timeline", "timeline FILE|FOLDER... [FLAGS]", "tell what was believed of each backend over time", set,
		func(_ context.Context, words []string) error {
			files, err := filesOf(words)
			if err != nil {
				return err
			}
			line := &capture.Line{Every: every.Seconds()}
			p := player(errs)
			p.After = line.Tell
			if err := p.Play(files, openFile); err != nil {
				return err
			}
			if *html != "" {
				return report.WriteFile(*html, func(w io.Writer) error { return report.ServerStatuses(w, p.Began.Proxy, line.Moments) })
			}
			fmt.Fprintln(out, "pool\tat\tbackend\tout\tlimit\tpayoff\tpaused\tcold\thonoured\tfailed\tturned")
			for _, m := range line.Moments {
				fmt.Fprintf(out, "%s\t%.2f\t%d\t%d\t%.1f\t%.2f\t%v\t%v\t%d\t%d\t%d\n", m.Pool, m.At, m.Endpoint, m.InFlight, m.Limit, m.Payoff, m.Paused, m.WarmingUp, m.Honoured, m.Failed, m.Turned)
			}
			return nil
		})
}

func differing(out, errs io.Writer) *ffcli.Command {
	set := flags("diff")
	with := set.String("with", "", "another build's lockloomctl, a `program`")
	most := set.Int("most", 10, "`how many` differences are printed")
	return cli.New("diff", "diff FILE|FOLDER... -with PROGRAM", "show where another build would have chosen otherwise, told the same", set,
		func(ctx context.Context, words []string) error {
			files, err := filesOf(words)
			if err != nil {
				return err
			}
			if *with == "" {
				return cli.Wrong("-with: which program")
			}
			own, err := os.Executable()
			if err != nil {
				return err
			}
			var sides [2][]string
			for i, program := range []string{own, *with} {
				text, err := exec.CommandContext(ctx, program, append([]string{"replay", "-loose", "-choices"}, files...)...).Output()
				if err != nil {
					var exit *exec.ExitError
					if errors.As(err, &exit) {
						return fmt.Errorf("%s: %s", program, bytes.TrimSpace(exit.Stderr))
					}
					return fmt.Errorf("%s: %w", program, err)
				}
				sides[i] = strings.Split(strings.TrimSpace(string(text)), "\n")
			}
			n, shown := 0, 0
			for i := range max(len(sides[0]), len(sides[1])) {
				var a, b string
				if i < len(sides[0]) {
					a = sides[0][i]
				}
				if i < len(sides[1]) {
					b = sides[1][i]
				}
				if a == b {
					continue
				}
				if n++; shown < *most {
					shown++
					fmt.Fprintf(out, "this:  %s\nother: %s\n", a, b)
				}
			}
			fmt.Fprintf(out, "%d choices, %d differ; behind the first each build was told of what it had not chosen\n", len(sides[0]), n)
			return nil
		})
}

func excerpting(out, errs io.Writer) *ffcli.Command {
	set := flags("excerpt")
	shows := set.String("shows", "", "what it must still show: `"+strings.Join(capture.Wanted, ", ")+"`, or paused:BACKEND")
	pool := set.String("pool", "", "the `pool` (default: the platform's)")
	to := set.String("to", "", "write it to this `FILE`")
	return cli.New("excerpt", "excerpt FILE|FOLDER... -shows WHAT -to FILE", "cut a capture down to little that still shows something", set,
		func(_ context.Context, words []string) error {
			files, err := filesOf(words)
			if err != nil {
				return err
			}
			made, err := capture.Seen(*shows)
			if err != nil {
				return cli.Wrong("-shows: %w", err)
			}
			if *to == "" {
				return cli.Wrong("-to: which file")
			}
			e, err := capture.Shorten(files, openFile, *pool, made)
			if err != nil {
				return err
			}
			if err := report.WriteFile(*to, func(w io.Writer) error { return e.Write(w, cli.Version()) }); err != nil {
				return err
			}
			fmt.Fprintf(out, "%d calls that show it, after %d replays\n", len(e.Calls), e.Tries)
			return nil
		})
}

func supposing(out, errs io.Writer) *ffcli.Command {
	set := flags("whatif")
	policy := set.String("policy", "lockloom", "`name` of what decides: "+strings.Join(simulation.PolicyNames(), ", "))
	seed := set.Uint64("seed", 1, "`number` that the servers' chance comes from")
	scenario := set.String("scenario", "", "the `SCENARIO` whose servers, proxies and troubles are taken; its tariffs are the capture's by name")
	return cli.New("whatif", "whatif FILE|FOLDER... -scenario SCENARIO", "play a capture's arrivals against emulated servers: a model, not a record", set,
		func(_ context.Context, words []string) error {
			files, err := filesOf(words)
			if err != nil {
				return err
			}
			if *scenario == "" {
				return cli.Wrong("-scenario: which")
			}
			s, err := simulation.Open(*scenario)
			if err != nil {
				return err
			}
			if err := simulation.CheckPolicies([]string{*policy}); err != nil {
				return cli.Wrong("-policy: %w", err)
			}
			classes := map[string]int{}
			for i, t := range s.Classes {
				classes[t.Name] = i
			}
			var list []loadgen.Intent
			unknown := map[string]int{}
			p := player(errs)
			p.Loose = true
			p.After = func(pool *capture.Pool, x *capture.Call, _ *balance.Actions) {
				if x.Kind != capture.Take || x.Arrival.ClientRetry {
					return
				}
				name := pool.B.Deployment().Classes[x.Arrival.Class].Name
				class, ok := classes[name]
				if !ok {
					unknown[name]++
					return
				}
				list = append(list, loadgen.Intent{Number: len(list), At: x.Now - p.First, Class: class, Tenant: -1, Key: x.Arrival.Key, Work: cmp.Or(x.Arrival.ExpectedWork, s.Classes[class].Work)})
			}
			if err := p.Play(files, openFile); err != nil {
				return err
			}
			if len(unknown) > 0 {
				return fmt.Errorf("the scenario has no tariffs %v", unknown)
			}
			r, err := s.VirtualOf(*policy, simulation.Policies[*policy](), *seed, loadgen.SourceOf(list))
			if err != nil {
				return err
			}
			fmt.Fprintf(out, "A MODEL: %d captured arrivals against the servers of %s, under %s. What happened is in the capture alone.\n", len(list), s.Name, *policy)
			return report.Result(out, r)
		})
}

func capturing(out io.Writer) *ffcli.Command {
	set := flags("capture")
	long := set.Duration("for", 0, "turn it on for this `time`; 0: until -off")
	off := set.Bool("off", false, "turn it off")
	dump := set.Bool("dump", false, "write what is kept in memory")
	look := set.Bool("look", false, "change nothing, tell how it stands")
	return cli.New("capture", "capture ADDR [FLAGS]", "turn a running proxy's capture on or off, by its address for that", set,
		func(ctx context.Context, words []string) error {
			if len(words) != 1 {
				return cli.Wrong("it takes the address")
			}
			method, path := http.MethodPost, "/on?for="+long.String()
			switch {
			case *look:
				method, path = http.MethodGet, "/"
			case *off:
				path = "/off"
			case *dump:
				path = "/dump"
			}
			ctx, stop := context.WithTimeout(ctx, askFor)
			defer stop()
			r, err := http.NewRequestWithContext(ctx, method, "http://"+words[0]+path, nil)
			if err != nil {
				return err
			}
			answer, err := http.DefaultClient.Do(r)
			if err != nil {
				return err
			}
			defer answer.Body.Close()
			text, err := io.ReadAll(io.LimitReader(answer.Body, rowsMost))
			if err != nil {
				return err
			}
			if answer.StatusCode != http.StatusOK {
				return fmt.Errorf("%s: %s: %s", words[0], answer.Status, bytes.TrimSpace(text))
			}
			var s capture.Standing
			if err := json.Unmarshal(text, &s); err != nil {
				return err
			}
			fmt.Fprintf(out, "on %v, %d calls, %d gaps, %d bytes, %d segments written\n", s.On, s.Calls, s.Gaps, s.Bytes, s.Written)
			return nil
		})
}
