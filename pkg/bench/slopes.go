package bench

import (
	"fmt"
	"io"
	"runtime"
	"runtime/debug"
	"text/tabwriter"
	"time"
)

// SlopeReport holds the CPU, memory and traffic cost of the product's own code as a
// function of problem size. The deterministic packages run in one process on a simulated
// clock; nothing passes through sockets, and nothing else runs in the process.
type SlopeReport struct {
	GoVersion string  `json:"go_version"`
	CPUs      int     `json:"cpus"`
	Slopes    []Slope `json:"slopes"`
}

// Slope is a cost measured at several sizes, with a fitted line.
type Slope struct {
	Package   string    `json:"package"`
	Cost      string    `json:"cost"`
	Unit      string    `json:"unit"`
	Variable  string    `json:"against"` // what Sizes counts
	Constants string    `json:"fixed"`   // the parameters held constant
	Sizes     []float64 `json:"sizes"`
	Values    []float64 `json:"values"`
	PerUnit   float64   `json:"per_unit"`  // slope of the line, in Unit for each one that Variable counts
	Intercept float64   `json:"intercept"` // in Unit, at size 0
	// RSquared is the line's coefficient of determination (R²).
	RSquared float64 `json:"fit"`
}

// add appends a data point and refits the line by least squares.
func (s *Slope) add(size, value float64) {
	s.Sizes, s.Values = append(s.Sizes, size), append(s.Values, value)
	n := float64(len(s.Sizes))
	var sx, sy, sxx, sxy, syy float64
	for i, x := range s.Sizes {
		y := s.Values[i]
		sx, sy, sxx, sxy, syy = sx+x, sy+y, sxx+x*x, sxy+x*y, syy+y*y
	}
	if d := n*sxx - sx*sx; d > 0 {
		s.PerUnit = (n*sxy - sx*sy) / d
	}
	s.Intercept = (sy - s.PerUnit*sx) / n
	if total := syy - sy*sy/n; total > 0 {
		explained := s.PerUnit * (sxy - sx*sy/n)
		s.RSquared = explained / total
	}
}

// SlopeOptions configures MeasureSlopes.
type SlopeOptions struct {
	Quick    bool // divides all sizes by ten, for a trial of the command
	Progress func(text string)
}

// MeasureSlopes measures all costs sequentially.
func MeasureSlopes(o SlopeOptions) (*SlopeReport, error) {
	if o.Progress == nil {
		o.Progress = func(string) {}
	}
	r := &SlopeReport{GoVersion: runtime.Version(), CPUs: runtime.NumCPU()}
	for _, group := range []struct {
		name    string
		measure func(SlopeOptions) ([]Slope, error)
	}{
		{"document and configuration log", configSlopes},
		{"node", nodeSlopes},
		{"frames", frameSlopes},
	} {
		o.Progress(group.name)
		list, err := group.measure(o)
		if err != nil {
			return nil, err
		}
		r.Slopes = append(r.Slopes, list...)
	}
	return r, nil
}

// sizes returns the sizes to measure, scaled down for a quick run.
func (o SlopeOptions) sizes(list ...int) []int {
	if !o.Quick {
		return list
	}
	const divisor = 10
	out := make([]int, len(list))
	for i, n := range list {
		out[i] = max(min(n, i+1), n/divisor)
	}
	return out
}

// liveHeap returns the bytes of live heap objects after a garbage collection.
func liveHeap() float64 {
	debug.FreeOSMemory()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// heapOf returns the value that build returns and the bytes that it adds to the live heap.
// Temporary allocations of build are not counted.
func heapOf[T any](build func() (T, error)) (value T, bytes float64, err error) {
	before := liveHeap()
	if value, err = build(); err != nil {
		return value, 0, err
	}
	bytes = liveHeap() - before
	runtime.KeepAlive(value)
	return value, bytes, nil
}

// cpuTimePer returns the CPU time of one call of f in nanoseconds, including garbage
// collection, averaged over at least 100 ms of CPU time.
func cpuTimePer(f func()) float64 {
	const minDuration = 100 * time.Millisecond
	for n := 1; ; n *= 2 {
		begin := cpuTime()
		for range n {
			f()
		}
		if took := cpuTime() - begin; took >= minDuration {
			return float64(took.Nanoseconds()) / float64(n)
		}
	}
}

// Write prints the report as a table.
func (r *SlopeReport) Write(out io.Writer) error {
	fmt.Fprintf(out, "%s, %d CPUs; processor time includes garbage collection\n", r.GoVersion, r.CPUs)
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "package\tcost\tunit\tagainst\tsizes\tvalues\tper unit\tat 0\tfit\tfixed")
	for _, s := range r.Slopes {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%.3f\t%s\n", s.Package, s.Cost, s.Unit, s.Variable,
			formatNumbers(s.Sizes), formatNumbers(s.Values), formatNumber(s.PerUnit), formatNumber(s.Intercept), s.RSquared, s.Constants)
	}
	return t.Flush()
}

func formatNumber(v float64) string { return fmt.Sprintf("%.4g", v) }

func formatNumbers(values []float64) string {
	text := ""
	for i, v := range values {
		if i > 0 {
			text += " "
		}
		text += formatNumber(v)
	}
	return text
}
