package configlog

import (
	"context"
	"crypto/ed25519"
	"encoding/base64"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fulmarbeam/fulmarbeam/pkg/document"
	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/result"
	"github.com/fulmarbeam/fulmarbeam/pkg/standin"
	"github.com/fulmarbeam/fulmarbeam/pkg/wire"
)

const testStream = "config"

func testKey(n byte) ed25519.PrivateKey {
	seed := make([]byte, ed25519.SeedSize)
	seed[0] = n
	return ed25519.NewKeyFromSeed(seed)
}

var rootKey, opsKey, payKey, shopKey, otherKey = testKey(1), testKey(2), testKey(3), testKey(4), testKey(5)

func keyText(k ed25519.PrivateKey) string { return base64.StdEncoding.EncodeToString(publicKey(k)) }

func testRoot() document.Root {
	team := func(k ed25519.PrivateKey, sections ...string) document.Team {
		return document.Team{Keys: []string{keyText(k)}, Sections: sections}
	}
	return document.Root{Regions: []fleet.Region{"east", "west"}, Teams: map[string]document.Team{
		"ops": team(opsKey, "fleet"), "pay": team(payKey, "payments"), "shop": team(shopKey, "orders")}}
}

func genesisRecord(t require.TestingT, key ed25519.PrivateKey) []byte {
	g, err := NewGenesis(testStream, testRoot(), key)
	require.NoError(t, err)
	data, err := EncodeGenesis(g)
	require.NoError(t, err)
	return data
}

// workspacePatch returns a patch that is valid at any revision.
func workspacePatch(name string, weight int) []byte {
	return fmt.Appendf(nil, `{"workspaces":{%q:{"home":"east","weight":%d}}}`, name, weight)
}

// signedEdit returns a signed edit that is based on a state.
func signedEdit(t require.TestingT, s *State, id, team, section string, key ed25519.PrivateKey, patch []byte) Edit {
	e, err := s.Prepare(Edit{ID: id, Section: section, Team: team, Patch: patch})
	require.Nil(t, err)
	return SignEdit(testStream, e, key)
}

func payEdit(t require.TestingT, s *State, id string, weight int) Edit {
	return signedEdit(t, s, id, "pay", "payments", payKey, workspacePatch("inn", weight))
}

func editRecord(t require.TestingT, e Edit) []byte {
	data, err := EncodeEdit(e)
	require.NoError(t, err)
	return data
}

// vm is a simulated VM. Its read stays in flight until there are records or the wait ends.
type vm struct {
	entry     fleet.VM
	node      *Node
	starts    int
	read      *Read
	readUntil fleet.Time
	paused    bool
	noLog     bool // partitioned from the log
	reads     int
	events    []fleet.Event
}

type delivery struct {
	at       fleet.Time
	from, to fleet.Member
	frame    []byte
}

// testFleet simulates VMs, a network and a log on one simulated clock.
type testFleet struct {
	t          require.TestingT
	now        fleet.Time
	log        *standin.Log
	reference  *State // state of a reader that reads every record
	vms        map[fleet.VMID]*vm
	deliveries []delivery
	cutLinks   map[[2]fleet.VMID]bool // from, to
	root       []byte
}

const tick = 50 * time.Millisecond

func newTestFleet(t require.TestingT, control standin.LogControl, regions ...fleet.Region) *testFleet {
	tf := &testFleet{t: t, now: fleet.Time(time.Hour), vms: map[fleet.VMID]*vm{}, cutLinks: map[[2]fleet.VMID]bool{},
		reference: NewState(testStream), root: publicKey(rootKey)}
	tf.log = standin.NewLog(control, func() time.Time { return time.Unix(0, int64(tf.now)) })
	for i, region := range regions {
		id := fleet.VMID(fmt.Sprintf("vm-%d", i))
		tf.vms[id] = &vm{entry: fleet.VM{ID: id, Region: region, State: fleet.StateLive}}
	}
	tf.append(genesisRecord(t, rootKey))
	for id := range tf.vms {
		tf.start(id)
	}
	return tf
}

func (tf *testFleet) append(data []byte) {
	_, _ = tf.log.Append(context.Background(), testStream, data)
	tf.catchUpReference()
}

// catchUpReference applies new records to the reference reader.
func (tf *testFleet) catchUpReference() {
	control := tf.log.Control()
	available := control
	available.Outage = false
	tf.log.SetControl(available)
	batch, err := tf.log.Read(context.Background(), testStream, tf.reference.Next(), 1<<30, false)
	require.NoError(tf.t, err)
	tf.log.SetControl(control)
	for _, rec := range batch.Records {
		if _, err := tf.reference.Apply(rec); err != nil {
			require.Equal(tf.t, result.ConfigNewFormat, err.Code)
			return
		}
	}
}

func (tf *testFleet) member(id fleet.VMID) fleet.Member {
	return fleet.Member{VM: id, Incarnation: fleet.Incarnation(tf.vms[id].starts)}
}

// start replaces a VM's process with a new one that has no state.
func (tf *testFleet) start(id fleet.VMID) {
	v := tf.vms[id]
	v.starts++
	v.read = nil
	v.node = New(Config{Stream: testStream, RootKey: tf.root, Self: tf.member(id), Region: v.entry.Region, Seed: uint64(v.starts)})
	tf.updateDirectory()
}

// updateDirectory passes the current directory to all VMs.
func (tf *testFleet) updateDirectory() {
	var entries []fleet.VM
	for _, v := range tf.vms {
		entries = append(entries, v.entry)
	}
	dir := fleet.NewDirectory(1, entries, nil)
	for _, v := range tf.vms {
		if v.node != nil {
			v.node.SetDirectory(tf.now, dir)
		}
	}
}

func (tf *testFleet) run(d time.Duration) {
	for end := tf.now.Add(d); tf.now < end; {
		tf.step()
	}
}

func (tf *testFleet) step() {
	tf.now = tf.now.Add(tick)
	pending := tf.deliveries
	tf.deliveries = nil
	for _, d := range pending {
		v := tf.vms[d.to.VM]
		if d.at > tf.now || v.paused {
			tf.deliveries = append(tf.deliveries, d)
			continue
		}
		if tf.cutLinks[[2]fleet.VMID{d.from.VM, d.to.VM}] || tf.member(d.to.VM) != d.to {
			continue
		}
		message, err := wire.Decode(d.frame)
		require.NoError(tf.t, err)
		v.node.Step(tf.now, d.from, message)
	}
	for _, id := range slices.Sorted(maps.Keys(tf.vms)) {
		if v := tf.vms[id]; !v.paused {
			tf.stepVM(id, v)
		}
	}
}

func (tf *testFleet) stepVM(id fleet.VMID, v *vm) {
	next, revision := v.node.State().Next(), v.node.State().Revision()
	v.node.Tick(tf.now)
	tf.serveRead(v)
	for {
		a, ok := v.node.NextAppend(tf.now)
		if !ok {
			break
		}
		offset, err := tf.log.Append(context.Background(), testStream, a.Data)
		tf.catchUpReference()
		if err != nil || v.noLog {
			v.node.AppendFailed(tf.now, a.ID)
		} else {
			v.node.AppendCompleted(tf.now, a.ID, offset)
		}
	}
	for _, e := range v.node.Outbox() {
		frame, err := wire.Encode(e.Message)
		require.NoError(tf.t, err)
		tf.deliveries = append(tf.deliveries, delivery{tf.now.Add(12 * time.Millisecond), tf.member(id), tf.member(e.To), frame})
	}
	v.events = append(v.events, v.node.Events()...)
	s := v.node.State()
	require.GreaterOrEqual(tf.t, s.Next(), next, "%s reverted", id)
	require.GreaterOrEqual(tf.t, s.Revision(), revision, "%s reverted", id)
	if chain, ok := tf.reference.ChainAt(s.Next() - 1); ok {
		require.Equal(tf.t, chain, s.Chain(), "%s diverged at %d", id, s.Next())
	}
}

func (tf *testFleet) serveRead(v *vm) {
	if v.read == nil {
		read, ok := v.node.NextRead(tf.now)
		if !ok {
			return
		}
		v.read, v.readUntil = &read, tf.now.Add(read.Wait)
		v.reads++
	}
	batch, err := tf.log.Read(context.Background(), testStream, v.read.From, v.read.MaxBytes, false)
	switch {
	case err != nil || v.noLog:
		v.read = nil
		v.node.ReadFailed(tf.now)
	case len(batch.Records) > 0 || tf.now >= v.readUntil:
		v.read = nil
		v.node.ReadCompleted(tf.now, batch)
	}
}

func (tf *testFleet) setOutage(on bool) {
	c := tf.log.Control()
	c.Outage = on
	tf.log.SetControl(c)
}

// requireConverged requires all VMs to have the reference's state, byte for byte.
func (tf *testFleet) requireConverged() {
	want, err := tf.reference.Encode()
	require.Nil(tf.t, err)
	for id, v := range tf.vms {
		got, err := v.node.State().Encode()
		require.Nil(tf.t, err, "%s has no state", id)
		require.Equal(tf.t, tf.reference.Next(), v.node.State().Next(), "%s", id)
		require.Equal(tf.t, want, got, "%s has another state", id)
		require.Equal(tf.t, result.OK, v.node.Health(), "%s", id)
	}
}

func (v *vm) hasEvent(kind fleet.EventKind) bool {
	return slices.ContainsFunc(v.events, func(e fleet.Event) bool { return e.Kind == kind })
}

// findVM returns a VM of a region for which IsRelay returns relay, or nil.
func (tf *testFleet) findVM(region fleet.Region, relay bool) *vm {
	for _, id := range slices.Sorted(maps.Keys(tf.vms)) {
		if v := tf.vms[id]; v.entry.Region == region && v.node.IsRelay() == relay {
			return v
		}
	}
	return nil
}
