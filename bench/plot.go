package bench

import (
	"errors"
	"image/color"
	"math"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Size of the plot.
const (
	plotWidth  = 20 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

var colors = []color.Color{
	color.RGBA{B: 200, A: 255}, color.RGBA{R: 200, A: 255}, color.RGBA{R: 120, G: 120, B: 120, A: 255},
}

// Plot draws the share of worth answered over time while a data centre is taken
// out and returns, one line for each result, and the calls that reach that data
// centre in the first result. The file extension selects the format.
func Plot(file string, results []Result) error {
	if len(results) == 0 {
		return errors.New("plot: no results of a run with a data centre move")
	}
	p := plot.New()
	p.Title.Text = results[0].Workload + ": data centre out at 2 s, stopped at 5 s, back cold at 6.5 s"
	p.X.Label.Text = "s"
	p.Y.Label.Text = "%"
	p.Y.Min, p.Y.Max = 0, 105
	for i, r := range results {
		line, err := plotter.NewLine(points(r, worthShare))
		if err != nil {
			return err
		}
		line.Color = colors[i%len(colors)]
		p.Add(line)
		p.Legend.Add("worth answered, "+string(r.Policy), line)
	}
	calls, err := plotter.NewLine(points(results[0], callShare(results[0])))
	if err != nil {
		return err
	}
	calls.Dashes = []vg.Length{vg.Points(3), vg.Points(3)}
	p.Add(calls)
	p.Legend.Add("calls to the data centre, % of the peak", calls)
	return p.Save(plotWidth, plotHeight, file)
}

func points(r Result, y func(bucket) float64) plotter.XYs {
	var all plotter.XYs
	for i, b := range r.buckets {
		if b.offered > 0 {
			all = append(all, plotter.XY{X: float64(i) * bucketLength.Seconds(), Y: y(b)})
		}
	}
	return all
}

func worthShare(b bucket) float64 { return 100 * b.answered / b.offered }

func callShare(r Result) func(bucket) float64 {
	most := 1
	for _, b := range r.buckets {
		most = max(most, b.calls)
	}
	return func(b bucket) float64 { return math.Round(100 * float64(b.calls) / float64(most)) }
}
