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

// machine drives several VMs, a network and a log through faults. The world checks at
// each step that no VM goes back or reads another history than the reference.
type machine struct {
	*world
	edits int
	kept  [][]byte // records for late copies
}

// mayAppend keeps the log from dropping a record before any VM that runs has it:
// then the edit would be lost beyond anybody's reach.
func (m *machine) mayAppend() bool {
	for _, v := range m.vms {
		if !v.paused && m.ref.Next()-v.node.State().Next() < 5 {
			return true
		}
	}
	return false
}

func (m *machine) edit(t *rapid.T) Edit {
	m.edits++
	team, section, key := "pay", "payments", payKey
	if rapid.Bool().Draw(t, "shop") {
		team, section, key = "shop", "orders", shopKey
	}
	return signed(t, m.ref, fmt.Sprint("edit-", m.edits), team, section, key, workspacePatch(section, m.edits))
}

func (m *machine) vm(t *rapid.T) *vm {
	return m.vms[fleet.VMID(fmt.Sprintf("vm-%d", rapid.IntRange(0, len(m.vms)-1).Draw(t, "vm")))]
}

func (m *machine) wait(t *rapid.T) {
	m.run(time.Duration(rapid.IntRange(1, 100).Draw(t, "ticks")) * tick)
}

func (m *machine) actions() map[string]func(*rapid.T) {
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
				a, b := record(t, m.edit(t)), record(t, m.edit(t))
				m.append(a)
				m.append(b)
				m.kept = append(m.kept, a, b)
			}
		},
		"late copy": func(t *rapid.T) {
			if m.mayAppend() && len(m.kept) > 0 {
				m.append(rapid.SampledFrom(m.kept).Draw(t, "copy"))
			}
		},
		"garbage": func(t *rapid.T) {
			if m.mayAppend() {
				m.append(rapid.SliceOfN(rapid.Byte(), 0, 20).Draw(t, "bytes"))
			}
		},
		"outage": func(t *rapid.T) { m.outage(rapid.Bool().Draw(t, "outage")) },
		"lost answers": func(t *rapid.T) {
			c := m.log.Control()
			c.LoseAnswers = 2
			m.log.SetControl(c)
		},
		"pause":  func(t *rapid.T) { v := m.vm(t); v.paused = !v.paused },
		"no log": func(t *rapid.T) { v := m.vm(t); v.noLog = !v.noLog },
		"cut": func(t *rapid.T) {
			pair := [2]fleet.VMID{m.vm(t).row.ID, m.vm(t).row.ID}
			m.cut[pair] = !m.cut[pair]
		},
		"open": func(t *rapid.T) { m.vm(t).node.RequestOpen("east", rapid.IntRange(0, 9).Draw(t, "slice")) },
		"restart": func(t *rapid.T) {
			v := m.vm(t)
			for _, other := range m.vms {
				// The newest state must not vanish with its only holder.
				if other != v && other.node.State().Next() >= v.node.State().Next() {
					v.paused = false
					m.start(v.row.ID)
					return
				}
			}
		},
	}
}

// heal ends all faults and lets the fleet settle.
func (m *machine) heal() {
	clear(m.cut)
	for _, v := range m.vms {
		v.paused, v.noLog = false, false
	}
	m.outage(false)
	m.run(60 * time.Second)
}

// Duplicated, late and racing appends, lost answers, expired records, outages, one-way
// partitions, pauses and restarts: at the end all VMs must hold the state that the log
// defines, with every edit that was told accepted.
func TestMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{world: newWorld(t, standin.LogControl{KeepRecords: 40}, "east", "east", "east", "west", "west")}
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
					require.GreaterOrEqual(t, m.ref.SectionRevision(verdict.Section), verdict.Revision)
				}
			}
		}
		t.Repeat(actions)
		m.heal()
		m.converged()
	})
}
