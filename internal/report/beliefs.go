package report

import (
	"fmt"
	"html/template"
	"io"
	"maps"
	"slices"

	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"lockloom/internal/capture"
)

// backendsMost curves are in one plot; of more the first are drawn.
const backendsMost = 12

var beliefs = []struct {
	title, unit string
	value       func(m *capture.Sample) float64
}{
	{"Payoff of a leg", "payoff", func(m *capture.Sample) float64 { return m.Payoff }},
	{"Limit", "legs", func(m *capture.Sample) float64 { return m.Limit }},
	{"Legs out", "legs", func(m *capture.Sample) float64 { return float64(m.InFlight) }},
	{"Paused", "1: paused", func(m *capture.Sample) float64 {
		if m.Paused {
			return 1
		}
		return 0
	}},
	{"Legs honoured", "since the look before", func(m *capture.Sample) float64 { return float64(m.Succeeded) }},
	{"Legs failed or turned away", "since the look before", func(m *capture.Sample) float64 { return float64(m.Failed + m.Rejected) }},
}

var beliefsPage = template.Must(template.New("beliefs").Parse(`<!doctype html><meta charset="utf-8"><title>{{.Title}}</title>
<style>body{font:14px sans-serif;max-width:70em;margin:1em auto}svg{max-width:100%;height:auto}</style>
<h1>What {{.Title}} believed</h1>
{{range .Pools}}<h2>Pool {{printf "%q" .Name}}</h2>{{if .More}}<p>{{.More}} more backends are not drawn.</p>{{end}}{{range .Plots}}{{.}}{{end}}{{end}}
`))

// Beliefs writes a page of what a captured proxy believed of its servers over time, by pool.
func ServerStatuses(w io.Writer, title string, moments []capture.Sample) error {
	type pool struct {
		Name  string
		More  int
		Plots []template.HTML
	}
	page := struct {
		Title string
		Pools []pool
	}{Title: title}
	by := map[string]map[int][]*capture.Sample{}
	for i := range moments {
		m := &moments[i]
		if by[m.Pool] == nil {
			by[m.Pool] = map[int][]*capture.Sample{}
		}
		by[m.Pool][m.Endpoint] = append(by[m.Pool][m.Endpoint], m)
	}
	for _, name := range slices.Sorted(maps.Keys(by)) {
		one := pool{Name: name, More: max(len(by[name])-backendsMost, 0)}
		servers := slices.Sorted(maps.Keys(by[name]))
		for _, b := range beliefs {
			p := framed(b.title, b.unit)
			for i, server := range servers[:min(len(servers), backendsMost)] {
				var points plotter.XYs
				for _, m := range by[name][server] {
					points = append(points, plotter.XY{X: m.At, Y: b.value(m)})
				}
				curve, err := plotter.NewLine(points)
				if err != nil {
					return err
				}
				curve.Color, curve.Width, curve.Dashes = plotutil.Color(i), vg.Points(1.2), plotutil.Dashes(i/7)
				p.Add(curve)
				p.Legend.Add(fmt.Sprint(server), curve)
			}
			p.Y.Min = 0
			svg, err := drawn(p)
			if err != nil {
				return err
			}
			one.Plots = append(one.Plots, template.HTML(svg)) // made here of numbers and the words above
		}
		page.Pools = append(page.Pools, one)
	}
	return beliefsPage.Execute(w, page)
}
