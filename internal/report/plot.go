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
	legendScale = 1.2 // multiple of the curves' width that leaves the legend a place beside them
)

var (
	lineWidth  = vg.Points(1.2)
	legendFont = vg.Points(9)
)

// newPlot returns a plot over time in seconds, without curves.
func newPlot(title, unit string) *plot.Plot {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "s"
	p.Y.Label.Text = unit
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	return p
}

// svg draws a plot as it stands in a page.
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
	if start := strings.Index(text, "<svg"); start > 0 { // a page has no place for the XML declaration
		text = text[start:]
	}
	return text, nil
}
