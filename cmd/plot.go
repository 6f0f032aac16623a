package cmd

import (
	"fmt"
	"image/color"
	"os"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"bulrushlock/core/simul"
)

const (
	// plotWidth and plotHeight are the size of a plot.
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 11 * vg.Centimeter
	// groupWidth is the share of a scenario's width on the X axis that its marks occupy.
	groupWidth = 0.6
)

// policyColors are the colours of the policies, in the order of simul.Policies.
var policyColors = []color.RGBA{
	{R: 200, A: 255},
	{R: 120, G: 120, B: 120, A: 255},
	{G: 110, B: 200, A: 255},
	{G: 150, B: 80, A: 255},
	{R: 230, G: 140, A: 255},
	{R: 140, B: 170, A: 255},
}

// plotResults writes a plot to a file. It shows the 99th percentile of the latency above
// the service time in each scenario or, if the results are of a single scenario, the
// success rate over time.
func plotResults(file string, results []simul.Result) error {
	p := plot.New()
	p.Legend.Top = true
	p.Legend.Left = true
	err := addOverheadPlot(p, results)
	if isSingleScenario(results) {
		p = plot.New()
		p.Legend.Top = false
		err = addSuccessPlot(p, results)
	}
	if err != nil {
		return fmt.Errorf("plot %s: %w", file, err)
	}
	c := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(c))
	f, err := os.Create(file)
	if err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	if _, err := c.WriteTo(f); err != nil {
		_ = f.Close()
		return fmt.Errorf("plot %s: %w", file, err)
	}
	if err := f.Close(); err != nil {
		return fmt.Errorf("plot %s: %w", file, err)
	}
	return nil
}

// isSingleScenario reports whether all results are of one scenario and size.
func isSingleScenario(results []simul.Result) bool {
	for _, r := range results {
		if r.Scenario != results[0].Scenario || r.Size != results[0].Size {
			return false
		}
	}
	return true
}

// addOverheadPlot plots the 99th percentile of the latency above the service time per
// scenario and policy, for the size of the first result.
func addOverheadPlot(p *plot.Plot, results []simul.Result) error {
	p.Title.Text = "99th percentile of the wait above the service time, " + results[0].Size
	p.Y.Label.Text = "ms"
	p.Y.Min = 0
	var names []string
	points := make(map[string]plotter.XYs)
	for _, r := range results {
		if r.Size != results[0].Size {
			continue
		}
		if len(names) == 0 || names[len(names)-1] != r.Scenario {
			names = append(names, r.Scenario)
		}
		x := float64(len(names)-1) + policyOffset(r.Policy)
		points[r.Policy] = append(points[r.Policy], plotter.XY{X: x, Y: milliseconds(r.Overhead)})
	}
	p.NominalX(names...)
	for i, name := range simul.Policies() {
		if len(points[name]) == 0 {
			continue
		}
		s, err := plotter.NewScatter(points[name])
		if err != nil {
			return err
		}
		s.Color = policyColors[i]
		s.Shape = draw.CircleGlyph{}
		p.Add(s)
		p.Legend.Add(name, s)
	}
	p.Add(plotter.NewGrid())
	return nil
}

// policyOffset returns the horizontal offset of a policy's marks from the centre of a
// scenario.
func policyOffset(policy string) float64 {
	names := simul.Policies()
	for i, name := range names {
		if name == policy {
			return groupWidth * (float64(i)/float64(len(names)-1) - 0.5)
		}
	}
	return 0
}

// addSuccessPlot plots the success rate of each policy over time.
func addSuccessPlot(p *plot.Plot, results []simul.Result) error {
	p.Title.Text = "Good requests over time, scene " + results[0].Scenario + ", " + results[0].Size
	p.X.Label.Text = "s"
	p.Y.Label.Text = "good requests in 100, by arrival"
	for _, r := range results {
		var points plotter.XYs
		for _, at := range r.Series {
			good := 100 * float64(at.Good) / float64(max(at.Offered, 1))
			points = append(points, plotter.XY{X: at.At.Seconds(), Y: good})
		}
		l, err := plotter.NewLine(points)
		if err != nil {
			return err
		}
		for i, name := range simul.Policies() {
			if name == r.Policy {
				l.Color = policyColors[i]
			}
		}
		p.Add(l)
		p.Legend.Add(r.Policy, l)
	}
	p.Add(plotter.NewGrid())
	return nil
}
