package main

import (
	"sort"
	"time"
)

// Bounds of the rule LIMIT and of the installations.
const (
	stableWindow = 3 * time.Second
	limitWindow  = 4 * time.Second
	limitFactor  = 1.5
	limitExtra   = 5
	passedOn     = 500 * time.Millisecond
)

// checkLimit applies the rule LIMIT to a server that named one limit. Machines in excused are left out.
func checkLimit(s *server, rate float64, c *clients, excused map[string]bool) (broken bool) {
	c.mu.Lock()
	first := map[string]time.Time{} // when each machine first passed on an answer with the limit
	for _, a := range c.answers {
		if a.limit != "" && a.server == s.id && (first[a.machine].IsZero() || a.at.Before(first[a.machine])) {
			first[a.machine] = a.at
		}
	}
	via := c.via
	c.mu.Unlock()
	var at []time.Time
	for _, r := range s.arrived() {
		m := via[r.id]
		switch {
		case s.named.IsZero() || r.at.Before(s.named.Add(stableWindow)):
		case excused[m] || first[m].IsZero() || r.at.Before(first[m].Add(passedOn)):
		default:
			at = append(at, r.at)
		}
	}
	sort.Slice(at, func(i, j int) bool { return at[i].Before(at[j]) })
	bound := limitFactor*rate*limitWindow.Seconds() + limitExtra
	most, from := 0, time.Time{}
	for i, j := 0, 0; i < len(at); i++ {
		for at[i].Sub(at[j]) >= limitWindow {
			j++
		}
		if n := i - j + 1; n > most {
			most, from = n, at[j]
		}
	}
	if s.named.IsZero() {
		say("%s named no limit", s.id)
		return false
	}
	say("%s named %v/s at %.3f: at most %d requests in 4 s (from %.3f), allowed %.1f", s.id, rate, since(s.named), most, since(from), bound)
	return float64(most) > bound
}
