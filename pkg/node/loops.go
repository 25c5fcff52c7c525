package node

import (
	"context"
	"net/http"
	"time"

	"github.com/fulmarbeam/fulmarbeam/pkg/configlog"
	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/link"
	"github.com/fulmarbeam/fulmarbeam/pkg/platform"
	"github.com/fulmarbeam/fulmarbeam/pkg/pool"
)

func (n *Node) tickLoop(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			n.lockedDo(n.core.Tick)
			n.sendProbes(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// handle takes a message from a peer's link.
func (n *Node) handle(from fleet.Member, m fleet.Message) {
	n.lockedDo(func(now fleet.Time) { n.core.Step(now, from, m) })
}

func (n *Node) hello(member fleet.Member) {
	n.lockedDo(func(now fleet.Time) { n.core.SawIncarnation(now, member) })
}

// refused logs a refused link. A VM whose newer process runs must not go on.
func (n *Node) refused(peer fleet.VMID, refused link.Refused) {
	n.log.Info("a peer refused the link", "peer", peer, "reason", refused.Reason.String())
}

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

// listLoop reads the platform's list.
func (n *Node) listLoop(ctx context.Context) {
	interval := n.cfg.Settings.Platform.ListInterval.D()
	failures := 0
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, n.cfg.Settings.Platform.Timeout.D())
		dir, err := n.cfg.Lister.List(callCtx)
		cancel()
		if err != nil {
			if failures++; failures == 1 && ctx.Err() == nil {
				n.log.Error(err, "the VM list cannot be read; the last reading stays in use")
			}
			wait(ctx, listRetry)
			continue
		}
		failures = 0
		n.applyDirectory(dir)
		wait(ctx, interval)
	}
}

func (n *Node) applyDirectory(dir *fleet.Directory) {
	n.lockedDo(func(now fleet.Time) { n.core.SetDirectory(now, dir) })
	peers := make(map[fleet.VMID]string, len(dir.VMs))
	for _, vm := range dir.VMs {
		if vm.ID == n.self.VM {
			n.listed.Store(true)
			continue
		}
		addr := vm.Addr
		if n.cfg.LinkAddress != nil {
			addr = n.cfg.LinkAddress(vm)
		}
		peers[vm.ID] = addr
	}
	n.links.SetPeers(peers)
}

// readLoop does the readings of the log that the configuration module asks for.
func (n *Node) readLoop(ctx context.Context) {
	for ctx.Err() == nil {
		var read configlog.Read
		var wanted bool
		n.lockedDo(func(now fleet.Time) { read, wanted = n.core.Config().WantRead(now) })
		if !wanted {
			wait(ctx, idlePoll)
			continue
		}
		batch, err := n.readLog(ctx, read)
		n.lockedDo(func(now fleet.Time) {
			if err != nil {
				n.core.Config().LogFailed(now)
			} else {
				n.core.Config().Records(now, batch)
			}
			n.core.Settle(now)
		})
	}
}

func (n *Node) readLog(ctx context.Context, read configlog.Read) (platform.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, read.Wait+n.cfg.Settings.Platform.Timeout.D())
	defer cancel()
	return n.cfg.Log.Read(ctx, ConfigStream, read.From, read.MaxBytes, read.Wait > 0)
}

// appendLoop does the appends that the configuration module asks for.
func (n *Node) appendLoop(ctx context.Context) {
	for ctx.Err() == nil {
		var job configlog.Append
		var wanted bool
		n.lockedDo(func(now fleet.Time) { job, wanted = n.core.Config().WantAppend(now) })
		if !wanted {
			wait(ctx, idlePoll)
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, n.cfg.Settings.Platform.Timeout.D())
		offset, err := n.cfg.Log.Append(callCtx, ConfigStream, job.Data)
		cancel()
		n.lockedDo(func(now fleet.Time) {
			if err != nil {
				n.core.Config().AppendFailed(now, job.ID)
			} else {
				n.core.Config().Appended(now, job.ID, offset)
			}
			n.core.Settle(now)
		})
	}
}

// sendProbes sends the probes that the coordinator asks for. It asks for one ejected
// server at a time, so they need no bound of their own.
func (n *Node) sendProbes(ctx context.Context) {
	n.mu.Lock()
	probes := n.core.Probes()
	n.mu.Unlock()
	for _, p := range probes {
		n.loops.Add(1)
		go func() {
			defer n.loops.Done()
			passed := n.probe(ctx, p)
			n.lockedDo(func(now fleet.Time) { n.core.Probed(now, p, passed) })
		}()
	}
}

// probe asks a server's health endpoint and reports whether it answered with success.
func (n *Node) probe(ctx context.Context, p pool.Probe) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	addr := p.Server.Addr
	if n.cfg.ServerAddress != nil {
		addr = n.cfg.ServerAddress(p.Server)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+p.Path, nil)
	if err != nil {
		return false
	}
	resp, err := n.probes.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode >= http.StatusOK && resp.StatusCode < http.StatusMultipleChoices
}
