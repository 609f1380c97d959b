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
	maxServers = 12 // curves in one plot; of more servers the first are drawn
	colors     = 7  // of plotutil's palette, after which curves get other dashes
)

// statusChart is one quantity of a proxy's status of its servers.
type statusChart struct {
	title, unit string
	value       func(m *capture.Sample) float64
}

var statusCharts = []statusChart{
	{"Payoff of an attempt", "payoff", func(m *capture.Sample) float64 { return m.Payoff }},
	{"Limit", "attempts", func(m *capture.Sample) float64 { return m.Limit }},
	{"Attempts in flight", "attempts", func(m *capture.Sample) float64 { return float64(m.InFlight) }},
	{"Paused", "1: paused", paused},
	{"Attempts succeeded", sinceBefore, func(m *capture.Sample) float64 { return float64(m.Succeeded) }},
	{"Attempts failed or rejected", sinceBefore, func(m *capture.Sample) float64 {
		return float64(m.Failed + m.Rejected)
	}},
}

const sinceBefore = "since the moment before"

func paused(m *capture.Sample) float64 {
	if m.Paused {
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

// momentsByServer are a pool's moments by server, in order of time.
type momentsByServer map[int][]*capture.Sample

// ServerStatuses writes a page of a captured proxy's status of its servers over time, by pool.
func ServerStatuses(w io.Writer, title string, moments []capture.Sample) error {
	page := struct {
		Title string
		Pools []statusPool
	}{Title: title}
	pools := map[string]momentsByServer{}
	for i := range moments {
		m := &moments[i]
		if pools[m.Pool] == nil {
			pools[m.Pool] = momentsByServer{}
		}
		pools[m.Pool][m.Endpoint] = append(pools[m.Pool][m.Endpoint], m)
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

func newStatusPool(name string, moments momentsByServer) (statusPool, error) {
	pool := statusPool{Name: name, More: max(len(moments)-maxServers, 0)}
	for i := range statusCharts {
		text, err := statusCharts[i].draw(moments)
		if err != nil {
			return pool, err
		}
		// Safe unescaped: it is made here of numbers and the words above.
		pool.Plots = append(pool.Plots, template.HTML(text))
	}
	return pool, nil
}

func (c *statusChart) draw(moments momentsByServer) (string, error) {
	p := newPlot(c.title, c.unit)
	servers := slices.Sorted(maps.Keys(moments))
	for i, server := range servers[:min(len(servers), maxServers)] {
		var points plotter.XYs
		for _, m := range moments[server] {
			points = append(points, plotter.XY{X: m.At, Y: c.value(m)})
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return "", err
		}
		line.Color = plotutil.Color(i)
		line.Width = lineWidth
		line.Dashes = plotutil.Dashes(i / colors)
		p.Add(line)
		p.Legend.Add(fmt.Sprint(server), line)
	}
	p.Y.Min = 0
	return svg(p)
}
