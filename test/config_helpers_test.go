package test

import (
	"context"
	"crypto/ed25519"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/fulmarbeam/fulmarbeam/pkg/configlog"
	"github.com/fulmarbeam/fulmarbeam/pkg/document"
	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/localfleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/node"
	"github.com/fulmarbeam/fulmarbeam/pkg/operator"
)

var (
	rootKey  = testKey("r")
	teamKeys = map[string]ed25519.PrivateKey{"payments": testKey("p"), "ordering": testKey("o")}
)

func testKey(letter string) ed25519.PrivateKey {
	return ed25519.NewKeyFromSeed([]byte(strings.Repeat(letter, ed25519.SeedSize)))
}

// initialSection is the first content of the section payments, with placeholders for the
// number of servers and the floor. The deadline of bookings is short, because a booking
// waits until its deadline when its key shard cannot be reached.
const initialSection = `{
	"services": {"` + service + `": {"servers": %d, "slots": 6, "connections": 330, "floor": {"servers": %d},
		"health_path": "/health", "echo_header": "X-Request-Id"}},
	"routes": {
		"report": {"path": "/report", "methods": ["GET"], "service": "` + service + `", "idempotent": true, "length": "long", "deadline": "5s"},
		"menu": {"path": "/menu", "methods": ["GET"], "service": "` + service + `", "idempotent": true, "retries": 2, "deadline": "5s"},
		"book": {"path": "/book", "methods": ["POST"], "service": "` + service + `", "key": "required", "weight": 5, "deadline": "2s"}
	}
}`

// writeGenesis appends the first record of the configuration stream through a VM.
func (f *testFleet) writeGenesis(via *vm) {
	f.t.Helper()
	root := document.Root{
		Teams:     map[string]document.Team{"fleet": {Keys: []string{localfleet.PublicKey(rootKey)}, Sections: []string{document.RootSection}}},
		KeySlices: keySlices, Regions: []fleet.Region{region},
	}
	for team, key := range teamKeys {
		root.Teams[team] = document.Team{Keys: []string{localfleet.PublicKey(key)}, Sections: []string{team}}
	}
	record, err := configlog.NewGenesis(node.ConfigStream, root, rootKey)
	require.NoError(f.t, err)
	data, err := json.Marshal(record)
	require.NoError(f.t, err)
	_, err = via.api.Genesis(context.Background(), data)
	require.NoError(f.t, err)
	eventually(f.t, "the first record is applied", func() bool { return via.revisions() != nil })
}

// sections returns the sections that a VM has applied; nil without a document.
func (v *vm) sections() map[string]operator.SectionView {
	view, _ := v.api.Config(context.Background(), "")
	return view.Sections
}

// revisions returns each section's revision on a VM; nil without a document.
func (v *vm) revisions() map[string]uint64 {
	var out map[string]uint64
	for name, s := range v.sections() {
		if out == nil {
			out = make(map[string]uint64)
		}
		out[name] = s.Revision
	}
	return out
}

// signPatch returns a merge patch of a team's section as a signed edit, based on the
// revision that the VM has applied.
func (f *testFleet) signPatch(via *vm, team, patch string) (id string, edit json.RawMessage) {
	f.t.Helper()
	current := via.sections()[team]
	section, err := document.ParseSection(team, current.Content)
	require.NoError(f.t, err)
	section, _, err = document.PatchSection(team, section, []byte(patch))
	require.NoError(f.t, err)
	signed := configlog.SignEdit(node.ConfigStream, configlog.Edit{
		ID: uuid.NewString(), Section: team, Base: current.Revision, Patch: []byte(patch), ResultHash: document.HashSection(section), Team: team,
	}, teamKeys[team])
	edit, err = json.Marshal(signed)
	require.NoError(f.t, err)
	return signed.ID, edit
}

// publish edits a team's section with a merge patch and waits until every VM has applied
// the edit.
func (f *testFleet) publish(via *vm, team, patch string) {
	f.t.Helper()
	_, edit := f.signPatch(via, team, patch)
	v, err := via.publishEdit(edit)
	require.NoError(f.t, err)
	require.True(f.t, v.Accepted(), "%+v", v)
}

// publishEdit publishes a signed edit and waits until every VM has applied it, or for
// nearly waitTimeout.
func (v *vm) publishEdit(edit json.RawMessage) (operator.Verdict, error) {
	api, err := operator.NewClient(operator.ClientConfig{Addresses: []string{v.operators}, Timeout: waitTimeout})
	if err != nil {
		return operator.Verdict{}, err
	}
	defer api.Close()
	const margin = 5 * time.Second
	return api.Publish(context.Background(), operator.PublishRequest{
		Edit: edit, Wait: operator.WaitApplied, Timeout: operator.Millis((waitTimeout - margin).Milliseconds()),
	})
}

// addWorkspace returns a merge patch that adds a workspace.
func addWorkspace(name string) string {
	return fmt.Sprintf(`{"workspaces": {%q: {"home": %q}}}`, name, region)
}
