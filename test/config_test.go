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
	"github.com/fulmarbeam/fulmarbeam/pkg/platformapi"
	"github.com/fulmarbeam/fulmarbeam/pkg/result"
	"github.com/fulmarbeam/fulmarbeam/pkg/standin"
)

func (f *testFleet) setLogControl(c standin.LogControl) {
	f.callJSON("POST", f.logAddr+"/control", c, nil)
}

// watchConfig polls the running VMs' configuration until the returned function is
// called. That function fails the test when a VM reported a lower revision than before
// or two VMs reported different contents of one revision.
func (f *testFleet) watchConfig() (check func()) {
	var violations []string
	last, hashes := make(map[string]operator.ConfigView), make(map[string]string)
	stop := runInBackground(f.t, pollInterval, func() {
		for _, v := range f.running() {
			violations = append(violations, checkConfig(v, last, hashes)...)
		}
	})
	return func() {
		stop()
		require.Empty(f.t, violations)
	}
}

// checkConfig compares a VM's configuration with earlier ones: with the VM's last one,
// and with the hashes that other VMs reported. It updates both.
func checkConfig(v *vm, last map[string]operator.ConfigView, hashes map[string]string) (violations []string) {
	const timeout = time.Second // a paused VM must not delay the checks of the others
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	view, err := v.api.Config(ctx, "")
	if err != nil {
		return nil
	}
	previous := last[v.id]
	if view.Revision < previous.Revision || view.Offset < previous.Offset {
		violations = append(violations, fmt.Sprintf("%s went from revision %d to %d, offset %d to %d", v.id, previous.Revision, view.Revision, previous.Offset, view.Offset))
	}
	for name, s := range view.Sections {
		if s.Revision < previous.Sections[name].Revision {
			violations = append(violations, fmt.Sprintf("%s: section %s went from %d to %d", v.id, name, previous.Sections[name].Revision, s.Revision))
		}
		sectionRevision := fmt.Sprintf("%s %d", name, s.Revision)
		if h := hashes[sectionRevision]; h != "" && h != s.Hash {
			violations = append(violations, fmt.Sprintf("%s: section and revision %s with hash %s, another VM has %s", v.id, sectionRevision, s.Hash, h))
		}
		hashes[sectionRevision] = s.Hash
	}
	last[v.id] = view
	return violations
}

// awaitRevisions waits until all running VMs have the wanted revision of each section.
func (f *testFleet) awaitRevisions(want map[string]uint64) {
	f.t.Helper()
	for _, v := range f.running() {
		eventually(f.t, fmt.Sprintf("%s has revisions %v", v.id, want), func() bool { return maps.Equal(v.revisions(), want) })
	}
}

// Guards against a document that is lost or reverted when all VMs are replaced during an
// outage of the log service, and against new VMs that do not get it from their peers.
func TestRollingReplacementDuringLogOutage(t *testing.T) {
	t.Parallel()
	f := newFleet(t, options{vms: 4, servers: 4})
	c := newCallers(t)
	check := f.watchConfig()
	f.publish(f.vms[1], "payments", addWorkspace("before"))
	want := f.vms[0].revisions()
	f.setLogOutage(true)
	stop := c.startLoad(t, f.running, 4)
	for i, old := range f.running() {
		replacement := f.startVM(fmt.Sprintf("new-%d", i), old.zone)
		eventually(t, replacement.id+" is ready", replacement.ready)
		require.Equal(t, want, replacement.revisions(), replacement.id)
		require.Zero(t, f.terminate(old), "exit code of %s", old.id)
	}
	stop()
	f.awaitRevisions(want)
	f.awaitSettled()
	f.awaitBookings(c)
	_, edit := f.signPatch(f.running()[0], "payments", addWorkspace("meanwhile"))
	refused, err := f.running()[0].api.Publish(context.Background(), operator.PublishRequest{Edit: edit, Timeout: 1000})
	require.False(t, err == nil && refused.Accepted(), "accepted during an outage of the log service: %+v", refused)
	f.setLogOutage(false)
	v, err := f.running()[1].publishEdit(edit) // the same edit again
	require.NoError(t, err)
	require.True(t, v.Accepted(), "%+v", v)
	want["payments"]++
	f.awaitRevisions(want)
	check()
	verify(t, f, c)
}

// recordCount returns the number of records appended to the configuration stream.
func (f *testFleet) recordCount() platformapi.Offset {
	batch, err := platformapi.NewLogClient("http://"+f.logAddr, nil).Read(context.Background(), node.ConfigStream, 0, 1<<20, false)
	require.NoError(f.t, err)
	return batch.NextOffset
}

// Guards against an edit that is reported as failed or applied twice when its append
// took effect but the response was lost. The log client first receives an error instead,
// then nothing.
func TestAppendResponseLost(t *testing.T) {
	t.Parallel()
	f := newFleet(t, options{vms: 4, servers: 2})
	check := f.watchConfig()
	via := f.vms[2]
	want := via.revisions()

	f.setLogControl(standin.LogControl{LoseResponses: 2})
	f.publish(via, "payments", addWorkspace("error"))
	want["payments"]++
	f.awaitRevisions(want)

	id, edit := f.signPatch(via, "payments", addWorkspace("silence"))
	before := f.recordCount()
	f.logProxy.SetFaults(faultproxy.Faults{Down: faultproxy.FlowFaults{Drop: true}})
	var verdict operator.Verdict
	done := make(chan error, 1)
	go func() {
		var err error
		verdict, err = via.publishEdit(edit)
		done <- err
	}()
	eventually(t, "the append takes effect", func() bool { return f.recordCount() > before })
	f.setLogOutage(false)
	require.NoError(t, <-done)
	require.True(t, verdict.Accepted(), "%+v", verdict)
	want["payments"]++
	f.awaitRevisions(want)
	for _, v := range f.vms {
		history, err := v.api.History(context.Background(), operator.HistoryQuery{Section: "payments"})
		require.NoError(t, err)
		accepted := slices.DeleteFunc(history, func(h operator.HistoryEntry) bool { return h.EditID != id || h.Code != result.OK })
		require.Len(t, accepted, 1, "%s applied the edit", v.id)
	}
	check()
}

// publisher adds workspaces to its team's section. It retries each edit after a conflict
// until it is accepted.
type publisher struct {
	team, name string
	via        *vm
	accepted   []string
	conflicts  int
	failure    string
}

func (p *publisher) run(f *testFleet, edits int) {
	for i := range edits {
		name := fmt.Sprintf("%s-%d", p.name, i)
		for {
			base := p.via.revisions()[p.team]
			_, edit := f.signPatch(p.via, p.team, addWorkspace(name))
			v, err := p.via.publishEdit(edit)
			if err != nil {
				p.failure = err.Error()
				return
			}
			if v.Accepted() {
				p.accepted = append(p.accepted, name)
				break
			}
			p.conflicts++
			if v.Code != result.ConfigConflict || v.Revision <= base {
				p.failure = fmt.Sprintf("%s from revision %d: %+v", name, base, v)
				return
			}
		}
	}
}

// Guards against accepted edits that are lost, against two accepted edits of one
// revision, and against VMs that end with different documents, when two publishers of
// each of two teams publish through four VMs concurrently.
func TestConcurrentPublishers(t *testing.T) {
	t.Parallel()
	f := newFleet(t, options{vms: 4, servers: 2})
	check := f.watchConfig()
	f.setLogControl(standin.LogControl{DelayMS: 20})
	want := f.vms[0].revisions()
	const edits = 5
	var publishers []*publisher
	var wg sync.WaitGroup
	for i, v := range f.vms {
		p := &publisher{team: []string{"payments", "ordering"}[i%2], name: fmt.Sprintf("person-%d", i), via: v}
		publishers = append(publishers, p)
		wg.Add(1)
		go func() {
			defer wg.Done()
			p.run(f, edits)
		}()
	}
	wg.Wait()
	conflicts := 0
	for _, p := range publishers {
		require.Empty(t, p.failure)
		require.Len(t, p.accepted, edits)
		want[p.team] += edits
		conflicts += p.conflicts
	}
	require.Positive(t, conflicts, "no edits conflicted")
	f.awaitRevisions(want)
	for _, v := range f.vms {
		for _, p := range publishers {
			for _, name := range p.accepted {
				require.Contains(t, string(v.sections()[p.team].Content), `"`+name+`"`, "on %s", v.id)
			}
		}
	}
	check()
}

// Guards against a VM that reverts to an old revision, stays behind or distributes its
// old document after a partition from its peers and the log, and after a pause.
func TestRejoinWithOldRevision(t *testing.T) {
	t.Parallel()
	f := newFleet(t, options{vms: 4, servers: 2})
	check := f.watchConfig()
	isolated, via := f.vms[3], f.vms[0]
	want := via.revisions()
	publish := func(name string) {
		_, data := f.signPatch(via, "payments", addWorkspace(name))
		v, err := via.api.Publish(context.Background(), operator.PublishRequest{Edit: data, Wait: operator.WaitApplied, Timeout: 1500})
		require.NoError(t, err)
		require.Equal(t, result.ConfigLagging, v.Code, "%+v", v)
		require.Equal(t, []fleet.VMID{fleet.VMID(isolated.id)}, v.Lagging)
		want["payments"]++
	}
	f.cut(isolated.id, logDestination)
	for _, o := range f.others(isolated) {
		f.cut(isolated.id, o.id)
		f.cut(o.id, isolated.id)
	}
	revisions := isolated.revisions()
	publish("cut-1")
	publish("cut-2")
	require.Equal(t, revisions, isolated.revisions(), "records passed the partition")
	require.True(t, isolated.ready(), "a VM with an old revision must continue to serve")
	require.Positive(t, f.heal())
	f.awaitRevisions(want)

	isolated.proc.signal(t, syscall.SIGSTOP)
	publish("stopped")
	isolated.proc.signal(t, syscall.SIGCONT)
	f.awaitRevisions(want)
	check()
}
