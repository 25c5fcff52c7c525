package bench

import (
	"fmt"
	"io"
	"runtime"
	"runtime/debug"
	"text/tabwriter"
	"time"
)

// SlopeReport holds the cost of the product's own code against sizes. Nothing of it
// passes through sockets: the deterministic packages run in one process on a
// simulated clock, alone in it.
type SlopeReport struct {
	GoVersion string  `json:"go_version"`
	CPUs      int     `json:"cpus"`
	Slopes    []Slope `json:"slopes"`
}

// Slope is a cost at several sizes and the line fitted to it.
type Slope struct {
	Package   string    `json:"package"`
	Cost      string    `json:"cost"`
	Unit      string    `json:"unit"`
	Against   string    `json:"against"` // what the size counts
	Fixed     string    `json:"fixed"`   // the other sizes
	Sizes     []float64 `json:"sizes"`
	Values    []float64 `json:"values"`
	PerUnit   float64   `json:"per_unit"`  // Unit for each further one of Against
	Intercept float64   `json:"intercept"` // Unit at size 0
	// Fit is the coefficient of determination of the line; 1 is a perfect line.
	Fit float64 `json:"fit"`
}

// add sets the values and fits the line by least squares.
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
		s.Fit = explained / total
	}
}

// SlopeOptions bounds the work.
type SlopeOptions struct {
	Quick    bool // the smallest sizes only, to try the command
	Progress func(text string)
}

// MeasureSlopes measures all costs one after another.
func MeasureSlopes(o SlopeOptions) (*SlopeReport, error) {
	if o.Progress == nil {
		o.Progress = func(string) {}
	}
	r := &SlopeReport{GoVersion: runtime.Version(), CPUs: runtime.NumCPU()}
	for _, part := range []struct {
		name    string
		measure func(SlopeOptions) ([]Slope, error)
	}{
		{"document and configuration log", configSlopes},
		{"node", nodeSlopes},
		{"frames", frameSlopes},
	} {
		o.Progress(part.name)
		list, err := part.measure(o)
		if err != nil {
			return nil, err
		}
		r.Slopes = append(r.Slopes, list...)
	}
	return r, nil
}

// sizes returns the sizes to measure, all multiplied down when a quick run is asked.
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

// heap returns the bytes of live heap objects after collection.
func heap() float64 {
	debug.FreeOSMemory()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// heapOf returns the live heap that build adds. Both the value and what build needs
// only while it runs are as the garbage collector leaves them.
func heapOf[T any](build func() (T, error)) (value T, bytes float64, err error) {
	before := heap()
	if value, err = build(); err != nil {
		return value, 0, err
	}
	bytes = heap() - before
	runtime.KeepAlive(value)
	return value, bytes, nil
}

// processorPer returns the processor time of one call of f in nanoseconds, garbage
// collection included, over at least a tenth of a second.
func processorPer(f func()) float64 {
	const least = 100 * time.Millisecond
	for n := 1; ; n *= 2 {
		begin := processorTime()
		for range n {
			f()
		}
		if took := processorTime() - begin; took >= least {
			return float64(took.Nanoseconds()) / float64(n)
		}
	}
}

// Write prints the slopes as a table.
func (r *SlopeReport) Write(out io.Writer) error {
	fmt.Fprintf(out, "%s, %d CPUs; processor time includes garbage collection\n", r.GoVersion, r.CPUs)
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "package\tcost\tunit\tagainst\tsizes\tvalues\tper unit\tat 0\tfit\tfixed")
	for _, s := range r.Slopes {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%.3f\t%s\n", s.Package, s.Cost, s.Unit, s.Against,
			list(s.Sizes), list(s.Values), short(s.PerUnit), short(s.Intercept), s.Fit, s.Fixed)
	}
	return t.Flush()
}

func short(v float64) string { return fmt.Sprintf("%.4g", v) }

func list(values []float64) string {
	text := ""
	for i, v := range values {
		if i > 0 {
			text += " "
		}
		text += short(v)
	}
	return text
}
