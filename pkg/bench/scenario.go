package bench

import (
	"fmt"
	"time"

	"github.com/fulmarbeam/fulmarbeam/pkg/document"
	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/standin"
)

// Duration is a time span, written as in "250ms".
type Duration = document.Duration

// Scenario describes a benchmark run. Times of faults and of the arrival curve are
// relative to the start of the load.
type Scenario struct {
	Name       string                 `json:"name"`
	About      string                 `json:"about"`
	Scale      string                 `json:"share,omitempty"` // how the size relates to the real deployment, if it differs
	Seed       uint64                 `json:"seed,omitempty"`
	Duration   Duration               `json:"duration"`
	Warmup     Duration               `json:"warmup"`
	Topology   Topology               `json:"topology"`
	Services   map[fleet.Service]Pool `json:"services"`
	Routes     map[string]Route       `json:"routes"`
	Arrivals   []ArrivalPoint         `json:"arrivals"`
	Faults     []Fault                `json:"faults,omitempty"`
	Peak       *Span                  `json:"peak,omitempty"`
	Comparison Comparison             `json:"beside,omitempty"`
	DirectRate float64                `json:"direct_rate,omitempty"` // direct calls per second, for added latency; 0 for none
}

// Topology lists the fleet's regions and the latencies between them.
type Topology struct {
	Regions        []Region `json:"regions"`
	WithinZone     Duration `json:"within_zone,omitempty"` // one way
	BetweenZones   Duration `json:"between_zones"`         // one way, in a region
	BetweenRegions Duration `json:"between_regions"`       // one way
	ToClients      Duration `json:"to_clients"`            // one way; added to reported latencies, not simulated
}

type Region struct {
	Name       fleet.Region `json:"name"`
	Zones      []fleet.Zone `json:"zones"`
	VMsPerZone int          `json:"vms_per_zone"`
}

// Pool describes the servers of a service in all regions.
type Pool struct {
	Servers     map[fleet.Zone]int `json:"servers"`
	Slots       int                `json:"slots"`       // of each server
	Connections int                `json:"connections"` // of each server
	Floor       document.Floor     `json:"floor"`
	Warmup      Duration           `json:"warmup,omitempty"`
	ColdStart   *ColdStart         `json:"cold,omitempty"`
}

// ColdStart describes the slow start of servers that start or restart during the run.
// Servers are warm when the load begins.
type ColdStart struct {
	Duration Duration `json:"lasts"`
	Factor   float64  `json:"factor"` // factor on work times at the start; falls linearly to 1
}

// Route describes the requests of one route.
type Route struct {
	Service       fleet.Service   `json:"service"`
	Method        string          `json:"method"`
	Idempotent    bool            `json:"idempotent,omitempty"`
	Keyed         bool            `json:"keyed,omitempty"`
	Length        document.Length `json:"length,omitempty"` // as declared in the document
	Long          bool            `json:"long,omitempty"`   // reported as long work
	Weight        float64         `json:"weight"`
	Share         float64         `json:"share"` // of the arrivals, relative to the shares of the other routes
	Deadline      Duration        `json:"deadline"`
	Retries       int             `json:"retries,omitempty"`
	ResponseBytes int             `json:"answer,omitempty"` // response body size in bytes; 0 means 16
	Work          Work            `json:"work"`
}

// Work is a log-normal distribution of work times with optional stragglers.
type Work struct {
	Median          Duration `json:"median"`
	Sigma           float64  `json:"sigma,omitempty"` // of the logarithm
	StragglerShare  float64  `json:"straggler_share,omitempty"`
	StragglerFactor float64  `json:"straggler_factor,omitempty"`
}

// ArrivalPoint is a vertex of the piecewise linear arrival curve. All points of a curve
// set the same one of Rate and Load.
type ArrivalPoint struct {
	At   Duration `json:"at"`
	Rate float64  `json:"rate,omitempty"` // requests per second
	Load float64  `json:"load,omitempty"` // share of the slots of the most loaded service, see Scenario.capacity
}

// Span is a half-open interval of the run.
type Span struct {
	Start Duration `json:"start"`
	End   Duration `json:"end"`
}

func (s Span) contains(t time.Duration) bool {
	return t >= time.Duration(s.Start) && t < time.Duration(s.End)
}

// peakDrainTime is how long queues may take to drain after a peak.
const peakDrainTime = 5 * time.Second

// nearPeak reports whether t lies in the peak or within peakDrainTime after it.
func (s *Scenario) nearPeak(t time.Duration) bool {
	return s.Peak != nil && t >= time.Duration(s.Peak.Start) && t < time.Duration(s.Peak.End)+peakDrainTime
}

// Comparison selects a comparison run without long work and stragglers.
type Comparison string

// Kinds of comparison runs.
const (
	ComparisonNone         Comparison = ""
	ComparisonSameArrivals Comparison = "same-arrivals" // the other requests arrive at the same rate
	ComparisonSameLoad     Comparison = "same-load"     // the other requests use the same share of slots
)

// FaultKind names a fault.
type FaultKind string

// Kinds of faults.
const (
	FaultGray        FaultKind = "gray"         // servers misbehave as described by mode
	FaultColdRestart FaultKind = "cold_restart" // servers drain and restart cold
	FaultServerLeave FaultKind = "server_leave" // servers are listed as leaving, drain, and are removed at the end
	FaultServerStart FaultKind = "server_start" // count cold servers of service start in zone
	FaultVMKill      FaultKind = "vm_kill"      // VMs crash; they restart at the end
	FaultVMStop      FaultKind = "vm_stop"      // VMs shut down gracefully; they restart at the end
	FaultLinkCut     FaultKind = "link_cut"     // bytes from vms to to_vms are dropped, but not in the other direction
	FaultZoneCut     FaultKind = "zone_cut"     // zone is partitioned from all other zones
	FaultLogOutage   FaultKind = "log_outage"
	FaultListOutage  FaultKind = "list_outage"
	FaultListLag     FaultKind = "list_lag"
	FaultRouteSlow   FaultKind = "route_slow"  // work of routes takes factor times as long on all servers
	FaultRouteFail   FaultKind = "route_fail"  // work of routes fails with status 500 on all servers
	FaultBadCallers  FaultKind = "bad_callers" // callers that disconnect early, send malformed requests or cause 4xx responses
)

// Fault is a fault with its targets and times. With a zero End it lasts until the end of
// the run. The kind determines which other fields are used.
type Fault struct {
	Kind    FaultKind        `json:"kind"`
	Start   Duration         `json:"start"`
	End     Duration         `json:"end,omitempty"`
	Servers []fleet.ServerID `json:"servers,omitempty"`
	Service fleet.Service    `json:"service,omitempty"` // all servers of the service
	VMs     []fleet.VMID     `json:"vms,omitempty"`
	ToVMs   []fleet.VMID     `json:"to_vms,omitempty"`
	Zone    fleet.Zone       `json:"zone,omitempty"`
	Routes  []string         `json:"routes,omitempty"`
	Mode    *GrayMode        `json:"mode,omitempty"`
	Lag     Duration         `json:"lag,omitempty"`    // for list_lag
	Factor  float64          `json:"factor,omitempty"` // for route_slow: factor on work times
	Count   int              `json:"count,omitempty"`  // for server_start
	Rate    float64          `json:"rate,omitempty"`   // for bad_callers: requests per second
}

// GrayMode is the scenario form of standin.Mode.
type GrayMode struct {
	Fault     standin.Fault `json:"fault,omitempty"`
	FailShare float64       `json:"fail_share,omitempty"` // share of the requests that have the fault; 0 means all
	Slowdown  float64       `json:"slower,omitempty"`     // factor on work times; 0 means 1
	Period    Duration      `json:"period,omitempty"`     // of flapping: faulty in the first half, then healthy; 0 for none
}

func (g GrayMode) standinMode() standin.Mode {
	return standin.Mode{Fault: g.Fault, FailShare: g.FailShare, WorkFactor: g.Slowdown, FlapPeriod: time.Duration(g.Period)}
}

// span returns when the fault is active in a run of length d.
func (f Fault) span(d time.Duration) Span {
	if f.End == 0 {
		return Span{f.Start, Duration(d)}
	}
	return Span{f.Start, f.End}
}

// isServerFault reports whether the fault lies in the named servers themselves, so that
// ejecting them is correct.
func (f Fault) isServerFault() bool {
	return f.Kind == FaultGray && f.Service == "" || f.Kind == FaultServerLeave
}

// vmID and serverID return the id of the n-th VM or server of a zone, counted from 1.
func vmID(z fleet.Zone, n int) fleet.VMID { return fleet.VMID(fmt.Sprintf("vm-%s-%d", z, n)) }

func serverID(s fleet.Service, z fleet.Zone, n int) fleet.ServerID {
	return fleet.ServerID(fmt.Sprintf("%s-%s-%d", s, z, n))
}

// regionOf returns the region of a zone, or "" for an unknown zone.
func (t Topology) regionOf(z fleet.Zone) fleet.Region {
	for _, r := range t.Regions {
		for _, zone := range r.Zones {
			if zone == z {
				return r.Name
			}
		}
	}
	return ""
}

// oneWay returns the one-way latency between two zones.
func (t Topology) oneWay(a, b fleet.Zone) time.Duration {
	switch {
	case a == b:
		return time.Duration(t.WithinZone)
	case t.regionOf(a) == t.regionOf(b):
		return time.Duration(t.BetweenZones)
	}
	return time.Duration(t.BetweenRegions)
}

// zones returns all zones in scenario order.
func (t Topology) zones() []fleet.Zone {
	var out []fleet.Zone
	for _, r := range t.Regions {
		out = append(out, r.Zones...)
	}
	return out
}

// mean returns the mean of the distribution.
func (w Work) mean() time.Duration {
	m := float64(w.Median) * logNormalMeanFactor(w.Sigma)
	return time.Duration(m * (1 + w.StragglerShare*(max(w.StragglerFactor, 1)-1)))
}

// total returns the number of servers in all zones.
func (p Pool) total() int {
	n := 0
	for _, k := range p.Servers {
		n += k
	}
	return n
}

// floor returns the ejection floor as a number of servers.
func (p Pool) floor() int {
	return max(p.Floor.Servers, (p.Floor.Percent*p.total()+99)/100)
}
