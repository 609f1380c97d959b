package report

import (
	_ "embed"
	"html/template"
	"image/color"
	"io"

	"gonum.org/v1/plot/plotter"

	"lockloom/internal/simulation"
)

var (
	green  = color.NRGBA{0x2a, 0x7d, 0x46, 0xff}
	yellow = color.NRGBA{0xc7, 0x8a, 0x0a, 0xff}
	red    = color.NRGBA{0xb3, 0x2d, 0x2d, 0xff}
	blue   = color.NRGBA{0x2b, 0x5c, 0x9e, 0xff}
	gray   = color.NRGBA{0x77, 0x77, 0x77, 0xff}
	purple = color.NRGBA{0x6d, 0x3b, 0x8f, 0xff}
	black  = color.NRGBA{0x22, 0x22, 0x22, 0xff}
)

// curve is the legend entry and the color of one curve of a chart.
type curve struct {
	name  string
	color color.Color
}

// chart is a plot of some quantities of a run over time.
type chart struct {
	title, unit string
	curves      []curve
	values      func(s simulation.Second) []float64 // one for each curve
}

// charts are the plots of each run on a page.
var charts = []chart{
	{
		title: "Requests a second, by outcome",
		unit:  "a second",
		curves: []curve{
			{"asked", black}, {"in time", green}, {"late", yellow}, {"rejected", blue}, {"failed", purple},
			{"lost", red}, {"attempts", gray},
		},
		values: func(s simulation.Second) []float64 {
			return toFloats(s.Intents, s.InTime, s.Late, s.Rejected, s.Failed,
				s.Lost, s.Attempts)
		},
	},
	{
		title:  "Time of successful tries, from when they were meant to be sent",
		unit:   "ms",
		curves: []curve{{"median", green}, {"99th percentile", red}},
		values: func(s simulation.Second) []float64 { return []float64{1000 * s.P50, 1000 * s.P99} },
	},
	{
		title: "Servers by state",
		unit:  "servers",
		curves: []curve{
			{"ready", green}, {"warming up", blue}, {"degraded", yellow}, {"draining", gray}, {"paused", purple},
			{"unreachable", black}, {"down", red},
		},
		values: func(s simulation.Second) []float64 {
			return toFloats(s.Ready, s.WarmingUp, s.Degraded, s.Draining, s.Paused,
				s.Unreachable, s.Down)
		},
	},
	{
		title:  "Requests waiting at servers",
		unit:   "requests",
		curves: []curve{{"waiting", blue}},
		values: func(s simulation.Second) []float64 { return toFloats(s.Queued) },
	},
}

func toFloats(list ...int) []float64 {
	values := make([]float64, len(list))
	for i, n := range list {
		values[i] = float64(n)
	}
	return values
}

// Page is the content of an HTML report on one or more runs.
type Page struct {
	Title string
	About string                     // a paragraph below the title
	Rows  []simulation.PolicySummary // of the summary table; empty: no table
	Runs  []*simulation.Result       // shown with their plots and events
}

//go:embed page.html
var pageText string

var pageTemplate = template.Must(template.New("page").Funcs(template.FuncMap{
	"percent":     percent,
	"fraction":    fraction,
	"ms":          milliseconds,
	"rulesBroken": RulesBroken,
	"seeds":       seeds,
}).Parse(pageText))

// HTML writes p as an HTML page that needs no other file.
func HTML(w io.Writer, p Page) error {
	type run struct {
		*simulation.Result
		Plots []template.HTML
	}
	content := struct {
		Page
		Runs []run
	}{Page: p}
	for _, r := range p.Runs {
		withPlots := run{Result: r}
		for i := range charts {
			text, err := charts[i].draw(r.Seconds)
			if err != nil {
				return err
			}
			// Safe to insert unescaped: the SVG is generated from numbers and the constant texts of charts.
			withPlots.Plots = append(withPlots.Plots, template.HTML(text))
		}
		content.Runs = append(content.Runs, withPlots)
	}
	return pageTemplate.Execute(w, content)
}

// draw returns the chart of a run as SVG. Curves that are zero throughout are omitted: they would only cover others.
func (c *chart) draw(seconds []simulation.Second) (string, error) {
	p := newPlot(c.title, c.unit)
	for i, curve := range c.curves {
		points, allZero := c.points(i, seconds)
		if allZero {
			continue
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return "", err
		}
		line.Color = curve.color
		line.Width = lineWidth
		p.Add(line)
		p.Legend.Add(curve.name, line)
	}
	p.Y.Min = 0
	return svg(p)
}

// points returns the points of the i-th curve, and whether all of them are zero.
func (c *chart) points(i int, seconds []simulation.Second) (points plotter.XYs, allZero bool) {
	points = make(plotter.XYs, len(seconds))
	allZero = true
	for k, s := range seconds {
		points[k].X = float64(s.At)
		points[k].Y = c.values(s)[i]
		allZero = allZero && points[k].Y == 0
	}
	return points, allZero
}
