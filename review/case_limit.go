package main

import (
	"net/http"
	"sync/atomic"
	"time"
)

// served checks that the deployment works before the disruption.
func enoughServed(c *clients) error {
	if c.served.Load()*10 < c.sent.Load()*8 {
		return errNotServed
	}
	return nil
}

// limitTime is how long servers name a limit.
const limitTime = 19 * time.Second

// limitOtherRegion: the servers of a service stand in one region, its callers in the other. The servers name a limit.
func limitOtherRegion(p *play) (bool, error) {
	const rate, limit = 0.5, "0.5"
	st := newStore()
	addr, stopStore, err := st.listen()
	if err != nil {
		return false, err
	}
	defer stopStore()
	f, err := newFleet(p.root, p.dir, addr, map[string]string{"east-a": "east", "west-a": "west"}, 4)
	if err != nil {
		return false, err
	}
	defer f.stop()
	f.add("edge-east-a-1", "east-a")
	var west []*machine
	for _, name := range []string{"edge-west-a-1", "edge-west-a-2", "edge-west-a-3"} {
		west = append(west, f.add(name, "west-a"))
	}
	f.seeds = []string{f.machines[0].ip + ":1", west[0].ip + ":1"}
	var servers []*server
	for _, id := range []string{"i-yard-1", "i-yard-2"} {
		s, err := startServer(st, id, "yard", "east-a", 6, spread(320*time.Millisecond))
		if err != nil {
			return false, err
		}
		defer s.close()
		servers = append(servers, s)
	}
	st.put("keyed.op", "config", configuration(1, []string{"yard"},
		[]route{{"book", "/book/", "unsafe", "yard", 4, 1.2, 2, 1}}))
	for _, m := range f.machines {
		if err := f.start(m); err != nil {
			return false, err
		}
	}
	if err := f.waitReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	c := newClients(f)
	targets := func() []*machine { return west }
	c.load(28, http.MethodPost, "/book/1", 8*time.Second, 3, targets)
	time.Sleep(8 * time.Second)
	if err := enoughServed(c); err != nil {
		return false, err
	}
	if p.trouble {
		for _, s := range servers {
			s.setLimit(limit)
		}
		say("the servers name Server-Limit %s from %.3f", limit, since(time.Now()))
	}
	time.Sleep(limitTime)
	c.stop()
	broken := false
	for _, s := range servers {
		broken = checkLimit(s, rate, c, nil) || broken
	}
	return broken, nil
}

// restartsAt is when the machine is killed, counted from the first answer that names the limit.
var restartsAt = []time.Duration{5200 * time.Millisecond, 13200 * time.Millisecond}

// limitRestart: two zones of a region; the machine in the zone of a server with a limit is killed and started again.
func limitRestart(p *play) (bool, error) {
	const rate, limit = 0.25, "0.25"
	st := newStore()
	addr, stopStore, err := st.listen()
	if err != nil {
		return false, err
	}
	defer stopStore()
	f, err := newFleet(p.root, p.dir, addr, map[string]string{"east-a": "east", "east-b": "east"}, 3)
	if err != nil {
		return false, err
	}
	defer f.stop()
	a1, a2, b1 := f.add("edge-east-a-1", "east-a"), f.add("edge-east-a-2", "east-a"), f.add("edge-east-b-1", "east-b")
	f.seeds = []string{a1.ip + ":1", b1.ip + ":1"}
	s, err := startServer(st, "i-yard-1", "yard", "east-b", 6, spread(400*time.Millisecond))
	if err != nil {
		return false, err
	}
	defer s.close()
	st.put("keyed.op", "config", configuration(1, []string{"yard"},
		[]route{{"book", "/book/", "unsafe", "yard", 2.5, 0.8, 2, 0}}))
	for _, m := range f.machines {
		if err := f.start(m); err != nil {
			return false, err
		}
	}
	if err := f.waitReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	c := newClients(f)
	var bDown atomic.Bool
	c.load(9, http.MethodPut, "/book/1", 5*time.Second, 3, func() []*machine { return []*machine{a1, a2} })
	c.load(3, http.MethodPut, "/book/2", 5*time.Second, 3, func() []*machine {
		if bDown.Load() {
			return []*machine{a1, a2}
		}
		return []*machine{b1}
	})
	time.Sleep(8 * time.Second)
	if err := enoughServed(c); err != nil {
		return false, err
	}
	s.setLimit(limit)
	say("the server names Server-Limit %s from %.3f", limit, since(time.Now()))
	named := time.Now()
	excused := map[string]bool{}
	for _, at := range restartsAt {
		time.Sleep(time.Until(named.Add(at)))
		if !p.trouble {
			continue
		}
		excused[b1.name] = true
		bDown.Store(true)
		b1.kill()
		time.Sleep(time.Second)
		if err := f.start(b1); err != nil {
			return false, err
		}
		for !f.ready(b1) {
			time.Sleep(20 * time.Millisecond)
		}
		bDown.Store(false)
	}
	time.Sleep(time.Until(named.Add(limitTime)))
	c.stop()
	return checkLimit(s, rate, c, excused), nil
}
