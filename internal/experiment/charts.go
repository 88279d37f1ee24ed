package experiment

import (
	"fmt"
	"image/color"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
	"gonum.org/v1/plot/vg/vgsvg"

	"pitchfield/internal/emulator"
)

var colors = []color.Color{color.RGBA{31, 119, 180, 255}, color.RGBA{214, 39, 40, 255}, color.RGBA{44, 160, 44, 255},
	color.RGBA{148, 103, 189, 255}, color.RGBA{255, 127, 14, 255}, color.RGBA{23, 190, 207, 255}}

const (
	width, height    = 9 * vg.Inch, 7.5 * vg.Inch
	smoothingSeconds = 5 // seconds
)

// Draw draws each world and day, of the first seed: service, load and levels over time, each variant a line, but for
// those of a sweep. Files are SVG and PNG in a folder; it gives their names.
func (e *Experiment) Draw(folder string, runs []Run) (names []string, err error) {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return nil, fmt.Errorf("charts: %w", err)
	}
	cells := map[[2]string][]Run{}
	var order [][2]string
	for _, r := range runs {
		if r.Seed != runs[0].Seed || slices.ContainsFunc(e.Variants, func(v Variant) bool { return v.Name == r.Variant && v.swept }) {
			continue
		}
		key := [2]string{r.World, r.Day}
		if cells[key] == nil {
			order = append(order, key)
		}
		cells[key] = append(cells[key], r)
	}
	for _, key := range order {
		name := filepath.Join(folder, fileName(key[0]+"-"+key[1]))
		if err := drawChart(name, key[0]+", "+key[1], cells[key]); err != nil {
			return names, err
		}
		names = append(names, name+".svg", name+".png")
	}
	return names, nil
}

// DrawLatencies draws what the requests of each group took, of each world: variants side by side, a panel for each day. It gives
// the names of the files.
func DrawLatencies(folder string, cells []Summary) (names []string, err error) {
	type key struct{ world, group string }
	days := map[key][]string{}
	var order []key
	for _, c := range cells {
		for _, g := range slices.Sorted(maps.Keys(c.Latencies)) {
			k := key{c.World, g}
			if days[k] == nil {
				order = append(order, k)
			}
			if !slices.Contains(days[k], c.Day) {
				days[k] = append(days[k], c.Day)
			}
		}
	}
	for _, k := range order {
		var panels [][]*plot.Plot
		for _, day := range days[k] {
			p := plot.New()
			p.Title.Text, p.Y.Label.Text, p.Y.Min = fmt.Sprintf("%s, %s: %s", k.world, day, k.group), "seconds", 0
			var variants []string
			marks := [3]plotter.XYs{}
			for _, c := range cells {
				if c.World == k.world && c.Day == day {
					x, t := float64(len(variants)), c.Latencies[k.group]
					for i, y := range []float64{t.P50, t.P99, t.P999} {
						marks[i] = append(marks[i], plotter.XY{X: x, Y: y})
					}
					variants = append(variants, c.Variant)
				}
			}
			for i, name := range []string{"p50", "p99", "p99.9"} {
				l, points, err := plotter.NewLinePoints(marks[i])
				if err != nil {
					return names, fmt.Errorf("chart: %w", err)
				}
				l.Color, points.Color = colors[i], colors[i]
				p.Add(l, points)
				p.Legend.Add(name, l, points)
			}
			p.NominalX(variants...)
			p.X.Max = float64(len(variants)) - 0.5 // room for the legend
			panels = append(panels, []*plot.Plot{p})
		}
		name := filepath.Join(folder, fileName("tails-"+k.world+"-"+k.group))
		if err := drawPanels(name, panels); err != nil {
			return names, err
		}
		names = append(names, name+".svg", name+".png")
	}
	return names, nil
}

func fileName(text string) string {
	return strings.NewReplacer(" ", "-", "%", "", "/", "-", ",", "").Replace(text)
}

func drawPanels(name string, panels [][]*plot.Plot) error {
	png, svg := vgimg.New(width, height), vgsvg.New(width, height)
	for _, c := range []vg.CanvasSizer{png, svg} {
		canvases := plot.Align(panels, draw.Tiles{Rows: len(panels), Cols: 1, PadY: vg.Points(6)}, draw.New(c))
		for i := range panels {
			panels[i][0].Draw(canvases[i][0])
		}
	}
	return writeFiles(name, png, svg)
}

func drawChart(name, title string, runs []Run) error {
	service, load, level := plot.New(), plot.New(), plot.New()
	service.Title.Text = title
	service.Y.Label.Text, load.Y.Label.Text, level.Y.Label.Text = "service", "load", "level (mean, least, most)"
	level.X.Label.Text = "seconds"
	service.Y.Min, service.Y.Max, load.Y.Min, level.Y.Min = 0, 1.05, 0, 0
	service.Legend.Left = true
	add := func(p *plot.Plot, points plotter.XYs, i int, dashed bool) (*plotter.Line, error) {
		l, err := plotter.NewLine(points)
		if err != nil {
			return nil, fmt.Errorf("chart: %w", err)
		}
		l.Color = colors[i%len(colors)]
		if dashed {
			l.Dashes = []vg.Length{vg.Points(2), vg.Points(2)}
		}
		p.Add(l)
		return l, nil
	}
	for i, r := range runs {
		l, err := add(service, movingWindow(r.Seconds, func(s []emulator.Second) float64 {
			asked, in := 0.0, 0.0
			for _, one := range s {
				asked, in = asked+one.RequestedUtility, in+one.UtilityInGoal
			}
			return in / max(asked, 1e-9)
		}), i, false)
		if err != nil {
			return err
		}
		service.Legend.Add(r.Variant, l)
		for k, pick := range []func([]int) float64{mean, minimum, maximum} {
			points := movingWindow(r.Seconds, func(s []emulator.Second) float64 { return pick(s[len(s)-1].Levels) })
			if _, err := add(level, points, i, k > 0); err != nil {
				return err
			}
		}
	}
	if _, err := add(load, movingWindow(runs[0].Seconds, func(s []emulator.Second) float64 {
		sum := 0.0
		for _, one := range s {
			sum += one.Load
		}
		return sum / float64(len(s))
	}), 0, false); err != nil {
		return err
	}
	return drawPanels(name, [][]*plot.Plot{{service}, {load}, {level}})
}

func writeFiles(name string, png *vgimg.Canvas, svg *vgsvg.Canvas) error {
	f, err := os.Create(name + ".png")
	if err != nil {
		return fmt.Errorf("chart: %w", err)
	}
	if _, err = (vgimg.PngCanvas{Canvas: png}).WriteTo(f); err == nil {
		err = f.Close()
	}
	if err != nil {
		return fmt.Errorf("chart: %w", err)
	}
	if f, err = os.Create(name + ".svg"); err != nil {
		return fmt.Errorf("chart: %w", err)
	}
	if _, err = svg.WriteTo(f); err == nil {
		err = f.Close()
	}
	if err != nil {
		return fmt.Errorf("chart: %w", err)
	}
	return nil
}

// movingWindow gives a figure of the last seconds at each.
func movingWindow(all []emulator.Second, figure func([]emulator.Second) float64) (out plotter.XYs) {
	for i := range all {
		out = append(out, plotter.XY{X: float64(i), Y: figure(all[max(0, i+1-smoothingSeconds) : i+1])})
	}
	return out
}

func mean(x []int) float64 {
	sum := 0
	for _, v := range x {
		sum += v
	}
	return float64(sum) / float64(max(len(x), 1))
}

func minimum(x []int) float64 {
	if len(x) == 0 {
		return 0
	}
	out := x[0]
	for _, v := range x {
		out = min(out, v)
	}
	return float64(out)
}

func maximum(x []int) float64 {
	out := 0
	for _, v := range x {
		out = max(out, v)
	}
	return float64(out)
}
