package configlog

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/result"
	"github.com/fulmarbeam/fulmarbeam/pkg/standin"
)

// faultModel runs several VMs, a network and a log under random faults. testFleet checks
// at each step that no VM's state reverts or differs from the reference.
type faultModel struct {
	*testFleet
	edits       int
	sentRecords [][]byte // records that "late copy" may append again
}

// mayAppend reports whether a running VM is close to the end of the log. Otherwise more
// records could cause one to expire that no VM has read, and its edit would be lost.
func (m *faultModel) mayAppend() bool {
	for _, v := range m.vms {
		if !v.paused && m.reference.Next()-v.node.State().Next() < 5 {
			return true
		}
	}
	return false
}

func (m *faultModel) edit(t *rapid.T) Edit {
	m.edits++
	team, section, key := "pay", "payments", payKey
	if rapid.Bool().Draw(t, "shop") {
		team, section, key = "shop", "orders", shopKey
	}
	return signedEdit(t, m.reference, fmt.Sprint("edit-", m.edits), team, section, key, workspacePatch(section, m.edits))
}

func (m *faultModel) vm(t *rapid.T) *vm {
	return m.vms[fleet.VMID(fmt.Sprintf("vm-%d", rapid.IntRange(0, len(m.vms)-1).Draw(t, "vm")))]
}

func (m *faultModel) wait(t *rapid.T) {
	m.run(time.Duration(rapid.IntRange(1, 100).Draw(t, "ticks")) * tick)
}

func (m *faultModel) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"wait": m.wait,
		"publish": func(t *rapid.T) {
			if m.mayAppend() {
				v := m.vm(t)
				v.node.Publish(m.now, m.edit(t))
			}
		},
		"race": func(t *rapid.T) {
			if m.mayAppend() {
				a, b := editRecord(t, m.edit(t)), editRecord(t, m.edit(t))
				m.append(a)
				m.append(b)
				m.sentRecords = append(m.sentRecords, a, b)
			}
		},
		"late copy": func(t *rapid.T) {
			if m.mayAppend() && len(m.sentRecords) > 0 {
				m.append(rapid.SampledFrom(m.sentRecords).Draw(t, "copy"))
			}
		},
		"garbage": func(t *rapid.T) {
			if m.mayAppend() {
				m.append(rapid.SliceOfN(rapid.Byte(), 0, 20).Draw(t, "bytes"))
			}
		},
		"outage": func(t *rapid.T) { m.setOutage(rapid.Bool().Draw(t, "outage")) },
		"lost answers": func(t *rapid.T) {
			c := m.log.Control()
			c.LoseResponses = 2
			m.log.SetControl(c)
		},
		"pause":  func(t *rapid.T) { v := m.vm(t); v.paused = !v.paused },
		"no log": func(t *rapid.T) { v := m.vm(t); v.noLog = !v.noLog },
		"cut": func(t *rapid.T) {
			pair := [2]fleet.VMID{m.vm(t).entry.ID, m.vm(t).entry.ID}
			m.cutLinks[pair] = !m.cutLinks[pair]
		},
		"open": func(t *rapid.T) { m.vm(t).node.RequestShardOpen("east", rapid.IntRange(0, 9).Draw(t, "slice")) },
		"restart": func(t *rapid.T) {
			v := m.vm(t)
			for _, other := range m.vms {
				// Another VM must hold a state that is at least as new, because the newest state
				// would otherwise be lost with this VM.
				if other != v && other.node.State().Next() >= v.node.State().Next() {
					v.paused = false
					m.start(v.entry.ID)
					return
				}
			}
		},
	}
}

// endFaults ends all faults and runs the fleet until it has settled.
func (m *faultModel) endFaults() {
	clear(m.cutLinks)
	for _, v := range m.vms {
		v.paused, v.noLog = false, false
	}
	m.setOutage(false)
	m.run(60 * time.Second)
}

// After duplicated, late and racing appends, lost responses, expired records, outages,
// one-way partitions, pauses and restarts, all VMs must converge to the state that the
// log defines, and it must contain every edit that was reported as accepted.
func TestConvergenceUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &faultModel{testFleet: newTestFleet(t, standin.LogControl{KeepRecords: 40}, "east", "east", "east", "west", "west")}
		m.run(2 * time.Second)
		accepted := map[string]uint64{}
		actions := m.actions()
		actions[""] = func(t *rapid.T) {
			for id, v := range m.vms {
				for _, verdict := range v.node.Settled() {
					if verdict.Code != result.OK {
						continue
					}
					if known, ok := accepted[verdict.ID]; ok {
						require.Equal(t, known, verdict.Revision, "%s: edit accepted twice", id)
					}
					accepted[verdict.ID] = verdict.Revision
					require.GreaterOrEqual(t, m.reference.SectionRevision(verdict.Section), verdict.Revision)
				}
			}
		}
		t.Repeat(actions)
		m.endFaults()
		m.requireConverged()
	})
}
