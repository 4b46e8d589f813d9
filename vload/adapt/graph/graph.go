// Package graph draws latency and availability of a run over time.
package graph

import (
	"image/color"
	"os"
	"path/filepath"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"

	"verbenabank/core/clock"
	"verbenabank/vload/query/metric"
	"verbenabank/vload/state/call"
)

// Size of the picture.
const (
	width  = 18 * vg.Centimeter
	height = 14 * vg.Centimeter
)

// second sums up the calls that were due in one second.
type second struct {
	count    int
	answered int
	latency  *hdrhistogram.Histogram
}

// Write draws the calls of a load that began at an instant into the PNG file at
// path.
func Write(path string, calls []call.Call, from clock.Millis) error {
	seconds := bin(calls, from)
	latency, available := plot.New(), plot.New()
	latency.Title.Text = "Latency of answered requests"
	latency.Y.Label.Text = "ms"
	latency.Y.Min = 0
	available.Title.Text = "Answered requests"
	available.X.Label.Text = "s after the start of the load"
	available.Y.Label.Text = "%"
	available.Y.Min, available.Y.Max = 0, 100
	curves := []struct {
		plot  *plot.Plot
		label string
		color color.Color
		value func(second) float64
	}{
		{latency, "p50", color.RGBA{R: 40, G: 90, B: 200, A: 255}, quantile(50)},
		{latency, "p99", color.RGBA{R: 200, G: 60, B: 40, A: 255}, quantile(99)},
		{available, "answered", color.RGBA{R: 30, G: 130, B: 60, A: 255}, share},
	}
	for _, c := range curves {
		line, err := plotter.NewLine(points(seconds, c.value))
		if err != nil {
			return fail("draw", Undrawable, err)
		}
		line.Color = c.color
		c.plot.Add(line)
		c.plot.Legend.Add(c.label, line)
	}
	return save(path, latency, available)
}

func bin(calls []call.Call, from clock.Millis) []second {
	var seconds []second
	for _, c := range calls {
		n := int((c.DueAt() - from) / clock.Second)
		for len(seconds) <= n {
			seconds = append(seconds, second{latency: hdrhistogram.New(1, 120_000_000, 3)})
		}
		seconds[n].count++
		if metric.Answered(c) {
			seconds[n].answered++
			_ = seconds[n].latency.RecordValue(c.Latency().Microseconds())
		}
	}
	return seconds
}

func quantile(percent float64) func(second) float64 {
	return func(s second) float64 { return float64(s.latency.ValueAtQuantile(percent)) / 1000 }
}

func share(s second) float64 { return 100 * float64(s.answered) / float64(s.count) }

func points(seconds []second, value func(second) float64) plotter.XYs {
	var list plotter.XYs
	for n, s := range seconds {
		if s.count > 0 {
			list = append(list, plotter.XY{X: float64(n), Y: value(s)})
		}
	}
	return list
}

func save(path string, plots ...*plot.Plot) error {
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return fail("make folder", Unwritable, err)
	}
	image := vgimg.New(width, height)
	canvas := draw.New(image)
	tiles := draw.Tiles{Rows: len(plots), Cols: 1}
	for n, p := range plots {
		p.Draw(tiles.At(canvas, 0, n))
	}
	file, err := os.Create(path)
	if err != nil {
		return fail("create", Unwritable, err)
	}
	if _, err := (vgimg.PngCanvas{Canvas: image}).WriteTo(file); err != nil {
		_ = file.Close()
		return fail("write", Unwritable, err)
	}
	if err := file.Close(); err != nil {
		return fail("close", Unwritable, err)
	}
	return nil
}
