package keys

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fulmarbeam/fulmarbeam/pkg/document"
	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/result"
	"github.com/fulmarbeam/fulmarbeam/pkg/shard"
)

// EventKeys is the kind of all events that this package emits.
const EventKeys fleet.EventKind = "keys"

// Limits and defaults.
const (
	DispatchLimit        = 2 * time.Second // from sending the reservation to sending the first byte of the request
	DefaultRetryInterval = 100 * time.Millisecond
	DefaultRetention     = 10 * time.Minute
	DefaultSlices        = 64
	maxKeyBytes          = 255
)

// OpenState is the state of a key shard's first use according to the configuration log, in
// which an opened record marks it.
type OpenState uint8

// Open states. OpenedBySelf means that this process has read its own opened record back
// from the log and that it is the first one for the shard.
const (
	OpenUnknown OpenState = iota
	NeverOpened
	OpenedBySelf
	OpenedBefore
)

// Config holds the identity and the dependencies of this process.
type Config struct {
	Self          fleet.Member
	Region        fleet.Region
	Authority     shard.Authority
	Membership    shard.Membership
	Opened        func(shard.ID) OpenState // looks the shard up in the configuration log
	RetryInterval time.Duration            // interval between resends
}

// Keys reserves idempotency keys for requests of this VM and stores the records of the
// key shards that this VM is a member of. It is not safe for concurrent use.
type Keys struct {
	cfg       Config
	now       fleet.Time // latest time passed to any method
	index     *document.Index
	dir       *fleet.Directory
	retention time.Duration
	slices    int

	tables          map[shard.ID]*table
	sortedTables    []*table                            // the values of tables, sorted by slice
	runningByOrigin map[fleet.Member]map[*record]*table // running records by Attempt.Origin
	expiries        expiryQueue

	lastAttempt       uint64 // number of the newest attempt of this process
	requests          map[ReservationID]*request
	requestsByAttempt map[uint64]*request
	undecided         []*request // requests without a decision, in order of arrival
	pendingEnds       []*pendingEnd
	endsByAttempt     map[uint64]*pendingEnd

	queues       map[fleet.VMID]*peerQueue
	decisions    []Decision
	openRequests []shard.ID
	events       []fleet.Event
}

var _ shard.Replica = (*Keys)(nil)

// New returns Keys without a document. It refuses requests until SetDocument is called.
func New(cfg Config) *Keys {
	cfg.RetryInterval = cmp.Or(cfg.RetryInterval, DefaultRetryInterval)
	return &Keys{
		cfg: cfg, retention: DefaultRetention,
		tables:            map[shard.ID]*table{},
		runningByOrigin:   map[fleet.Member]map[*record]*table{},
		requests:          map[ReservationID]*request{},
		requestsByAttempt: map[uint64]*request{},
		endsByAttempt:     map[uint64]*pendingEnd{},
		queues:            map[fleet.VMID]*peerQueue{},
	}
}

// SetDocument installs the current document. The number of key shards is fixed by the
// first document.
func (k *Keys) SetDocument(now fleet.Time, index *document.Index) {
	k.now = max(k.now, now)
	k.index = index
	root := index.Doc.Root
	k.retention = cmp.Or(time.Duration(root.KeyRetention), DefaultRetention)
	if k.slices == 0 {
		k.slices = cmp.Or(root.KeySlices, DefaultSlices)
	}
}

// SetDirectory installs a newer VM directory. Directories that are not newer are ignored.
func (k *Keys) SetDirectory(now fleet.Time, dir *fleet.Directory) {
	k.now = max(k.now, now)
	if k.dir == nil || dir.Generation > k.dir.Generation {
		k.dir = dir
	}
}

func (k *Keys) listed(vm fleet.VMID) bool {
	if k.dir == nil {
		return false
	}
	_, ok := k.dir.VM(vm)
	return ok
}

// Shards returns the key shards of a region, for shard.Manager.SetWantedShards. The result is
// empty before the first document.
func (k *Keys) Shards(region fleet.Region) []shard.ID {
	ids := make([]shard.ID, k.slices)
	for i := range ids {
		ids[i] = shard.KeyShard(region, i)
	}
	return ids
}

// shardOf returns the key shard of a scope. It is in the workspace's home region, or in
// a region chosen by hash if the document does not define the workspace.
func (k *Keys) shardOf(workspace string, scope Scope) (shard.ID, bool) {
	if k.index == nil {
		return shard.ID{}, false
	}
	hash := xxhash.Sum64String(scope.Workspace + "\x00" + string(scope.Service) + "\x00" + scope.Key)
	region, ok := k.homeRegion(workspace)
	if !ok {
		regions := k.index.Doc.Root.Regions
		if len(regions) == 0 {
			return shard.ID{}, false
		}
		region = regions[(hash>>32)%uint64(len(regions))]
	}
	return shard.KeyShard(region, int(hash%uint64(k.slices))), true
}

func (k *Keys) homeRegion(workspace string) (fleet.Region, bool) {
	if workspace == "" {
		return "", false
	}
	for _, name := range slices.Sorted(maps.Keys(k.index.Doc.Sections)) {
		if w, ok := k.index.Doc.Sections[name].Workspaces[workspace]; ok && w.Home != "" {
			return w.Home, true
		}
	}
	return "", false
}

// Step handles a message from another VM.
func (k *Keys) Step(now fleet.Time, from fleet.Member, message fleet.Message) {
	k.now = max(k.now, now)
	switch msg := message.(type) {
	case *Reserves:
		for _, r := range msg.Reserves {
			k.onReserve(now, from, r)
		}
	case *Grants:
		for _, g := range msg.Grants {
			k.onGrant(now, from, g)
		}
	case *Ends:
		for _, e := range msg.Ends {
			k.onEnd(now, from, e)
		}
	case *Acks:
		for _, a := range msg.Acks {
			k.onAck(now, from, a)
		}
	}
	k.deliverLocal(now)
}

// Tick runs due timers.
func (k *Keys) Tick(now fleet.Time) {
	k.now = max(k.now, now)
	k.handleGoneOrigins(now)
	k.expire(now)
	k.tickHistory(now)
	k.tickRequests(now)
	k.tickPendingEnds(now)
	k.deliverLocal(now)
}

// tickHistory resolves the history of owned shards before the first key arrives.
func (k *Keys) tickHistory(now fleet.Time) {
	for _, t := range k.sortedTables {
		if t.history != historyUnknown || t.pendingImport != nil {
			continue
		}
		if role, _ := k.cfg.Authority.Role(t.id); role == shard.RoleOwner {
			k.resolveHistory(now, t)
		}
	}
}

// deliverLocal handles messages from this VM to itself.
func (k *Keys) deliverLocal(now fleet.Time) {
	self := k.cfg.Self
	for {
		q := k.queues[self.VM]
		if q == nil {
			return
		}
		delete(k.queues, self.VM)
		for _, r := range q.reserves {
			k.onReserve(now, self, r)
		}
		for _, e := range q.ends {
			k.onEnd(now, self, e)
		}
		for _, g := range q.grants {
			k.onGrant(now, self, g)
		}
		for _, a := range q.acks {
			k.onAck(now, self, a)
		}
	}
}

// Outbox returns the messages queued since the last call, batched per VM.
func (k *Keys) Outbox() []fleet.Envelope {
	if len(k.queues) == 0 {
		return nil
	}
	var out []fleet.Envelope
	for _, vm := range slices.Sorted(maps.Keys(k.queues)) {
		q := k.queues[vm]
		send := func(m fleet.Message) { out = append(out, fleet.Envelope{To: vm, Message: m}) }
		batch(q.ends, func(e End) int { return itemOverhead + e.Scope.size() + e.Response.size() },
			func(e []End) { send(&Ends{e}) })
		batch(q.reserves, func(r Reserve) int { return itemOverhead + r.Scope.size() },
			func(r []Reserve) { send(&Reserves{r}) })
		batch(q.grants, func(g Grant) int { return itemOverhead + g.Response.size() },
			func(g []Grant) { send(&Grants{g}) })
		batch(q.acks, func(Ack) int { return itemOverhead }, func(a []Ack) { send(&Acks{a}) })
	}
	clear(k.queues)
	return out
}

// Events returns the events since the last call, for the journal.
func (k *Keys) Events() []fleet.Event {
	events := k.events
	k.events = nil
	return events
}

func (k *Keys) event(id shard.ID, reason string) {
	k.events = append(k.events, fleet.Event{
		Kind: EventKeys, Reason: reason, Detail: map[string]string{"shard": id.String()},
	})
}

// Decisions returns the decisions since the last call.
func (k *Keys) Decisions() []Decision {
	decisions := k.decisions
	k.decisions = nil
	return decisions
}

// OpenRequests returns the key shards, since the last call, for which the caller should
// append an opened record to the configuration log. A shard is requested repeatedly
// until Config.Opened no longer returns NeverOpened.
func (k *Keys) OpenRequests() []shard.ID {
	opens := k.openRequests
	k.openRequests = nil
	return opens
}

// PendingExchanges returns the number of undecided reservations and unacknowledged ends. A
// shutdown waits until it is 0.
func (k *Keys) PendingExchanges() int { return len(k.undecided) + len(k.pendingEnds) }

func (k *Keys) decide(q *request, d Decision) {
	d.Reservation = q.id
	k.decisions = append(k.decisions, d)
}

func refusal(code result.Code) Decision { return Decision{Verdict: VerdictRefuse, Code: code} }
