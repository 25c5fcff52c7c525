package localfleet

import (
	"context"
	"crypto/ed25519"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fulmarbeam/fulmarbeam/pkg/document"
	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/node"
	"github.com/fulmarbeam/fulmarbeam/pkg/result"
)

// testHost is the Host header of callers' requests.
const testHost = "tickets.example"

// waitTimeout limits the wait for a condition that is expected to become true.
const waitTimeout = 60 * time.Second

var (
	rootKey     = ed25519.NewKeyFromSeed([]byte(strings.Repeat("r", ed25519.SeedSize)))
	paymentsKey = ed25519.NewKeyFromSeed([]byte(strings.Repeat("p", ed25519.SeedSize)))
)

func testRoot() document.Root {
	return document.Root{
		Teams: map[string]document.Team{
			"fleet":    {Keys: []string{PublicKey(rootKey)}, Sections: []string{document.RootSection}},
			"payments": {Keys: []string{PublicKey(paymentsKey)}, Sections: []string{"payments"}},
		},
		KeySlices: 8,
		Regions:   []fleet.Region{"addis"},
	}
}

func testSection(servers int) document.Section {
	return document.Section{
		Services: map[fleet.Service]document.Service{
			"ticket-desk": {Servers: servers, Slots: 6, Connections: 330, Floor: document.Floor{Servers: servers / 2}},
		},
		Routes: map[string]document.Route{
			"menu": {Path: "/menu", Methods: []string{"GET"}, Service: "ticket-desk", Idempotent: true, Retries: 2, Deadline: document.Duration(10 * time.Second)},
			"book": {Path: "/book", Methods: []string{"POST"}, Service: "ticket-desk", Key: document.KeyRequired, Weight: 5, Deadline: document.Duration(10 * time.Second)},
		},
		Workspaces: map[string]document.Workspace{},
	}
}

// startFleet starts VMs and servers in two zones of one region and publishes a
// configuration document.
func startFleet(t *testing.T, vms, servers int) (*Fleet, context.Context) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	t.Cleanup(cancel)
	cfg := Config{RootKey: rootKey}
	for i := range vms {
		cfg.VMs = append(cfg.VMs, VMSpec{fleet.VMID(fmt.Sprintf("vm-%d", i)), "addis", fleet.Zone(fmt.Sprintf("addis-%d", i%2))})
	}
	for i := range servers {
		cfg.Servers = append(cfg.Servers, ServerSpec{
			ID: fleet.ServerID(fmt.Sprintf("ticket-%d", i)), Service: "ticket-desk", Region: "addis", Zone: fleet.Zone(fmt.Sprintf("addis-%d", i%2)),
		})
	}
	f, err := Start(cfg)
	require.NoError(t, err)
	t.Cleanup(f.Close)
	require.NoError(t, f.WriteGenesis(ctx, f.Node("vm-0"), testRoot()))
	v, err := f.Publish(ctx, f.Node("vm-0"), "payments", "payments", testSection(servers), paymentsKey)
	require.NoError(t, err)
	require.Equal(t, result.OK, v.Code, "%+v", v)
	require.NoError(t, f.AwaitReady(ctx))
	return f, ctx
}

type response struct {
	status int
	header http.Header
	body   string
}

func send(t *testing.T, n *node.Node, method, path, key string) response {
	t.Helper()
	req, err := http.NewRequest(method, "http://"+n.CallersAddr()+path, strings.NewReader("order"))
	require.NoError(t, err)
	if method == http.MethodGet {
		req.Body = http.NoBody
		req.ContentLength = 0
	}
	if key != "" {
		req.Host = testHost
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return response{resp.StatusCode, resp.Header, string(body)}
}

func runsOfKey(f *Fleet, key string) int {
	runs := 0
	for _, b := range f.Backends() {
		runs += len(b.RunsByKey(key))
	}
	return runs
}

// Guards against a VM that does not forward requests, and against a second run of a
// booking that is repeated through another VM instead of a replay of the first response.
func TestRequestsAndRepeatedBooking(t *testing.T) {
	f, _ := startFleet(t, 4, 4)
	for _, n := range f.Nodes() {
		resp := send(t, n, http.MethodGet, "/menu", "")
		require.Equal(t, http.StatusOK, resp.status, "%+v", resp)
	}
	first := send(t, f.Node("vm-1"), http.MethodPost, "/book", "key-1")
	require.Equal(t, http.StatusOK, first.status, "%+v", first)
	repeat := send(t, f.Node("vm-2"), http.MethodPost, "/book", "key-1")
	require.Equal(t, http.StatusOK, repeat.status, "%+v", repeat)
	require.Equal(t, "true", repeat.header.Get("Idempotent-Replayed"))
	require.Equal(t, first.body, repeat.body)
	require.Equal(t, 1, runsOfKey(f, "key-1"))
}
