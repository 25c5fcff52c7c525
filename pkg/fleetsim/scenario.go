// Package fleetsim runs the balancers of many VMs against modelled backend servers on
// a simulated clock. It measures what decisions are worth: requests served, late and
// unserved, repeats, and bytes that leave the zone. The same scenario and seed give
// the same report, so that a change of the rules shows without noise of the machine.
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

// Scenario describes a fleet, its servers, its load and what fails.
type Scenario struct {
	Name     string            `json:"name"`
	About    string            `json:"about"`
	Duration document.Duration `json:"duration"`
	Zones    []Zone            `json:"zones"`
	Slots    int               `json:"slots"` // requests that a server runs at once
	Queue    int               `json:"queue"` // requests that wait at a server; more are shed
	Routes   []Route           `json:"routes"`
	Rate     float64           `json:"rate"`             // requests per second of the whole fleet
	Swing    float64           `json:"swing,omitempty"`  // the rate swings by this part around its mean
	Period   document.Duration `json:"period,omitempty"` // of the swing
	Failing  Failing           `json:"failing"`
	Restart  *Restart          `json:"restart,omitempty"`
	Prices   Prices            `json:"prices"`
	Budget   Budget            `json:"budget"`
	Delays   Delays            `json:"delays"`
}

// Zone is a zone with its VMs and servers.
type Zone struct {
	Name    fleet.Zone   `json:"name"`
	Region  fleet.Region `json:"region"`
	VMs     int          `json:"vms"`
	Servers int          `json:"servers"`
}

// Route is a kind of request.
type Route struct {
	Name       string            `json:"name"`
	Share      float64           `json:"share"` // of the requests
	Weight     float64           `json:"weight"`
	Idempotent bool              `json:"idempotent,omitempty"`
	Attempts   int               `json:"attempts"`
	Work       document.Duration `json:"work"` // mean at a healthy server
	Tail       float64           `json:"tail,omitempty"`
	TailTimes  float64           `json:"tail_times,omitempty"` // how many times longer the tail's work is
	Objective  document.Duration `json:"objective"`
	Deadline   document.Duration `json:"deadline"`
	KB         float64           `json:"kb"` // of request and answer together
	Priority   int               `json:"priority"`
}

// Failing describes servers that fail by turns.
type Failing struct {
	Share   float64           `json:"share"`   // of the time that a server fails
	Episode document.Duration `json:"episode"` // mean length
	Fails   float64           `json:"fails"`   // of its requests during an episode, at once
	Errors  float64           `json:"errors"`  // of the requests at healthy servers
}

// Restart stops all VMs at once and starts them anew.
type Restart struct {
	At     document.Duration `json:"at"`
	Down   document.Duration `json:"down"`
	Spread document.Duration `json:"spread"` // the last VM starts this much later than the first
}

// Prices weigh bytes as the balancers do, in served requests.
type Prices struct {
	ZonePerKB   float64 `json:"zone_per_kb"`
	RegionPerKB float64 `json:"region_per_kb"`
}

// Budget bounds repeats.
type Budget struct {
	Ratio  float64           `json:"ratio"`
	Window document.Duration `json:"window"`
	Slack  float64           `json:"slack"`
}

// Delays are those of the network, one way.
type Delays struct {
	Zone   document.Duration `json:"zone"`
	Region document.Duration `json:"region"`
	Far    document.Duration `json:"far"`
}

// Bounds of a scenario.
const (
	maxVMs      = 512
	maxServers  = 4096
	maxDuration = 10 * time.Minute
)

// Load reads and checks a scenario in JSON with comments.
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

// Check returns the first problem of the scenario.
func (s *Scenario) Check() error {
	vms, servers, share := 0, 0, 0.0
	for _, z := range s.Zones {
		if z.Name == "" || z.Region == "" || z.VMs < 1 || z.Servers < 0 {
			return errors.NotValidf("zone %q: name, region, vms or servers", z.Name)
		}
		vms += z.VMs
		servers += z.Servers
	}
	for _, r := range s.Routes {
		if r.Name == "" || r.Share <= 0 || r.Attempts < 1 || r.Work <= 0 || r.Objective <= 0 || r.Deadline <= 0 {
			return errors.NotValidf("route %q: name, share, attempts, work, objective or deadline", r.Name)
		}
		share += r.Share
	}
	switch {
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
	case s.Swing < 0 || s.Swing >= 1 || s.Swing > 0 && s.Period <= 0:
		return errors.NotValidf("swing: below 1, with a period")
	case s.Budget.Window <= 0:
		return errors.NotValidf("budget.window must be above 0")
	}
	return nil
}
