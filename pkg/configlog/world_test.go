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

var rootKey, opsKey, payKey, shopKey, strangerKey = testKey(1), testKey(2), testKey(3), testKey(4), testKey(5)

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

// signed returns an edit against a state.
func signed(t require.TestingT, s *State, id, team, section string, key ed25519.PrivateKey, patch []byte) Edit {
	e, err := s.Prepare(Edit{ID: id, Section: section, Team: team, Patch: patch})
	require.Nil(t, err)
	return SignEdit(testStream, e, key)
}

func payEdit(t require.TestingT, s *State, id string, weight int) Edit {
	return signed(t, s, id, "pay", "payments", payKey, workspacePatch("inn", weight))
}

func record(t require.TestingT, e Edit) []byte {
	data, err := EncodeEdit(e)
	require.NoError(t, err)
	return data
}

// vm is a simulated VM. Its read stays open until the log answers or the wait ends.
type vm struct {
	row       fleet.VM
	node      *Node
	started   int
	read      *Read
	readUntil fleet.Time
	paused    bool
	noLog     bool // partitioned from the log
	reads     int
	codes     []fleet.Event
}

type mail struct {
	at       fleet.Time
	from, to fleet.Member
	frame    []byte
}

// world runs VMs, a network and a log on one fake clock.
type world struct {
	t     require.TestingT
	now   fleet.Time
	log   *standin.Log
	ref   *State // the reference reader, which misses nothing
	vms   map[fleet.VMID]*vm
	mails []mail
	cut   map[[2]fleet.VMID]bool // from, to
	root  []byte
}

const tick = 50 * time.Millisecond

func newWorld(t require.TestingT, control standin.LogControl, regions ...fleet.Region) *world {
	w := &world{t: t, now: fleet.Time(time.Hour), vms: map[fleet.VMID]*vm{}, cut: map[[2]fleet.VMID]bool{},
		ref: NewState(testStream), root: publicKey(rootKey)}
	w.log = standin.NewLog(control, func() time.Time { return time.Unix(0, int64(w.now)) })
	for i, region := range regions {
		id := fleet.VMID(fmt.Sprintf("vm-%d", i))
		w.vms[id] = &vm{row: fleet.VM{ID: id, Region: region, State: fleet.StateLive}}
	}
	w.append(genesisRecord(t, rootKey))
	for id := range w.vms {
		w.start(id)
	}
	return w
}

func (w *world) append(data []byte) {
	_, _ = w.log.Append(context.Background(), testStream, data)
	w.catchUpReference()
}

// catchUpReference applies new records to the reference reader.
func (w *world) catchUpReference() {
	control := w.log.Control()
	up := control
	up.Outage = false
	w.log.SetControl(up)
	batch, err := w.log.Read(context.Background(), testStream, w.ref.Next(), 1<<30, false)
	require.NoError(w.t, err)
	w.log.SetControl(control)
	for _, rec := range batch.Records {
		if _, err := w.ref.Apply(rec); err != nil {
			require.Equal(w.t, result.ConfigNewFormat, err.Code)
			return
		}
	}
}

func (w *world) member(id fleet.VMID) fleet.Member {
	return fleet.Member{VM: id, Incarnation: fleet.Incarnation(w.vms[id].started)}
}

// start replaces a VM's process by a new one without memory.
func (w *world) start(id fleet.VMID) {
	v := w.vms[id]
	v.started++
	v.read = nil
	v.node = New(Config{Stream: testStream, RootKey: w.root, Self: w.member(id), Region: v.row.Region, Seed: uint64(v.started)})
	w.list()
}

// list gives all VMs the current list.
func (w *world) list() {
	var rows []fleet.VM
	for _, v := range w.vms {
		rows = append(rows, v.row)
	}
	dir := fleet.NewDirectory(1, rows, nil)
	for _, v := range w.vms {
		if v.node != nil {
			v.node.SetDirectory(w.now, dir)
		}
	}
}

func (w *world) run(d time.Duration) {
	for end := w.now.Add(d); w.now < end; {
		w.step()
	}
}

func (w *world) step() {
	w.now = w.now.Add(tick)
	mails := w.mails
	w.mails = nil
	for _, m := range mails {
		v := w.vms[m.to.VM]
		if m.at > w.now || v.paused {
			w.mails = append(w.mails, m)
			continue
		}
		if w.cut[[2]fleet.VMID{m.from.VM, m.to.VM}] || w.member(m.to.VM) != m.to {
			continue
		}
		message, err := wire.Decode(m.frame)
		require.NoError(w.t, err)
		v.node.Step(w.now, m.from, message)
	}
	for _, id := range slices.Sorted(maps.Keys(w.vms)) {
		if v := w.vms[id]; !v.paused {
			w.stepVM(id, v)
		}
	}
}

func (w *world) stepVM(id fleet.VMID, v *vm) {
	next, revision := v.node.State().Next(), v.node.State().Revision()
	v.node.Tick(w.now)
	w.serveRead(v)
	for {
		a, ok := v.node.WantAppend(w.now)
		if !ok {
			break
		}
		offset, err := w.log.Append(context.Background(), testStream, a.Data)
		w.catchUpReference()
		if err != nil || v.noLog {
			v.node.AppendFailed(w.now, a.ID)
		} else {
			v.node.Appended(w.now, a.ID, offset)
		}
	}
	for _, e := range v.node.Outbox() {
		frame, err := wire.Encode(e.Message)
		require.NoError(w.t, err)
		w.mails = append(w.mails, mail{w.now.Add(12 * time.Millisecond), w.member(id), w.member(e.To), frame})
	}
	v.codes = append(v.codes, v.node.Events()...)
	s := v.node.State()
	require.GreaterOrEqual(w.t, s.Next(), next, "%s went back", id)
	require.GreaterOrEqual(w.t, s.Revision(), revision, "%s went back", id)
	if chain, ok := w.ref.ChainAt(s.Next() - 1); ok {
		require.Equal(w.t, chain, s.Chain(), "%s diverged at %d", id, s.Next())
	}
}

func (w *world) serveRead(v *vm) {
	if v.read == nil {
		read, ok := v.node.WantRead(w.now)
		if !ok {
			return
		}
		v.read, v.readUntil = &read, w.now.Add(read.Wait)
		v.reads++
	}
	batch, err := w.log.Read(context.Background(), testStream, v.read.From, v.read.MaxBytes, false)
	switch {
	case err != nil || v.noLog:
		v.read = nil
		v.node.LogFailed(w.now)
	case len(batch.Records) > 0 || w.now >= v.readUntil:
		v.read = nil
		v.node.Records(w.now, batch)
	}
}

func (w *world) outage(on bool) {
	c := w.log.Control()
	c.Outage = on
	w.log.SetControl(c)
}

// converged requires all VMs to have the reference's state, byte for byte.
func (w *world) converged() {
	want, err := w.ref.Encode()
	require.Nil(w.t, err)
	for id, v := range w.vms {
		got, err := v.node.State().Encode()
		require.Nil(w.t, err, "%s has no state", id)
		require.Equal(w.t, w.ref.Next(), v.node.State().Next(), "%s", id)
		require.Equal(w.t, want, got, "%s has another state", id)
		require.Equal(w.t, result.OK, v.node.Health(), "%s", id)
	}
}

func (v *vm) saw(kind fleet.EventKind) bool {
	return slices.ContainsFunc(v.codes, func(e fleet.Event) bool { return e.Kind == kind })
}

// relay returns a relay of a region, and other a VM that is none.
func (w *world) pick(region fleet.Region, relay bool) *vm {
	for _, id := range slices.Sorted(maps.Keys(w.vms)) {
		if v := w.vms[id]; v.row.Region == region && v.node.IsRelay() == relay {
			return v
		}
	}
	return nil
}
