package test

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fulmarbeam/fulmarbeam/pkg/faultproxy"
	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/node"
	"github.com/fulmarbeam/fulmarbeam/pkg/operator"
	"github.com/fulmarbeam/fulmarbeam/pkg/platform"
	"github.com/fulmarbeam/fulmarbeam/pkg/result"
	"github.com/fulmarbeam/fulmarbeam/pkg/standin"
)

func (f *testFleet) logControl(c standin.LogControl) {
	f.call("POST", f.logDirect+"/control", c, nil)
}

// watch reads the running VMs' configuration until the returned function is called,
// which fails the test when a VM ever reported a lower revision than before, or two
// VMs different contents of one revision.
func (f *testFleet) watch() (check func()) {
	var faults []string
	last, hashes := make(map[string]operator.ConfigView), make(map[string]string)
	stop := background(f.t, poll, func() {
		for _, v := range f.running() {
			faults = append(faults, look(v, last, hashes)...)
		}
	})
	return func() {
		stop()
		require.Empty(f.t, faults)
	}
}

// look compares a VM's configuration with what was seen before.
func look(v *vm, last map[string]operator.ConfigView, hashes map[string]string) (faults []string) {
	const limit = time.Second // a stopped VM must not hold up the watch on the others
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	view, err := v.api.Config(ctx, "")
	if err != nil {
		return nil
	}
	before := last[v.id]
	if view.Revision < before.Revision || view.Offset < before.Offset {
		faults = append(faults, fmt.Sprintf("%s went from revision %d to %d, offset %d to %d", v.id, before.Revision, view.Revision, before.Offset, view.Offset))
	}
	for name, s := range view.Sections {
		if s.Revision < before.Sections[name].Revision {
			faults = append(faults, fmt.Sprintf("%s: section %s went from %d to %d", v.id, name, before.Sections[name].Revision, s.Revision))
		}
		at := fmt.Sprintf("%s %d", name, s.Revision)
		if h := hashes[at]; h != "" && h != s.Hash {
			faults = append(faults, fmt.Sprintf("%s: section and revision %s with hash %s, another VM has %s", v.id, at, s.Hash, h))
		}
		hashes[at] = s.Hash
	}
	last[v.id] = view
	return faults
}

// awaitSame waits until all VMs have the wanted revisions of sections.
func (f *testFleet) awaitSame(want map[string]uint64) {
	f.t.Helper()
	for _, v := range f.running() {
		eventually(f.t, fmt.Sprintf("%s has revisions %v", v.id, want), func() bool { return maps.Equal(v.revisions(), want) })
	}
}

// Guards against a document that is lost or goes back when all VMs are replaced while
// the log service is away, and against new VMs that do not get it from their peers.
func TestLogAwayWhileVMsAreReplaced(t *testing.T) {
	t.Parallel()
	f := newFleet(t, options{vms: 4, servers: 4})
	c := newCallers(t)
	check := f.watch()
	f.publish(f.vms[1], "payments", addWorkspace("before"))
	want := f.vms[0].revisions()
	f.logAway(true)
	stop := c.load(t, f.running, 4)
	for i, old := range f.running() {
		fresh := f.startVM(fmt.Sprintf("new-%d", i), old.zone)
		eventually(t, fresh.id+" is ready", fresh.ready)
		require.Equal(t, want, fresh.revisions(), fresh.id)
		require.Zero(t, f.terminate(old), "exit code of %s", old.id)
	}
	stop()
	f.awaitSame(want)
	f.awaitSettled()
	f.awaitBookings(c)
	_, edit := f.sign(f.running()[0], "payments", addWorkspace("meanwhile"))
	refused, err := f.running()[0].api.Publish(context.Background(), operator.PublishRequest{Edit: edit, Timeout: 1000})
	require.False(t, err == nil && refused.Accepted(), "accepted without a log: %+v", refused)
	f.logAway(false)
	v, err := f.running()[1].send(edit) // the same edit again
	require.NoError(t, err)
	require.True(t, v.Accepted(), "%+v", v)
	want["payments"]++
	f.awaitSame(want)
	check()
	verify(t, f, c)
}

// appended returns the number of records in the configuration stream.
func (f *testFleet) appended() platform.Offset {
	batch, err := platform.NewLogClient("http://"+f.logDirect, nil).Read(context.Background(), node.ConfigStream, 0, 1<<20, false)
	require.NoError(f.t, err)
	return batch.Next
}

// Guards against an edit that is reported as failed, or applied twice, when its append
// took effect but the answer was lost: once as an error, once as silence.
func TestAppendAnswerLost(t *testing.T) {
	t.Parallel()
	f := newFleet(t, options{vms: 4, servers: 2})
	check := f.watch()
	via := f.vms[2]
	want := via.revisions()

	f.logControl(standin.LogControl{LoseAnswers: 2})
	f.publish(via, "payments", addWorkspace("error"))
	want["payments"]++
	f.awaitSame(want)

	id, edit := f.sign(via, "payments", addWorkspace("silence"))
	before := f.appended()
	f.log.Set(faultproxy.Faults{Down: faultproxy.Flow{Cut: true}})
	var verdict operator.Verdict
	done := make(chan error, 1)
	go func() {
		var err error
		verdict, err = via.send(edit)
		done <- err
	}()
	eventually(t, "the append takes effect", func() bool { return f.appended() > before })
	f.logAway(false)
	require.NoError(t, <-done)
	require.True(t, verdict.Accepted(), "%+v", verdict)
	want["payments"]++
	f.awaitSame(want)
	for _, v := range f.vms {
		history, err := v.api.History(context.Background(), operator.HistoryQuery{Section: "payments"})
		require.NoError(t, err)
		accepted := slices.DeleteFunc(history, func(h operator.HistoryEntry) bool { return h.Edit != id || h.Code != result.OK })
		require.Len(t, accepted, 1, "%s applied the edit", v.id)
	}
	check()
}

// publisher adds workspaces to its team's section, repeating each edit after a
// conflict until it is accepted.
type publisher struct {
	team, name string
	via        *vm
	accepted   []string
	conflicts  int
	fault      string
}

func (p *publisher) run(f *testFleet, edits int) {
	for i := range edits {
		name := fmt.Sprintf("%s-%d", p.name, i)
		for {
			base := p.via.revisions()[p.team]
			_, edit := f.sign(p.via, p.team, addWorkspace(name))
			v, err := p.via.send(edit)
			if err != nil {
				p.fault = err.Error()
				return
			}
			if v.Accepted() {
				p.accepted = append(p.accepted, name)
				break
			}
			p.conflicts++
			if v.Code != result.ConfigConflict || v.Revision <= base {
				p.fault = fmt.Sprintf("%s from revision %d: %+v", name, base, v)
				return
			}
		}
	}
}

// Guards against accepted edits that are lost, against two accepted edits of one
// revision, and against VMs that end with different documents, when two teams and two
// people of each team publish through four VMs at the same time.
func TestTeamsRace(t *testing.T) {
	t.Parallel()
	f := newFleet(t, options{vms: 4, servers: 2})
	check := f.watch()
	f.logControl(standin.LogControl{DelayMS: 20})
	want := f.vms[0].revisions()
	const edits = 5
	var people []*publisher
	var wg sync.WaitGroup
	for i, v := range f.vms {
		p := &publisher{team: []string{"payments", "ordering"}[i%2], name: fmt.Sprintf("person-%d", i), via: v}
		people = append(people, p)
		wg.Add(1)
		go func() {
			defer wg.Done()
			p.run(f, edits)
		}()
	}
	wg.Wait()
	conflicts := 0
	for _, p := range people {
		require.Empty(t, p.fault)
		require.Len(t, p.accepted, edits)
		want[p.team] += edits
		conflicts += p.conflicts
	}
	require.Positive(t, conflicts, "nobody raced")
	f.awaitSame(want)
	for _, v := range f.vms {
		for _, p := range people {
			for _, name := range p.accepted {
				require.Contains(t, string(v.sections()[p.team].Content), `"`+name+`"`, "on %s", v.id)
			}
		}
	}
	check()
}

// Guards against a VM that goes back, stays behind or spreads its old document after
// it was cut off from its peers and the log, and after it was stopped.
func TestRejoinWithOldRevision(t *testing.T) {
	t.Parallel()
	f := newFleet(t, options{vms: 4, servers: 2})
	check := f.watch()
	away, via := f.vms[3], f.vms[0]
	want := via.revisions()
	edit := func(name string) {
		_, data := f.sign(via, "payments", addWorkspace(name))
		v, err := via.api.Publish(context.Background(), operator.PublishRequest{Edit: data, Wait: operator.WaitApplied, Timeout: 1500})
		require.NoError(t, err)
		require.Equal(t, result.ConfigLagging, v.Code, "%+v", v)
		require.Equal(t, []fleet.VMID{fleet.VMID(away.id)}, v.Lagging)
		want["payments"]++
	}
	f.cut(away.id, logPath)
	for _, o := range f.others(away) {
		f.cut(away.id, o.id)
		f.cut(o.id, away.id)
	}
	old := away.revisions()
	edit("cut-1")
	edit("cut-2")
	require.Equal(t, old, away.revisions(), "the cut let records through")
	require.True(t, away.ready(), "a VM with an old revision goes on serving")
	require.Positive(t, f.heal())
	f.awaitSame(want)

	away.proc.signal(t, syscall.SIGSTOP)
	edit("stopped")
	away.proc.signal(t, syscall.SIGCONT)
	f.awaitSame(want)
	check()
}
