package gateway

import (
	"net/netip"
	"time"

	"github.com/fulmarbeam/fulmarbeam/pkg/balance"
	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/mesh"
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
		g.sendZoneReport(now, *zoneReport)
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
func (g *Gateway) sendZoneReport(now fleet.Time, r balance.Report) {
	if !g.members.UsesRelay(now) {
		zone, _ := g.members.Peers(now)
		g.mesh.Send(&mesh.Report{From: g.self.ID, Report: r}, zone...)
		return
	}
	relay, self := g.members.ZoneRelay(now)
	if self {
		g.zoneQueue.Add(now, mesh.RelayedReport{From: g.self.ID, Report: r})
		return
	}
	g.mesh.Send(&mesh.Report{From: g.self.ID, Relay: true, Report: r}, relay)
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
	relayed := mesh.RelayedReport{From: m.From, Report: m.Report}
	if m.Forward {
		g.regionQueue.Add(now, relayed)
		return
	}
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
	g.relay(now, &mesh.Report{From: r.From, Report: r.Report})
}

// relay forwards a message from another zone to the VMs of this zone.
func (g *Gateway) relay(now fleet.Time, m fleet.Message) {
	zone, _ := g.members.Peers(now)
	g.mesh.Send(m, zone...)
}
