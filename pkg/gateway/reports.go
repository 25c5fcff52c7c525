package gateway

import (
	"net/netip"
	"time"

	"github.com/fulmarbeam/fulmarbeam/pkg/balance"
	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/mesh"
	"github.com/fulmarbeam/fulmarbeam/pkg/quota"
)

// Number of VMs in each other zone of the region that receive a message to relay it. A lost update makes
// a VM read from the store.
const (
	reportRelays = 1
	updateRelays = 2
)

// unknownSenderInterval is the minimum interval between two Hellos because of relayed reports of unknown VMs.
const unknownSenderInterval = 300 * time.Millisecond

// sendReports sends the reports, updates and batches that are due.
func (g *Gateway) sendReports(now fleet.Time) {
	zoneReport, regionReport := g.balance.Reports(now)
	if zoneReport != nil {
		g.sendZoneReport(now, *zoneReport, g.quota.VMReport(now))
	}
	if regionReport != nil {
		g.sendRegionReport(now, *regionReport)
	}
	for _, u := range g.follower.Updates() {
		g.tellOtherRegions(now, u)
		zone, _ := g.members.Peers(now)
		g.mesh.Send(&mesh.RegistryUpdate{From: g.self.ID, Update: u}, zone...)
		g.mesh.Send(&mesh.RegistryUpdate{From: g.self.ID, Relay: true, Update: u}, g.members.Relays(now, updateRelays)...)
	}
	for _, reports := range g.zoneQueue.Flush(now) {
		zone, _ := g.members.Peers(now)
		g.mesh.Send(&mesh.Batch{From: g.self.ID, Reports: reports}, zone...)
	}
	for _, reports := range g.regionQueue.Flush(now) {
		g.mesh.Send(&mesh.Batch{From: g.self.ID, Relay: true, Reports: reports}, g.members.Relays(now, reportRelays)...)
	}
}

// sendZoneReport sends this VM's report to the VMs of its zone, through the relay in a large zone.
func (g *Gateway) sendZoneReport(now fleet.Time, r balance.Report, uses []quota.Use) {
	if !g.members.UsesRelay(now) {
		zone, _ := g.members.Peers(now)
		g.mesh.Send(&mesh.Report{From: g.self.ID, Report: r, Quota: uses}, zone...)
		return
	}
	relay, self := g.members.ZoneRelay(now)
	if self {
		g.zoneQueue.Add(now, mesh.RelayedReport{From: g.self.ID, Report: r, Quota: uses})
		return
	}
	g.mesh.Send(&mesh.Report{From: g.self.ID, Relay: true, Report: r, Quota: uses}, relay)
}

// sendQuotaUse tells other zones of the use of quotas in this VM's zone, if it is due and this VM reports for the zone.
func (g *Gateway) sendQuotaUse(now fleet.Time) {
	index := g.index.Load()
	if index == nil || !index.HasQuotas() {
		return
	}
	r := g.quota.ZoneReport(now)
	if r == nil || !g.members.ReportsForZone(now) {
		return
	}
	region, other := g.members.Delegates(now)
	g.mesh.Send(&mesh.QuotaUse{From: g.self.ID, Relay: true, Report: *r}, append(region, other...)...)
}

// handleQuotaUse handles the use of quotas in another zone.
func (g *Gateway) handleQuotaUse(now fleet.Time, m *mesh.QuotaUse) {
	g.members.RecordHeard(now, m.From)
	if _, known := g.cfg.Settings.Zones[string(m.Report.Zone)]; !known {
		g.log.V(1).Info("message ignored", "from", m.From, "error", "it is of a zone that the settings do not name", "zone", m.Report.Zone)
		return
	}
	g.quota.ApplyZoneReport(now, m.Report)
	if m.Relay {
		g.relay(now, &mesh.QuotaUse{From: g.self.ID, Report: m.Report})
	}
}

// applyQuota charges the use of quotas by a VM of this zone.
func (g *Gateway) applyQuota(now fleet.Time, r mesh.RelayedReport) {
	if r.Report.Zone == g.self.Zone {
		g.quota.ApplyVMReport(now, r.From, r.Quota)
	}
}

// sendRegionReport sends this VM's report to the region's other zones.
func (g *Gateway) sendRegionReport(now fleet.Time, r balance.Report) {
	if !g.members.UsesRelay(now) {
		g.mesh.Send(&mesh.Report{From: g.self.ID, Relay: true, Report: r}, g.members.Relays(now, reportRelays)...)
		return
	}
	relay, self := g.members.ZoneRelay(now)
	if self {
		g.regionQueue.Add(now, mesh.RelayedReport{From: g.self.ID, Report: r})
		return
	}
	g.mesh.Send(&mesh.Report{From: g.self.ID, Forward: true, Report: r}, relay)
}

// handleReport handles a report of a VM, and relays it if the VM asks for that.
func (g *Gateway) handleReport(now fleet.Time, from netip.AddrPort, m *mesh.Report) {
	known := g.recordSender(now, m.From, from)
	relayed := mesh.RelayedReport{From: m.From, Report: m.Report, Quota: m.Quota}
	if m.Forward {
		g.regionQueue.Add(now, relayed)
		return
	}
	g.applyQuota(now, relayed)
	if known {
		g.balance.ApplyReport(now, m.From, m.Report)
	}
	if m.Relay {
		g.relayReport(now, relayed)
	}
}

// handleBatch handles the reports that a relay sends.
func (g *Gateway) handleBatch(now fleet.Time, from netip.AddrPort, m *mesh.Batch) {
	g.recordSender(now, m.From, from)
	g.members.RecordBatch(m.From)
	for _, r := range m.Reports {
		if r.From == g.self.ID {
			continue
		}
		if !g.members.RecordHeard(now, r.From) && now.Sub(g.lastQuery) >= unknownSenderInterval {
			g.lastQuery = now
			g.sendHello(now, false, from.String()) // the relay lists the VMs of its zone
		}
		g.applyQuota(now, r)
		g.balance.ApplyReport(now, r.From, r.Report)
		if m.Relay {
			g.relayReport(now, r)
		}
	}
}

// relayReport relays a report to the VMs of this zone: in a large zone together with others,
// otherwise at once.
func (g *Gateway) relayReport(now fleet.Time, r mesh.RelayedReport) {
	if g.members.UsesRelay(now) {
		g.zoneQueue.Add(now, r)
		return
	}
	g.relay(now, &mesh.Report{From: r.From, Report: r.Report, Quota: r.Quota})
}

// relay forwards a message from another zone to the VMs of this zone.
func (g *Gateway) relay(now fleet.Time, m fleet.Message) {
	zone, _ := g.members.Peers(now)
	g.mesh.Send(m, zone...)
}
