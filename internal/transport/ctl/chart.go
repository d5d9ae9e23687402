package ctl

import (
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"oleanderfall.example/oleanderfall/internal/coordination/burnrate"
)

const (
	pictureWidth  = 24 * vg.Centimeter
	pictureHeight = 12 * vg.Centimeter
	barWidth      = 8 * vg.Millimeter / 2
)

var barColors = []color.Color{
	color.RGBA{R: 0x1b, G: 0x6c, B: 0xa8, A: 0xff},
	color.RGBA{R: 0x4f, G: 0xa3, B: 0x7a, A: 0xff},
	color.RGBA{R: 0xe0, G: 0x9f, B: 0x3e, A: 0xff},
	color.RGBA{R: 0x9e, G: 0x2a, B: 0x2b, A: 0xff},
}

// drawBurn writes a PNG bar chart with one group of bars per service and one bar per
// window.
func drawBurn(path string, r burnReport) error {
	p := plot.New()
	p.Title.Text = "Burn rate by service"
	p.Y.Label.Text = "times the allowed rate of errors"
	p.Y.Min = 0
	p.Legend.Top = true
	names := make([]string, 0, len(r.Services))
	for _, s := range r.Services {
		names = append(names, s.Service)
	}
	for i, span := range burnrate.Windows {
		values := make(plotter.Values, 0, len(r.Services))
		for _, s := range r.Services {
			values = append(values, s.Windows[i].Burn)
		}
		if len(values) == 0 {
			continue
		}
		bars, err := plotter.NewBarChart(values, barWidth)
		if err != nil {
			return err
		}
		bars.Color = barColors[i%len(barColors)]
		bars.Offset = barWidth * vg.Length(2*i-len(burnrate.Windows)+1) / 2
		p.Add(bars)
		p.Legend.Add(span.String(), bars)
	}
	addAlertRate(p, "page", burnrate.PageRate)
	addAlertRate(p, "ticket", burnrate.TicketRate)
	p.NominalX(names...)
	return p.Save(pictureWidth, pictureHeight, path)
}

// addAlertRate draws a line at the burn rate above which the named alert is raised.
func addAlertRate(p *plot.Plot, name string, rate float64) {
	line := plotter.NewFunction(func(float64) float64 { return rate })
	line.Dashes = []vg.Length{vg.Points(4), vg.Points(3)}
	p.Add(line)
	p.Legend.Add(name, line)
	p.Y.Max = max(p.Y.Max, rate)
}
