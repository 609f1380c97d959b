// Package report shows what rehearsals came to: tables as text, results as JSON, and a page with plots that needs nothing
// else. Files appear whole or not at all.
package report

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"fmt"
	"html/template"
	"image/color"
	"io"
	"os"
	"path/filepath"
	"strings"
	"text/tabwriter"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"lockloom/internal/simulation"
)

const (
	plotWide = 22 * vg.Centimeter
	plotHigh = 6.5 * vg.Centimeter

	legendRoom = 1.2 // of the curves' own width
)

// File writes a file whole: under another name first, so that nobody ever finds half of it.
func File(name string, write func(w io.Writer) error) error {
	f, err := os.CreateTemp(filepath.Dir(name), "."+filepath.Base(name)+".*")
	if err != nil {
		return err
	}
	defer os.Remove(f.Name()) // once renamed there is none
	if err := write(f); err != nil {
		f.Close()
		return fmt.Errorf("%s: %w", name, err)
	}
	if err := f.Chmod(0o644); err != nil {
		f.Close()
		return err
	}
	if err := f.Close(); err != nil {
		return err
	}
	return os.Rename(f.Name(), name)
}

// JSON writes anything as JSON for machines.
func JSON(w io.Writer, v any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", " ")
	return enc.Encode(v)
}

// Broken names the rules that were broken and how often.
func Broken(counts [5]int) string {
	var list []string
	for rule, n := range counts {
		if n > 0 {
			list = append(list, fmt.Sprintf("rule %d %dx", rule, n))
		}
	}
	if len(list) == 0 {
		return "none"
	}
	return strings.Join(list, ", ")
}

// Table writes a row for each policy of an experiment.
func Table(w io.Writer, rows []simulation.Row) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "scenario\tpolicy\tseeds\tvalue in time\tworst\tbest\tspread\tin time\tlate\tunserved\tdismissed\tforfeited\tlost\tlegs\twaste\tp50 ms\tp99 ms\trules broken")
	for _, r := range rows {
		fmt.Fprintf(t, "%s\t%s\t%s\t%.3f\t%.3f\t%.3f\t%.3f\t%.1f%%\t%.1f%%\t%.1f%%\t%.1f%%\t%.2f%%\t%d\t%.2f\t%.1f%%\t%.1f\t%.1f\t%s\n", r.Scenario, r.Policy,
			seeds(r), r.ValueInTime, r.MinValueInTime, r.MaxValueInTime, r.ValueStdDev, 100*r.InTime, 100*r.Late, 100*r.Unserved, 100*r.Rejected, 100*r.Failed, r.Lost,
			r.AttemptsPerTry, 100*r.WastedFraction, 1000*r.P50, 1000*r.P99, Broken(r.RulesBroken))
	}
	return t.Flush()
}

func seeds(r simulation.Row) string {
	if r.VoidSeeds > 0 {
		return fmt.Sprintf("%d (%d void)", r.Seeds, r.VoidSeeds)
	}
	return fmt.Sprint(r.Seeds)
}

// One writes one run's table, class by class.
func One(w io.Writer, r *simulation.Result) error {
	fmt.Fprintf(w, "%s, %s clock, %s, seed %d, took %.1f s\n\n", r.Scenario, r.Clock, r.Policy, r.Seed, r.WallTime)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "tariff\tlookups\tin time\tvalue in time\tp50 ms\tp99 ms")
	for _, row := range r.Classes {
		fmt.Fprintf(t, "%s\t%d\t%d\t%.3f\t%.1f\t%.1f\n", row.Name, row.Intents, row.InTime, row.ValueInTime, 1000*row.P50, 1000*row.P99)
	}
	fmt.Fprintf(t, "all\t%d\t%d\t%.3f\t%.1f\t%.1f\n", r.Intents, r.InTime, r.ValueInTime, 1000*r.P50, 1000*r.P99)
	if err := t.Flush(); err != nil {
		return err
	}
	fmt.Fprintf(w, "\nlookups: %d in time, %d late, %d unserved\n", r.InTime, r.Late, r.Unserved)
	fmt.Fprintf(w, "tries: %d, of them %d honoured, %d dismissed, %d forfeited, %d lost, %d lost with their proxy, %d gone; %d found no proxy\n",
		r.Tries, r.Succeeded, r.Rejected, r.Failed, r.Lost, r.LostWithProxy, r.ClientGone, r.NoProxy)
	if r.Attempts == 0 { // no server was seen: the proxies ran already
		fmt.Fprintf(w, "rig: tries sent %.2f ms late at the 99th percentile, %.1f ms at most\n", 1000*r.RigLateP99, 1000*r.RigLateMax)
		fmt.Fprintln(w, "rules broken, of what clients can see:", Broken(r.RulesBroken))
		return void(w, r)
	}
	fmt.Fprintf(w, "servers: %d legs, %.2f a try; %.1f s of work, %.1f%% of it for nobody; %d repeats dropped, %d pushed over\n", r.Attempts,
		float64(r.Attempts)/float64(max(r.Tries, 1)), r.Work, 100*r.WastedFraction, r.DuplicatesDropped, r.Crashes)
	if r.Clock == "sockets" {
		fmt.Fprintf(w, "rig: tries sent %.2f ms late at the 99th percentile, %.1f ms at most; proxies' memory %.1f MB at most\n", 1000*r.RigLateP99, 1000*r.RigLateMax, r.ProxyMemoryMB)
	}
	fmt.Fprintln(w, "rules broken:", Broken(r.RulesBroken))
	return void(w, r)
}

// void ends a run's table: the first breaches in words, and why the figures count for nothing, if they do.
func void(w io.Writer, r *simulation.Result) (err error) {
	for _, line := range r.FirstBreaches {
		_, err = fmt.Fprintln(w, " ", line)
	}
	if r.Void != "" {
		_, err = fmt.Fprintln(w, "void:", r.Void)
	}
	return err
}

// line is one curve of a plot.
type line struct {
	name  string
	shade color.Color
	value func(s simulation.Second) float64
}

var (
	green  = color.NRGBA{0x2a, 0x7d, 0x46, 0xff}
	yellow = color.NRGBA{0xc7, 0x8a, 0x0a, 0xff}
	red    = color.NRGBA{0xb3, 0x2d, 0x2d, 0xff}
	blue   = color.NRGBA{0x2b, 0x5c, 0x9e, 0xff}
	grey   = color.NRGBA{0x77, 0x77, 0x77, 0xff}
	purple = color.NRGBA{0x6d, 0x3b, 0x8f, 0xff}
	black  = color.NRGBA{0x22, 0x22, 0x22, 0xff}
)

// charts are the plots of one run.
var charts = []struct {
	title, unit string
	lines       []line
}{
	{"Lookups a second, by what became of them", "a second", []line{
		{"asked", black, func(s simulation.Second) float64 { return float64(s.Intents) }},
		{"in time", green, func(s simulation.Second) float64 { return float64(s.InTime) }},
		{"late", yellow, func(s simulation.Second) float64 { return float64(s.Late) }},
		{"dismissed", blue, func(s simulation.Second) float64 { return float64(s.Rejected) }},
		{"forfeited", purple, func(s simulation.Second) float64 { return float64(s.Failed) }},
		{"lost", red, func(s simulation.Second) float64 { return float64(s.Lost) }},
		{"legs", grey, func(s simulation.Second) float64 { return float64(s.Attempts) }}}},
	{"Time of honoured tries, from when they were meant to be sent", "ms", []line{
		{"median", green, func(s simulation.Second) float64 { return 1000 * s.P50 }},
		{"99th percentile", red, func(s simulation.Second) float64 { return 1000 * s.P99 }}}},
	{"Servers by state", "servers", []line{
		{"ready", green, func(s simulation.Second) float64 { return float64(s.Ready) }},
		{"cold", blue, func(s simulation.Second) float64 { return float64(s.WarmingUp) }},
		{"choked", yellow, func(s simulation.Second) float64 { return float64(s.Degraded) }},
		{"draining", grey, func(s simulation.Second) float64 { return float64(s.Draining) }},
		{"standing still", purple, func(s simulation.Second) float64 { return float64(s.Paused) }},
		{"silent", black, func(s simulation.Second) float64 { return float64(s.Unreachable) }},
		{"down", red, func(s simulation.Second) float64 { return float64(s.Down) }}}},
	{"Lookups waiting at servers", "lookups", []line{
		{"waiting", blue, func(s simulation.Second) float64 { return float64(s.Waiting) }}}},
}

// Page is a report of one run or several.
type Page struct {
	Title string
	About string
	Rows  []simulation.Row
	Runs  []*simulation.Result
}

//go:embed page.html
var pageText string

var page = template.Must(template.New("page").Funcs(template.FuncMap{
	"percent": func(x float64) string { return fmt.Sprintf("%.1f%%", 100*x) },
	"share":   func(x float64) string { return fmt.Sprintf("%.3f", x) },
	"ms":      func(x float64) string { return fmt.Sprintf("%.1f", 1000*x) },
	"broken":  Broken,
	"seeds":   seeds,
}).Parse(pageText))

// HTML writes the page.
func HTML(w io.Writer, p Page) error {
	type run struct {
		*simulation.Result
		Plots []template.HTML
	}
	in := struct {
		Page
		Runs []run
	}{Page: p}
	for _, r := range p.Runs {
		one := run{Result: r}
		for i := range charts {
			svg, err := chart(i, r)
			if err != nil {
				return err
			}
			one.Plots = append(one.Plots, template.HTML(svg)) // made here of numbers and the words above
		}
		in.Runs = append(in.Runs, one)
	}
	return page.Execute(w, in)
}

// chart draws one plot of a run.
func chart(i int, r *simulation.Result) (string, error) {
	c := &charts[i]
	p := framed(c.title, c.unit)
	for _, l := range c.lines {
		points, any := make(plotter.XYs, len(r.Seconds)), false
		for k, s := range r.Seconds {
			points[k].X, points[k].Y = float64(s.At), l.value(s)
			any = any || points[k].Y != 0
		}
		if !any || len(points) == 0 { // a line along the bottom only hides others
			continue
		}
		curve, err := plotter.NewLine(points)
		if err != nil {
			return "", err
		}
		curve.Color, curve.Width = l.shade, vg.Points(1.2)
		p.Add(curve)
		p.Legend.Add(l.name, curve)
	}
	p.Y.Min = 0
	return drawn(p)
}

func framed(title, unit string) *plot.Plot {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "s", unit
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	return p
}

// drawn is a plot as it stands in a page.
func drawn(p *plot.Plot) (string, error) {
	p.X.Max *= legendRoom // the legend stands beside the curves, not over them
	p.Legend.TextStyle.Font.Size = vg.Points(9)
	canvas := vgsvg.New(plotWide, plotHigh)
	p.Draw(draw.New(canvas))
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return "", err
	}
	text := out.String()
	if at := strings.Index(text, "<svg"); at > 0 { // without the declaration, which has no place in a page
		text = text[at:]
	}
	return text, nil
}
