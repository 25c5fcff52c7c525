package configlog

import (
	"bytes"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fulmarbeam/fulmarbeam/pkg/document"
	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/platform"
	"github.com/fulmarbeam/fulmarbeam/pkg/result"
)

// Times of the protocol between VMs.
const (
	// PullEvery is the time between pulls from a relay.
	PullEvery = 500 * time.Millisecond
	// RelaySilence is how long a VM waits for a relay before it reads the log itself.
	RelaySilence = 2 * time.Second
	// subscribeFor is how long a pull keeps its sender subscribed to pushes.
	subscribeFor = 3 * time.Second
	// freshFor is how recent a relay's reading of the tail must be to count.
	freshFor = 3 * time.Second
	// LongPoll bounds a waiting read, so that freshness stays below freshFor.
	LongPoll = time.Second
	// pollEvery is the time between reads by a VM that is no relay.
	pollEvery = 500 * time.Millisecond
	// Failed reads are repeated after readBackoffMin, doubled up to readBackoffMax,
	// so that a returning log service is not met by all VMs at once.
	readBackoffMin = 250 * time.Millisecond
	readBackoffMax = 4 * time.Second
	// scanEvery is the time between searches of the log for a usable snapshot.
	scanEvery = 2 * time.Second
	// behindAfter is how long a peer may name a higher offset before this VM reports
	// itself as behind; records in flight are no lag.
	behindAfter = 2 * time.Second
	// ReadBytes bounds the data of one read.
	ReadBytes = 1 << 20
)

// Kinds of events.
const (
	EventAccepted    fleet.EventKind = "config_accepted"
	EventRefused     fleet.EventKind = "config_refused"
	EventGenesis     fleet.EventKind = "config_genesis"
	EventDenied      fleet.EventKind = "config_genesis_denied"
	EventNewFormat   fleet.EventKind = "config_new_format"
	EventDiverged    fleet.EventKind = "config_diverged"
	EventBehind      fleet.EventKind = "config_behind"
	EventCaughtUp    fleet.EventKind = "config_caught_up"
	EventInstalled   fleet.EventKind = "config_state_installed"
	EventSnapshot    fleet.EventKind = "config_snapshot_written"
	EventBadSnapshot fleet.EventKind = "config_bad_state"
	EventLogReset    fleet.EventKind = "config_log_reset"
	EventLogAway     fleet.EventKind = "config_log_away"
	EventLogBack     fleet.EventKind = "config_log_back"
)

// Config is what a Node needs to know.
type Config struct {
	Stream  string
	RootKey []byte // expected root key of the genesis
	Self    fleet.Member
	Region  fleet.Region
	Seed    uint64 // spreads retries of different VMs
}

// Read is a reading of the log that the shell is to do. With Wait above 0 the read
// may wait that long for a record.
type Read struct {
	From     platform.Offset
	MaxBytes int
	Wait     time.Duration
}

// Append is a record that the shell is to append.
type Append struct {
	ID   uint64
	Data []byte
}

// Node is one VM's part in the distribution of the configuration. It has no clock
// and no socket; its methods must not be called concurrently.
type Node struct {
	cfg   Config
	state *State
	dir   *fleet.Directory
	out   []fleet.Envelope
	evts  []fleet.Event

	reader   reader
	relays   relays
	transfer transfer
	schedule snapshotSchedule
	publish  publish
	denied   bool
	behind   bool
	peerNext platform.Offset // highest offset that a peer named
	peerAt   fleet.Time      // when this VM first lagged behind it
	lagging  bool
}

// New returns a node that knows nothing yet.
func New(cfg Config) *Node {
	n := &Node{cfg: cfg, state: NewState(cfg.Stream)}
	n.reader.collect = newGather(false)
	n.relays.init()
	n.transfer.init()
	n.publish.init()
	return n
}

// SetDirectory gives the node a reading of the platform's list.
func (n *Node) SetDirectory(now fleet.Time, dir *fleet.Directory) {
	n.dir = dir
	n.relays.forget(dir)
	n.relays.order = candidates(dir, n.cfg.Region)
	n.chooseRelays(now)
}

// Tick does what is due. It is called every 50 ms or so.
func (n *Node) Tick(now fleet.Time) {
	n.chooseRelays(now)
	n.pull(now)
	n.tickTransfer(now)
	n.tickDuty(now)
	n.tickPublish(now)
	n.checkBehind(now)
}

// Step takes a message from another VM.
func (n *Node) Step(now fleet.Time, from fleet.Member, m fleet.Message) {
	switch m := m.(type) {
	case *Pull:
		n.onPull(now, from, m)
	case *Records:
		n.onRecords(now, from, m)
	case *StateAsk:
		n.onStateAsk(now, from, m)
	case *StateOffer:
		n.onStateOffer(now, from, m)
	case *StateFetch:
		n.onStateFetch(now, from, m)
	case *StatePart:
		n.onStatePart(now, from, m)
	case *LagAsk:
		n.onLagAsk(now, from, m)
	case *LagAnswer:
		n.onLagAnswer(from, m)
	}
}

// Outbox returns and clears the messages to send.
func (n *Node) Outbox() []fleet.Envelope {
	out := n.out
	n.out = nil
	return out
}

// Events returns and clears the events for the journal.
func (n *Node) Events() []fleet.Event {
	out := n.evts
	n.evts = nil
	return out
}

// State returns the state for queries. It must not be changed or kept.
func (n *Node) State() *State { return n.state }

// Index returns the document in force, or nil before the first.
func (n *Node) Index() *document.Index {
	if n.denied {
		return nil
	}
	return n.state.Index()
}

// Health returns OK, ConfigGenesisDenied (the VM must not serve), ConfigNewFormat,
// NotReady before the first document, or ConfigBehind.
func (n *Node) Health() result.Code {
	switch {
	case n.denied:
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
	n.out = append(n.out, fleet.Envelope{To: to, Message: m})
}

func (n *Node) event(kind fleet.EventKind, reason string, detail ...string) {
	e := fleet.Event{Kind: kind, Reason: reason}
	for i := 0; i+1 < len(detail); i += 2 {
		if e.Detail == nil {
			e.Detail = make(map[string]string)
		}
		e.Detail[detail[i]] = detail[i+1]
	}
	n.evts = append(n.evts, e)
}

// jitter returns d times 0.75 to 1.25, by seed and salt.
func (n *Node) jitter(d time.Duration, salt string) time.Duration {
	h := xxhash.Sum64String(strconv.FormatUint(n.cfg.Seed, 10) + "/" + string(n.cfg.Self.VM) + "/" + salt)
	return d*3/4 + time.Duration(h%uint64(d/2+1))
}

// apply applies records in order, skipping known ones, up to a gap.
func (n *Node) apply(now fleet.Time, records []platform.Record) {
	for _, rec := range records {
		if rec.Offset < n.state.Next() {
			continue
		}
		if rec.Offset > n.state.Next() || !n.applies() {
			return
		}
		done, err := n.state.Apply(rec)
		if err != nil {
			if err.Code == result.ConfigNewFormat {
				n.event(EventNewFormat, err.Detail, "offset", offsetText(rec.Offset))
			}
			return
		}
		n.relays.remember(relayed(rec, done.Snapshot))
		n.onApplied(now, rec, done)
	}
}

// applyRelayed applies records from another VM in the same way.
func (n *Node) applyRelayed(now fleet.Time, records []Relayed) {
	for _, r := range records {
		rec := platform.Record{Offset: r.Offset, Data: r.Data}
		if r.Part == nil {
			n.apply(now, []platform.Record{rec})
			continue
		}
		if r.Offset != n.state.Next() || !n.applies() || n.state.Skip(r.Offset, r.Hash) != nil {
			continue
		}
		n.relays.remember(r)
		n.onSnapshotPart(now, rec, r.Part)
	}
}

// applies reports whether this VM applies records at all.
func (n *Node) applies() bool { return !n.denied && n.state.Halted() == result.OK }

func (n *Node) onApplied(now fleet.Time, rec platform.Record, done Applied) {
	switch {
	case done.Genesis:
		n.checkRootKey()
	case done.Edit != nil:
		v := done.Edit
		kind, reason := EventAccepted, "revision "+strconv.FormatUint(v.Revision, 10)
		if v.Code != result.OK {
			kind, reason = EventRefused, v.Code.String()+": "+v.Detail
		}
		if n.reader.tailRead {
			// The journal holds decisions as they come into force, not the replay of
			// the log by each VM that starts.
			n.event(kind, reason, "edit", v.ID, "section", v.Section, "team", v.Team, "offset", offsetText(rec.Offset))
		}
		n.onVerdict(v.ID, done.Seen, *v)
	case done.Snapshot != nil:
		n.onSnapshotPart(now, rec, done.Snapshot)
	}
}

func (n *Node) checkRootKey() {
	if !bytes.Equal(n.state.RootKey(), n.cfg.RootKey) {
		n.denied = true
		n.event(EventDenied, "the log's genesis has another root key than the settings")
		return
	}
	n.event(EventGenesis, "first document")
}

// install replaces the state by a newer one. It never goes back: a state with a
// lower offset or an older section is refused.
func (n *Node) install(now fleet.Time, s *State, source string) bool {
	if s.Next() <= n.state.Next() {
		return false
	}
	for _, name := range n.state.SectionNames() {
		if s.SectionRevision(name) < n.state.SectionRevision(name) {
			n.event(EventBadSnapshot, "section "+name+" would go back", "source", source)
			return false
		}
	}
	n.state = s
	n.reader.scanning = false
	n.relays.drop()
	n.event(EventInstalled, source, "offset", offsetText(s.Next()-1), "revision", strconv.FormatUint(s.Revision(), 10))
	n.settlePublished()
	n.checkBehind(now)
	return true
}

// noteNext remembers the highest offset that a peer names.
func (n *Node) noteNext(now fleet.Time, next platform.Offset) {
	if next > n.peerNext {
		n.peerNext = next
	}
	n.checkBehind(now)
}

func (n *Node) checkBehind(now fleet.Time) {
	lagging := max(n.peerNext, n.reader.tail) > n.state.Next()
	if lagging && !n.lagging {
		n.peerAt = now
	}
	n.lagging = lagging
	behind := n.reader.stuck || lagging && now.Sub(n.peerAt) >= behindAfter
	if behind == n.behind {
		return
	}
	n.behind = behind
	if behind {
		n.event(EventBehind, "a peer or the log names a higher offset", "offset", offsetText(n.state.Next()),
			"highest", offsetText(max(n.peerNext, n.reader.tail)))
	} else {
		n.event(EventCaughtUp, "", "offset", offsetText(n.state.Next()))
	}
}

func offsetText(o platform.Offset) string { return strconv.FormatInt(int64(o), 10) }
