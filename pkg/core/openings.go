package core

import (
	"github.com/fulmarbeam/fulmarbeam/pkg/configlog"
	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/keys"
	"github.com/fulmarbeam/fulmarbeam/pkg/shard"
)

// openings answers for package keys whether a key shard ever admitted a key. The
// answer "never" needs a reading of the log's tail that began after the claim,
// because an earlier owner may have opened the shard without this VM having read it.
type openings struct {
	config   *configlog.Node
	barriers map[shard.ID]uint64 // reading of the tail that began after the claim
	passed   map[shard.ID]bool
	mine     map[shard.ID]bool // requested by this process while the shard was not open
}

func newOpenings(config *configlog.Node) *openings {
	return &openings{
		config:   config,
		barriers: make(map[shard.ID]uint64),
		passed:   make(map[shard.ID]bool),
		mine:     make(map[shard.ID]bool),
	}
}

// lost forgets what was known: a claim needs a new reading of the tail.
func (o *openings) lost(id shard.ID) {
	delete(o.barriers, id)
	delete(o.passed, id)
	delete(o.mine, id)
}

func (o *openings) state(id shard.ID) keys.OpenState {
	opened := o.config.Opened(id.Region, id.Slice)
	switch {
	case opened && o.mine[id]:
		return keys.OpenedByMe
	case opened:
		return keys.OpenedBefore
	case o.readToTail(id):
		return keys.OpenNever
	}
	return keys.OpenUnknown
}

func (o *openings) readToTail(id shard.ID) bool {
	if o.passed[id] {
		return true
	}
	barrier, started := o.barriers[id]
	if !started {
		o.barriers[id] = o.config.Barrier()
		return false
	}
	o.passed[id] = o.config.BarrierPassed(barrier)
	return o.passed[id]
}

// request has the opened record appended. Only the owner of the shard asks, and only
// after state said "never", so that the record read back is this process's own.
func (o *openings) request(id shard.ID) {
	if o.config.Opened(id.Region, id.Slice) {
		return
	}
	o.mine[id] = true
	o.config.RequestOpen(id.Region, id.Slice)
}

// lossObserver passes the shard module's calls to the keys and notes lost history.
type lossObserver struct {
	*keys.Keys
	opens *openings
}

// Lost implements shard.Replica.
func (l lossObserver) Lost(id shard.ID, now fleet.Time) {
	l.opens.lost(id)
	l.Keys.Lost(id, now)
}
