package node

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/pool"
)

const (
	// drainPoll is the pause between two looks at the progress of a shutdown.
	drainPoll = 20 * time.Millisecond
	// journalGrace bounds the flush of the journal. The log service may be away for
	// hours; waiting for it would make each shutdown last the whole drain_timeout.
	journalGrace = 3 * time.Second
	// eventDrain is the journal's event of a shutdown.
	eventDrain fleet.EventKind = "vm_draining"
)

// startDrain makes the VM not ready. Callers are still served.
func (n *Node) startDrain(reason string) {
	n.drainOne.Do(func() {
		n.draining.Store(true)
		close(n.drainReq)
		n.Record(fleet.Event{Kind: eventDrain, Reason: reason})
		n.log.Info("shutdown begins", "reason", reason)
	})
}

// shutdown hands everything over. The order keeps the promises to callers: the
// balancer needs drain_delay to notice that the VM is not ready, so requests are
// taken until then; the shards go once no request of this VM is in flight, since the
// ends of keyed requests must still be reported.
func (n *Node) shutdown() error {
	n.startDrain("the process was asked to end")
	s := n.cfg.Settings
	ctx, cancel := context.WithTimeout(context.Background(), s.DrainTimeout.D())
	defer cancel()
	n.lockedDo(func(now fleet.Time) { n.core.Resign(now) })
	wait(ctx, s.DrainDelay.D())
	err := n.proxy.Drain(ctx)
	stopped := n.callers.server.Shutdown(ctx)
	handed := n.awaitHandover(ctx)
	flushCtx, flushCancel := context.WithTimeout(ctx, journalGrace)
	defer flushCancel()
	if flushErr := n.recorder.Flush(flushCtx); flushErr != nil {
		n.log.Error(flushErr, "events of the shutdown are not in the log stream")
	}
	_ = n.links.Flush(ctx)
	_ = n.tracing.Shutdown(ctx)
	opCtx, opCancel := context.WithTimeout(ctx, operatorGrace)
	defer opCancel()
	_ = n.operators.server.Shutdown(opCtx)
	switch {
	case err != nil:
		return errors.Annotate(err, "requests in flight at the end of drain_timeout")
	case stopped != nil:
		return errors.Annotate(stopped, "connections of callers")
	case handed != nil:
		return errors.Annotate(handed, "shards not handed over at the end of drain_timeout")
	}
	n.log.Info("shutdown complete")
	return nil
}

func (n *Node) awaitHandover(ctx context.Context) error {
	for {
		var done bool
		n.lockedDo(func(fleet.Time) { done = n.core.Resigned() || n.isLastVM() })
		if done {
			return nil
		}
		if !wait(ctx, drainPoll) {
			return ctx.Err()
		}
	}
}

// isLastVM reports that no other VM of the region could take the shards over.
func (n *Node) isLastVM() bool {
	dir := n.core.Directory()
	if dir == nil {
		return true
	}
	for _, vm := range dir.RegionVMs(n.region) {
		if vm.ID != n.self.VM && vm.State == fleet.StateLive {
			return false
		}
	}
	return true
}

// wait sleeps for d and reports whether ctx lasted as long.
func wait(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// NextWork returns a new work number.
func (n *Node) NextWork() pool.WorkID { return pool.WorkID(n.nextID.Add(1)) }

// Draining reports that shutdown has begun.
func (n *Node) Draining() bool { return n.draining.Load() }
