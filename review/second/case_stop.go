package main

import (
	"bufio"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"
)

// Times of this case, those of nhf-gateway: graceS is 6, and hook-order has a time limit of 8 s, a timeout of 4 s and works
// for up to 3.4 s.
const (
	stopClients  = 40
	stopWork     = 2400 * time.Millisecond
	openFrom     = 2500 * time.Millisecond // after the SIGTERM
	openTo       = 2900 * time.Millisecond
	sendAfter    = 900 * time.Millisecond // of a client, after it has opened its connection
	sentExcused  = 3 * time.Second        // requests sent later after the SIGTERM must be answered
	restartAfter = 500 * time.Millisecond
	probePeriod  = time.Second
	maxMisses    = 2
	hookLimitMS  = 8000
)

// balancer is a stand-in of the platform's choice of a machine for each new connection in one zone.
type balancer struct {
	vms []*vm

	mu     sync.Mutex
	misses map[string]int
}

// probe asks each machine once a second.
func (b *balancer) probe(done <-chan struct{}) {
	for {
		for _, v := range b.vms {
			ok := v.isReady()
			b.mu.Lock()
			if ok {
				b.misses[v.id] = 0
			} else {
				b.misses[v.id]++
			}
			b.mu.Unlock()
		}
		select {
		case <-done:
			return
		case <-time.After(probePeriod):
		}
	}
}

// choose returns the machine for the client with the given hash. If fewer than half of the zone's machines are in
// rotation, all of them are used.
func (b *balancer) choose(hash int) (v *vm, inRotation int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var in []*vm
	for _, v := range b.vms {
		if b.misses[v.id] < maxMisses {
			in = append(in, v)
		}
	}
	inRotation = len(in)
	if 2*len(in) < len(b.vms) {
		in = b.vms
	}
	return in[hash%len(in)], inRotation
}

// runStop stops two of a zone's three machines at once, as a roll does. Clients of the zone open connections before the
// machines close their listeners, and send their requests a little later.
func runStop(s setup) (bool, error) {
	rec := s.rec
	st, err := startStore(rec)
	if err != nil {
		return false, err
	}
	const host = "ficu95.example"
	book := routeSpec{"r-book", "/book/", "unsafe", "desk"}
	st.put(opTopic, "config", configurationWithTimeout(1, host, 4, book))
	rs := &runs{}
	for i := range 10 {
		if _, err := startBackend(rec, st, rs, fmt.Sprintf("i-%04x", 0x7f3a+i), "desk", []string{"addis-a", "addis-b"}[i%2], stopWork); err != nil {
			return false, err
		}
	}
	f, err := startFleet(rec, s.dir, st, "addis-a", "addis-a", "addis-a", "addis-b", "addis-b")
	if f != nil {
		defer f.stop()
	}
	if err != nil {
		return false, err
	}
	if err := f.waitReady(8 * time.Second); err != nil {
		return false, err
	}
	b := &balancer{vms: f.vms[:3], misses: map[string]int{}}
	done := make(chan struct{})
	defer close(done)
	go b.probe(done)
	time.Sleep(4 * time.Second) // the machines are in touch
	stopped := time.Now()
	var stops sync.WaitGroup
	for _, v := range f.vms[:2] {
		if !s.trouble {
			continue
		}
		rec.say("SIGTERM to %s", v.id)
		_ = v.cmd.Process.Signal(syscall.SIGTERM)
		stops.Go(func() { f.endAfterGrace(v, stopped) })
	}
	cl := &clients{rec: rec, host: host}
	var mu sync.Mutex
	var all []attempt
	var wg sync.WaitGroup
	for i := range stopClients {
		wg.Go(func() {
			time.Sleep(time.Until(stopped.Add(openFrom + (openTo-openFrom)*time.Duration(i)/stopClients)))
			v, in := b.choose(i)
			conn, err := net.DialTimeout("tcp", v.callers, time.Second)
			if err != nil {
				rec.add("client %d can't connect to %s: %v", i, v.id, err)
				return
			}
			defer conn.Close()
			rec.add("client %d opens a connection to %s; %d of %d machines are in rotation", i, v.id, in, len(b.vms))
			time.Sleep(sendAfter)
			a := cl.newAttempt(v, "POST", "/book/2f")
			cl.finish(&a, cl.exchangeOn(conn, bufio.NewReader(conn), &a, hookLimitMS, "", "one hook order"))
			mu.Lock()
			defer mu.Unlock()
			all = append(all, a)
		})
	}
	wg.Wait()
	stops.Wait()
	byID := rs.byID()
	lost, answered := 0, 0
	for _, a := range all {
		after := a.sent.Sub(stopped)
		switch {
		case a.err == nil:
			answered++
		case len(byID[a.id]) > 0 && after > sentExcused:
			lost++
			rec.add("LOST: %s, sent %.2f s after the SIGTERM, was passed on by %s and run by %s, and its connection ended after %.2f s: %v",
				a.id, after.Seconds(), a.vm, byID[a.id][0].server, a.ended.Sub(a.sent).Seconds(), a.err)
		}
	}
	rec.say("%d requests answered; %d were read, passed on and run, and their connections ended without an answer", answered, lost)
	if answered+lost == 0 {
		return false, fmt.Errorf("no request was read")
	}
	return lost > 0, nil
}

// endAfterGrace kills the process if it outlives its grace time, and starts it again after a short delay.
func (f *fleet) endAfterGrace(v *vm, stopped time.Time) {
	select {
	case <-v.exited:
	case <-time.After(time.Until(stopped.Add(graceS * time.Second))):
		f.rec.add("VM %s is still there at the end of its grace time", v.id)
		_ = v.cmd.Process.Kill()
		<-v.exited
	}
	f.rec.add("VM %s has ended %.2f s after the SIGTERM", v.id, time.Since(stopped).Seconds())
	time.Sleep(restartAfter)
	if err := f.start(v); err != nil {
		f.rec.add("VM %s does not start: %v", v.id, err)
	}
}
