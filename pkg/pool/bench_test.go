package pool

import (
	"fmt"
	"testing"
	"time"

	"github.com/fulmarbeam/fulmarbeam/pkg/document"
	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/result"
	"github.com/fulmarbeam/fulmarbeam/pkg/shard"
)

// benchPools returns the Pools of a VM that owns the pool and holds credits. The region has
// no other VM.
func benchPools(servers int) (*Pools, fleet.Time) {
	auth := &simAuthority{role: shard.RoleOwner}
	self := fleet.Member{VM: "v00", Incarnation: 1}
	auth.view = shard.View{Shard: shard.PoolShard(poolID), Version: 1, Owner: self}
	p := New(Config{Self: self, Region: region, Zone: "addis-a", Seed: 1, Authority: auth})
	var rows []fleet.Server
	for i := range servers {
		rows = append(rows, fleet.Server{ID: fleet.ServerID(fmt.Sprintf("s%05d", i)), Service: service, Region: region, State: fleet.StateLive})
	}
	vms := []fleet.VM{{ID: "v00", Region: region, Zone: "addis-a", State: fleet.StateLive}}
	now := fleet.Time(time.Hour)
	p.SetDirectory(now, fleet.NewDirectory(1, vms, rows))
	p.SetDocument(now, &document.Index{Doc: &document.Document{Sections: map[string]document.Section{"t": {Services: map[fleet.Service]document.Service{
		service: {Servers: servers, Slots: 6, Floor: document.Floor{Percent: 80}},
	}}}}})
	p.RoleChanged(auth.view.Shard, now, shard.RoleOwner, auth.view)
	work := Work{Service: service, Route: "menu", Weight: 1, Idempotent: true}
	for k := range 600 {
		now = now.Add(10 * time.Millisecond)
		p.Tick(now)
		work.ID = WorkID(k + 1)
		if d, ok := p.Submit(now, work); ok && d.Code == result.OK {
			p.End(now.Add(time.Millisecond), work.ID, End{State: EndOK, Duration: time.Millisecond})
		}
		for _, d := range p.Decisions() {
			p.End(now.Add(time.Millisecond), d.Work, End{State: EndOK, Duration: time.Millisecond})
		}
		p.Outbox()
	}
	return p, now
}

func BenchmarkTick(b *testing.B) {
	for _, servers := range []int{200, 2000, 20000} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			p, now := benchPools(servers)
			b.ReportAllocs()
			b.ResetTimer()
			for b.Loop() {
				now = now.Add(10 * time.Millisecond)
				p.Tick(now)
				p.Outbox()
			}
		})
	}
}

// BenchmarkSubmitEnd measures the fast path, on which the client holds a free credit.
func BenchmarkSubmitEnd(b *testing.B) {
	p, now := benchPools(20)
	work := Work{Service: service, Route: "menu", Weight: 1, Idempotent: true}
	id, missed := WorkID(1_000_000), 0
	b.ReportAllocs()
	b.ResetTimer()
	for b.Loop() {
		id++
		now += fleet.Time(10 * time.Microsecond)
		work.ID = id
		if _, ok := p.Submit(now, work); !ok {
			missed++
		}
		p.End(now, id, End{State: EndOK, Duration: time.Millisecond})
		if id%1000 == 0 {
			p.Tick(now)
			p.Outbox()
			p.Decisions()
		}
	}
	if missed > 0 {
		b.Fatalf("%d requests found no free credit", missed)
	}
}
