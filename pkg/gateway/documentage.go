package gateway

import (
	"time"

	"golang.org/x/sys/unix"

	"github.com/fulmarbeam/fulmarbeam/pkg/document"
	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/follower"
	"github.com/fulmarbeam/fulmarbeam/pkg/mesh"
)

// pauseThreshold is the time between two steps, which are due each tickInterval, after which the VM counts as paused.
// A VM that was only busy for so long pays with a Hello.
const pauseThreshold = time.Second

// bootTime returns the time since the VM booted, which also runs while the VM is suspended.
func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0 // not on Linux since 2.6.39
	}
	return time.Duration(ts.Nano())
}

// pauseDetector notices that the VM did not run for a while.
type pauseDetector struct {
	lastStep fleet.Time
	lastBoot time.Duration
}

// detectPause tells the follower of a pause before the first step after it. Only VMs that refuse keys without a
// confirmation need it. g.mu must be held.
func (g *Gateway) detectPause(now fleet.Time) {
	if !g.cfg.Settings.Workspaces.FailClosed {
		return
	}
	boot, p := bootTime(), &g.pause
	if elapsed := boot - p.lastBoot; p.lastBoot != 0 && elapsed > pauseThreshold {
		g.follower.HandlePause(now, elapsed-now.Sub(p.lastStep))
	}
	p.lastStep, p.lastBoot = now, boot
}

// publishDocumentAge makes the state of the document available to requests. g.mu must be held.
func (g *Gateway) publishDocumentAge(now fleet.Time) {
	g.documentBehind.Store(g.follower.IsBehind())
	if !g.cfg.Settings.Workspaces.FailClosed {
		return
	}
	if at, known := g.follower.ConfirmedAt(); known {
		g.keysValidUntil.Store(int64(bootTime() - now.Sub(at) + g.cfg.Settings.Workspaces.Revocation.D()))
	}
}

// keysConfirmed reports whether API keys may be accepted: the configuration was confirmed recently enough, or the
// settings do not ask for that.
func (g *Gateway) keysConfirmed() bool {
	return !g.cfg.Settings.Workspaces.FailClosed || int64(bootTime()) <= g.keysValidUntil.Load()
}

// useDocument puts a document into effect.
func (g *Gateway) useDocument(now fleet.Time, doc *document.Document, revision uint64) {
	index := document.NewIndex(doc, revision)
	g.index.Store(index)
	g.quota.SetQuotas(now, index.Quota)
	g.mesh.ForgetSnapshot()
	g.log.Info("configuration applied", "revision", revision, "routes", countRoutes(doc),
		"workspaces", index.WorkspaceCount(), "keys", index.KeyCount())
}

// hearDocument handles what another VM says of its document. Asked is the boot time at which this VM asked, 0 if it
// did not.
func (g *Gateway) hearDocument(now fleet.Time, from fleet.VMID, s follower.DocumentState, asked time.Duration) {
	if s == (follower.DocumentState{}) {
		return
	}
	region, known := g.members.Region(from)
	if !known {
		return // its document could not be fetched
	}
	h := follower.Heard{From: from, State: s, OtherRegion: region != g.self.Region}
	if asked != 0 {
		elapsed := bootTime() - asked
		if asked < 0 || elapsed < 0 {
			g.log.Info("message ignored", "from", from, "error", "it answers a question that was not asked yet")
			return
		}
		h.Asked = max(now.Add(-elapsed), 1)
	}
	g.follower.HearDocument(now, h)
}

// tellOtherRegions sends the state of a new document to one VM of each zone of the other regions, so that a region
// whose VMs the store refuses learns of it.
func (g *Gateway) tellOtherRegions(now fleet.Time, u follower.Update) {
	if u.State.Revision <= g.toldRevision {
		return
	}
	g.toldRevision = u.State.Revision
	_, others := g.members.Delegates(now)
	g.mesh.Send(&mesh.RegistryUpdate{From: g.self.ID, Update: follower.Update{DocumentOnly: true, State: u.State}}, others...)
}
