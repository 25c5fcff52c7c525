package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Sizes of this case. The clients stay inside maxHeaderBytes of the configuration (16,384 bytes), and one VM may have
// 4,100 descriptors.
const (
	headerBytes   = 15500
	crowd         = 1000
	waves         = 3
	waveInterval  = 12 * time.Second
	memoryPoll    = 20 * time.Millisecond
	restartDelay  = 500 * time.Millisecond
	ordinaryWork  = 300 * time.Millisecond
	ordinaryTries = 20
)

// oddHeader returns as many short header lines with different names as fit into n bytes.
func oddHeader(n int) string {
	const digits = "abcdefghijklmnopqrstuvwxyz0123456789"
	var b strings.Builder
	for i := 0; ; i++ {
		name := "q" + string(digits[i/len(digits)/len(digits)%len(digits)]) + string(digits[i/len(digits)%len(digits)]) + string(digits[i%len(digits)])
		if b.Len()+len(name)+len(":\r\n") > n {
			return b.String()
		}
		b.WriteString(name + ":\r\n")
	}
}

// plainHeader returns one header line of n bytes.
func plainHeader(n int) string {
	return "x-note: " + strings.Repeat("a", n-len("x-note: \r\n")) + "\r\n"
}

// memoryOf returns the resident memory of a process in MB.
func memoryOf(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb / 1024
		}
	}
	return 0
}

// watchMemory does what the platform does: it kills a process that exceeds the memory of its machine, and starts it again
// after a short delay. It returns how often that happened to each VM, and the peak.
type memoryWatch struct {
	mu    sync.Mutex
	kills map[string]int
	peak  map[string]int
}

func (m *memoryWatch) run(f *fleet, v *vm, done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(memoryPoll):
		}
		mb := memoryOf(v.cmd.Process.Pid)
		m.mu.Lock()
		m.peak[v.id] = max(m.peak[v.id], mb)
		m.mu.Unlock()
		if mb <= v.memoryMB {
			continue
		}
		f.rec.say("VM %s holds %d MB of %d: the platform kills it", v.id, mb, v.memoryMB)
		_ = v.cmd.Process.Kill()
		<-v.exited
		m.mu.Lock()
		m.kills[v.id]++
		m.mu.Unlock()
		time.Sleep(restartDelay)
		if err := f.start(v); err != nil {
			f.rec.say("VM %s does not start: %v", v.id, err)
			return
		}
	}
}

// runHeaders sends each VM crowds of requests whose headers consist of very many short lines. Without the trouble the
// headers have the same size and consist of one line.
func runHeaders(s setup) (bool, error) {
	rec := s.rec
	st, err := startStore(rec)
	if err != nil {
		return false, err
	}
	const host = "ficu95.example"
	look := routeSpec{"r-look", "/look/", "safe", "desk"}
	st.put(opTopic, "config", configuration(1, host, look))
	rs := &runs{}
	for i := range 20 {
		if _, err := startBackend(rec, st, rs, fmt.Sprintf("i-%04x", 0x7f3a+i), "desk", []string{"addis-a", "addis-b"}[i%2], ordinaryWork); err != nil {
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
	watch := &memoryWatch{kills: map[string]int{}, peak: map[string]int{}}
	done := make(chan struct{})
	var watchers sync.WaitGroup
	for _, v := range f.vms {
		watchers.Go(func() { watch.run(f, v, done) })
	}
	cl := &clients{rec: rec, host: host}
	header := plainHeader(headerBytes)
	if s.trouble {
		header = oddHeader(headerBytes)
	}
	rec.say("each client sends a header of %d bytes in %d lines", len(header), strings.Count(header, "\n"))
	for wave := range waves {
		began := time.Now()
		var crowds sync.WaitGroup
		for _, v := range f.vms {
			for range crowd {
				crowds.Go(func() { cl.send(v, "GET", "/look/2f", header, "") })
			}
		}
		crowds.Wait()
		rec.say("wave %d of %d requests to each VM has ended after %.1f s", wave+1, crowd, time.Since(began).Seconds())
		time.Sleep(time.Until(began.Add(waveInterval)))
	}
	close(done)
	watchers.Wait()
	killed := 0
	for _, v := range f.vms {
		rec.say("VM %s: ended %d times because of its memory, peak %d MB of %d", v.id, watch.kills[v.id], watch.peak[v.id], v.memoryMB)
		if watch.kills[v.id] >= 3 {
			killed++
		}
	}
	served := 0
	for _, v := range f.vms {
		for range ordinaryTries / len(f.vms) {
			if cl.send(v, "GET", "/look/2f", "", "").status == 200 {
				served++
			}
		}
	}
	rec.say("%d of %d ordinary requests afterwards are served", served, ordinaryTries)
	return killed >= 2, nil
}
