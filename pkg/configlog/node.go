package configlog

import (
	"bytes"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fulmarbeam/fulmarbeam/pkg/document"
	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/platformapi"
	"github.com/fulmarbeam/fulmarbeam/pkg/result"
)

// Intervals and time limits of the protocol between VMs.
const (
	// PullInterval is the interval between pulls from a relay.
	PullInterval = 500 * time.Millisecond
	// RelayTimeout is how long a relay may be silent before a VM reads the log itself.
	RelayTimeout = 2 * time.Second
	// subscriptionTTL is how long a pull keeps its sender subscribed to pushes.
	subscriptionTTL = 3 * time.Second
	// maxTailAge is the age up to which a VM's last read of the log's tail counts as fresh.
	maxTailAge = 3 * time.Second
	// LongPollTimeout is the maximum time that a read waits for a record. It is below maxTailAge,
	// so that on an idle log the last read of the tail stays fresh.
	LongPollTimeout = time.Second
	// pollInterval is the interval between reads by a VM that is not a relay.
	pollInterval = 500 * time.Millisecond
	// Failed reads are retried after readBackoffMin, doubled up to readBackoffMax, so
	// that the VMs do not overload a log service that has just recovered.
	readBackoffMin = 250 * time.Millisecond
	readBackoffMax = 4 * time.Second
	// scanInterval is the delay between scans of the log for a usable snapshot.
	scanInterval = 2 * time.Second
	// behindDelay is how long this VM's offset may stay below the highest known one
	// before it reports itself as behind. Records in transit do not count as lag.
	behindDelay = 2 * time.Second
	// MaxReadBytes is the maximum size of the data that one read requests.
	MaxReadBytes = 1 << 20
)

// Kinds of events.
const (
	EventAccepted        fleet.EventKind = "config_accepted"
	EventRefused         fleet.EventKind = "config_refused"
	EventGenesis         fleet.EventKind = "config_genesis"
	EventGenesisDenied   fleet.EventKind = "config_genesis_denied"
	EventNewFormat       fleet.EventKind = "config_new_format"
	EventDiverged        fleet.EventKind = "config_diverged"
	EventBehind          fleet.EventKind = "config_behind"
	EventCaughtUp        fleet.EventKind = "config_caught_up"
	EventStateInstalled  fleet.EventKind = "config_state_installed"
	EventSnapshotWritten fleet.EventKind = "config_snapshot_written"
	EventBadState        fleet.EventKind = "config_bad_state"
	EventLogReset        fleet.EventKind = "config_log_reset"
	EventLogUnavailable  fleet.EventKind = "config_log_away"
	EventLogAvailable    fleet.EventKind = "config_log_back"
)

// Config configures a Node.
type Config struct {
	Stream  string
	RootKey []byte // expected root key of the genesis
	Self    fleet.Member
	Region  fleet.Region
	Seed    uint64 // seeds the jitter of retries, which differs between VMs
}

// Read is a read of the log that the caller performs for the Node. If Wait is
// positive, the read may wait that long for a record.
type Read struct {
	From     platformapi.Offset
	MaxBytes int
	Wait     time.Duration
}

// Append is a record that the caller appends to the log for the Node.
type Append struct {
	ID   uint64
	Data []byte
}

// Node implements one VM's part in the distribution of the configuration. It does no
// I/O and has no clock: the caller passes in the time and messages, and performs the
// reads, appends and sends that it requests. It is not safe for concurrent use.
type Node struct {
	cfg    Config
	state  *State
	dir    *fleet.Directory
	outbox []fleet.Envelope
	events []fleet.Event

	reader        reader
	relays        relays
	transfer      stateTransfer
	schedule      snapshotSchedule
	publisher     publisher
	genesisDenied bool
	behind        bool
	peerNext      platformapi.Offset // highest next offset that a peer reported
	lagSince      fleet.Time         // when lagging became true
	lagging       bool               // a peer or the log is at a higher offset
}

// New returns a node with an empty state.
func New(cfg Config) *Node {
	n := &Node{cfg: cfg, state: NewState(cfg.Stream)}
	n.reader.liveCollector = newSnapshotCollector(false)
	n.relays.init()
	n.transfer.init()
	n.publisher.init()
	return n
}

// SetDirectory sets the fleet's current directory of VMs and chooses the relays from it.
func (n *Node) SetDirectory(now fleet.Time, dir *fleet.Directory) {
	n.dir = dir
	n.relays.removeUnlisted(dir)
	n.relays.candidates = relayCandidates(dir, n.cfg.Region)
	n.chooseRelays(now)
}

// Tick runs the timers that are due. It is to be called about every 50 ms.
func (n *Node) Tick(now fleet.Time) {
	n.chooseRelays(now)
	n.pull(now)
	n.tickTransfer(now)
	n.tickSnapshots(now)
	n.tickPublish(now)
	n.updateBehind(now)
}

// Step handles a message from another VM.
func (n *Node) Step(now fleet.Time, from fleet.Member, m fleet.Message) {
	switch m := m.(type) {
	case *Pull:
		n.onPull(now, from, m)
	case *Records:
		n.onRecords(now, from, m)
	case *StateRequest:
		n.onStateRequest(now, from, m)
	case *StateOffer:
		n.onStateOffer(now, from, m)
	case *StatePartRequest:
		n.onStatePartRequest(now, from, m)
	case *StatePart:
		n.onStatePart(now, from, m)
	case *LagRequest:
		n.onLagRequest(now, from, m)
	case *LagResponse:
		n.onLagResponse(from, m)
	}
}

// Outbox returns and clears the messages to send.
func (n *Node) Outbox() []fleet.Envelope {
	out := n.outbox
	n.outbox = nil
	return out
}

// Events returns and clears the events to be journaled.
func (n *Node) Events() []fleet.Event {
	out := n.events
	n.events = nil
	return out
}

// State returns the current state for queries. The caller must not modify or retain it.
func (n *Node) State() *State { return n.state }

// Index returns the index of the document in effect, or nil if there is none yet.
func (n *Node) Index() *document.Index {
	if n.genesisDenied {
		return nil
	}
	return n.state.Index()
}

// Health returns OK, ConfigGenesisDenied (the VM must not serve), NotReady before the
// first document, ConfigNewFormat or ConfigBehind.
func (n *Node) Health() result.Code {
	switch {
	case n.genesisDenied:
		return result.ConfigGenesisDenied
	case n.state.Index() == nil:
		return result.NotReady
	case n.state.Halted() != result.OK:
		return n.state.Halted()
	case n.behind:
		return result.ConfigBehind
	}
	return result.OK
}

func (n *Node) send(to fleet.VMID, m fleet.Message) {
	n.outbox = append(n.outbox, fleet.Envelope{To: to, Message: m})
}

func (n *Node) event(kind fleet.EventKind, reason string, detail ...string) {
	e := fleet.Event{Kind: kind, Reason: reason}
	for i := 0; i+1 < len(detail); i += 2 {
		if e.Detail == nil {
			e.Detail = make(map[string]string)
		}
		e.Detail[detail[i]] = detail[i+1]
	}
	n.events = append(n.events, e)
}

// jitter scales d by a factor from 0.75 to 1.25 that is derived from the seed, the VM
// and salt.
func (n *Node) jitter(d time.Duration, salt string) time.Duration {
	h := xxhash.Sum64String(strconv.FormatUint(n.cfg.Seed, 10) + "/" + string(n.cfg.Self.VM) + "/" + salt)
	return d*3/4 + time.Duration(h%uint64(d/2+1))
}

// apply applies records in order up to the first gap, and skips those already applied.
func (n *Node) apply(now fleet.Time, records []platformapi.Record) {
	for _, rec := range records {
		if rec.Offset < n.state.Next() {
			continue
		}
		if rec.Offset > n.state.Next() || !n.canApply() {
			return
		}
		applied, err := n.state.Apply(rec)
		if err != nil {
			if err.Code == result.ConfigNewFormat {
				n.event(EventNewFormat, err.Detail, "offset", formatOffset(rec.Offset))
			}
			return
		}
		n.relays.addRecent(newRelayed(rec, applied.Snapshot))
		n.onApplied(now, rec, applied)
	}
}

// applyRelayed is apply for records that another VM forwarded.
func (n *Node) applyRelayed(now fleet.Time, records []RelayedRecord) {
	for _, r := range records {
		rec := platformapi.Record{Offset: r.Offset, Data: r.Data}
		if r.Part == nil {
			n.apply(now, []platformapi.Record{rec})
			continue
		}
		if r.Offset != n.state.Next() || !n.canApply() || n.state.SkipSnapshotPart(r.Offset, r.Hash) != nil {
			continue
		}
		n.relays.addRecent(r)
		n.onSnapshotPart(now, rec, r.Part)
	}
}

// canApply reports whether this VM may apply records: its genesis is not denied and its state
// has not halted at a newer record format.
func (n *Node) canApply() bool { return !n.genesisDenied && n.state.Halted() == result.OK }

func (n *Node) onApplied(now fleet.Time, rec platformapi.Record, applied ApplyResult) {
	switch {
	case applied.Genesis:
		n.checkRootKey()
	case applied.Edit != nil:
		v := applied.Edit
		kind, reason := EventAccepted, "revision "+strconv.FormatUint(v.Revision, 10)
		if v.Code != result.OK {
			kind, reason = EventRefused, v.Code.String()+": "+v.Detail
		}
		if n.reader.tailKnown {
			// Edits are journaled when they take effect, but not when a starting VM
			// replays the log.
			n.event(kind, reason, "edit", v.ID, "section", v.Section, "team", v.Team, "offset", formatOffset(rec.Offset))
		}
		n.onVerdict(v.ID, applied.EditIdentity, *v)
	case applied.Snapshot != nil:
		n.onSnapshotPart(now, rec, applied.Snapshot)
	}
}

func (n *Node) checkRootKey() {
	if !bytes.Equal(n.state.RootKey(), n.cfg.RootKey) {
		n.genesisDenied = true
		n.event(EventGenesisDenied, "the root key of the log's genesis differs from the one in the settings")
		return
	}
	n.event(EventGenesis, "first document")
}

// installState replaces the state with a newer one and reports whether it did. It rejects a
// state whose offset is not higher or that has an older section, so that an accepted edit is
// never reverted.
func (n *Node) installState(now fleet.Time, s *State, source string) bool {
	if s.Next() <= n.state.Next() {
		return false
	}
	for _, name := range n.state.SectionNames() {
		if s.SectionRevision(name) < n.state.SectionRevision(name) {
			n.event(EventBadState, "section "+name+" has an older revision than the current state", "source", source)
			return false
		}
	}
	n.state = s
	n.reader.scanning = false
	n.relays.clearRecent()
	n.event(EventStateInstalled, source, "offset", formatOffset(s.Next()-1), "revision", strconv.FormatUint(s.Revision(), 10))
	n.settleFromState()
	n.updateBehind(now)
	return true
}

// notePeerOffset records the highest offset that peers report.
func (n *Node) notePeerOffset(now fleet.Time, next platformapi.Offset) {
	if next > n.peerNext {
		n.peerNext = next
	}
	n.updateBehind(now)
}

func (n *Node) updateBehind(now fleet.Time) {
	lagging := max(n.peerNext, n.reader.tail) > n.state.Next()
	if lagging && !n.lagging {
		n.lagSince = now
	}
	n.lagging = lagging
	behind := n.reader.logGap || lagging && now.Sub(n.lagSince) >= behindDelay
	if behind == n.behind {
		return
	}
	n.behind = behind
	if behind {
		n.event(EventBehind, "a peer or the log is at a higher offset", "offset", formatOffset(n.state.Next()),
			"highest", formatOffset(max(n.peerNext, n.reader.tail)))
	} else {
		n.event(EventCaughtUp, "", "offset", formatOffset(n.state.Next()))
	}
}

func formatOffset(o platformapi.Offset) string { return strconv.FormatInt(int64(o), 10) }
