// Package ctlcmd is the command line of lockloomctl.
package ctlcmd

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/peterbourgon/ff/v3/ffcli"

	"lockloom/internal/cli"
	"lockloom/internal/report"
	"lockloom/internal/simulation"
)

// Run runs one command and returns what the program ends with. Ctrl-C ends a command in order, leaving nothing behind.
func Run(args []string, out, errs io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return cli.Run(ctx, &ffcli.Command{Name: "lockloomctl", Subcommands: append([]*ffcli.Command{rehearsing(out, errs), experimenting(out, errs),
		loading(out), serving(out), subscribing(out), importing(out, errs), cli.Versions("lockloomctl", out)}, captures(out, errs)...)}, args, out, errs)
}

func flags(name string) *flag.FlagSet { return flag.NewFlagSet(name, flag.ContinueOnError) }

// one is a command on one scenario's file.
func one(words []string) (*simulation.Scenario, error) {
	if len(words) != 1 {
		return nil, cli.Wrong("it takes one scenario, not %d", len(words))
	}
	return simulation.Open(words[0])
}

// program is the proxy's: the one named, or the one beside this program.
func program(named string) (string, error) {
	if named != "" {
		return filepath.Abs(named)
	}
	own, err := os.Executable()
	if err != nil {
		return "", err
	}
	return filepath.Join(filepath.Dir(own), "lockloom"), nil
}

// progress draws how far a run is where errs is a terminal; elsewhere it is quiet.
func progress(errs io.Writer, what string) func(second, of int) {
	f, ok := errs.(*os.File)
	if !ok {
		return nil
	}
	if info, err := f.Stat(); err != nil || info.Mode()&os.ModeCharDevice == 0 {
		return nil
	}
	return func(second, of int) {
		end := "\r"
		if second >= of {
			end = "\r\033[K"
		}
		fmt.Fprintf(f, "%s: %d of %d s%s", what, second, of, end)
	}
}

// files are where a command writes what it found; empty: nowhere.
type files struct{ json, html, timeline string }

func (f *files) on(set *flag.FlagSet, timeline bool) {
	set.StringVar(&f.json, "json", "", "write the results to this `FILE` for machines")
	set.StringVar(&f.html, "html", "", "write a page with plots to this `FILE`")
	if timeline {
		set.StringVar(&f.timeline, "timeline", "", "write events and a line a second to this `FILE`")
	}
}

func (f *files) write(results any, page report.Page) error {
	for _, x := range []struct {
		name  string
		write func(io.Writer) error
	}{
		{f.json, func(w io.Writer) error { return report.JSON(w, results) }},
		{f.html, func(w io.Writer) error { return report.HTML(w, page) }},
		{f.timeline, func(w io.Writer) error { return page.Runs[0].Write(w) }},
	} {
		if x.name == "" {
			continue
		}
		if err := report.WriteFile(x.name, x.write); err != nil {
			return err
		}
	}
	return nil
}
