// Package fleetsim is a discrete-event simulation of the balancers of many VMs with
// modelled backend servers. It measures the quality of balancing decisions: requests
// served in time, late and unserved, retries, and bytes sent between zones. The same
// scenario and seed produce the same report, so that changes to the balancer can be
// compared without noise from the machine.
package fleetsim

import (
	"bytes"
	"encoding/json"
	"os"
	"time"

	"github.com/juju/errors"

	"github.com/fulmarbeam/fulmarbeam/pkg/document"
	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
)

// Scenario describes a fleet, its servers, its load and its failures.
type Scenario struct {
	Name          string            `json:"name"`
	About         string            `json:"about"`
	Duration      document.Duration `json:"duration"`
	Zones         []Zone            `json:"zones"`
	Slots         int               `json:"slots"` // requests that a server runs concurrently
	Queue         int               `json:"queue"` // requests that wait at a server; further ones are shed
	Routes        []Route           `json:"routes"`
	Rate          float64           `json:"rate"`             // requests per second over the whole fleet
	RateAmplitude float64           `json:"swing,omitempty"`  // relative amplitude of the rate around its mean
	Period        document.Duration `json:"period,omitempty"` // of the rate's oscillation
	Failing       Failing           `json:"failing"`
	Restart       *Restart          `json:"restart,omitempty"`
	Limits        *Limits           `json:"limits,omitempty"`
	Prices        Prices            `json:"prices"`
	Budget        Budget            `json:"budget"`
	Delays        Delays            `json:"delays"`
}

// Zone is a zone with its VMs and servers.
type Zone struct {
	Name    fleet.Zone   `json:"name"`
	Region  fleet.Region `json:"region"`
	VMs     int          `json:"vms"`
	Servers int          `json:"servers"`
	Idle    bool         `json:"idle,omitempty"` // its VMs get no requests of callers
}

// Route describes one class of requests.
type Route struct {
	Name             string            `json:"name"`
	Share            float64           `json:"share"`  // relative frequency among the routes
	Weight           float64           `json:"weight"` // value of a request in weighted ratios
	Idempotent       bool              `json:"idempotent,omitempty"`
	Attempts         int               `json:"attempts"`             // limit per request, the first one included
	Work             document.Duration `json:"work"`                 // mean work time at a healthy server, without the tail
	TailRatio        float64           `json:"tail,omitempty"`       // fraction of requests with longer work
	TailFactor       float64           `json:"tail_times,omitempty"` // factor by which the work of the tail is longer
	LatencyObjective document.Duration `json:"objective"`            // latency up to which a request is served in time
	Deadline         document.Duration `json:"deadline"`
	KB               float64           `json:"kb"`       // payload of request and response together
	Priority         int               `json:"priority"` // 0 is the most urgent
}

// Failing describes servers that alternate between healthy and failing episodes.
type Failing struct {
	Share        float64           `json:"share"`   // fraction of the time that a server fails
	Episode      document.Duration `json:"episode"` // mean length of an episode
	FailureRatio float64           `json:"fails"`   // fraction of requests that fail immediately during an episode
	ErrorRatio   float64           `json:"errors"`  // fraction of other requests that fail after their work
}

// Restart stops all VMs, or those of one zone, at the same time and starts them again.
type Restart struct {
	Zone   fleet.Zone        `json:"zone,omitempty"` // empty for all zones
	At     document.Duration `json:"at"`
	Down   document.Duration `json:"down"`
	Spread document.Duration `json:"spread"` // start times are spread over this duration
}

// Prices are the costs of traffic that leaves the zone, in units of one served request.
type Prices struct {
	ZonePerKB   float64 `json:"zone_per_kb"`   // between zones of a region
	RegionPerKB float64 `json:"region_per_kb"` // between regions
}

// Budget limits retries: in each window, at most Ratio times its requests plus Slack.
type Budget struct {
	Ratio  float64           `json:"ratio"`
	Window document.Duration `json:"window"`
	Slack  float64           `json:"slack"`
}

// Delays are the one-way network delays within a zone, within a region and between regions.
type Delays struct {
	Zone           document.Duration `json:"zone"`
	Region         document.Duration `json:"region"`
	BetweenRegions document.Duration `json:"far"`
}

// Limits of a scenario.
const (
	maxVMs      = 512
	maxServers  = 4096
	maxDuration = 10 * time.Minute
)

// Load reads a scenario in JSON with comments and checks it.
func Load(path string) (*Scenario, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Trace(err)
	}
	plain, err := document.Standardize(data)
	if err != nil {
		return nil, errors.Annotate(err, path)
	}
	var s Scenario
	d := json.NewDecoder(bytes.NewReader(plain))
	d.DisallowUnknownFields()
	if err := d.Decode(&s); err != nil {
		return nil, errors.Annotate(err, path)
	}
	return &s, errors.Annotate(s.Check(), path)
}

// Check validates the scenario and returns the first problem.
func (s *Scenario) Check() error {
	vms, servers, share, idle := 0, 0, 0.0, 0
	for _, z := range s.Zones {
		if z.Name == "" || z.Region == "" || z.VMs < 1 || z.Servers < 0 {
			return errors.NotValidf("zone %q: name, region, vms or servers", z.Name)
		}
		vms += z.VMs
		if z.Idle {
			idle += z.VMs
		}
		servers += z.Servers
	}
	for _, r := range s.Routes {
		if r.Name == "" || r.Share <= 0 || r.Attempts < 1 || r.Work <= 0 || r.LatencyObjective <= 0 || r.Deadline <= 0 {
			return errors.NotValidf("route %q: name, share, attempts, work, objective or deadline", r.Name)
		}
		share += r.Share
	}
	switch {
	case idle > 0 && idle == vms:
		return errors.NotValidf("zones that are all idle")
	case vms < 1 || vms > maxVMs:
		return errors.NotValidf("%d VMs, not 1 to %d", vms, maxVMs)
	case servers < 1 || servers > maxServers:
		return errors.NotValidf("%d servers, not 1 to %d", servers, maxServers)
	case s.Duration <= 0 || time.Duration(s.Duration) > maxDuration:
		return errors.NotValidf("duration %s, above 0 and at most %s", time.Duration(s.Duration), maxDuration)
	case share == 0 || s.Rate <= 0 || s.Slots < 1:
		return errors.NotValidf("routes, rate or slots: they must be above 0")
	case s.Failing.Share < 0 || s.Failing.Share >= 1 || s.Failing.Share > 0 && s.Failing.Episode <= 0:
		return errors.NotValidf("failing: a share below 1, with the length of an episode")
	case s.RateAmplitude < 0 || s.RateAmplitude >= 1 || s.RateAmplitude > 0 && s.Period <= 0:
		return errors.NotValidf("swing: below 1, with a period")
	case s.Budget.Window <= 0:
		return errors.NotValidf("budget.window must be above 0")
	case s.Limits != nil:
		return s.Limits.check()
	}
	return nil
}
