package bench

import (
	"fmt"
	"time"

	"github.com/fulmarbeam/fulmarbeam/pkg/document"
	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/standin"
)

// Duration is spelled as in "250ms".
type Duration = document.Duration

// Scenario is a run's data. Times of faults and of the arrival curve count from the
// start of the load.
type Scenario struct {
	Name     string                 `json:"name"`
	About    string                 `json:"about"`
	Share    string                 `json:"share,omitempty"` // how the size relates to the users' size, when it is not the same
	Seed     uint64                 `json:"seed,omitempty"`
	Duration Duration               `json:"duration"`
	Warmup   Duration               `json:"warmup"`
	Topology Topology               `json:"topology"`
	Services map[fleet.Service]Pool `json:"services"`
	Routes   map[string]Route       `json:"routes"`
	Arrivals []Point                `json:"arrivals"`
	Faults   []Fault                `json:"faults,omitempty"`
	Peak     *Span                  `json:"peak,omitempty"`
	Beside   Beside                 `json:"beside,omitempty"`
	Direct   float64                `json:"direct_rate,omitempty"` // direct calls per second, for added latency; 0 for none
}

// Topology is the fleet's place.
type Topology struct {
	Regions        []Region `json:"regions"`
	WithinZone     Duration `json:"within_zone,omitempty"` // one way
	BetweenZones   Duration `json:"between_zones"`         // one way, in a region
	BetweenRegions Duration `json:"between_regions"`       // one way
	ToClients      Duration `json:"to_clients"`            // one way, added in the books
}

// Region is a region with its zones.
type Region struct {
	Name       fleet.Region `json:"name"`
	Zones      []fleet.Zone `json:"zones"`
	VMsPerZone int          `json:"vms_per_zone"`
}

// Pool describes the servers of a service in all regions.
type Pool struct {
	Servers     map[fleet.Zone]int `json:"servers"`
	Slots       int                `json:"slots"`
	Connections int                `json:"connections"`
	Floor       document.Floor     `json:"floor"`
	Warmup      Duration           `json:"warmup,omitempty"`
	Cold        *Cold              `json:"cold,omitempty"`
}

// Cold is the cold start of servers that start or restart during the run. Servers
// are warm when the load begins.
type Cold struct {
	Lasts  Duration `json:"lasts"`
	Factor float64  `json:"factor"`
}

// Route describes requests of one kind.
type Route struct {
	Service    fleet.Service   `json:"service"`
	Method     string          `json:"method"`
	Idempotent bool            `json:"idempotent,omitempty"`
	Keyed      bool            `json:"keyed,omitempty"`
	Length     document.Length `json:"length,omitempty"` // what the document declares
	Long       bool            `json:"long,omitempty"`   // counts as long work in the report
	Weight     float64         `json:"weight"`
	Share      float64         `json:"share"` // of the arrivals, relative to the other routes
	Deadline   Duration        `json:"deadline"`
	Retries    int             `json:"retries,omitempty"`
	Answer     int             `json:"answer,omitempty"` // bytes; 0 for 16
	Work       Work            `json:"work"`
}

// Work is a distribution of work times.
type Work struct {
	Median          Duration `json:"median"`
	Sigma           float64  `json:"sigma,omitempty"` // of the logarithm
	StragglerShare  float64  `json:"straggler_share,omitempty"`
	StragglerFactor float64  `json:"straggler_factor,omitempty"`
}

// Point is a corner of the arrival curve. Exactly one of Rate and Load is set on all
// points of a curve.
type Point struct {
	At   Duration `json:"at"`
	Rate float64  `json:"rate,omitempty"` // requests per second
	Load float64  `json:"load,omitempty"` // share of the slots of the scarcest service
}

// Span is a time within the run.
type Span struct {
	Start Duration `json:"start"`
	End   Duration `json:"end"`
}

func (s Span) holds(t time.Duration) bool {
	return t >= time.Duration(s.Start) && t < time.Duration(s.End)
}

// afterPeak is the time after a peak in which its queue may still be there.
const afterPeak = 5 * time.Second

// crowded reports whether t lies in the peak or soon after it.
func (s *Scenario) crowded(t time.Duration) bool {
	return s.Peak != nil && t >= time.Duration(s.Peak.Start) && t < time.Duration(s.Peak.End)+afterPeak
}

// Beside asks for a second run without long work and stragglers.
type Beside string

// Values of Beside.
const (
	BesideNone     Beside = ""
	BesideArrivals Beside = "same-arrivals" // the other requests arrive as before
	BesideLoad     Beside = "same-load"     // the other requests fill the same share of slots
)

// FaultKind names a fault.
type FaultKind string

// Kinds of faults.
const (
	FaultGray       FaultKind = "gray"         // servers behave as mode says
	FaultCold       FaultKind = "cold_restart" // servers leave gracefully and start again cold
	FaultLeave      FaultKind = "server_leave" // servers are listed as leaving, drain, and are gone at the end
	FaultStart      FaultKind = "server_start" // count cold servers of service start in zone
	FaultVMKill     FaultKind = "vm_kill"      // VMs crash; at the end they start again
	FaultVMStop     FaultKind = "vm_stop"      // VMs shut down gracefully; at the end they start again
	FaultLinkCut    FaultKind = "link_cut"     // bytes from vms to to_vms are swallowed, not the other way
	FaultZoneCut    FaultKind = "zone_cut"     // zone is cut from all other zones
	FaultLogOutage  FaultKind = "log_outage"
	FaultListOutage FaultKind = "list_outage"
	FaultListLag    FaultKind = "list_lag"
	FaultRouteSlow  FaultKind = "route_slow"  // work of routes takes factor times longer everywhere
	FaultRouteFail  FaultKind = "route_fail"  // work of routes is answered 500 everywhere
	FaultBadCallers FaultKind = "bad_callers" // callers that leave early, send nonsense or ask for 4xx
)

// Fault is a fault with its target and time. A zero End lasts to the end of the run.
type Fault struct {
	Kind    FaultKind        `json:"kind"`
	Start   Duration         `json:"start"`
	End     Duration         `json:"end,omitempty"`
	Servers []fleet.ServerID `json:"servers,omitempty"`
	Service fleet.Service    `json:"service,omitempty"` // all its servers
	VMs     []fleet.VMID     `json:"vms,omitempty"`
	ToVMs   []fleet.VMID     `json:"to_vms,omitempty"`
	Zone    fleet.Zone       `json:"zone,omitempty"`
	Routes  []string         `json:"routes,omitempty"`
	Mode    *GrayMode        `json:"mode,omitempty"`
	Lag     Duration         `json:"lag,omitempty"`
	Factor  float64          `json:"factor,omitempty"`
	Count   int              `json:"count,omitempty"`
	Rate    float64          `json:"rate,omitempty"`
}

// GrayMode is standin.Mode as a scenario spells it.
type GrayMode struct {
	Fault     standin.Fault `json:"fault,omitempty"`
	FailShare float64       `json:"fail_share,omitempty"`
	Slower    float64       `json:"slower,omitempty"`
	Period    Duration      `json:"period,omitempty"`
}

func (g GrayMode) mode() standin.Mode {
	return standin.Mode{Fault: g.Fault, FailShare: g.FailShare, Slower: g.Slower, Period: time.Duration(g.Period)}
}

// span returns when the fault is in force, within a run of length d.
func (f Fault) span(d time.Duration) Span {
	if f.End == 0 {
		return Span{f.Start, Duration(d)}
	}
	return Span{f.Start, f.End}
}

// ownFault reports whether the fault is the named servers' own, so that ejecting them
// is right.
func (f Fault) ownFault() bool {
	return f.Kind == FaultGray && f.Service == "" || f.Kind == FaultLeave
}

// vmID and serverID name the n-th VM or server of a zone, counted from 1.
func vmID(z fleet.Zone, n int) fleet.VMID { return fleet.VMID(fmt.Sprintf("vm-%s-%d", z, n)) }

func serverID(s fleet.Service, z fleet.Zone, n int) fleet.ServerID {
	return fleet.ServerID(fmt.Sprintf("%s-%s-%d", s, z, n))
}

// regionOf returns the region of a zone.
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

// oneWay returns the latency between two zones.
func (t Topology) oneWay(a, b fleet.Zone) time.Duration {
	switch {
	case a == b:
		return time.Duration(t.WithinZone)
	case t.regionOf(a) == t.regionOf(b):
		return time.Duration(t.BetweenZones)
	}
	return time.Duration(t.BetweenRegions)
}

// zones returns all zones in the order of the scenario.
func (t Topology) zones() []fleet.Zone {
	var out []fleet.Zone
	for _, r := range t.Regions {
		out = append(out, r.Zones...)
	}
	return out
}

// mean returns the expected work time.
func (w Work) mean() time.Duration {
	m := float64(w.Median) * expHalfSquare(w.Sigma)
	return time.Duration(m * (1 + w.StragglerShare*(max(w.StragglerFactor, 1)-1)))
}

// total returns the number of servers.
func (p Pool) total() int {
	n := 0
	for _, k := range p.Servers {
		n += k
	}
	return n
}

// floor returns the service's floor in servers.
func (p Pool) floor() int {
	return max(p.Floor.Servers, (p.Floor.Percent*p.total()+99)/100)
}
