// Package settings reads the settings file of one VM: JSON with comments, checked
// as a whole. Every problem is reported at once with file, line, path and what is
// expected there.
package settings

import (
	"time"
)

// Settings is the content of a settings file. Load fills absent fields with the
// defaults of Default.
type Settings struct {
	Fleet        string    `json:"fleet"`     // name that all VMs of a fleet share; links refuse other fleets
	VM           VM        `json:"vm"`        // this VM's row in the platform's list
	Listen       Listen    `json:"listen"`    // addresses to bind
	Advertise    Advertise `json:"advertise"` // addresses that other VMs dial
	Platform     Platform  `json:"platform"`
	RootKey      string    `json:"root_key"` // base64 Ed25519 public key expected in genesis
	TLS          TLS       `json:"tls"`
	DrainDelay   Duration  `json:"drain_delay"`   // accepting goes on this long after SIGTERM
	DrainTimeout Duration  `json:"drain_timeout"` // the process exits after this time at the latest
	Limits       Limits    `json:"limits"`
	Log          Log       `json:"log"`
	Tracing      Tracing   `json:"tracing"`
}

// VM says which VM this is and where it runs.
type VM struct {
	ID     string `json:"id"`
	Region string `json:"region"`
	Zone   string `json:"zone"`
}

// Listen holds the addresses that the VM binds, as IP:port.
type Listen struct {
	Callers   string `json:"callers"`
	Links     string `json:"links"`
	Operators string `json:"operators"`
	Metrics   string `json:"metrics"` // empty: no metrics listener
}

// Advertise holds the addresses under which other VMs reach this one, as IP:port.
// An empty one means the address in Listen.
type Advertise struct {
	Links     string `json:"links"`
	Operators string `json:"operators"`
}

// Platform holds the platform's services and how often they are polled.
type Platform struct {
	LogURL       string   `json:"log_url"`
	ListURL      string   `json:"list_url"`
	ListInterval Duration `json:"list_interval"` // time between two readings of the VM list
	LogInterval  Duration `json:"log_interval"`  // time between two pulls of configuration records
	Timeout      Duration `json:"timeout"`       // of one request to either service
}

// TLS holds the certificates of links and of the operators' API.
type TLS struct {
	Links     Files `json:"links"`
	Operators Files `json:"operators"`
}

// Files names the PEM files of one listener. All are set or none.
type Files struct {
	Cert string `json:"cert"`
	Key  string `json:"key"`
	CA   string `json:"ca"`
}

// Enabled reports whether certificates are configured.
func (f Files) Enabled() bool { return f != Files{} }

// Limits bounds what callers can make the VM hold in memory.
type Limits struct {
	Header          Size `json:"header"`            // of one request
	BodyBuffer      Size `json:"body_buffer"`       // of one request body kept for a retry
	BodyBufferTotal Size `json:"body_buffer_total"` // of all buffered bodies
}

// Log selects what is logged and how.
type Log struct {
	Level  string `json:"level"`  // error, info or debug
	Format string `json:"format"` // json or console
}

// Tracing selects where spans go. An empty endpoint turns the export off.
type Tracing struct {
	OTLPEndpoint string  `json:"otlp_endpoint"` // URL of an OTLP HTTP receiver
	SampleRatio  float64 `json:"sample_ratio"`  // 0 to 1, for requests whose caller has not decided
}

// Default returns the values of absent fields.
func Default() *Settings {
	return &Settings{
		Platform: Platform{
			ListInterval: Duration(500 * time.Millisecond),
			LogInterval:  Duration(500 * time.Millisecond),
			Timeout:      Duration(2 * time.Second),
		},
		DrainDelay:   Duration(5 * time.Second),
		DrainTimeout: Duration(60 * time.Second),
		Limits: Limits{
			Header:          32 * KiB,
			BodyBuffer:      64 * KiB,
			BodyBufferTotal: 64 * MiB,
		},
		Log:     Log{Level: "info", Format: "json"},
		Tracing: Tracing{SampleRatio: 0.01},
	}
}

// LinkAddr returns the address that other VMs dial for links.
func (s *Settings) LinkAddr() string {
	if s.Advertise.Links != "" {
		return s.Advertise.Links
	}
	return s.Listen.Links
}

// OperatorsAddr returns the address at which other VMs reach the operators' API.
func (s *Settings) OperatorsAddr() string {
	if s.Advertise.Operators != "" {
		return s.Advertise.Operators
	}
	return s.Listen.Operators
}
