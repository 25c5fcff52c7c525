// Package operator implements the server and the client of the operators' HTTP API.
// The server delegates requests to a Backend, which the running node implements.
package operator

import (
	"context"
	"encoding/json"
	"time"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/journal"
	"github.com/fulmarbeam/fulmarbeam/pkg/result"
)

// Backend handles the operators' requests on one VM. Methods return errors that wrap
// a *result.Error; other errors are reported with the code Internal. All methods are
// safe for concurrent use and return when ctx ends.
type Backend interface {
	// Self describes this VM.
	Self() VMStatus
	// Readiness reports whether this VM serves callers, and the reasons if it does not.
	Readiness(ctx context.Context) Readiness

	// Config returns the document in effect on this VM, or one section of it. For an
	// unknown section the error has the code NotFound.
	Config(ctx context.Context, section string) (ConfigView, error)
	// Check validates an edit against the document in effect without appending it.
	Check(ctx context.Context, edit json.RawMessage) (Verdict, error)
	// Publish appends an edit to the log and waits as the request specifies. If the
	// readers of the log reject the edit, the result is a Verdict and not an error. The
	// code ConfigUnknown means that the edit may still be accepted.
	Publish(ctx context.Context, req PublishRequest) (Verdict, error)
	// Genesis appends the first record of the log.
	Genesis(ctx context.Context, record json.RawMessage) (Verdict, error)
	// History returns the newest verdicts, newest first.
	History(ctx context.Context, q HistoryQuery) ([]HistoryEntry, error)
	// EditStatus returns the known state of an edit and which VMs have applied it.
	EditStatus(ctx context.Context, id string) (EditStatus, error)

	// Servers returns the backend servers that the query selects.
	Servers(ctx context.Context, q ServersQuery) ([]ServerStatus, error)
	// VMs returns the VMs in the platform's list and those that this VM has heard from,
	// including itself.
	VMs(ctx context.Context) ([]VMStatus, error)
	// Shards returns the shards known to this VM.
	Shards(ctx context.Context, q ShardsQuery) ([]ShardStatus, error)

	// Events returns events held in this VM's memory, oldest first.
	Events(ctx context.Context, q journal.Query) ([]fleet.Event, error)
	// Stream returns events from the fleet's log stream.
	Stream(ctx context.Context, q journal.Query) (journal.StreamResult, error)

	// Drain starts a graceful shutdown of this VM. It is idempotent.
	Drain(ctx context.Context, req DrainRequest) (DrainStatus, error)
}

// Readiness reports whether a VM serves callers.
type Readiness struct {
	Ready   bool              `json:"ready"`
	Reasons []ReadinessReason `json:"reasons,omitempty"` // why the VM is not ready; warnings if it is ready
}

// ReadinessReason is a result code with an explanation.
type ReadinessReason struct {
	Code   result.Code `json:"code"`
	Name   string      `json:"name"`
	Detail string      `json:"detail"`
}

// NewReadinessReason returns a ReadinessReason for a code.
func NewReadinessReason(code result.Code, detail string) ReadinessReason {
	return ReadinessReason{code, code.String(), detail}
}

// ConfigView is the document in effect on one VM.
type ConfigView struct {
	VM       fleet.VMID             `json:"vm"`
	Format   int                    `json:"format"`
	Revision uint64                 `json:"revision"`           // number of accepted edits
	Offset   int64                  `json:"offset"`             // offset of the last applied record
	Behind   bool                   `json:"behind,omitempty"`   // whether this VM is known to be behind the log
	RootKey  string                 `json:"root_key,omitempty"` // base64
	Stream   string                 `json:"stream"`             // name of the log stream; signatures cover it
	Sections map[string]SectionView `json:"sections"`
}

// SectionView is one section, in the form that the hashes in edits cover.
type SectionView struct {
	Revision   uint64          `json:"revision"`
	Team       string          `json:"team,omitempty"` // team that made the last edit
	LastEditID string          `json:"edit,omitempty"` // id of the last edit
	Hash       string          `json:"hash"`
	Content    json.RawMessage `json:"content"`
}

// WaitMode specifies how long Publish waits.
type WaitMode string

// Values of WaitMode.
const (
	WaitNone     WaitMode = "none"     // until the append has succeeded or failed
	WaitAccepted WaitMode = "accepted" // until this VM has read the verdict from the log
	WaitApplied  WaitMode = "applied"  // until every listed VM has applied the edit
)

// PublishRequest is a request to append a signed edit. If the outcome is unknown, the
// same edit can be sent again.
type PublishRequest struct {
	Edit    json.RawMessage `json:"edit"`
	Wait    WaitMode        `json:"wait,omitempty"`       // default: WaitApplied
	Timeout Millis          `json:"timeout_ms,omitempty"` // default: DefaultPublishWait
}

// Millis is a duration in milliseconds, encoded in JSON as a number.
type Millis int64

// Duration returns m as a time.Duration.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Verdict is the result of validating or publishing an edit.
type Verdict struct {
	Code     result.Code  `json:"code"` // OK: accepted, or valid in the case of Check
	Name     string       `json:"name"`
	Detail   string       `json:"detail,omitempty"`
	Problems []string     `json:"problems,omitempty"` // problems of the document, for ConfigInvalid
	EditID   string       `json:"edit,omitempty"`
	Section  string       `json:"section,omitempty"`
	Offset   int64        `json:"offset,omitempty"`
	Revision uint64       `json:"revision"`          // the section's new revision, or the current one if the edit was rejected
	Applied  int          `json:"applied,omitempty"` // number of listed VMs that have applied the edit
	Listed   int          `json:"listed,omitempty"`  // number of VMs in the platform's list
	Lagging  []fleet.VMID `json:"lagging,omitempty"` // VMs that have not applied it
}

// NewVerdict returns a Verdict for a code.
func NewVerdict(code result.Code, detail string) Verdict {
	return Verdict{Code: code, Name: code.String(), Detail: detail}
}

// Accepted reports whether the edit is in the log and valid.
func (v Verdict) Accepted() bool {
	return v.Code == result.OK || v.Code == result.ConfigDuplicate || v.Code == result.ConfigLagging
}

// HistoryQuery selects history entries. Empty fields match all.
type HistoryQuery struct {
	Section string
	Team    string
	Limit   int // 0: DefaultHistoryLimit
}

// HistoryEntry is the verdict on one record in the log.
type HistoryEntry struct {
	Offset   int64       `json:"offset"`
	EditID   string      `json:"edit"`
	Section  string      `json:"section"`
	Team     string      `json:"team"`
	Code     result.Code `json:"code"`
	Name     string      `json:"name"`
	Revision uint64      `json:"revision"`
	ReadAt   int64       `json:"at_unix_ns"` // when this VM read the record; 0: restored from a snapshot
}

// EditStatus is the known state of an edit.
type EditStatus struct {
	Verdict
	Known bool `json:"known"` // false: no record with this id has been read yet
}

// ServersQuery selects servers. Empty fields match all.
type ServersQuery struct {
	Service fleet.Service
	Region  fleet.Region
	ID      fleet.ServerID
}

// ServerStatus is the state of a backend server as seen by one VM.
type ServerStatus struct {
	ID         fleet.ServerID `json:"id"`
	Service    fleet.Service  `json:"service"`
	Addr       string         `json:"addr"`
	Region     fleet.Region   `json:"region"`
	Zone       fleet.Zone     `json:"zone"`
	Listed     string         `json:"listed"` // live or leaving
	State      string         `json:"state"`  // serving, ejected or draining; empty: this VM does not use the pool
	Reason     string         `json:"reason,omitempty"`
	Slots      int            `json:"slots"`
	InFlight   int            `json:"busy"` // requests in flight from this VM
	StateSince int64          `json:"since_unix_ns,omitempty"`
	ViewRole   string         `json:"view"` // the VM's role in the pool's shard: owner, copy, or client if it is not a member
}

// VMStatus describes an entry VM.
type VMStatus struct {
	ID            fleet.VMID        `json:"id"`
	Incarnation   fleet.Incarnation `json:"incarnation,omitempty"`
	Region        fleet.Region      `json:"region"`
	Zone          fleet.Zone        `json:"zone"`
	LinkAddr      string            `json:"links"`
	OperatorAddr  string            `json:"operators,omitempty"` // address of the operators' API
	Listed        string            `json:"listed"`              // live, leaving or absent
	RecentlyHeard bool              `json:"heard"`               // whether the VM was heard from in the last seconds
	Draining      bool              `json:"draining,omitempty"`
	Revision      uint64            `json:"revision"`
	Offset        int64             `json:"offset"`
	Version       string            `json:"version,omitempty"`
	Self          bool              `json:"self,omitempty"`
}

// ShardsQuery selects shards. Empty fields match all.
type ShardsQuery struct {
	Region     fleet.Region
	Class      string // pool or keys
	MemberOnly bool   // only shards of which this VM is a member
}

// ShardStatus is the newest view of a shard known to one VM.
type ShardStatus struct {
	Shard   string `json:"shard"`
	Version uint64 `json:"version"`
	Owner   string `json:"owner"`
	Copy    string `json:"copy,omitempty"`
	Role    string `json:"role"` // owner, copy or none
	State   string `json:"state,omitempty"`
}

// DrainRequest is a request to shut a VM down gracefully.
type DrainRequest struct {
	VM     fleet.VMID `json:"vm"` // must be the VM that receives the request
	Reason string     `json:"reason"`
}

// DrainStatus is the progress of a shutdown.
type DrainStatus struct {
	Draining bool `json:"draining"`
	InFlight int  `json:"in_flight"` // caller requests in flight
	Shards   int  `json:"shards"`    // shards from which the VM has not resigned yet
}

// Explanation combines the events of all VMs and of the log stream.
type Explanation struct {
	Events  []fleet.Event  `json:"events"` // sorted by time, without duplicates
	Sources []Source       `json:"sources"`
	Omitted map[string]int `json:"omitted,omitempty"` // number of events by kind that sampling left out of the stream
}

// Source reports the result of querying one source of an explanation.
type Source struct {
	Name   string      `json:"name"` // VM id, or "stream"
	Code   result.Code `json:"code"`
	Detail string      `json:"detail,omitempty"`
	Events int         `json:"events"`
}

// GenesisRequest is a request to append the first record of the log.
type GenesisRequest struct {
	Record json.RawMessage `json:"record"`
}
