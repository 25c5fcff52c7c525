package core

import (
	"github.com/fulmarbeam/fulmarbeam/pkg/configlog"
	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/keys"
	"github.com/fulmarbeam/fulmarbeam/pkg/shard"
)

// openTracker reports to package keys whether a key shard has ever admitted a key. NeverOpened
// requires a read of the log's tail that began after the claim, because an earlier owner may
// have opened the shard in a record that this VM has not read yet.
type openTracker struct {
	config        *configlog.Node
	barriers      map[shard.ID]uint64 // read of the tail that began after the claim
	readComplete  map[shard.ID]bool
	requestedHere map[shard.ID]bool // requested by this process while the shard was not open
}

func newOpenTracker(config *configlog.Node) *openTracker {
	return &openTracker{
		config:        config,
		barriers:      make(map[shard.ID]uint64),
		readComplete:  make(map[shard.ID]bool),
		requestedHere: make(map[shard.ID]bool),
	}
}

// reset discards the state of a shard: a new claim needs a new read of the tail.
func (o *openTracker) reset(id shard.ID) {
	delete(o.barriers, id)
	delete(o.readComplete, id)
	delete(o.requestedHere, id)
}

func (o *openTracker) state(id shard.ID) keys.OpenState {
	opened := o.config.ShardOpened(id.Region, id.Slice)
	switch {
	case opened && o.requestedHere[id]:
		return keys.OpenedBySelf
	case opened:
		return keys.OpenedBefore
	case o.hasReadTail(id):
		return keys.NeverOpened
	}
	return keys.OpenUnknown
}

func (o *openTracker) hasReadTail(id shard.ID) bool {
	if o.readComplete[id] {
		return true
	}
	barrier, started := o.barriers[id]
	if !started {
		o.barriers[id] = o.config.Barrier()
		return false
	}
	o.readComplete[id] = o.config.BarrierPassed(barrier)
	return o.readComplete[id]
}

// request appends the record that opens the shard. Only the owner of the shard calls it,
// and only after state returned NeverOpened, so the record read back is this process's own.
func (o *openTracker) request(id shard.ID) {
	if o.config.ShardOpened(id.Region, id.Slice) {
		return
	}
	o.requestedHere[id] = true
	o.config.RequestShardOpen(id.Region, id.Slice)
}

// keysReplica passes the shard module's calls to package keys and resets the tracker when
// a shard is lost.
type keysReplica struct {
	*keys.Keys
	tracker *openTracker
}

// Reset implements shard.Replica.
func (r keysReplica) Reset(id shard.ID, now fleet.Time) {
	r.tracker.reset(id)
	r.Keys.Reset(id, now)
}
