package bench

import (
	"fmt"
	"image/color"
	"path/filepath"

	"github.com/juju/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Size of a plot.
const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

var (
	colorServed  = color.RGBA{R: 0x1b, G: 0x7f, B: 0x3b, A: 0xff}
	colorOffered = color.RGBA{R: 0x80, G: 0x80, B: 0x80, A: 0xff}
	colorNotRun  = color.RGBA{R: 0xd0, G: 0x8a, B: 0x00, A: 0xff}
	colorUnknown = color.RGBA{R: 0xc0, G: 0x20, B: 0x20, A: 0xff}
	colorFault   = color.RGBA{R: 0x40, G: 0x40, B: 0xc0, A: 0xff}
)

// series is a line of a chart; value returns nil for buckets without a data point.
type series struct {
	name  string
	color color.Color
	value func(TimelineBucket) *float64
}

func perSecond(f func(TimelineBucket) int) func(TimelineBucket) *float64 {
	return func(b TimelineBucket) *float64 { return ptr(float64(f(b)) / timelineStep.Seconds()) }
}

// Plot writes two SVG files for each policy into dir: outcomes and latency over time,
// with a vertical line at each start and end of a fault.
func (r *Report) Plot(dir string) error {
	for name, m := range r.Policies {
		outcomes := []series{
			{"offered", colorOffered, perSecond(func(b TimelineBucket) int { return b.Offered })},
			{"answered", colorServed, perSecond(func(b TimelineBucket) int { return b.Answered })},
			{"not run", colorNotRun, perSecond(func(b TimelineBucket) int { return b.NotRun })},
			{"unknown or failed", colorUnknown, perSecond(func(b TimelineBucket) int { return b.Unknown + b.Failed })},
		}
		latency := []series{
			{"p50", colorServed, func(b TimelineBucket) *float64 { return b.P50MS }},
			{"p99", colorUnknown, func(b TimelineBucket) *float64 { return b.P99MS }},
		}
		base := filepath.Join(dir, fmt.Sprintf("%s-%s", r.Scenario, name))
		if err := drawChart(m, r.Scenario+" with "+name, "requests/s", outcomes, base+"-outcomes.svg"); err != nil {
			return err
		}
		if err := drawChart(m, r.Scenario+" with "+name, "latency (ms)", latency, base+"-latency.svg"); err != nil {
			return err
		}
	}
	return nil
}

func drawChart(m *Measures, title, unit string, list []series, file string) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "time (s)", unit
	p.Legend.Top = true
	p.Y.Min = 0
	top := 1.0
	for _, s := range list {
		var points plotter.XYs
		for _, b := range m.Timeline {
			if v := s.value(b); v != nil {
				points = append(points, plotter.XY{X: b.AtMS / 1000, Y: *v})
				top = max(top, *v)
			}
		}
		if len(points) == 0 {
			continue
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return errors.Trace(err)
		}
		line.Color = s.color
		p.Add(line)
		p.Legend.Add(s.name, line)
	}
	if err := drawFaultEvents(p, m.FaultEvents, top); err != nil {
		return err
	}
	return errors.Trace(p.Save(plotWidth, plotHeight, file))
}

func drawFaultEvents(p *plot.Plot, events []FaultEvent, top float64) error {
	var labels plotter.XYLabels
	for _, event := range events {
		x := event.MS / 1000
		line, err := plotter.NewLine(plotter.XYs{{X: x}, {X: x, Y: top}})
		if err != nil {
			return errors.Trace(err)
		}
		line.Color = colorFault
		line.Dashes = []vg.Length{vg.Points(3), vg.Points(3)}
		p.Add(line)
		text := "end"
		if event.Started {
			text = event.Label
		}
		labels.XYs = append(labels.XYs, plotter.XY{X: x, Y: top * 0.97})
		labels.Labels = append(labels.Labels, text)
	}
	if len(events) == 0 {
		return nil
	}
	l, err := plotter.NewLabels(labels)
	if err != nil {
		return errors.Trace(err)
	}
	p.Add(l)
	return nil
}
