// Package settings reads and validates the settings file of one VM, which is JSON with
// comments. All problems of a file are reported together, each with file, line, path and
// the expected value.
package settings

import (
	"time"
)

// Settings is the content of a settings file. Load fills absent fields with the values
// of Default.
type Settings struct {
	Fleet        string    `json:"fleet"`     // name shared by all VMs of a fleet; links to other fleets are refused
	VM           VM        `json:"vm"`        // this VM's entry in the platform's list
	Listen       Listen    `json:"listen"`    // addresses to bind
	Advertise    Advertise `json:"advertise"` // addresses that other VMs dial
	Platform     Platform  `json:"platform"`
	RootKey      string    `json:"root_key"` // base64 Ed25519 public key expected in the genesis record
	TLS          TLS       `json:"tls"`
	DrainDelay   Duration  `json:"drain_delay"`   // how long requests are still accepted after SIGTERM
	DrainTimeout Duration  `json:"drain_timeout"` // the process exits at the latest this long after SIGTERM
	Limits       Limits    `json:"limits"`
	Log          Log       `json:"log"`
	Tracing      Tracing   `json:"tracing"`
}

// VM identifies the VM and its location.
type VM struct {
	ID     string `json:"id"`
	Region string `json:"region"`
	Zone   string `json:"zone"`
}

// Listen holds the addresses that the VM listens on, as IP:port.
type Listen struct {
	Callers   string `json:"callers"`
	Links     string `json:"links"`
	Operators string `json:"operators"`
	Metrics   string `json:"metrics"` // empty: no metrics listener
}

// Advertise holds the addresses at which other VMs reach this one, as IP:port. Empty
// means the address in Listen.
type Advertise struct {
	Links     string `json:"links"`
	Operators string `json:"operators"`
}

// Platform holds the URLs, polling intervals and timeout of the platform's services.
type Platform struct {
	LogURL       string   `json:"log_url"`
	ListURL      string   `json:"list_url"`
	ListInterval Duration `json:"list_interval"` // interval between reads of the VM list
	LogInterval  Duration `json:"log_interval"`  // interval between reads of the configuration log
	Timeout      Duration `json:"timeout"`       // per request to either service
}

// TLS holds the certificates of the links and of the operator API.
type TLS struct {
	Links     TLSFiles `json:"links"`
	Operators TLSFiles `json:"operators"`
}

// TLSFiles holds the paths of the PEM files of one listener. Either all are set or none.
type TLSFiles struct {
	Cert string `json:"cert"`
	Key  string `json:"key"`
	CA   string `json:"ca"`
}

// Enabled reports whether certificates are configured.
func (f TLSFiles) Enabled() bool { return f != TLSFiles{} }

// Limits bounds the memory that requests can occupy.
type Limits struct {
	Header          Size `json:"header"`            // header of one request
	HeaderTotal     Size `json:"header_total"`      // memory of all headers of callers together; one of the greatest size is always admitted
	BodyBuffer      Size `json:"body_buffer"`       // body of one request, kept for a retry
	BodyBufferTotal Size `json:"body_buffer_total"` // all buffered bodies together
}

// Log sets the level and format of the log.
type Log struct {
	Level  string `json:"level"`  // error, info or debug
	Format string `json:"format"` // json or console
}

// Tracing sets the export of spans. An empty endpoint disables it.
type Tracing struct {
	OTLPEndpoint string  `json:"otlp_endpoint"` // URL of an OTLP HTTP receiver
	SampleRatio  float64 `json:"sample_ratio"`  // 0 to 1, for requests without a sampling decision by the caller
}

// Default returns the settings with the default values of optional fields.
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
			HeaderTotal:     16 * MiB,
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

// OperatorsAddr returns the address at which other VMs reach the operator API.
func (s *Settings) OperatorsAddr() string {
	if s.Advertise.Operators != "" {
		return s.Advertise.Operators
	}
	return s.Listen.Operators
}
