package main

import (
	"fmt"
	"net/http"
	"time"
)

// drainBound is the bound drainS of the installations.
const drainBound = 2 * time.Second

// foreignEntry: another writer puts an entry without version under a server's key. Later the server leaves.
func foreignEntry(p *play) (bool, error) {
	st := newStore()
	addr, stopStore, err := st.listen()
	if err != nil {
		return false, err
	}
	defer stopStore()
	f, err := newFleet(p.root, p.dir, addr, map[string]string{"east-a": "east"}, 2)
	if err != nil {
		return false, err
	}
	defer f.stop()
	f.add("edge-east-a-1", "east-a")
	f.add("edge-east-a-2", "east-a")
	f.seeds = []string{f.machines[0].ip + ":1"}
	var servers []*server
	for i := range 5 {
		s, err := startServer(st, fmt.Sprintf("i-yard-%d", i+1), "yard", "east-a", 6, spread(170*time.Millisecond))
		if err != nil {
			return false, err
		}
		defer s.close()
		servers = append(servers, s)
	}
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
	time.Sleep(2 * time.Second)
	c := newClients(f)
	c.load(25, http.MethodPut, "/book/1", 5*time.Second, 3, func() []*machine { return f.machines })
	time.Sleep(6 * time.Second)
	if err := enoughServed(c); err != nil {
		return false, err
	}
	leaving := servers[0]
	if p.trouble {
		entry := fmt.Sprintf(`{"address":%q,"info":{"service":"yard","zone":"east-a","slots":6},"status":{"state":"ready","seq":%d},"born":%d}`,
			leaving.addr, time.Now().UnixMilli(), leaving.born)
		st.put("keyed.servers", leaving.id, []byte(entry))
		say("another writer puts an entry without version under servers/%s at %.3f", leaving.id, since(time.Now()))
	}
	time.Sleep(6 * time.Second)
	acknowledged := leaving.drain()
	say("%s reports draining, acknowledged at %.3f; it goes on serving", leaving.id, since(acknowledged))
	time.Sleep(9 * time.Second)
	c.stop()
	late := 0
	for _, a := range leaving.arrived() {
		if a.at.After(acknowledged.Add(drainBound)) {
			late++
		}
	}
	say("%d requests reached %s later than drainS after that", late, leaving.id)
	return late > 0, nil
}
