// Package operator serves the operators' HTTP API and holds its client. A Backend,
// which the running node implements, answers the requests.
package operator

import (
	"context"
	"encoding/json"
	"time"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/journal"
	"github.com/fulmarbeam/fulmarbeam/pkg/result"
)

// Backend answers the operators' requests on one VM. Methods return errors that
// hold a *result.Error; others are reported as Internal. All are safe for concurrent
// use and return when ctx ends.
type Backend interface {
	// Self describes this VM.
	Self() VMStatus
	// Readiness says whether this VM serves callers, and why not.
	Readiness(ctx context.Context) Readiness

	// Config returns the document in force here, or one section of it. A missing
	// section gives NotFound.
	Config(ctx context.Context, section string) (ConfigView, error)
	// Check judges an edit against the document in force without appending it.
	Check(ctx context.Context, edit json.RawMessage) (Verdict, error)
	// Publish appends an edit and waits as the request says. A refusal by the log's
	// readers is a Verdict and no error. ConfigUnknown says that the edit may still
	// be accepted.
	Publish(ctx context.Context, req PublishRequest) (Verdict, error)
	// Genesis appends the first record.
	Genesis(ctx context.Context, record json.RawMessage) (Verdict, error)
	// History returns the newest verdicts, newest first.
	History(ctx context.Context, q HistoryQuery) ([]HistoryEntry, error)
	// EditStatus returns what is known about an edit and which VMs have applied it.
	EditStatus(ctx context.Context, id string) (EditStatus, error)

	// Servers returns the backend servers that the query selects.
	Servers(ctx context.Context, q ServersQuery) ([]ServerStatus, error)
	// VMs returns the listed and the heard VMs, this one included.
	VMs(ctx context.Context) ([]VMStatus, error)
	// Shards returns the shards known here.
	Shards(ctx context.Context, q ShardsQuery) ([]ShardStatus, error)

	// Events returns events of this VM's memory, oldest first.
	Events(ctx context.Context, q journal.Query) ([]fleet.Event, error)
	// Stream returns events of the fleet's log stream.
	Stream(ctx context.Context, q journal.Query) (journal.Reading, error)

	// Drain starts the shutdown of this VM. Repeats change nothing.
	Drain(ctx context.Context, req DrainRequest) (DrainStatus, error)
}

// Readiness says whether a VM serves callers.
type Readiness struct {
	Ready   bool         `json:"ready"`
	Reasons []ReasonLine `json:"reasons,omitempty"` // why not; with Ready: warnings
}

// ReasonLine is one reason with its code.
type ReasonLine struct {
	Code   result.Code `json:"code"`
	Name   string      `json:"name"`
	Detail string      `json:"detail"`
}

// Reason returns a reason for a code.
func Reason(code result.Code, detail string) ReasonLine {
	return ReasonLine{code, code.String(), detail}
}

// ConfigView is the document in force on one VM.
type ConfigView struct {
	VM       fleet.VMID             `json:"vm"`
	Format   int                    `json:"format"`
	Revision uint64                 `json:"revision"` // number of accepted edits
	Offset   int64                  `json:"offset"`   // of the last applied record
	Behind   bool                   `json:"behind,omitempty"`
	Root     string                 `json:"root_key,omitempty"` // base64
	Stream   string                 `json:"stream"`             // log stream, which signatures cover
	Sections map[string]SectionView `json:"sections"`
}

// SectionView is one section as the edits' hashes see it.
type SectionView struct {
	Revision uint64          `json:"revision"`
	Team     string          `json:"team,omitempty"` // of the last edit
	Edit     string          `json:"edit,omitempty"` // id of the last edit
	Hash     string          `json:"hash"`
	Content  json.RawMessage `json:"content"`
}

// Wait says how long Publish waits.
type Wait string

// Waits of Publish.
const (
	WaitNone     Wait = "none"     // until the append has an answer
	WaitAccepted Wait = "accepted" // until this VM has read the verdict from the log
	WaitApplied  Wait = "applied"  // until every listed VM has applied the edit
)

// PublishRequest asks to append a signed edit. The same edit may be sent again after
// an unknown outcome.
type PublishRequest struct {
	Edit    json.RawMessage `json:"edit"`
	Wait    Wait            `json:"wait,omitempty"`       // default applied
	Timeout Millis          `json:"timeout_ms,omitempty"` // default DefaultWait
}

// Millis is a duration that JSON holds in milliseconds.
type Millis int64

// D returns m as a time.Duration.
func (m Millis) D() time.Duration { return time.Duration(m) * time.Millisecond }

// Verdict says what became of an edit.
type Verdict struct {
	Code     result.Code  `json:"code"` // OK: accepted, or would be accepted
	Name     string       `json:"name"`
	Detail   string       `json:"detail,omitempty"`
	Problems []string     `json:"problems,omitempty"` // of the document, with ConfigInvalid
	Edit     string       `json:"edit,omitempty"`
	Section  string       `json:"section,omitempty"`
	Offset   int64        `json:"offset,omitempty"`
	Revision uint64       `json:"revision"` // of the section: the new one, or the current one after a refusal
	Applied  int          `json:"applied,omitempty"`
	Listed   int          `json:"listed,omitempty"`
	Lagging  []fleet.VMID `json:"lagging,omitempty"` // VMs that have not applied it
}

// NewVerdict returns a verdict with its code's name.
func NewVerdict(code result.Code, detail string) Verdict {
	return Verdict{Code: code, Name: code.String(), Detail: detail}
}

// Accepted reports whether the edit is in the log and valid.
func (v Verdict) Accepted() bool {
	return v.Code == result.OK || v.Code == result.ConfigDuplicate || v.Code == result.ConfigLagging
}

// HistoryQuery selects verdicts.
type HistoryQuery struct {
	Section string
	Team    string
	Limit   int // 0: DefaultLimit
}

// HistoryEntry is the verdict on one record of the log.
type HistoryEntry struct {
	Offset   int64       `json:"offset"`
	Edit     string      `json:"edit"`
	Section  string      `json:"section"`
	Team     string      `json:"team"`
	Code     result.Code `json:"code"`
	Name     string      `json:"name"`
	Revision uint64      `json:"revision"`
	At       int64       `json:"at_unix_ns"` // when this VM read it; 0: from a snapshot
}

// EditStatus is what is known about an edit.
type EditStatus struct {
	Verdict
	Known bool `json:"known"` // false: no record with this id was read yet
}

// ServersQuery selects servers. Empty fields match all.
type ServersQuery struct {
	Service fleet.Service
	Region  fleet.Region
	ID      fleet.ServerID
}

// ServerStatus is the view of one VM on a backend server.
type ServerStatus struct {
	ID      fleet.ServerID `json:"id"`
	Service fleet.Service  `json:"service"`
	Addr    string         `json:"addr"`
	Region  fleet.Region   `json:"region"`
	Zone    fleet.Zone     `json:"zone"`
	Listed  string         `json:"listed"` // live or leaving
	State   string         `json:"state"`  // serving, ejected or draining; empty: this VM does not use the pool
	Reason  string         `json:"reason,omitempty"`
	Slots   int            `json:"slots"`
	Busy    int            `json:"busy"` // requests of this VM in flight
	Since   int64          `json:"since_unix_ns,omitempty"`
	View    string         `json:"view"` // owner, copy or client: what the VM's knowledge rests on
}

// VMStatus describes an entry VM.
type VMStatus struct {
	ID          fleet.VMID        `json:"id"`
	Incarnation fleet.Incarnation `json:"incarnation,omitempty"`
	Region      fleet.Region      `json:"region"`
	Zone        fleet.Zone        `json:"zone"`
	Links       string            `json:"links"`
	Operators   string            `json:"operators,omitempty"` // address of its operators' API
	Listed      string            `json:"listed"`              // live, leaving or absent
	Heard       bool              `json:"heard"`               // within the last seconds
	Draining    bool              `json:"draining,omitempty"`
	Revision    uint64            `json:"revision"`
	Offset      int64             `json:"offset"`
	Version     string            `json:"version,omitempty"`
	Self        bool              `json:"self,omitempty"`
}

// ShardsQuery selects shards. Empty fields match all.
type ShardsQuery struct {
	Region fleet.Region
	Class  string // pool or keys
	Mine   bool   // only those that this VM is a member of
}

// ShardStatus is a shard's newest view known on one VM.
type ShardStatus struct {
	Shard   string `json:"shard"`
	Version uint64 `json:"version"`
	Owner   string `json:"owner"`
	Copy    string `json:"copy,omitempty"`
	Role    string `json:"role"` // owner, copy or none
	State   string `json:"state,omitempty"`
}

// DrainRequest asks a VM to shut down.
type DrainRequest struct {
	VM     fleet.VMID `json:"vm"` // must be the VM that gets the request
	Reason string     `json:"reason"`
}

// DrainStatus is the progress of a shutdown.
type DrainStatus struct {
	Draining bool `json:"draining"`
	InFlight int  `json:"in_flight"` // requests of callers
	Shards   int  `json:"shards"`    // not resigned yet
}

// Explanation joins the events of all VMs and of the stream.
type Explanation struct {
	Events  []fleet.Event  `json:"events"` // by time, without doubles
	Sources []Source       `json:"sources"`
	Omitted map[string]int `json:"omitted,omitempty"` // left out of the stream by sampling, by kind
}

// Source says how a part of an explanation was obtained.
type Source struct {
	Name   string      `json:"name"` // VM id, or "stream"
	Code   result.Code `json:"code"`
	Detail string      `json:"detail,omitempty"`
	Events int         `json:"events"`
}

// GenesisRequest asks to append the first record.
type GenesisRequest struct {
	Record json.RawMessage `json:"record"`
}
