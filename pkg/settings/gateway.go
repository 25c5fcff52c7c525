package settings

import (
	"net/netip"
	"time"
)

// Gateway is the content of the settings file of a VM on a platform with a store. The VM
// reads servers and configuration from the store and discovers other VMs through the seeds.
type Gateway struct {
	VM          VM                `json:"vm"`
	Cores       float64           `json:"cores"` // processor share of the VM in cores; 0 if unknown. Larger VMs relay for others
	Zones       map[string]string `json:"zones"` // region of each zone
	Listen      GatewayListen     `json:"listen"`
	Seeds       []string          `json:"seeds"` // IP addresses of VMs to contact at start, with or without a port
	Store       Store             `json:"store"`
	Shutdown    Shutdown          `json:"shutdown"`
	RetryBudget RetryBudget       `json:"repeats"`
	Prices      Prices            `json:"prices"`
	Limits      Limits            `json:"limits"`
	Workspaces  Workspaces        `json:"workspaces"`
	Quotas      Quotas            `json:"quotas"`
	Log         Log               `json:"log"`
	Tracing     Tracing           `json:"tracing"`
}

// GatewayListen holds the addresses that the VM listens on, as IP:port.
type GatewayListen struct {
	Callers string `json:"callers"`
	Ready   string `json:"ready"`   // readiness probe
	Links   string `json:"links"`   // datagrams and state transfers between VMs; all VMs use the same port
	Metrics string `json:"metrics"` // empty: no metrics listener
}

// Store locates the platform's store.
type Store struct {
	Address string `json:"address"` // IP:port
}

// Shutdown bounds the graceful shutdown after SIGTERM.
type Shutdown struct {
	Timeout    Duration `json:"grace"` // the process exits at the latest this long after SIGTERM
	DrainDelay Duration `json:"leave"` // how long connections are still accepted and kept open
}

// RetryBudget bounds the retries of requests to a service's servers.
type RetryBudget struct {
	Ratio  float64  `json:"ratio"`  // retries per request
	Window Duration `json:"window"` // period over which the limit holds
	Slack  float64  `json:"slack"`  // retries per window beyond the ratio, for the whole fleet
}

// Prices is the cost per kilobyte of traffic that leaves the zone, in units of one
// served request.
type Prices struct {
	CrossZonePerKB   float64 `json:"zone_per_kb"`   // between zones of a region
	CrossRegionPerKB float64 `json:"region_per_kb"` // between regions
}

// Workspaces specifies what becomes of withdrawn API keys of workspaces.
type Workspaces struct {
	Revocation Duration `json:"revocation"`  // a withdrawn key is out of use after this time
	FailClosed bool     `json:"fail_closed"` // keys are refused while the configuration has not been confirmed for that time
}

// Quotas specifies how exactly the quotas of workspaces are kept.
type Quotas struct {
	Slack float64 `json:"slack"` // requests of a workspace that the fleet may admit beyond its quota in any 5 s
}

// DefaultGateway returns the settings with the default values of optional fields.
func DefaultGateway() *Gateway {
	return &Gateway{
		Shutdown:    Shutdown{Timeout: Duration(6 * time.Second), DrainDelay: Duration(3 * time.Second)},
		RetryBudget: RetryBudget{Ratio: 0.1, Window: Duration(10 * time.Second), Slack: 0},
		Prices:      Prices{CrossZonePerKB: 0.005, CrossRegionPerKB: 0.04},
		Limits:      Limits{Header: 32 * KiB, HeaderTotal: 16 * MiB, BodyBuffer: 64 * KiB, BodyBufferTotal: 64 * MiB},
		Workspaces:  Workspaces{Revocation: Duration(5 * time.Second)},
		Log:         Log{Level: "info", Format: "json"},
		Tracing:     Tracing{SampleRatio: 0.01},
	}
}

// LoadGateway reads and validates a settings file with the content of Gateway. Its errors are those
// of Load.
func LoadGateway(path string) (*Gateway, error) {
	data, err := readFile(path)
	if err != nil {
		return nil, err
	}
	return ParseGateway(path, data)
}

// ParseGateway parses and validates the content of a settings file. The name is the file name
// in problems.
func ParseGateway(name string, data []byte) (*Gateway, error) {
	g := DefaultGateway()
	if err := parse(name, data, g, func(d *decoder) { d.checkGateway(g) }); err != nil {
		return nil, err
	}
	return g, nil
}

func (d *decoder) checkGateway(g *Gateway) {
	d.checkVM(g.VM)
	if region, ok := g.Zones[g.VM.Zone]; !ok || region != g.VM.Region {
		d.fail("zones", "expected zone %q in region %q, as in vm", g.VM.Zone, g.VM.Region)
	}
	for _, a := range []struct {
		path, value string
		optional    bool
	}{
		{"listen.callers", g.Listen.Callers, false}, {"listen.ready", g.Listen.Ready, false},
		{"listen.links", g.Listen.Links, false}, {"listen.metrics", g.Listen.Metrics, true},
		{"store.address", g.Store.Address, false},
	} {
		if a.value == "" && a.optional {
			continue
		}
		if addr, err := netip.ParseAddrPort(a.value); err != nil || addr.Port() == 0 {
			d.fail(a.path, `expected an IP address and a port, such as "127.0.0.1:8080", found %q`, a.value)
		}
	}
	for _, seed := range g.Seeds {
		if _, err := SeedAddr(seed); err != nil {
			d.fail("seeds", "expected IP addresses with or without a port, found %q", seed)
		}
	}
	d.checkDuration("shutdown.grace", g.Shutdown.Timeout, time.Second, maxDrainTimeout)
	d.checkDuration("shutdown.leave", g.Shutdown.DrainDelay, 0, maxDrainDelay)
	d.checkDuration("repeats.window", g.RetryBudget.Window, time.Second, time.Hour)
	d.checkDuration("workspaces.revocation", g.Workspaces.Revocation, minRevocation, maxRevocation)
	d.checkFraction("repeats.ratio", g.RetryBudget.Ratio)
	for path, v := range map[string]float64{"cores": g.Cores, "repeats.slack": g.RetryBudget.Slack, "quotas.slack": g.Quotas.Slack, "prices.zone_per_kb": g.Prices.CrossZonePerKB, "prices.region_per_kb": g.Prices.CrossRegionPerKB} {
		if !(v >= 0) {
			d.fail(path, "expected a non-negative number, found %v", v)
		}
	}
	d.checkLimits(g.Limits)
	d.checkTelemetry(g.Log, g.Tracing)
}

// SeedAddr returns the IP address of a seed.
func SeedAddr(seed string) (netip.Addr, error) {
	if a, err := netip.ParseAddrPort(seed); err == nil {
		return a.Addr(), nil
	}
	return netip.ParseAddr(seed)
}
