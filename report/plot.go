package report

import (
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Size of a plot, and the height of the row of one event as a fraction of the
// full worth.
const (
	plotWidth   = 22 * vg.Centimeter
	plotHeight  = 13 * vg.Centimeter
	eventHeight = 0.05
)

var (
	worthColor   = color.RGBA{B: 200, A: 255}
	lateColor    = color.RGBA{R: 230, G: 150, A: 255}
	refusedColor = color.RGBA{R: 130, G: 130, B: 130, A: 255}
	failedColor  = color.RGBA{R: 200, A: 255}
	eventColor   = color.RGBA{R: 90, G: 90, B: 90, A: 255}
)

// Plot draws the worth and the fractions of late, refused and failed requests
// over time, with the events below. The extension of the file determines its
// format.
func Plot(r *Report, title, file string) error {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "seconds from the start of traffic"
	p.Y.Max = 1.02
	p.Y.Min = -eventHeight * float64(len(r.Events)+1)
	p.Y.Tick.Marker = plot.ConstantTicks{{Value: 0, Label: "0"}, {Value: 0.25, Label: "0.25"}, {Value: 0.5, Label: "0.5"}, {Value: 0.75, Label: "0.75"}, {Value: 1, Label: "1"}}
	p.Legend.Top = true
	for _, l := range []struct {
		name  string
		color color.Color
		value func(Window) float64
	}{
		{"worth", worthColor, func(w Window) float64 { return w.Worth }},
		{"late", lateColor, func(w Window) float64 { return fraction(w.Late, w.Requests) }},
		{"refused", refusedColor, func(w Window) float64 { return fraction(w.Refused, w.Requests) }},
		{"failed", failedColor, func(w Window) float64 { return fraction(w.Failed, w.Requests) }},
	} {
		line, err := plotter.NewLine(r.points(l.value))
		if err != nil {
			return err
		}
		line.Color = l.color
		p.Add(line)
		p.Legend.Add(l.name, line)
	}
	if err := addEvents(p, r.Events); err != nil {
		return err
	}
	return p.Save(plotWidth, plotHeight, file)
}

func fraction(n, of int) float64 {
	if of == 0 {
		return 0
	}
	return float64(n) / float64(of)
}

func (r *Report) points(value func(Window) float64) plotter.XYs {
	out := make(plotter.XYs, len(r.Windows))
	for i, w := range r.Windows {
		out[i] = plotter.XY{X: w.From, Y: value(w)}
	}
	return out
}

// addEvents draws each event as a labelled line on a row of its own, below the
// curves.
func addEvents(p *plot.Plot, events []Event) error {
	for i, e := range events {
		y := -eventHeight * float64(i+1)
		line, err := plotter.NewLine(plotter.XYs{{X: e.From, Y: y}, {X: e.To, Y: y}})
		if err != nil {
			return err
		}
		line.Color, line.Width = eventColor, vg.Points(3)
		name, err := plotter.NewLabels(plotter.XYLabels{XYs: []plotter.XY{{X: e.To, Y: y}}, Labels: []string{" " + e.Name}})
		if err != nil {
			return err
		}
		p.Add(line, name)
	}
	return nil
}
