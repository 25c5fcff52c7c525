package shard

import (
	"maps"
	"slices"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
)

// Limits of one message and, for maxChunks, of one transferred state. They keep frames
// well below wire.MaxFrameBytes, even with long names.
const (
	maxBatchItems   = 1000
	chunkBytes      = 256 << 10
	maxPrepareBytes = 1 << 20
	maxChunks       = 256
)

// peerQueue collects the items to send to one VM until Outbox batches them into messages.
type peerQueue struct {
	views         []View
	departed      []View
	claimRequests []Claim
	claimReplies  []ClaimReply
	releases      []Claim
	chunks        []StateChunk
	prepared      []PreparedView
	commits       []View
	committed     []View
	resigns       []View
	queries       []ID
}

func (m *Manager) queueFor(vm fleet.VMID) *peerQueue {
	q := m.queues[vm]
	if q == nil {
		q = &peerQueue{}
		m.queues[vm] = q
	}
	return q
}

// Outbox returns the messages queued since the last call, batched per VM.
func (m *Manager) Outbox() []fleet.Envelope {
	if len(m.queues) == 0 {
		return nil
	}
	var out []fleet.Envelope
	for _, vm := range slices.Sorted(maps.Keys(m.queues)) {
		if vm == m.cfg.Self.VM {
			continue
		}
		q := m.queues[vm]
		out = batch(out, vm, q.views, func(v []View) fleet.Message { return &Views{Views: v} })
		out = batch(out, vm, q.departed, func(v []View) fleet.Message { return &Views{Departed: v} })
		out = batch(out, vm, q.resigns, func(v []View) fleet.Message { return &Resign{v} })
		out = batch(out, vm, q.commits, func(v []View) fleet.Message { return &Commit{v} })
		out = batch(out, vm, q.committed, func(v []View) fleet.Message { return &Committed{v} })
		out = batch(out, vm, q.prepared, func(v []PreparedView) fleet.Message { return &Prepared{v} })
		out = batch(out, vm, q.releases, func(c []Claim) fleet.Message { return &ClaimReleases{c} })
		out = batch(out, vm, q.claimRequests, func(c []Claim) fleet.Message { return &ClaimRequests{c} })
		out = batch(out, vm, q.claimReplies, func(r []ClaimReply) fleet.Message { return &ClaimReplies{r} })
		out = batch(out, vm, q.queries, func(s []ID) fleet.Message { return &ViewQuery{s} })
		out = batchChunks(out, vm, q.chunks)
	}
	clear(m.queues)
	return out
}

func batch[T any](out []fleet.Envelope, vm fleet.VMID, items []T, message func([]T) fleet.Message) []fleet.Envelope {
	for chunk := range slices.Chunk(items, maxBatchItems) {
		out = append(out, fleet.Envelope{To: vm, Message: message(chunk)})
	}
	return out
}

func batchChunks(out []fleet.Envelope, vm fleet.VMID, chunks []StateChunk) []fleet.Envelope {
	for len(chunks) > 0 {
		n, bytes := 0, 0
		for n < len(chunks) && n < maxBatchItems && (n == 0 || bytes+len(chunks[n].Data) <= maxPrepareBytes) {
			bytes += len(chunks[n].Data)
			n++
		}
		out = append(out, fleet.Envelope{To: vm, Message: &Prepare{chunks[:n:n]}})
		chunks = chunks[n:]
	}
	return out
}

// Events returns the events since the last call, for the journal.
func (m *Manager) Events() []fleet.Event {
	events := m.events
	m.events = nil
	return events
}

func (m *Manager) event(s *shardState, reason string) {
	m.events = append(m.events, fleet.Event{
		Kind: EventShard, Service: s.id.Service, Reason: reason,
		Detail: map[string]string{
			"shard": s.name, "owner": s.known.Owner.String(), "copy": s.known.Copy.String(),
		},
	})
}
