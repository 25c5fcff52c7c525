package node

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/pool"
)

const (
	// drainPollInterval is the interval between checks of the shard handover.
	drainPollInterval = 20 * time.Millisecond
	// journalFlushTimeout bounds the flush of the journal. The log service may be unavailable
	// for hours, and without the bound each shutdown would then last the whole drain_timeout.
	journalFlushTimeout = 3 * time.Second
	// eventDrain is the kind of the journal event for a shutdown.
	eventDrain fleet.EventKind = "vm_draining"
)

// startDrain makes the VM report itself as not ready. It still accepts requests.
func (n *Node) startDrain(reason string) {
	n.drainOnce.Do(func() {
		n.draining.Store(true)
		close(n.drainRequested)
		n.RecordEvent(fleet.Event{Kind: eventDrain, Reason: reason})
		n.log.Info("shutdown started", "reason", reason)
	})
}

// shutdown drains requests, hands the shards over and flushes the journal and the links. The
// order matters: the load balancer needs up to drain_delay to detect that the VM is not ready,
// so requests are accepted until then. The shards are handed over once no request of this VM
// is in flight, since the results of requests with idempotency keys must still be reported.
func (n *Node) shutdown() error {
	n.startDrain("the process was asked to stop")
	s := n.cfg.Settings
	ctx, cancel := context.WithTimeout(context.Background(), s.DrainTimeout.D())
	defer cancel()
	n.withCore(func(now fleet.Time) { n.core.Resign(now) })
	sleep(ctx, s.DrainDelay.D())
	err := n.proxy.Drain(ctx)
	callersErr := n.proxy.Shutdown(ctx, n.callers.server)
	handoverErr := n.awaitHandover(ctx)
	flushCtx, flushCancel := context.WithTimeout(ctx, journalFlushTimeout)
	defer flushCancel()
	if flushErr := n.journal.Flush(flushCtx); flushErr != nil {
		n.log.Error(flushErr, "events of the shutdown were not written to the log stream")
	}
	_ = n.links.Flush(ctx)
	_ = n.tracing.Shutdown(ctx)
	opCtx, opCancel := context.WithTimeout(ctx, operatorShutdownTimeout)
	defer opCancel()
	_ = n.operators.server.Shutdown(opCtx)
	switch {
	case err != nil:
		return errors.Annotate(err, "requests in flight at the end of drain_timeout")
	case callersErr != nil:
		return errors.Annotate(callersErr, "close the connections of callers")
	case handoverErr != nil:
		return errors.Annotate(handoverErr, "shards not handed over at the end of drain_timeout")
	}
	n.log.Info("shutdown complete")
	return nil
}

// awaitHandover waits until the shards are handed over or no VM is left to take them. It returns the
// error of ctx if that ends first.
func (n *Node) awaitHandover(ctx context.Context) error {
	for {
		var done bool
		n.withCore(func(fleet.Time) { done = n.core.Resigned() || n.isLastVM() })
		if done {
			return nil
		}
		if !sleep(ctx, drainPollInterval) {
			return ctx.Err()
		}
	}
}

// isLastVM reports whether the region has no other VM that could take over the shards. The caller
// holds the lock.
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

// sleep waits for d. It returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// NewWorkID returns a new work id.
func (n *Node) NewWorkID() pool.WorkID { return pool.WorkID(n.lastID.Add(1)) }

// Draining reports whether shutdown has started.
func (n *Node) Draining() bool { return n.draining.Load() }
