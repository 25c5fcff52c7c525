package gateway

import (
	"net/netip"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/fulmarbeam/fulmarbeam/pkg/balance"
	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/follower"
	"github.com/fulmarbeam/fulmarbeam/pkg/mesh"
	"github.com/fulmarbeam/fulmarbeam/pkg/proxy"
	"github.com/fulmarbeam/fulmarbeam/pkg/registry"
	"github.com/fulmarbeam/fulmarbeam/pkg/settings"
	"github.com/fulmarbeam/fulmarbeam/pkg/wire"
)

func newTestGateway(t testing.TB) *Gateway {
	s := settings.DefaultGateway()
	s.VM = settings.VM{ID: "vm-a", Region: "addis", Zone: "addis-a"}
	s.Zones = map[string]string{"addis-a": "addis", "addis-b": "addis"}
	s.Listen = settings.GatewayListen{Callers: "127.0.0.1:0", Ready: "127.0.0.1:0", Links: "127.0.0.1:0"}
	dialect := proxy.DefaultDialect()
	g, err := New(Config{Settings: s, Dialect: &dialect, ReadyPath: "/ready", Logger: logr.Discard(), Metrics: metrics.NewSet()})
	require.NoError(t, err)
	t.Cleanup(g.Close)
	return g
}

// FuzzDatagram guards against a malformed message of another VM that ends the process or its state: any
// bytes that decode to a message are handled, and the VM then still handles a valid report.
func FuzzDatagram(f *testing.F) {
	entry := &registry.Entry{Server: fleet.Server{ID: "s1", Service: "desk", Addr: "127.0.0.1:1", Region: "addis", Zone: "addis-a", State: fleet.StateLive}, Slots: 6}
	report := balance.Report{Zone: "addis-a", Loads: []balance.Load{{Server: "s1", InFlight: 2}}, Observations: []balance.Observation{{Server: "s1", Outcome: balance.OutcomeFailed, AgeMS: 3}},
		Notices: []balance.ServerNotice{{Server: "s1", Starts: 3, Recent: 1, Named: true, Rate: 2.5, AgeMS: 4}}}
	digest := balance.Digest{Zone: "addis-b", Servers: []balance.ServerEstimate{{Server: "s1", Risk: 0.9, Load: 2, Limit: 1.5}}, Services: []balance.ServiceStats{{Service: "desk", Requests: 9}}}
	member := mesh.Member{ID: "vm-b", Addr: "127.0.0.1:9", Region: "addis", Zone: "addis-a"}
	for _, m := range []fleet.Message{
		&mesh.Hello{Self: member, NeedsState: true, KnownHash: 7},
		&mesh.Welcome{Self: member, Members: []mesh.ListedMember{{Member: member, SilentMS: 5}}, FleetSize: 3, Ready: true, Digest: &digest},
		&mesh.Report{From: "vm-b", Relay: true, Report: report},
		&mesh.Report{From: "vm-b", Forward: true, Report: report},
		&mesh.Batch{From: "vm-b", Relay: true, Reports: []mesh.RelayedReport{{From: "vm-c", Report: report}}},
		&mesh.Digest{From: "vm-b", Relay: true, VMs: 4, Digest: digest},
		&mesh.RegistryUpdate{From: "vm-b", Relay: true, Update: follower.Update{From: -1, To: 5, Changes: []registry.Change{{ID: "s1", Entry: entry}, {ID: "s2"}}, Part: 1, Parts: 2}},
		&mesh.RegistryUpdate{From: "vm-b", Update: follower.Update{DocumentOnly: true, State: follower.DocumentState{Revision: 1 << 63, Age: 1 << 31}}},
		&mesh.Welcome{Self: member, HelloAt: -1 << 63, Document: follower.DocumentState{Revision: 1, Age: 1}},
		&mesh.Compressed{Frame: []byte{1, 2, 3}},
		&mesh.SnapshotReply{Compressed: []byte{1}},
	} {
		frame, err := wire.Encode(m)
		require.NoError(f, err)
		f.Add(frame)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := mesh.DecodeDatagram(data)
		if err != nil {
			return
		}
		g := newTestGateway(t)
		g.balance.Apply(g.Now(), []registry.Change{{ID: "s1", Entry: entry}})
		from := netip.MustParseAddrPort("127.0.0.1:9")
		g.HandleDatagram(from, m)
		g.HandleDatagram(from, m)
		g.update(func(now fleet.Time) {
			g.balance.Tick(now)
			g.follower.Tick(now)
			g.syncMembers(now)
		})
		g.HandleDatagram(from, &mesh.Report{From: "vm-b", Report: report})
		require.LessOrEqual(t, g.members.FleetSize(), 1<<18)
	})
}
