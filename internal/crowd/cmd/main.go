// Command cmd measures membership and cold-start quota in simulated time, on all cores:
//
//	go run ./internal/crowd/cmd                       # deaths: 5 to 1,000 routers, losses, slow ones
//	go run ./internal/crowd/cmd -hours 10000          # false deaths over 10,000 router-hours at 5% loss
package main

import (
	"flag"
	"fmt"
	"os"
	"runtime"
	"slices"
	"text/tabwriter"

	"pitchfield/internal/crowd"
	"pitchfield/internal/parallel"
)

// cell is one row of the table: a configuration and the number of seeds it is run with.
type cell struct {
	routers int
	loss    float64
	slow    float64
	seeds   int
}

func main() {
	seeds := flag.Int("seeds", 0, "of each cell; 0: as the table has them, 1,000 in all")
	hours := flag.Float64("hours", 0, "router-hours of quiet at 5% loss, in place of the table")
	cores := flag.Int("cores", runtime.NumCPU(), "to be used")
	parts := flag.Bool("parts", false, "budgets that routers divide by talk, in place of the table")
	largest := flag.Int("largest", 1000, "number of routers in the table")
	flag.Parse()
	sizes := slices.DeleteFunc([]int{5, 50, 300, 1000}, func(n int) bool { return n > *largest })
	if *parts {
		quotaTable(sizes, *seeds, *cores)
		return
	}
	if *hours > 0 {
		quiet(*hours, *cores)
		return
	}
	table(sizes, *seeds, *cores)
}

// slowDelay is the maximum extra delay, in seconds, of a slow router for each packet and each wake-up: about ten times a usual
// iteration of its loop.
const slowDelay = 0.05

// table prints how deaths spread for each fleet size, loss rate and fraction of slow routers.
func table(sizes []int, seeds, cores int) {
	var cells []cell
	for _, routers := range sizes {
		n := map[int]int{5: 100, 50: 50, 300: 14, 1000: 3}[routers]
		for _, loss := range []float64{0, 0.05, 0.2, 0.33} {
			cells = append(cells, cell{routers, loss, 0, n})
		}
		cells = append(cells, cell{routers, 0, 0.1, n}, cell{routers, 0.05, 0.1, n})
	}
	results := make([][]crowd.Measure, len(cells))
	var todo []func()
	for i := range cells {
		if seeds > 0 {
			cells[i].seeds = seeds
		}
		results[i] = make([]crowd.Measure, cells[i].seeds)
		for s := range cells[i].seeds {
			todo = append(todo, func() {
				results[i][s] = crowd.MeasureDeath(crowd.Options{Routers: cells[i].routers, Seed: uint64(s + 1), Loss: cells[i].loss, SlowFraction: cells[i].slow, SlowDelay: slowDelay,
					PreJoined: cells[i].routers >= 1000}) // the start of large fleets is measured separately
			})
		}
	}
	slices.Reverse(todo) // start the longest runs first
	parallel.Each(cores, len(todo), func(i int) { todo[i]() })
	t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "routers\tloss\tslow\tseeds\thalf know (median)\tall know (median)\tall know (longest)\tsettled (median)\tnever\tfalse deaths\theard by\trouter-hours\tpackets/s\tbytes/s")
	for i, c := range cells {
		var half, all, agreed []float64
		never, falseDeaths, reports, hours, packets, bytes := 0, 0, 0, 0.0, 0.0, 0.0
		for _, m := range results[i] {
			if m.AllKnown < 0 || m.Agreed < 0 {
				never++
			}
			half, all, agreed = append(half, m.HalfKnown), append(all, m.AllKnown), append(agreed, m.Agreed)
			falseDeaths, reports, hours = falseDeaths+m.FalseDeaths, reports+m.FalseDeathReports, hours+m.RouterHours
			packets, bytes = packets+m.PacketRate/float64(c.seeds), bytes+m.ByteRate/float64(c.seeds)
		}
		for _, list := range [][]float64{half, all, agreed} {
			slices.Sort(list)
		}
		fmt.Fprintf(t, "%d\t%.2f\t%.2f\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t%d\t%d\t%d\t%.1f\t%.1f\t%.0f\n", c.routers, c.loss, c.slow, c.seeds, half[len(half)/2],
			all[len(all)/2], all[len(all)-1], agreed[len(agreed)/2], never, falseDeaths, reports, hours, packets, bytes)
	}
	t.Flush()
}

// quiet prints the number of false deaths over a number of router-hours at 5% loss.
func quiet(hours float64, cores int) {
	const routers, seconds = 300, 600
	n := int(hours*3600/routers/seconds) + 1
	results := make([]crowd.Measure, n)
	var todo []func()
	for s := range n {
		todo = append(todo, func() {
			results[s] = crowd.MeasureQuiet(crowd.Options{Routers: routers, Seed: uint64(5000 + s), Loss: 0.05}, seconds)
		})
	}
	parallel.Each(cores, len(todo), func(i int) { todo[i]() })
	var sum crowd.Measure
	for _, m := range results {
		sum.RouterHours, sum.FalseDeaths, sum.FalseDeathReports = sum.RouterHours+m.RouterHours, sum.FalseDeaths+m.FalseDeaths, sum.FalseDeathReports+m.FalseDeathReports
	}
	fmt.Printf("%d plays of %d routers, %.0f router-hours at 5%% loss: %d false deaths, heard by %d\n", n, routers, sum.RouterHours, sum.FalseDeaths, sum.FalseDeathReports)
}

// quotaTable prints the quota measurements for each fleet size and seed.
func quotaTable(sizes []int, seeds, cores int) {
	seeds = max(seeds, 1)
	results := make([]crowd.QuotaMeasure, len(sizes)*seeds)
	var todo []func()
	for i, n := range sizes {
		for s := range seeds {
			todo = append(todo, func() { results[i*seeds+s] = crowd.MeasureQuota(n, uint64(s+1)) })
		}
	}
	slices.Reverse(todo)
	parallel.Each(cores, len(todo), func(i int) { todo[i]() })
	t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "routers\tused\tidle\tuneven\tfixed\tsmall (median, 99%)\theavy (median, 99%)\tsent\tfixed\tnewcomer\tbursar dead\tdead's part\tpackets/s\tbytes/s\tmost")
	for _, p := range results {
		fmt.Fprintf(t, "%d\t%.3f\t%.3f\t%.3f\t%.3f\t%.4f %.4f\t%.4f %.4f\t%.3f\t%.3f\t%.2f\t%.2f\t%.2f\t%.2f\t%.0f\t%.3f\n", p.Routers, p.Used, p.Idle, p.SkewedUsed, p.FixedUsed,
			p.Wait[0], p.Wait[1], p.LargeWait[0], p.LargeWait[1], p.LargeSent, p.FixedLargeSent, p.NewcomerWait, p.CoordinatorGap, p.ReclaimTime, p.PacketRate, p.ByteRate, p.PeakShare)
	}
	t.Flush()
	for _, p := range results {
		for _, b := range p.Violations {
			fmt.Println(p.Routers, "routers:", b)
		}
	}
}
