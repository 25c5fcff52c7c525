package bench

import (
	"fmt"
	"math"
	"time"

	"github.com/juju/errors"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/pool"
	"github.com/fulmarbeam/fulmarbeam/pkg/wire"
)

// nodeMeasureTime is the simulated time over which a cluster is measured.
const nodeMeasureTime = 10 * time.Second

// nodeCost is the resource use of one VM of a cluster.
type nodeCost struct {
	heap          float64 // bytes
	cpuPercent    float64 // of a core
	sent          float64 // bytes per second
	frames        float64 // per second
	cpuPerRequest float64 // CPU time per request in nanoseconds; NaN without load
}

func measureCluster(size clusterSize) (nodeCost, error) {
	c, memory, err := heapOf(func() (*cluster, error) { return newCluster(size) })
	if err != nil {
		return nodeCost{}, err
	}
	c.run(time.Second) // let the load reach a steady state
	frames, bytes, started := c.frames, c.bytes, c.started
	begin := cpuTime()
	c.run(nodeMeasureTime)
	took := cpuTime() - begin
	vms, seconds := float64(size.vms), nodeMeasureTime.Seconds()
	out := nodeCost{
		heap:          memory / vms,
		cpuPercent:    100 * took.Seconds() / seconds / vms,
		sent:          float64(c.bytes-bytes) / seconds / vms,
		frames:        float64(c.frames-frames) / seconds / vms,
		cpuPerRequest: math.NaN(),
	}
	if n := c.started - started; n > 0 {
		out.cpuPerRequest = float64(took.Nanoseconds()) / float64(n)
	} else if size.rate > 0 {
		return out, errors.Errorf("no request got a slot")
	}
	return out, nil
}

// nodeSlopes measures the cost of a VM's control code, idle and under load.
func nodeSlopes(o SlopeOptions) ([]Slope, error) {
	var out []Slope
	base := clusterSize{vms: 12, services: 2, servers: 16, keyShards: keySlices}
	loaded := base
	loaded.rate = 600
	for _, dim := range []struct {
		name  string
		base  clusterSize
		sizes []int
		set   func(*clusterSize, int)
	}{
		{"VMs", base, o.sizes(8, 16, 32, 44), func(s *clusterSize, n int) { s.vms = n }},
		{"servers of each service", base, o.sizes(16, 64, 256), func(s *clusterSize, n int) { s.servers = n }},
		{"services", base, o.sizes(4, 32, 256), func(s *clusterSize, n int) { s.services = n }},
		{"key shards of the region", base, o.sizes(16, 64, 256), func(s *clusterSize, n int) { s.keyShards = n }},
		{"requests/s over all VMs", loaded, o.sizes(300, 600, 1200, 2400), func(s *clusterSize, n int) { s.rate = n }},
		{"requests/s with a key, of 600", loaded, o.sizes(0, 100, 200, 400), func(s *clusterSize, n int) { s.keyed = n }},
		{"VMs", loaded, o.sizes(8, 16, 32, 44), func(s *clusterSize, n int) { s.vms = n }},
		{"servers of each service", loaded, o.sizes(16, 64, 256), func(s *clusterSize, n int) { s.servers = n }},
	} {
		b := dim.base
		fixed := fmt.Sprintf("else %d VMs of one region, %d services of %d servers, %d key shards, %d requests/s", b.vms, b.services, b.servers, b.keyShards, b.rate)
		slope := func(cost, unit string) Slope {
			return Slope{Package: "core", Cost: cost, Unit: unit, Variable: dim.name, Constants: fixed}
		}
		memory, cpu := slope("heap of a VM's core", "bytes"), slope("processor time of a VM's control", "% of a core")
		sent, frames := slope("bytes sent by a VM", "bytes/s"), slope("frames sent by a VM", "1/s")
		requestCost := slope("control cost of a request", "ns")
		for _, n := range dim.sizes {
			o.Progress(fmt.Sprintf("%d %s, %d requests/s", n, dim.name, b.rate))
			size := b
			dim.set(&size, n)
			cost, err := measureCluster(size)
			if err != nil {
				return nil, errors.Annotatef(err, "%d %s", n, dim.name)
			}
			x := float64(n)
			memory.add(x, cost.heap)
			cpu.add(x, cost.cpuPercent)
			sent.add(x, cost.sent)
			frames.add(x, cost.frames)
			if !math.IsNaN(cost.cpuPerRequest) {
				requestCost.add(x, cost.cpuPerRequest)
			}
		}
		out = append(out, memory, cpu, sent, frames)
		if len(requestCost.Sizes) > 0 {
			out = append(out, requestCost)
		}
	}
	return out, nil
}

// frameSlopes measures encoding and decoding of a pool's two most frequent messages.
func frameSlopes(o SlopeOptions) ([]Slope, error) {
	var out []Slope
	id := fleet.PoolID{Service: "ticket-desk", Region: "addis"}
	for _, kind := range []struct {
		name  string
		build func(n int) fleet.Message
	}{
		{"pool_state", func(n int) fleet.Message {
			m := &pool.State{Pool: id, Version: 3, Epoch: 1 << 40, Seq: 1000, SyncSeq: 1000, Used: 50}
			for i := range n {
				m.Grants = append(m.Grants, pool.Grant{Ref: uint32(i) * 2654435761, Total: 2, Long: 1})
			}
			return m
		}},
		{"pool_sync", func(n int) fleet.Message {
			m := &pool.Sync{Pool: id, Epoch: 1 << 40, Ack: 1000, Seq: 1000}
			for i := range n {
				ref := uint32(i) * 2654435761
				m.Held = append(m.Held, pool.HeldCredits{Ref: ref, Total: 2, Long: 1, Used: 1})
				m.Evidence = append(m.Evidence, pool.Evidence{Ref: ref, Route: 77, OK: 3})
			}
			return m
		}},
	} {
		coding := Slope{Package: "wire", Cost: "encode and decode " + kind.name, Unit: "ns", Variable: "servers named", Constants: "one frame"}
		size := Slope{Package: "wire", Cost: "size of " + kind.name, Unit: "bytes", Variable: "servers named", Constants: "one frame"}
		for _, n := range o.sizes(5, 20, 80) {
			m := kind.build(n)
			frame, err := wire.Encode(m)
			if err != nil {
				return nil, errors.Trace(err)
			}
			size.add(float64(n), float64(len(frame)))
			coding.add(float64(n), cpuTimePer(func() {
				frame, _ := wire.Encode(m)
				_, _ = wire.Decode(frame)
			}))
		}
		out = append(out, coding, size)
	}
	return out, nil
}
