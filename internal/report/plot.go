package report

import (
	"bytes"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	plotWidth   = 22 * vg.Centimeter
	plotHeight  = 6.5 * vg.Centimeter
	legendScale = 1.2 // factor that extends the x axis to make room for the legend beside the curves
)

var (
	lineWidth  = vg.Points(1.2)
	legendFont = vg.Points(9)
)

// newPlot returns a plot without curves, whose x axis is time in seconds.
func newPlot(title, unit string) *plot.Plot {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "s"
	p.Y.Label.Text = unit
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	return p
}

// svg returns a plot as an SVG element that can be embedded in an HTML page.
func svg(p *plot.Plot) (string, error) {
	p.X.Max *= legendScale
	p.Legend.TextStyle.Font.Size = legendFont
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return "", err
	}
	text := out.String()
	if start := strings.Index(text, "<svg"); start > 0 { // HTML allows no XML declaration
		text = text[start:]
	}
	return text, nil
}
