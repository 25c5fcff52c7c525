package operator

import (
	"context"
	"encoding/json"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/fulmarbeam/fulmarbeam/pkg/journal"
	"github.com/fulmarbeam/fulmarbeam/pkg/result"
)

// routesBackend records the argument of the last call.
type routesBackend struct {
	fakeBackend
	lastArg any
}

func (b *routesBackend) Readiness(context.Context) Readiness { return Readiness{Ready: true} }
func (b *routesBackend) Genesis(_ context.Context, record json.RawMessage) (Verdict, error) {
	b.lastArg = string(record)
	return b.verdict, nil
}
func (b *routesBackend) History(_ context.Context, q HistoryQuery) ([]HistoryEntry, error) {
	b.lastArg = q
	return []HistoryEntry{{Offset: 4, EditID: "e"}}, nil
}
func (b *routesBackend) EditStatus(_ context.Context, id string) (EditStatus, error) {
	return EditStatus{Verdict: Verdict{EditID: id}, Known: true}, nil
}
func (b *routesBackend) Servers(_ context.Context, q ServersQuery) ([]ServerStatus, error) {
	b.lastArg = q
	return nil, nil
}
func (b *routesBackend) Shards(_ context.Context, q ShardsQuery) ([]ShardStatus, error) {
	b.lastArg = q
	return []ShardStatus{{Shard: "s", Version: 3}}, nil
}
func (b *routesBackend) Drain(_ context.Context, req DrainRequest) (DrainStatus, error) {
	b.lastArg = req
	return DrainStatus{Draining: true, InFlight: 2}, nil
}

// Client and server must agree on the path and the parameters of each route.
func TestClientReachesEachRoute(t *testing.T) {
	b := &routesBackend{fakeBackend: fakeBackend{id: "a", vms: []VMStatus{{ID: "a"}}}}
	s := httptest.NewServer(NewHandler(Options{Backend: b}))
	defer s.Close()
	c, err := NewClient(ClientConfig{Addresses: []string{strings.TrimPrefix(s.URL, "http://")}})
	require.NoError(t, err)
	ctx := context.Background()

	ready, err := c.Ready(ctx)
	require.NoError(t, err)
	require.True(t, ready.Ready)
	view, err := c.Config(ctx, "payments")
	require.NoError(t, err)
	require.EqualValues(t, "a", view.VM)
	verdict, err := c.Check(ctx, json.RawMessage(`{}`))
	require.NoError(t, err)
	require.Equal(t, "ok", verdict.Name)
	_, err = c.Genesis(ctx, json.RawMessage(`{"r":1}`))
	require.NoError(t, err)
	require.Equal(t, `{"r":1}`, b.lastArg)
	history := HistoryQuery{Section: "payments", Team: "pay", Limit: 7}
	entries, err := c.History(ctx, history)
	require.NoError(t, err)
	require.Len(t, entries, 1)
	require.Equal(t, history, b.lastArg)
	status, err := c.EditStatus(ctx, "e 1&2")
	require.NoError(t, err)
	require.Equal(t, "e 1&2", status.EditID)
	servers := ServersQuery{Service: "pay-counter", Region: "addis", ID: "pay-07"}
	none, err := c.Servers(ctx, servers)
	require.NoError(t, err)
	require.NotNil(t, none, "an empty list must be a JSON array, not null")
	require.Equal(t, servers, b.lastArg)
	shards := ShardsQuery{Region: "addis", Class: "keys", MemberOnly: true}
	_, err = c.Shards(ctx, shards)
	require.NoError(t, err)
	require.Equal(t, shards, b.lastArg)
	vms, err := c.VMs(ctx)
	require.NoError(t, err)
	require.Len(t, vms, 1)
	drain := DrainRequest{VM: "a", Reason: "kernel"}
	draining, err := c.Drain(ctx, drain)
	require.NoError(t, err)
	require.Equal(t, DrainStatus{Draining: true, InFlight: 2}, draining)
	require.Equal(t, drain, b.lastArg)
	_, err = c.Events(ctx, journal.Query{From: 9, To: 8})
	require.Equal(t, result.UsageError, toResultError(err).Code)
	require.Equal(t, 200, serve(NewHandler(Options{Backend: b}), "GET", "/v1/health", "").Code)
}
