// Package document implements the configuration document: its types, their JSON encoding,
// patches and validation, and the index that routing uses. Its functions depend on their
// input only, so that every reader of the log makes the same decision on an edit.
package document

import (
	"time"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
)

// Format is the newest document format that this program supports. The defaults of
// absent fields are part of a format and never change within it.
const Format = 1

// RootSection is the section that holds the teams and the fleet-wide settings.
const RootSection = "fleet"

// Document is the whole configuration.
type Document struct {
	Format   int                `json:"format"`
	Root     Root               `json:"fleet"`
	Sections map[string]Section `json:"sections"`
	Callers  CallerLimits       `json:"callers,omitzero"`
}

// CallerLimits limits callers' requests and connections. For a field of 0 the limit in the
// settings applies.
type CallerLimits struct {
	MaxHeaderBytes int      `json:"max_header,omitempty"`     // of a request's header
	HeaderTimeout  Duration `json:"header_timeout,omitempty"` // from the first to the last byte of a request's header
	IdleTimeout    Duration `json:"idle_timeout,omitempty"`   // of a connection between requests
}

// Root is the content of the section "fleet".
type Root struct {
	Teams        map[string]Team `json:"teams"`
	KeySlices    int             `json:"key_slices,omitempty"`    // key shards in each region; fixed after genesis; default 64
	KeyRetention Duration        `json:"key_retention,omitempty"` // how long the key of a finished request is kept; default 10m
	Regions      []fleet.Region  `json:"regions"`                 // regions of the fleet, for keys without a workspace
	// KeyRegions is the number of regions, from the start of Regions, that hold the keys
	// of requests without a workspace. It is fixed after genesis; 0 means all, and
	// Regions is then fixed as well.
	KeyRegions int `json:"key_regions,omitempty"`
	// APIKeys requires the API key of a workspace with each request, except on public routes.
	APIKeys bool `json:"api_keys,omitempty"`
}

// Team is a group of operators and the sections that it may edit.
type Team struct {
	Keys     []string `json:"keys"` // Ed25519 public keys, base64
	Sections []string `json:"sections"`
}

// Section is a part of the document. A team edits the sections that it lists.
type Section struct {
	Services   map[fleet.Service]Service `json:"services,omitempty"`
	Routes     map[string]Route          `json:"routes,omitempty"`
	Workspaces map[string]Workspace      `json:"workspaces,omitempty"`
}

// Service describes the backend servers of a service.
type Service struct {
	Servers        int      `json:"servers"`     // expected number of servers; upper limit of the floor
	Slots          int      `json:"slots"`       // concurrent requests per server
	Connections    int      `json:"connections"` // connections that a server accepts from all VMs together
	Floor          Floor    `json:"floor"`       // minimum healthy capacity
	Warmup         Duration `json:"warmup,omitempty"`
	HealthPath     string   `json:"health_path,omitempty"`
	EchoHeader     string   `json:"echo_header,omitempty"`     // response header in which the server echoes X-Request-Id
	CloseDelimited bool     `json:"close_delimited,omitempty"` // accept responses that are delimited by the end of the connection
}

// Floor is a minimum number of servers, or a minimum percentage of the pool.
type Floor struct {
	Servers int `json:"servers,omitempty"`
	Percent int `json:"percent,omitempty"`
}

// Length classifies the duration of a route's requests.
type Length string

// Length classes. LengthLearned is the default.
const (
	LengthShort   Length = "short"
	LengthLong    Length = "long"
	LengthLearned Length = "learned"
)

// KeyRule specifies whether callers must send an Idempotency-Key.
type KeyRule string

// Key rules. KeyOptional is the default on routes that are not idempotent.
const (
	KeyOptional KeyRule = "optional"
	KeyRequired KeyRule = "required"
)

// Route matches requests and specifies how they are handled.
type Route struct {
	Hosts            []string      `json:"hosts,omitempty"` // empty matches every host
	Path             string        `json:"path"`            // prefix on path-segment boundaries
	Methods          []string      `json:"methods,omitempty"`
	Service          fleet.Service `json:"service"`
	Backends         []Backend     `json:"backends,omitempty"` // splits requests over services; replaces Service
	Length           Length        `json:"length,omitempty"`
	Idempotent       bool          `json:"idempotent,omitempty"`
	Key              KeyRule       `json:"key,omitempty"`
	Weight           float64       `json:"weight,omitempty"` // default 1
	Deadline         Duration      `json:"deadline,omitempty"`
	LatencyObjective Duration      `json:"objective,omitempty"` // 0 means none
	Priority         int           `json:"priority,omitempty"`  // 0 is the most urgent
	Retries          int           `json:"retries,omitempty"`
	Attempts         int           `json:"attempts,omitempty"` // maximum number of servers that a request is sent to; replaces Retries when set
	MaxBody          int64         `json:"max_body,omitempty"` // bytes
	WorkspaceHeader  string        `json:"workspace_header,omitempty"`
	Public           bool          `json:"public,omitempty"` // requests need no API key
}

// Backend is one of the services that a route splits its requests over.
type Backend struct {
	Service fleet.Service `json:"service"`
	Weight  float64       `json:"weight"`
}

// Workspace is a customer's workspace. Its home region holds its idempotency keys.
type Workspace struct {
	Home   fleet.Region `json:"home"`
	Weight float64      `json:"weight,omitempty"` // multiplies the route's weight; default 1
	// Keys are the SHA-256 hashes of the workspace's API keys, in hexadecimal.
	Keys     []string `json:"keys,omitempty"`
	Quota    Quota    `json:"quota,omitzero"`
	Priority int      `json:"priority,omitempty"` // takes precedence over the route's; 0 is the most urgent
}

// Quota bounds a workspace's requests over all VMs together.
type Quota struct {
	Rate  float64 `json:"rate"`            // requests per second; 0 means no limit
	Burst float64 `json:"burst,omitempty"` // requests beyond the rate that an idle workspace may send at once
}

// Duration is a time.Duration that is encoded in JSON as a string such as "250ms".
type Duration time.Duration

// Index is the look-up table of a valid document, for routing.
type Index struct {
	Doc      *Document
	Revision uint64 // number of accepted edits

	services   map[fleet.Service]Service
	routes     routeTable
	workspaces []map[string]Workspace // one map per section; names are unique across sections
	keys       keyTable
	hasQuotas  bool
	root       Root
	regions    []fleet.Region
}

// RouteMatch is a route found for a request.
type RouteMatch struct {
	Name  string
	Route Route
}

// Service returns a service including defaults.
func (x *Index) Service(name fleet.Service) (Service, bool) {
	s, ok := x.services[name]
	return s, ok
}
