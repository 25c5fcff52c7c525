package node

import (
	"context"
	"time"

	"github.com/fulmarbeam/fulmarbeam/pkg/configlog"
	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/link"
	"github.com/fulmarbeam/fulmarbeam/pkg/platformapi"
)

// tickLoop advances the core's clock and sends the probes that are due.
func (n *Node) tickLoop(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			n.withCore(n.core.Tick)
			n.sendProbes(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// handleMessage processes a message from a peer.
func (n *Node) handleMessage(from fleet.Member, m fleet.Message) {
	n.withCore(func(now fleet.Time) { n.core.Step(now, from, m) })
}

// handleHello records the incarnation of a peer that has connected.
func (n *Node) handleHello(member fleet.Member) {
	n.withCore(func(now fleet.Time) { n.core.RecordIncarnation(now, member) })
}

// handleRefused logs that a peer refused the link. With link.ReasonOlderIncarnation a newer process of
// this VM is running, and this one must not continue.
func (n *Node) handleRefused(peer fleet.VMID, refused link.Refusal) {
	n.log.Info("link refused by peer", "peer", peer, "reason", refused.Reason.String())
}

// regionOf returns the region of a listed VM, or "" if it is not listed.
func (n *Node) regionOf(id fleet.VMID) fleet.Region {
	n.mu.Lock()
	defer n.mu.Unlock()
	if dir := n.core.Directory(); dir != nil {
		if vm, ok := dir.VM(id); ok {
			return vm.Region
		}
	}
	return ""
}

// listLoop polls the platform's list.
func (n *Node) listLoop(ctx context.Context) {
	interval := n.cfg.Settings.Platform.ListInterval.D()
	failures := 0
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, n.cfg.Settings.Platform.Timeout.D())
		dir, err := n.cfg.Lister.List(callCtx)
		cancel()
		if err != nil {
			if failures++; failures == 1 && ctx.Err() == nil {
				n.log.Error(err, "cannot read the VM list; the last one read stays in use")
			}
			sleep(ctx, listRetryDelay)
			continue
		}
		failures = 0
		n.applyDirectory(dir)
		sleep(ctx, interval)
	}
}

// applyDirectory passes a newly read list to the core and to the links.
func (n *Node) applyDirectory(dir *fleet.Directory) {
	n.withCore(func(now fleet.Time) { n.core.SetDirectory(now, dir) })
	peers := make(map[fleet.VMID]string, len(dir.VMs))
	for _, vm := range dir.VMs {
		if vm.ID == n.self.VM {
			n.selfListed.Store(true)
			continue
		}
		addr := vm.Addr
		if n.cfg.MapLinkAddr != nil {
			addr = n.cfg.MapLinkAddr(vm)
		}
		peers[vm.ID] = addr
	}
	n.links.SetPeers(peers)
}

// readLoop performs the log reads that the configuration module requests.
func (n *Node) readLoop(ctx context.Context) {
	for ctx.Err() == nil {
		var read configlog.Read
		var wanted bool
		n.withCore(func(now fleet.Time) { read, wanted = n.core.Config().NextRead(now) })
		if !wanted {
			sleep(ctx, idlePollInterval)
			continue
		}
		batch, err := n.readConfigLog(ctx, read)
		n.withCore(func(now fleet.Time) {
			if err != nil {
				n.core.Config().ReadFailed(now)
			} else {
				n.core.Config().ReadCompleted(now, batch)
			}
			n.core.Settle(now)
		})
	}
}

func (n *Node) readConfigLog(ctx context.Context, read configlog.Read) (platformapi.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, read.Wait+n.cfg.Settings.Platform.Timeout.D())
	defer cancel()
	return n.cfg.Log.Read(ctx, ConfigStream, read.From, read.MaxBytes, read.Wait > 0)
}

// appendLoop performs the log appends that the configuration module requests.
func (n *Node) appendLoop(ctx context.Context) {
	for ctx.Err() == nil {
		var job configlog.Append
		var wanted bool
		n.withCore(func(now fleet.Time) { job, wanted = n.core.Config().NextAppend(now) })
		if !wanted {
			sleep(ctx, idlePollInterval)
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, n.cfg.Settings.Platform.Timeout.D())
		offset, err := n.cfg.Log.Append(callCtx, ConfigStream, job.Data)
		cancel()
		n.withCore(func(now fleet.Time) {
			if err != nil {
				n.core.Config().AppendFailed(now, job.ID)
			} else {
				n.core.Config().AppendCompleted(now, job.ID, offset)
			}
			n.core.Settle(now)
		})
	}
}

// sendProbes sends the health probes that the coordinator requests. It requests
// them for one ejected server at a time, so their number needs no further limit.
func (n *Node) sendProbes(ctx context.Context) {
	n.mu.Lock()
	probes := n.core.Probes()
	n.mu.Unlock()
	for _, p := range probes {
		n.loops.Add(1)
		go func() {
			defer n.loops.Done()
			passed := n.runProbe(ctx, p)
			n.withCore(func(now fleet.Time) { n.core.RecordProbe(now, p, passed) })
		}()
	}
}
