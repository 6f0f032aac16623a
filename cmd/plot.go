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

	"bulrushlock/core/scene"
)

const (
	// plotWidth and plotHeight are the size of a plot.
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 11 * vg.Centimeter
	// groupWidth is the share of the room of a scene that its marks fill.
	groupWidth = 0.6
)

// shades are the colours of the policies.
var shades = []color.RGBA{
	{R: 200, A: 255},
	{R: 120, G: 120, B: 120, A: 255},
	{G: 110, B: 200, A: 255},
	{G: 150, B: 80, A: 255},
	{R: 230, G: 140, A: 255},
	{R: 140, B: 170, A: 255},
}

// plotResults writes a plot to a file: the 99th percentile of the wait in each
// scene, or the course of the success if the results hold a single scene.
func plotResults(file string, results []scene.Result) error {
	p := plot.New()
	p.Legend.Top = true
	p.Legend.Left = true
	err := addWait(p, results)
	if single(results) {
		p = plot.New()
		p.Legend.Top = false
		err = addCourse(p, results)
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

// single tells whether all results are of one scene.
func single(results []scene.Result) bool {
	for _, r := range results {
		if r.Scene != results[0].Scene || r.Size != results[0].Size {
			return false
		}
	}
	return true
}

// addWait draws a mark for the 99th percentile of the wait in each scene and with
// each policy, at the first size.
func addWait(p *plot.Plot, results []scene.Result) error {
	p.Title.Text = "99th percentile of the wait above the service time, " + results[0].Size
	p.Y.Label.Text = "ms"
	p.Y.Min = 0
	var names []string
	points := make(map[string]plotter.XYs)
	for _, r := range results {
		if r.Size != results[0].Size {
			continue
		}
		if len(names) == 0 || names[len(names)-1] != r.Scene {
			names = append(names, r.Scene)
		}
		x := float64(len(names)-1) + offset(r.Policy)
		points[r.Policy] = append(points[r.Policy], plotter.XY{X: x, Y: milliseconds(r.Wait)})
	}
	p.NominalX(names...)
	for i, name := range scene.Policies() {
		if len(points[name]) == 0 {
			continue
		}
		s, err := plotter.NewScatter(points[name])
		if err != nil {
			return err
		}
		s.Color = shades[i]
		s.Shape = draw.CircleGlyph{}
		p.Add(s)
		p.Legend.Add(name, s)
	}
	p.Add(plotter.NewGrid())
	return nil
}

// offset returns the place of the marks of a policy within the room of a scene.
func offset(policy string) float64 {
	names := scene.Policies()
	for i, name := range names {
		if name == policy {
			return groupWidth * (float64(i)/float64(len(names)-1) - 0.5)
		}
	}
	return 0
}

// addCourse draws the success over time of each policy.
func addCourse(p *plot.Plot, results []scene.Result) error {
	p.Title.Text = "Good requests over time, scene " + results[0].Scene + ", " + results[0].Size
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
		for i, name := range scene.Policies() {
			if name == r.Policy {
				l.Color = shades[i]
			}
		}
		p.Add(l)
		p.Legend.Add(r.Policy, l)
	}
	p.Add(plotter.NewGrid())
	return nil
}
