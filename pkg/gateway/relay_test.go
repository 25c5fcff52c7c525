package gateway

import (
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/fulmarbeam/fulmarbeam/pkg/balance"
	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/follower"
	"github.com/fulmarbeam/fulmarbeam/pkg/mesh"
)

// waitTimeout bounds waits for a condition; no assertion depends on its value.
const waitTimeout = 30 * time.Second

// recorder is a VM that records the messages it receives.
type recorder struct {
	mesh.Member
	mu       sync.Mutex
	received []fleet.Message
}

func (r *recorder) HandleDatagram(_ netip.AddrPort, m fleet.Message) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.received = append(r.received, m)
}

func (r *recorder) Snapshot() *follower.Snapshot { return nil }

func (r *recorder) messages() []fleet.Message {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]fleet.Message(nil), r.received...)
}

func newRecorder(t *testing.T, id, zone string) *recorder {
	r := &recorder{Member: mesh.Member{ID: fleet.VMID(id), Region: "addis", Zone: fleet.Zone(zone)}}
	transport, err := mesh.Listen("127.0.0.1:0", r, logr.Discard())
	require.NoError(t, err)
	t.Cleanup(func() { transport.Close() })
	r.Addr = transport.Addr()
	go transport.Serve()
	return r
}

// Guards against messages from another zone that are not relayed to this zone, and against messages that
// are relayed repeatedly.
func TestMessagesFromOtherZonesAreRelayedOnce(t *testing.T) {
	g := newTestGateway(t)
	neighbour, sender := newRecorder(t, "vm-n", "addis-a"), newRecorder(t, "vm-b", "addis-b")
	from := netip.MustParseAddrPort(sender.Addr)
	for _, other := range []*recorder{neighbour, sender} {
		g.members.Add(g.Now(), other.Member)
	}
	report := balance.Report{Zone: "addis-b", Observations: []balance.Observation{{Server: "s1", Outcome: balance.OutcomeFailed}}}
	update := follower.Update{From: 3, To: 5, Document: 1}
	digest := balance.Digest{Zone: "addis-b", Servers: []balance.ServerEstimate{{Server: "s1", Risk: 0.9, Load: 2}}}

	g.HandleDatagram(from, &mesh.Report{From: sender.ID, Report: report})
	g.HandleDatagram(from, &mesh.Report{From: sender.ID, Relay: true, Report: report})
	g.HandleDatagram(from, &mesh.RegistryUpdate{From: sender.ID, Relay: true, Update: update})
	g.HandleDatagram(from, &mesh.Digest{From: sender.ID, Relay: true, VMs: 4, Digest: digest})

	var reports []*mesh.Report
	var updates []*mesh.RegistryUpdate
	var digests []*mesh.Digest
	require.Eventually(t, func() bool {
		reports, updates, digests = nil, nil, nil
		for _, m := range neighbour.messages() {
			switch m := m.(type) {
			case *mesh.Report:
				if m.From == sender.ID {
					reports = append(reports, m)
				}
			case *mesh.RegistryUpdate:
				updates = append(updates, m)
			case *mesh.Digest:
				digests = append(digests, m)
			}
		}
		return len(reports) > 0 && len(updates) > 0 && len(digests) > 0
	}, waitTimeout, 5*time.Millisecond)
	require.Equal(t, []*mesh.Report{{From: sender.ID, Report: report}}, reports)
	require.Equal(t, []*mesh.RegistryUpdate{{From: sender.ID, Update: update}}, updates)
	require.Equal(t, []*mesh.Digest{{From: g.self.ID, VMs: 4, Digest: digest}}, digests)
	require.Equal(t, 4+2, g.members.FleetSize())
	for _, m := range sender.messages() {
		_, isDigest := m.(*mesh.Digest)
		require.False(t, isDigest, "a digest was sent back to its zone")
	}
}
