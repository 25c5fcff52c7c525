package main

import (
	"encoding/json"
	"fmt"
	"time"
)

// Bounds of the users' pages (tsehay-gate), and the times of this case.
const (
	configBound   = 2 * time.Second // configS
	maxSkew       = 5 * time.Second // maxSkewS
	copyAge       = 3 * time.Second // "some seconds old"
	awayFor       = 1500 * time.Millisecond
	operatorPoll  = 5 * time.Millisecond
	trafficPeriod = 100 * time.Millisecond
	judgedFor     = 10 * time.Second
)

type routeSpec struct {
	name, path, kind, service string
}

// configuration returns a configuration in the form of the operator, with a timeout of 2 s for all routes.
func configuration(version int, host string, routes ...routeSpec) []byte {
	return configurationWithTimeout(version, host, 2, routes...)
}

func configurationWithTimeout(version int, host string, timeoutS float64, routes ...routeSpec) []byte {
	var resources []any
	resource := func(kind, name string, spec map[string]any) {
		meta := map[string]any{}
		if name != "" {
			meta["name"] = name
		}
		resources = append(resources, map[string]any{"type": kind, "metadata": meta, "spec": spec})
	}
	for _, r := range routes {
		resource("routes", r.name, map[string]any{"host": host, "pathPrefix": r.path, "routeType": r.kind, "timeoutS": timeoutS,
			"targetLatencyS": 1, "priority": 1, "service": r.service, "attempts": 2})
	}
	for _, name := range []string{"desk", "counter"} {
		resource("services", name, map[string]any{"healthCheckPath": "/healthz", "maxConnections": 330, "protocol": "h1", "tls": false})
	}
	resource("limits", "", map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutS": 3, "idleTimeoutS": 15})
	data, _ := json.Marshal(map[string]any{"version": fmt.Sprintf("r%d", version), "resources": resources})
	return data
}

// runRestore shows what becomes of a configuration that is acknowledged after the store came back from a copy: r2 and r3
// are in force; the store loses them and comes back; the operator writes its newest one, r3, again and then r4.
func runRestore(s setup) (bool, error) {
	rec := s.rec
	st, err := startStore(rec)
	if err != nil {
		return false, err
	}
	const host = "ficu95.example"
	book := routeSpec{"r-book", "/book/", "unsafe", "desk"}
	moved := routeSpec{"r-book", "/book/", "unsafe", "counter"}
	look := routeSpec{"r-look", "/look/", "safe", "desk"}
	extra := routeSpec{"r-extra", "/extra/", "safe", "desk"}
	old := routeSpec{"r-old", "/old/", "safe", "desk"}
	publish := func(version int, routes ...routeSpec) {
		if st.put(opTopic, "config", configuration(version, host, routes...)) {
			rec.say("operator: r%d is acknowledged, the end of its topic is %d", version, st.end(opTopic))
		} else {
			rec.say("operator: r%d is refused", version)
		}
	}
	publish(1, book, look, old)
	rs := &runs{}
	for i := range 6 {
		service := []string{"desk", "counter"}[i%2]
		zone := []string{"addis-a", "hawassa-a"}[i/2%2]
		if _, err := startBackend(rec, st, rs, fmt.Sprintf("i-%04x", 0x7f3a+i), service, zone, 20*time.Millisecond); err != nil {
			return false, err
		}
	}
	f, err := startFleet(rec, s.dir, st, "addis-a", "addis-b", "hawassa-a", "hawassa-b")
	if f != nil {
		defer f.stop()
	}
	if err != nil {
		return false, err
	}
	if err := f.waitReady(8 * time.Second); err != nil {
		return false, err
	}
	cl := &clients{rec: rec, host: host}
	done := make(chan struct{})
	defer close(done)
	go traffic(cl, f, done)
	time.Sleep(3 * time.Second)
	backup := st.backup()
	rec.say("the copy of the store is made")
	time.Sleep(copyAge / 3)
	publish(2, book, look, old, extra)
	time.Sleep(copyAge / 3)
	publish(3, book, look, old)
	time.Sleep(copyAge / 3)
	if s.trouble {
		rec.say("the store is away")
		st.goAway()
		time.Sleep(awayFor)
		st.restore(backup)
		rec.say("the store is back from the copy, era %d; the end of the operator's topic is %d", st.currentEra(), st.end(opTopic))
		time.Sleep(operatorPoll)
		publish(3, book, look, old) // its newest configuration, written again
	} else {
		time.Sleep(awayFor)
	}
	publish(4, moved, look) // /book/ moves to counter, /old/ is dropped
	acknowledged := time.Now()
	from := acknowledged.Add(configBound + maxSkew + time.Second)
	time.Sleep(time.Until(from.Add(judgedFor)))
	byID := rs.byID()
	checked, stale := 0, 0
	for _, a := range cl.attempts() {
		if a.sent.Before(from) {
			continue
		}
		checked++
		for _, r := range byID[a.id] {
			if a.path != "/look/2f" && r.service == "desk" {
				stale++
				rec.add("CONFIG: %s %s %s, sent %.1f s after r4 was acknowledged, was run by %s (%s)", a.id, a.method, a.path,
					a.sent.Sub(acknowledged).Seconds(), r.server, r.service)
			}
		}
	}
	rec.say("of %d requests sent later than %.0f s after r4 was acknowledged, %d were handled as only r3 and older allow",
		checked, from.Sub(acknowledged).Seconds(), stale)
	if checked < 50 {
		return false, fmt.Errorf("only %d requests were sent", checked)
	}
	return stale > 0, nil
}

// traffic sends requests to all VMs in turn until done is closed.
func traffic(cl *clients, f *fleet, done <-chan struct{}) {
	kinds := []struct{ method, path, body string }{{"POST", "/book/2f", "two seats"}, {"GET", "/look/2f", ""}, {"GET", "/old/2f", ""}}
	for i := 0; ; i++ {
		k, v := kinds[i%len(kinds)], f.vms[i/len(kinds)%len(f.vms)]
		go cl.send(v, k.method, k.path, "", k.body)
		select {
		case <-done:
			return
		case <-time.After(trafficPeriod):
		}
	}
}
