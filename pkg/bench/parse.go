package bench

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"os"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/fulmarbeam/fulmarbeam/pkg/document"
	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
)

// Limits of a scenario.
const (
	maxDuration  = 5 * time.Minute
	maxVMs       = 64
	maxServers   = 256
	maxRate      = 20000 // requests per second that one machine can generate
	maxListeners = 1200  // fault proxies, one for each link between VMs and each path from a zone to a server
)

// Load reads and validates a scenario file.
func Load(path string) (*Scenario, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Trace(err)
	}
	s, err := Parse(data)
	return s, errors.Annotate(err, path)
}

// Parse decodes a scenario in JSON with comments and validates it. The error lists
// every problem found.
func Parse(data []byte) (*Scenario, error) {
	plain, err := document.Standardize(data)
	if err != nil {
		return nil, errors.Trace(err)
	}
	var s Scenario
	d := json.NewDecoder(bytes.NewReader(plain))
	d.DisallowUnknownFields()
	if err := d.Decode(&s); err != nil {
		return nil, errors.Errorf("scenario: %s", strings.TrimPrefix(err.Error(), "json: "))
	}
	if d.More() {
		return nil, errors.New("scenario: unexpected data after the document")
	}
	if problems := s.check(); len(problems) > 0 {
		return nil, errors.Errorf("scenario: %s", strings.Join(problems, "; "))
	}
	return &s, nil
}

// logNormalMeanFactor returns the ratio of mean to median of a log-normal distribution.
func logNormalMeanFactor(sigma float64) float64 { return math.Exp(sigma * sigma / 2) }

// checker collects the problems found in a scenario.
type checker struct {
	scenario *Scenario
	problems []string
	zones    map[fleet.Zone]bool
	vms      map[fleet.VMID]bool
	servers  map[fleet.ServerID]bool
}

func (c *checker) need(ok bool, format string, args ...any) {
	if !ok {
		c.problems = append(c.problems, fmt.Sprintf(format, args...))
	}
}

func (s *Scenario) check() []string {
	c := &checker{scenario: s, zones: map[fleet.Zone]bool{}, vms: map[fleet.VMID]bool{}, servers: map[fleet.ServerID]bool{}}
	c.need(s.Name != "", "name is missing")
	c.need(s.Duration > 0 && time.Duration(s.Duration) <= maxDuration, "duration must be above 0 and at most %s", maxDuration)
	c.need(s.Warmup >= 0 && s.Warmup < s.Duration, "warmup must be shorter than the duration")
	c.need(s.DirectRate >= 0 && s.DirectRate <= 200, "direct_rate must be 0 to 200")
	c.need(s.Comparison == ComparisonNone || s.Comparison == ComparisonSameArrivals || s.Comparison == ComparisonSameLoad, "beside must be %q or %q", ComparisonSameArrivals, ComparisonSameLoad)
	c.topology()
	c.services()
	c.routes()
	c.arrivals()
	if s.Peak != nil {
		c.need(s.Peak.Start >= s.Warmup && s.Peak.End > s.Peak.Start && s.Peak.End <= s.Duration, "peak must lie between the warm-up and the end")
	}
	for i, f := range s.Faults {
		c.fault(fmt.Sprintf("faults[%d] (%s)", i, f.Kind), f)
	}
	return c.problems
}

func (c *checker) topology() {
	t := c.scenario.Topology
	c.need(len(t.Regions) > 0, "topology.regions is empty")
	for _, r := range t.Regions {
		c.need(r.Name != "" && len(r.Zones) > 0, "a region needs a name and zones")
		c.need(r.VMsPerZone >= 1, "region %q: vms_per_zone must be 1 or more", r.Name)
		for _, z := range r.Zones {
			c.need(z != "" && !c.zones[z], "zone %q is empty or repeated", z)
			c.zones[z] = true
			for n := 1; n <= r.VMsPerZone && n <= maxVMs; n++ {
				c.vms[vmID(z, n)] = true
			}
		}
	}
	c.need(len(c.vms) <= maxVMs, "more than %d VMs", maxVMs)
	for name, d := range map[string]Duration{"within_zone": t.WithinZone, "between_zones": t.BetweenZones, "between_regions": t.BetweenRegions, "to_clients": t.ToClients} {
		c.need(d >= 0 && time.Duration(d) <= time.Second, "topology.%s must be 0 to 1s", name)
	}
}

func (c *checker) services() {
	c.need(len(c.scenario.Services) > 0, "services is empty")
	for name, p := range c.scenario.Services {
		for z, n := range p.Servers {
			c.need(c.zones[z], "service %q: zone %q is not in the topology", name, z)
			c.need(n >= 0 && n <= maxServers, "service %q: %d servers in %q", name, n, z)
			for k := 1; k <= n && k <= maxServers; k++ {
				c.servers[serverID(name, z, k)] = true
			}
		}
		c.need(p.total() > 0, "service %q has no servers", name)
		c.need(p.Slots >= 1 && p.Slots <= 1000, "service %q: slots must be 1 to 1000", name)
		c.need(p.Connections >= p.Slots, "service %q: connections must not be fewer than slots", name)
		c.need(p.Floor.Percent >= 0 && p.Floor.Percent <= 100 && p.Floor.Servers >= 0 && p.floor() <= p.total(), "service %q: the floor exceeds the servers", name)
		c.need(p.ColdStart == nil || p.ColdStart.Duration > 0 && p.ColdStart.Factor > 1, "service %q: cold needs lasts above 0 and factor above 1", name)
	}
	c.need(len(c.servers) <= maxServers, "more than %d servers", maxServers)
	listeners := len(c.vms)*(len(c.vms)-1) + len(c.zones)*len(c.servers)
	c.need(listeners <= maxListeners, "%d fault proxies would be needed, at most %d are allowed", listeners, maxListeners)
}

func (c *checker) routes() {
	c.need(len(c.scenario.Routes) > 0, "routes is empty")
	total := 0.0
	for name, r := range c.scenario.Routes {
		_, known := c.scenario.Services[r.Service]
		c.need(known, "route %q: service %q is not described", name, r.Service)
		c.need(r.Method == "GET" || r.Method == "POST", "route %q: method must be GET or POST", name)
		c.need(!(r.Keyed && r.Idempotent), "route %q cannot be keyed and idempotent", name)
		c.need(r.Share >= 0 && r.Weight > 0, "route %q: share must be 0 or more and weight above 0", name)
		c.need(r.Deadline > 0, "route %q: deadline must be above 0", name)
		c.need(r.Work.Median > 0 && r.Work.Sigma >= 0 && r.Work.Sigma <= 3, "route %q: work needs a median above 0 and sigma 0 to 3", name)
		c.need(r.Work.StragglerShare >= 0 && r.Work.StragglerShare <= 1, "route %q: straggler_share must be 0 to 1", name)
		c.need(r.Work.StragglerShare == 0 || r.Work.StragglerFactor >= 1, "route %q: straggler_factor must be 1 or more", name)
		c.need(r.ResponseBytes >= 0 && r.ResponseBytes <= 64<<10, "route %q: answer must be 0 to 65536 bytes", name)
		total += r.Share
	}
	c.need(total > 0, "no route has a share of the arrivals")
}

func (c *checker) arrivals() {
	points := c.scenario.Arrivals
	c.need(len(points) > 0, "arrivals is empty")
	rates, loads := false, false
	for i, p := range points {
		c.need(p.At >= 0 && (i == 0 || p.At >= points[i-1].At), "arrivals[%d]: at must not decrease", i)
		c.need(p.Rate >= 0 && p.Rate <= maxRate, "arrivals[%d]: rate must be 0 to %d", i, maxRate)
		c.need(p.Load >= 0 && p.Load <= 10, "arrivals[%d]: load must be 0 to 10", i)
		rates, loads = rates || p.Rate > 0, loads || p.Load > 0
	}
	c.need(rates != loads, "arrivals must use either rate or load, with a value above 0")
}

func (c *checker) fault(prefix string, f Fault) {
	s := f.span(time.Duration(c.scenario.Duration))
	c.need(f.Start >= 0 && s.End > s.Start && s.End <= c.scenario.Duration, "%s: start and end must lie in the run", prefix)
	for _, id := range f.Servers {
		c.need(c.servers[id], "%s: server %q is not in the scenario", prefix, id)
	}
	for _, id := range append(append([]fleet.VMID{}, f.VMs...), f.ToVMs...) {
		c.need(c.vms[id], "%s: VM %q is not in the scenario", prefix, id)
	}
	for _, name := range f.Routes {
		_, known := c.scenario.Routes[name]
		c.need(known, "%s: route %q is not in the scenario", prefix, name)
	}
	_, service := c.scenario.Services[f.Service]
	c.need(f.Service == "" || service, "%s: service %q is not in the scenario", prefix, f.Service)
	targets := len(f.Servers) > 0 || service
	switch f.Kind {
	case FaultGray:
		c.need(targets && f.Mode != nil, "%s needs servers or a service, and a mode", prefix)
		c.need(f.Mode == nil || f.Mode.FailShare >= 0 && f.Mode.FailShare <= 1 && f.Mode.Slowdown >= 0 && f.Mode.Period >= 0, "%s: mode is out of range", prefix)
	case FaultColdRestart:
		c.need(targets, "%s needs servers or a service", prefix)
	case FaultServerLeave:
		c.need(len(f.Servers) > 0, "%s needs servers", prefix)
	case FaultServerStart:
		c.need(service && c.zones[f.Zone] && f.Count >= 1 && f.Count <= maxServers, "%s needs a service, a zone and a count", prefix)
	case FaultVMKill, FaultVMStop:
		c.need(len(f.VMs) > 0, "%s needs vms", prefix)
	case FaultLinkCut:
		c.need(len(f.VMs) > 0 && len(f.ToVMs) > 0, "%s needs vms and to_vms", prefix)
	case FaultZoneCut:
		c.need(c.zones[f.Zone], "%s needs a zone of the topology", prefix)
	case FaultListLag:
		c.need(f.Lag > 0, "%s needs a lag", prefix)
	case FaultRouteSlow:
		c.need(len(f.Routes) > 0 && f.Factor > 1, "%s needs routes and a factor above 1", prefix)
	case FaultRouteFail:
		c.need(len(f.Routes) > 0, "%s needs routes", prefix)
	case FaultBadCallers:
		c.need(f.Rate > 0 && f.Rate <= maxRate, "%s needs a rate", prefix)
	case FaultLogOutage, FaultListOutage:
	default:
		c.need(false, "%s: unknown kind", prefix)
	}
}
