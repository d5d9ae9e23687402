package main

import (
	"math"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	// rowHeight and chartWidth are the sizes of a row and of the whole chart.
	rowHeight  = 0.9 * vg.Centimeter
	chartWidth = 24 * vg.Centimeter
	// maxLabelRunes bounds the label of a row, so that the points have room.
	maxLabelRunes = 46
	// legendRows is the room for the legend below the rows.
	legendRows = 2.5
	// siteOffset separates the points of two sites within a row, in rows.
	siteOffset = 0.15
)

// points are the differences of one site, with error bars of one standard error.
type points struct {
	plotter.XYs
	plotter.XErrors
}

// drawChart draws the differences of all rows, one colour a site, into a PNG file.
func drawChart(rows []row, file string) error {
	p := plot.New()
	p.X.Label.Text = "worth with the policy less worth without it (bars: standard error)"
	var names []string
	for i := range rows {
		name := []rune(rows[len(rows)-1-i].policy) // the first row on top
		if len(name) > maxLabelRunes {
			name = append(name[:maxLabelRunes-1], '…')
		}
		names = append(names, string(name))
	}
	p.NominalY(names...)
	for n, site := range sites(rows) {
		var ps points
		for i, r := range rows {
			for _, d := range r.differences {
				if d.site != site || math.IsInf(d.stdErr, 0) {
					continue
				}
				ps.XYs = append(ps.XYs, plotter.XY{X: d.mean, Y: float64(len(rows)-1-i) - siteOffset*float64(n)})
				ps.XErrors = append(ps.XErrors, struct{ Low, High float64 }{d.stdErr, d.stdErr})
			}
		}
		if len(ps.XYs) == 0 {
			continue
		}
		scatter, err := plotter.NewScatter(ps)
		if err != nil {
			return Error.Wrap(err)
		}
		bars, err := plotter.NewXErrorBars(ps)
		if err != nil {
			return Error.Wrap(err)
		}
		scatter.Color, bars.Color, scatter.Shape = plotutil.Color(n), plotutil.Color(n), plotutil.Shape(n)
		p.Add(scatter, bars)
		p.Legend.Add(site, scatter)
	}
	p.Add(plotter.NewGrid())
	p.Y.Min, p.Y.Max = -legendRows, float64(len(rows))
	zero, err := plotter.NewLine(plotter.XYs{{X: 0, Y: p.Y.Min}, {X: 0, Y: p.Y.Max}})
	if err != nil {
		return Error.Wrap(err)
	}
	p.Add(zero)
	return Error.Wrap(p.Save(chartWidth, rowHeight*vg.Length(len(rows)+3), file))
}
