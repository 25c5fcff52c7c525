package main

import (
	"fmt"
	"strings"
	"time"
)

const (
	prefixRequests = 60
	prefixWork     = 20 * time.Millisecond
)

// runPrefix sends requests whose path has an encoded slash where a longer prefix, of another service, has a slash. Without
// the trouble, the paths have a hyphen there.
func runPrefix(s setup) (bool, error) {
	rec := s.rec
	st, err := startStore(rec)
	if err != nil {
		return false, err
	}
	const host = "ficu95.example"
	routes := []routeSpec{{"r-book", "/book/", "unsafe", "desk"}, {"r-lorry", "/book/lorry/", "unsafe", "counter"}}
	st.put(opTopic, "config", configuration(1, host, routes...))
	rs := &runs{}
	for i := range 4 {
		service := []string{"desk", "counter"}[i%2]
		if _, err := startBackend(rec, st, rs, fmt.Sprintf("i-%04x", 0x7f3a+i), service, "addis-a", prefixWork); err != nil {
			return false, err
		}
	}
	f, err := startFleet(rec, s.dir, st, "addis-a", "addis-b")
	if f != nil {
		defer f.stop()
	}
	if err != nil {
		return false, err
	}
	if err := f.waitReady(8 * time.Second); err != nil {
		return false, err
	}
	separator := "-"
	if s.trouble {
		separator = "%2F"
	}
	cl := &clients{rec: rec, host: host}
	for i := range prefixRequests {
		cl.send(f.vms[i%len(f.vms)], "POST", fmt.Sprintf("/book/lorry%s%d", separator, i), "", "one lorry")
	}
	byID := rs.byID()
	ran, wrong := 0, 0
	for _, a := range cl.attempts() {
		allowed, longest := "", -1
		for _, r := range routes {
			if strings.HasPrefix(a.path, r.path) && len(r.path) > longest {
				allowed, longest = r.service, len(r.path)
			}
		}
		for _, r := range byID[a.id] {
			ran++
			if r.service != allowed {
				wrong++
				rec.add("ROUTE: %s %s belongs to %s and was run by %s (%s), the client got %d", a.id, a.path, allowed, r.server, r.service, a.status)
			}
		}
	}
	rec.say("of %d requests that ran, %d were run by a service to which no configuration allows them to go", ran, wrong)
	if ran < prefixRequests/2 {
		return false, fmt.Errorf("only %d requests ran", ran)
	}
	return wrong > 0, nil
}
