package report

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"maps"
	"slices"

	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"

	"lockloom/internal/capture"
)

const (
	maxServers  = 12 // curves in one plot; servers after the first maxServers, by endpoint, are not drawn
	paletteSize = 7  // colors in plotutil's palette; further curves reuse them with another dash pattern
)

// statusChart is a plot of one value of a proxy's servers over time, with a curve for each server.
type statusChart struct {
	title, unit string
	value       func(s *capture.Sample) float64
}

var statusCharts = []statusChart{
	{"Payoff of an attempt", "payoff", func(s *capture.Sample) float64 { return s.Payoff }},
	{"Limit", "attempts", func(s *capture.Sample) float64 { return s.Limit }},
	{"Attempts in flight", "attempts", func(s *capture.Sample) float64 { return float64(s.InFlight) }},
	{"Paused", "1: paused", paused},
	{"Attempts succeeded", sincePreviousSample, func(s *capture.Sample) float64 { return float64(s.Succeeded) }},
	{"Attempts failed or rejected", sincePreviousSample, func(s *capture.Sample) float64 {
		return float64(s.Failed + s.Rejected)
	}},
}

// sincePreviousSample is the y-axis label of charts that count attempts since the server's previous sample.
const sincePreviousSample = "since the moment before"

func paused(s *capture.Sample) float64 {
	if s.Paused {
		return 1
	}
	return 0
}

//go:embed statuses.html
var statusPageText string

var statusPage = template.Must(template.New("statuses").Parse(statusPageText))

// statusPool is the part of the page for one pool.
type statusPool struct {
	Name  string
	More  int // servers that are not drawn
	Plots []template.HTML
}

// samplesByServer holds a pool's samples by endpoint, in order of time.
type samplesByServer map[int][]*capture.Sample

// ServerStatuses writes an HTML page with plots of the servers' status at a captured proxy over time, by pool.
func ServerStatuses(w io.Writer, title string, samples []capture.Sample) error {
	page := struct {
		Title string
		Pools []statusPool
	}{Title: title}
	pools := map[string]samplesByServer{}
	for i := range samples {
		s := &samples[i]
		if pools[s.Pool] == nil {
			pools[s.Pool] = samplesByServer{}
		}
		pools[s.Pool][s.Endpoint] = append(pools[s.Pool][s.Endpoint], s)
	}
	for _, name := range slices.Sorted(maps.Keys(pools)) {
		pool, err := newStatusPool(name, pools[name])
		if err != nil {
			return err
		}
		page.Pools = append(page.Pools, pool)
	}
	return statusPage.Execute(w, page)
}

func newStatusPool(name string, samples samplesByServer) (statusPool, error) {
	pool := statusPool{Name: name, More: max(len(samples)-maxServers, 0)}
	for i := range statusCharts {
		text, err := statusCharts[i].draw(samples)
		if err != nil {
			return pool, err
		}
		// Safe to insert unescaped: the SVG is generated from numbers and the constant texts of statusCharts.
		pool.Plots = append(pool.Plots, template.HTML(text))
	}
	return pool, nil
}

// draw returns the chart of a pool as SVG.
func (c *statusChart) draw(samples samplesByServer) (string, error) {
	p := newPlot(c.title, c.unit)
	servers := slices.Sorted(maps.Keys(samples))
	for i, server := range servers[:min(len(servers), maxServers)] {
		var points plotter.XYs
		for _, s := range samples[server] {
			points = append(points, plotter.XY{X: s.At, Y: c.value(s)})
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return "", err
		}
		line.Color = plotutil.Color(i)
		line.Width = lineWidth
		line.Dashes = plotutil.Dashes(i / paletteSize)
		p.Add(line)
		p.Legend.Add(fmt.Sprint(server), line)
	}
	p.Y.Min = 0
	return svg(p)
}
