package bench

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
)

// Report is the result of one invocation of the benchmark.
type Report struct {
	Scenario string               `json:"scenario"`
	About    string               `json:"about"`
	Scale    string               `json:"share,omitempty"` // see Scenario.Scale
	Seed     uint64               `json:"seed"`
	Size     Size                 `json:"size"`
	CPUs     int                  `json:"cpus"`
	Policies map[string]*Measures `json:"policies"`
	// Repeats holds the second and later runs of each policy, Policies the first.
	Repeats map[string][]*Measures `json:"repeats,omitempty"`
}

// Size describes the scale of the fleet and its load.
type Size struct {
	VMs         int     `json:"vms"`
	Servers     int     `json:"servers"`
	Requests    int     `json:"requests"`
	CapacityRPS float64 `json:"capacity_rps"` // rate at which all slots of the most loaded service are in use
	PeakRPS     float64 `json:"peak_rps"`
}

// Measures holds the results of one run. Measures that do not apply to the scenario are
// nil.
type Measures struct {
	Invariants
	FloorViolations        int      `json:"floor_violations"`
	Ejections              int      `json:"ejections"`
	FalseEjections         int      `json:"false_ejections"`
	DetectionMedianMS      *float64 `json:"detection_median_ms"`
	DetectionWorstMS       *float64 `json:"detection_worst_ms"`
	Undetected             int      `json:"undetected"`
	EjectedShare           *float64 `json:"held_out_share"`
	ReadmissionWorstMS     *float64 `json:"readmitted_worst_ms"`
	LeavingLastWorkMS      *float64 `json:"leaving_last_ms"` // from a server's listing as leaving to the start of its last work
	WeightServedRatio      *float64 `json:"weight_served_ratio"`
	WeightServedRatioRun   *float64 `json:"weight_served_ratio_run"`
	RecoveryMS             *float64 `json:"recovery_ms"`
	ShortWaitP50MS         *float64 `json:"short_wait_p50_ms"`
	ShortWaitP99MS         *float64 `json:"short_wait_p99_ms"`
	ShortWaitP999MS        *float64 `json:"short_wait_p999_ms"`
	ShortWaitWithoutLongMS *float64 `json:"short_wait_p99_without_long_ms"`
	ShortWaitP99Ratio      *float64 `json:"short_wait_p99_ratio"`
	QueuedP50MS            *float64 `json:"queued_p50_ms"` // in the entry VM's queue, for work not declared long
	QueuedP99MS            *float64 `json:"queued_p99_ms"`
	QueuedP999MS           *float64 `json:"queued_p999_ms"`
	RetryRatio             *float64 `json:"retry_ratio"`
	SlotExcess             *int     `json:"slot_excess"`
	ConnectionExcess       *int     `json:"connection_excess"`
	ShedRatio              *float64 `json:"shed_ratio"`
	AddedP50MS             *float64 `json:"added_latency_p50_ms"`
	AddedP99MS             *float64 `json:"added_latency_p99_ms"`
	AddedKeyedP99MS        *float64 `json:"added_latency_keyed_p99_ms"`
	OverheadP50MS          *float64 `json:"overhead_p50_ms"` // latency minus work time and simulated path latency
	OverheadP99MS          *float64 `json:"overhead_p99_ms"`
	DirectOverheadP50MS    *float64 `json:"direct_overhead_p50_ms"`
	DirectOverheadP99MS    *float64 `json:"direct_overhead_p99_ms"`
	LatencyP50MS           *float64 `json:"latency_p50_ms"`
	LatencyP99MS           *float64 `json:"latency_p99_ms"`
	LatencyP999MS          *float64 `json:"latency_p999_ms"`
	GeneratorLagP99MS      *float64 `json:"generator_lag_p99_ms"`
	RegionBytes            *float64 `json:"region_bytes"`
	ControlBytesPerVMS     *float64 `json:"control_bytes_per_vm_s"`
	ExtraHopRatio          *float64 `json:"extra_hop_ratio"`
	Hedges                 *int     `json:"hedges"`
	Probes                 int      `json:"probes"`
	ProcessorCores         *float64 `json:"processor_cores"` // of the whole process: VMs, servers, proxies and callers

	LoadAverage *float64 `json:"load_average"` // of the machine over the last minute of the run

	Outcomes          map[outcome]int                    `json:"outcomes"`
	Codes             map[string]int                     `json:"codes"` // by route, outcome and Fulmar-Code
	Services          map[fleet.Service]*ServiceMeasures `json:"services"`
	Violations        []Violation                        `json:"findings,omitempty"`
	FalseEjectionList []FalseEjection                    `json:"falsely_ejected,omitempty"`
	FaultEvents       []FaultEvent                       `json:"marks,omitempty"`
	Timeline          []TimelineBucket                   `json:"timeline"`
}

// FalseEjection is a false ejection of a server, from the journal.
type FalseEjection struct {
	Server fleet.ServerID    `json:"server"`
	AtMS   float64           `json:"at_ms"`
	Reason string            `json:"reason"`
	Detail map[string]string `json:"detail,omitempty"`
}

// ServiceMeasures holds the results of one service after the warm-up.
type ServiceMeasures struct {
	Floor         int     `json:"floor"`
	LowestHealthy int     `json:"lowest_healthy"` // over the whole run
	WeightOffered float64 `json:"weight_offered"`
	WeightServed  float64 `json:"weight_served"` // answered correctly, once
	WeightNotRun  float64 `json:"weight_not_run"`
	WeightUnknown float64 `json:"weight_unknown"`
	WeightFailed  float64 `json:"weight_failed"`

	LatencyP50MS      *float64 `json:"latency_p50_ms"`
	LatencyP99MS      *float64 `json:"latency_p99_ms"`
	DetectionMedianMS *float64 `json:"detection_median_ms"`
	DetectionWorstMS  *float64 `json:"detection_worst_ms"`
}

func (s *ServiceMeasures) add(o outcome, weight float64, served bool) {
	s.WeightOffered += weight
	switch {
	case served:
		s.WeightServed += weight
	case o == outcomeNotRun || o == outcomeRefused:
		s.WeightNotRun += weight
	case o == outcomeFailed || o == outcomeWrong:
		s.WeightFailed += weight
	default:
		s.WeightUnknown += weight
	}
}

// ViolatedInvariants returns the violated invariants with their counts.
func (m *Measures) ViolatedInvariants() []string {
	var out []string
	for _, r := range []struct {
		name  string
		count int
	}{
		{"run_twice", m.RunTwice}, {"not_run_but_ran", m.NotRunButRan}, {"wrong_answer_passed", m.WrongResponsePassed},
		{"requests_cut", m.ResponsesTruncated}, {"floor_violations", m.FloorViolations},
	} {
		if r.count > 0 {
			out = append(out, fmt.Sprintf("%s=%d", r.name, r.count))
		}
	}
	return out
}

// tableRow is a row of the report's table.
type tableRow struct {
	name  string
	value func(*Measures) *float64
}

// median returns the median of a row over all runs of a policy that have a value.
func (r *Report) median(policy string, row tableRow) *float64 {
	var values []float64
	for _, m := range append([]*Measures{r.Policies[policy]}, r.Repeats[policy]...) {
		if v := row.value(m); v != nil {
			values = append(values, *v)
		}
	}
	if len(values) == 0 {
		return nil
	}
	slices.Sort(values)
	return &values[len(values)/2]
}

func count(f func(*Measures) int) func(*Measures) *float64 {
	return func(m *Measures) *float64 { return ptr(float64(f(m))) }
}

func optionalCount(f func(*Measures) *int) func(*Measures) *float64 {
	return func(m *Measures) *float64 {
		if v := f(m); v != nil {
			return ptr(float64(*v))
		}
		return nil
	}
}

var tableRows = []tableRow{
	{"run_twice", count(func(m *Measures) int { return m.RunTwice })},
	{"not_run_but_ran", count(func(m *Measures) int { return m.NotRunButRan })},
	{"wrong_answer_passed", count(func(m *Measures) int { return m.WrongResponsePassed })},
	{"requests_cut", count(func(m *Measures) int { return m.ResponsesTruncated })},
	{"floor_violations", count(func(m *Measures) int { return m.FloorViolations })},
	{"ejections", count(func(m *Measures) int { return m.Ejections })},
	{"false_ejections", count(func(m *Measures) int { return m.FalseEjections })},
	{"detection_median_ms", func(m *Measures) *float64 { return m.DetectionMedianMS }},
	{"detection_worst_ms", func(m *Measures) *float64 { return m.DetectionWorstMS }},
	{"undetected", count(func(m *Measures) int { return m.Undetected })},
	{"held_out_share", func(m *Measures) *float64 { return m.EjectedShare }},
	{"readmitted_worst_ms", func(m *Measures) *float64 { return m.ReadmissionWorstMS }},
	{"leaving_last_ms", func(m *Measures) *float64 { return m.LeavingLastWorkMS }},
	{"weight_served_ratio", func(m *Measures) *float64 { return m.WeightServedRatio }},
	{"weight_served_ratio_run", func(m *Measures) *float64 { return m.WeightServedRatioRun }},
	{"recovery_ms", func(m *Measures) *float64 { return m.RecoveryMS }},
	{"short_wait_p50_ms", func(m *Measures) *float64 { return m.ShortWaitP50MS }},
	{"short_wait_p99_ms", func(m *Measures) *float64 { return m.ShortWaitP99MS }},
	{"short_wait_p999_ms", func(m *Measures) *float64 { return m.ShortWaitP999MS }},
	{"short_wait_p99_without_long_ms", func(m *Measures) *float64 { return m.ShortWaitWithoutLongMS }},
	{"short_wait_p99_ratio", func(m *Measures) *float64 { return m.ShortWaitP99Ratio }},
	{"queued_p99_ms", func(m *Measures) *float64 { return m.QueuedP99MS }},
	{"retry_ratio", func(m *Measures) *float64 { return m.RetryRatio }},
	{"slot_excess", optionalCount(func(m *Measures) *int { return m.SlotExcess })},
	{"connection_excess", optionalCount(func(m *Measures) *int { return m.ConnectionExcess })},
	{"shed_ratio", func(m *Measures) *float64 { return m.ShedRatio }},
	{"added_latency_p50_ms", func(m *Measures) *float64 { return m.AddedP50MS }},
	{"added_latency_p99_ms", func(m *Measures) *float64 { return m.AddedP99MS }},
	{"added_latency_keyed_p99_ms", func(m *Measures) *float64 { return m.AddedKeyedP99MS }},
	{"overhead_p50_ms", func(m *Measures) *float64 { return m.OverheadP50MS }},
	{"direct_overhead_p50_ms", func(m *Measures) *float64 { return m.DirectOverheadP50MS }},
	{"direct_overhead_p99_ms", func(m *Measures) *float64 { return m.DirectOverheadP99MS }},
	{"latency_p50_ms", func(m *Measures) *float64 { return m.LatencyP50MS }},
	{"latency_p99_ms", func(m *Measures) *float64 { return m.LatencyP99MS }},
	{"latency_p999_ms", func(m *Measures) *float64 { return m.LatencyP999MS }},
	{"generator_lag_p99_ms", func(m *Measures) *float64 { return m.GeneratorLagP99MS }},
	{"region_bytes", func(m *Measures) *float64 { return m.RegionBytes }},
	{"control_bytes_per_vm_s", func(m *Measures) *float64 { return m.ControlBytesPerVMS }},
	{"extra_hop_ratio", func(m *Measures) *float64 { return m.ExtraHopRatio }},
	{"probes", count(func(m *Measures) int { return m.Probes })},
	{"load_average", func(m *Measures) *float64 { return m.LoadAverage }},
	{"processor_cores", func(m *Measures) *float64 { return m.ProcessorCores }},
}

func formatValue(v *float64) string {
	switch {
	case v == nil:
		return "-"
	case *v == float64(int64(*v)) && *v < 1e15:
		return fmt.Sprintf("%d", int64(*v))
	case *v >= 1000:
		return fmt.Sprintf("%.0f", *v)
	}
	return fmt.Sprintf("%.3f", *v)
}

// Write prints the report as a table with a column for each policy. With repeated runs,
// measures are medians over the runs, while counts of calls and weights are those of the
// first run. With several policies a second table shows the ratios to ProductPolicy.
func (r *Report) Write(out io.Writer) error {
	fmt.Fprintf(out, "%s, seed %d: %d VMs, %d servers, %d requests, %.0f requests/s at full capacity, %.0f at the peak\n",
		r.Scenario, r.Seed, r.Size.VMs, r.Size.Servers, r.Size.Requests, r.Size.CapacityRPS, r.Size.PeakRPS)
	names := r.policyNames()
	if n := len(r.Repeats[names[0]]); n > 0 {
		fmt.Fprintf(out, "medians of %d runs\n", n+1)
	}
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(t, "measure\t%s\t\n", strings.Join(names, "\t"))
	for _, row := range tableRows {
		fmt.Fprintf(t, "%s\t", row.name)
		for _, name := range names {
			fmt.Fprintf(t, "%s\t", formatValue(r.median(name, row)))
		}
		fmt.Fprintln(t)
	}
	for _, o := range []outcome{outcomeAnswered, outcomeNotRun, outcomeUnknown, outcomeFailed, outcomeWrong, outcomeCut, outcomeLost, outcomeRefused, outcomeTimeout} {
		fmt.Fprintf(t, "calls %s\t", o)
		for _, name := range names {
			fmt.Fprintf(t, "%d\t", r.Policies[name].Outcomes[o])
		}
		fmt.Fprintln(t)
	}
	r.writeServices(t, names)
	if len(names) > 1 && slices.Contains(names, ProductPolicy) {
		r.writeRatios(t, names)
	}
	return t.Flush()
}

func (r *Report) writeServices(t io.Writer, names []string) {
	var services []fleet.Service
	for name := range r.Policies[names[0]].Services {
		services = append(services, name)
	}
	slices.Sort(services)
	for _, s := range services {
		fmt.Fprintf(t, "%s lowest healthy/floor\t", s)
		for _, name := range names {
			v := r.Policies[name].Services[s]
			fmt.Fprintf(t, "%d/%d\t", v.LowestHealthy, v.Floor)
		}
		fmt.Fprintf(t, "\n%s weight served/offered\t", s)
		for _, name := range names {
			v := r.Policies[name].Services[s]
			fmt.Fprintf(t, "%.0f/%.0f\t", v.WeightServed, v.WeightOffered)
		}
		fmt.Fprintln(t)
	}
}

func (r *Report) writeRatios(t io.Writer, names []string) {
	fmt.Fprintf(t, "\t\nratio to %s\t%s\t\n", ProductPolicy, strings.Join(names, "\t"))
	for _, row := range tableRows {
		base := r.median(ProductPolicy, row)
		if base == nil || *base == 0 {
			continue
		}
		fmt.Fprintf(t, "%s\t", row.name)
		for _, name := range names {
			v := r.median(name, row)
			if v != nil {
				v = ptr(*v / *base)
			}
			fmt.Fprintf(t, "%s\t", formatValue(v))
		}
		fmt.Fprintln(t)
	}
}

// policyNames returns the policies of the report, the product's own first.
func (r *Report) policyNames() []string {
	var out []string
	for _, name := range Policies {
		if r.Policies[name] != nil {
			out = append(out, name)
		}
	}
	return out
}
