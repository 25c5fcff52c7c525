package gateway

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fulmarbeam/fulmarbeam/pkg/document"
	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/follower"
	"github.com/fulmarbeam/fulmarbeam/pkg/mesh"
	"github.com/fulmarbeam/fulmarbeam/pkg/registry"
)

// Guards against a VM that was suspended and accepts keys again because of messages that waited in its socket.
func TestSuspendedVMRefusesKeysUntilItIsAnswered(t *testing.T) {
	const suspended = time.Hour
	g := newTestGateway(t)
	g.cfg.Settings.Workspaces.FailClosed = true
	g.draining.Store(true) // no calls to the store
	require.False(t, g.keysConfirmed(), "nothing is known yet")
	g.update(func(now fleet.Time) {
		doc := &document.Document{Root: document.Root{APIKeys: true}}
		g.follower.ApplyDocumentPoll(now, registry.DocumentBatch{Newest: &registry.Document{Revision: 3, Doc: doc}, Next: 1}, nil)
	})
	require.True(t, g.keysConfirmed())
	asked := bootTime()

	// The boot clock cannot be moved, so what the VM remembers of it is moved back.
	g.keysValidUntil.Add(int64(-suspended))
	g.pause.lastBoot -= suspended
	require.False(t, g.keysConfirmed(), "at once, before any other step")

	from := netip.MustParseAddrPort("127.0.0.1:9")
	state := follower.DocumentState{Revision: 3, Age: 1}
	welcome := func(helloAt time.Duration) *mesh.Welcome {
		return &mesh.Welcome{Self: mesh.Member{ID: "vm-b", Addr: from.String(), Region: "addis", Zone: "addis-a"}, Document: state, HelloAt: int64(helloAt)}
	}
	for name, m := range map[string]fleet.Message{
		"answer to a question from before": welcome(asked - suspended),
		"answer without a question":        welcome(0),
		"answer from the future":           welcome(bootTime() + time.Minute),
		"negative time":                    welcome(-1),
		"update":                           &mesh.RegistryUpdate{From: "vm-b", Update: follower.Update{DocumentOnly: true, State: state}},
		"digest":                           &mesh.Digest{From: "vm-b", Document: state},
	} {
		g.HandleDatagram(from, m)
		require.False(t, g.keysConfirmed(), name)
	}
	g.HandleDatagram(from, welcome(bootTime()))
	require.True(t, g.keysConfirmed())
}
