package gateway

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/fulmarbeam/fulmarbeam/pkg/document"
	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/follower"
	"github.com/fulmarbeam/fulmarbeam/pkg/mesh"
	"github.com/fulmarbeam/fulmarbeam/pkg/quota"
	"github.com/fulmarbeam/fulmarbeam/pkg/registry"
)

// discoveryInterval is the interval at which an isolated VM looks up addresses in the store.
const discoveryInterval = 2 * time.Second

// announceRetryDelay is the delay after a failed announcement, as between the lookups of VMs that wait for it.
const announceRetryDelay = discoveryInterval

// startupWindow is how long after its start a VM requests the health estimates of its zone's servers.
const startupWindow = 3 * time.Second

// coverageInterval is the interval at which the zones without a VM are determined.
const coverageInterval = 250 * time.Millisecond

// applyChanges publishes the results of a step of the deterministic state. g.mu must be held.
func (g *Gateway) applyChanges(now fleet.Time) {
	g.balance.Apply(now, g.follower.Changes())
	if g.pendingDigest != nil && g.follower.Ready() {
		g.balance.ApplyDigest(now, *g.pendingDigest)
		g.pendingDigest = nil
	}
	if d := g.follower.NewDocument(); d != nil {
		g.useDocument(now, d.Doc, d.Revision)
	}
	g.publishDocumentAge(now)
	g.sendReports(now)
	g.startFetches(now)
	if !g.serving.Load() && g.follower.Ready() {
		g.serving.Store(true)
		close(g.readyCh)
		g.log.Info("ready", "servers", len(g.follower.Entries()), "after_ms", time.Duration(now).Milliseconds())
	}
	g.logEvents(now)
}

func countRoutes(d *document.Document) int {
	n := 0
	for _, s := range d.Sections {
		n += len(s.Routes)
	}
	return n
}

// startFetches starts the calls to the store and to other VMs that are due.
func (g *Gateway) startFetches(now fleet.Time) {
	if g.draining.Load() {
		return
	}
	if from, due := g.follower.RegistryReadDue(now); due {
		go g.readServers(from)
	}
	if from, wait, due := g.follower.DocumentPollDue(now); due {
		go g.readDocument(from, wait)
	}
	if vm, due := g.follower.SnapshotDue(now); due {
		addr, _ := g.members.Addr(vm)
		go g.fetchSnapshot(vm, addr)
	}
	if g.follower.StoreEpoch() != g.announcedEpoch {
		g.announced = false // a restore of the store may have lost the address
	}
	if g.follower.IsReader() && !g.announced && !g.announcing && now >= g.announceAt {
		g.announcing = true
		go g.announce(g.follower.StoreEpoch())
	}
	if !g.follower.IsReader() {
		g.announced = false
	}
	if g.members.Isolated(now) && !g.discovering && now.Sub(g.discoveredAt) > discoveryInterval {
		g.discovering, g.discoveredAt = true, now
		go g.discoverVMs()
	}
}

func (g *Gateway) readServers(from registry.Position) {
	batch, err := g.cfg.Source.Servers(g.ctx, from)
	g.update(func(now fleet.Time) { g.follower.ApplyRegistryRead(now, batch, err) })
}

func (g *Gateway) readDocument(from registry.Position, wait time.Duration) {
	batch, err := g.cfg.Source.Documents(g.ctx, from, wait)
	g.update(func(now fleet.Time) { g.follower.ApplyDocumentPoll(now, batch, err) })
}

func (g *Gateway) fetchSnapshot(vm fleet.VMID, addr string) {
	var snapshot *follower.Snapshot
	var decoded *registry.Document
	err := errors.NotFoundf("address of VM %s", vm)
	if addr != "" {
		snapshot, err = g.mesh.FetchSnapshot(g.ctx, g.self.ID, addr)
	}
	if err == nil {
		decoded, err = g.cfg.Source.DecodeDocument(snapshot.Raw)
	}
	g.update(func(now fleet.Time) { g.follower.ApplySnapshot(now, vm, snapshot, decoded, err) })
}

// announce stores this VM's address in the store as its region's reader. Epoch is the one that the store is
// known to be in at least.
func (g *Gateway) announce(epoch int64) {
	err := g.cfg.Source.Announce(g.ctx, string(g.self.Region), g.self.Addr)
	if err != nil {
		g.log.Info("could not store the address of this VM", "error", err.Error())
	}
	g.update(func(now fleet.Time) {
		g.announcing, g.announced, g.announcedEpoch = false, err == nil, epoch
		if err != nil {
			g.announceAt = now.Add(announceRetryDelay)
		}
	})
}

// discoverVMs looks up the addresses of other VMs in the store.
func (g *Gateway) discoverVMs() {
	ctx, cancel := context.WithTimeout(g.ctx, discoveryInterval)
	defer cancel()
	found, err := g.cfg.Source.Announced(ctx)
	if err != nil {
		g.log.Info("could not read the addresses of other VMs from the store", "error", err.Error())
	}
	g.update(func(fleet.Time) {
		g.discovering = false
		for _, addr := range found {
			if addr != g.self.Addr {
				g.members.AddSeeds([]string{addr})
			}
		}
	})
}

// sendDigests sends the zone's digest to one VM of each other zone. Only the first VM of the zone sends
// them.
func (g *Gateway) sendDigests(now fleet.Time) {
	if !g.digestSchedule.RegionDue(now) || g.members.ZoneRank(now) > 0 {
		return
	}
	m := &mesh.Digest{From: g.self.ID, Relay: true, VMs: g.members.ZoneSize(), Digest: g.balance.Digest(now), Document: g.follower.DocumentState(now)}
	region, other := g.members.Delegates(now)
	g.digestSchedule.RegionSent = now
	g.mesh.Send(m, region...)
	if len(other) > 0 && g.digestSchedule.OtherRegionsDue(now) {
		g.digestSchedule.OtherRegionsSent = now
		g.mesh.Send(m, other...)
	}
}

// updateCoveredZones determines the zones whose servers this VM's zone uses in addition to its own: the
// region's zones without a VM are assigned to the first zone that has one.
func (g *Gateway) updateCoveredZones(now fleet.Time) {
	live := g.members.LiveZones(now)
	first := g.self.Zone
	for zone := range live {
		first = min(first, zone)
	}
	covered := make(map[fleet.Zone]bool)
	for zone, region := range g.cfg.Settings.Zones {
		if z := fleet.Zone(zone); first == g.self.Zone && fleet.Region(region) == g.self.Region && !live[z] {
			covered[z] = true
		}
	}
	g.balance.SetCoveredZones(covered)
}

// syncMembers sends the Hello messages that are due and updates the state derived from the members.
func (g *Gateway) syncMembers(now fleet.Time) {
	g.members.SetNeedsState(!g.follower.Ready())
	if targets := g.members.HelloTargets(now); len(targets) > 0 && !g.draining.Load() {
		g.sendHello(now, time.Duration(now) < startupWindow, targets...)
	}
	g.sendDigests(now)
	g.quota.SetMembers(now, quota.Members{Known: g.members.ZoneSize(), FleetSize: g.members.FleetSize(), Alone: g.members.Alone(), Zones: len(g.cfg.Settings.Zones)})
	g.sendQuotaUse(now)
	if now.Sub(g.coveredAt) >= coverageInterval {
		g.coveredAt = now
		g.updateCoveredZones(now)
	}
	g.follower.SetRank(g.members.Rank(now, g.self.ID))
	g.follower.SetHasPeers(g.members.LivePeers(now) > 0)
	g.balance.SetVMs(g.members.FleetSize())
}

// HandleDatagram handles a message from another VM.
func (g *Gateway) HandleDatagram(from netip.AddrPort, m fleet.Message) {
	g.update(func(now fleet.Time) {
		switch m := m.(type) {
		case *mesh.Hello:
			g.members.Add(now, m.Self)
			list := g.members.ListUnknownTo(now, m.Self, m.KnownHash)
			w := &mesh.Welcome{Self: g.self, Members: list, FleetSize: g.members.FleetSize(), Ready: g.follower.Ready(),
				HelloAt: m.SentAt, Document: g.follower.DocumentState(now)}
			if m.NeedsState && m.Self.Zone == g.self.Zone {
				d := g.balance.Digest(now)
				w.Digest = &d
			}
			g.mesh.Send(w, from.String())
		case *mesh.Welcome:
			g.handleWelcome(now, m)
		case *mesh.Report:
			g.handleReport(now, from, m)
		case *mesh.Batch:
			g.handleBatch(now, from, m)
		case *mesh.Digest:
			g.members.RecordHeard(now, m.From)
			g.hearDocument(now, m.From, m.Document, 0)
			g.balance.ApplyDigest(now, m.Digest)
			g.members.RecordZoneSize(m.Digest.Zone, m.VMs)
			if m.Relay {
				g.relay(now, &mesh.Digest{From: g.self.ID, VMs: m.VMs, Digest: m.Digest})
			}
		case *mesh.QuotaUse:
			g.handleQuotaUse(now, m)
		case *mesh.RegistryUpdate:
			if g.recordSender(now, m.From, from) {
				g.handleUpdate(now, m)
			}
			if m.Relay {
				g.relay(now, &mesh.RegistryUpdate{From: m.From, Update: m.Update})
			}
		}
	})
}

// handleUpdate handles an update of a known VM. One of another region tells of the document only.
func (g *Gateway) handleUpdate(now fleet.Time, m *mesh.RegistryUpdate) {
	if m.Update.DocumentOnly {
		g.hearDocument(now, m.From, m.Update.State, 0)
		return
	}
	g.follower.ApplyUpdate(now, m.From, g.members.Rank(now, m.From), m.Update)
}

// recordSender reports whether the sender is known. It sends a Hello message to an unknown one.
func (g *Gateway) recordSender(now fleet.Time, id fleet.VMID, from netip.AddrPort) bool {
	if g.members.RecordHeard(now, id) {
		return true
	}
	g.sendHello(now, false, from.String())
	return false
}

func (g *Gateway) sendHello(now fleet.Time, needsState bool, targets ...string) {
	g.mesh.Send(&mesh.Hello{Self: g.self, NeedsState: needsState, KnownHash: g.members.KnownHash(now), SentAt: int64(bootTime())}, targets...)
}

func (g *Gateway) handleWelcome(now fleet.Time, m *mesh.Welcome) {
	for _, other := range m.Members {
		g.members.AddListed(now, other)
	}
	g.members.Add(now, m.Self)
	g.members.RecordFleetSize(m.FleetSize)
	if m.Digest != nil {
		g.pendingDigest = m.Digest
	}
	g.hearDocument(now, m.Self.ID, m.Document, time.Duration(m.HelloAt))
	if m.Ready {
		g.follower.HandleSnapshotOffer(now, m.Self.ID)
	}
}

// Snapshot returns a snapshot of this VM's state, or nil if the state is not complete.
func (g *Gateway) Snapshot() *follower.Snapshot {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.follower.Snapshot()
	if s != nil {
		s.State = g.follower.DocumentState(g.Now())
	}
	return s
}

// logEvents logs the events of the deterministic state.
func (g *Gateway) logEvents(now fleet.Time) {
	for _, e := range g.follower.Events() {
		g.RecordEvent(e)
	}
	g.logMemberEvents(g.members.Events(now))
	for _, e := range slices.Concat(g.balance.Events(), g.quota.Events()) {
		g.RecordEvent(e)
	}
}

// maxMemberLines bounds the lines for members that are found or lost in one step. Of more, only the
// numbers are logged.
const maxMemberLines = 4

func (g *Gateway) logMemberEvents(events []fleet.Event) {
	if len(events) <= maxMemberLines {
		for _, e := range events {
			g.RecordEvent(e)
		}
		return
	}
	counts := make(map[string]int)
	for _, e := range events {
		counts[string(e.Kind)]++
	}
	g.log.Info("members_changed", "changes", counts, "first", events[0].Reason)
}
