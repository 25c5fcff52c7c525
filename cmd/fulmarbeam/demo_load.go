package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// demoHost is the Host header of requests with an idempotency key, so that requests to
// different VMs have the same host.
const demoHost = "tickets.example"

// demoResponse holds the parts of a response that the demo evaluates.
type demoResponse struct {
	status   int
	outcome  string
	replayed bool
}

func send(ctx context.Context, addr, method, path, key string) (demoResponse, error) {
	var body io.Reader
	if method == http.MethodPost {
		body = strings.NewReader(`{"seats":2}`)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, body)
	if err != nil {
		return demoResponse{}, err
	}
	if key != "" {
		req.Host = demoHost
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return demoResponse{}, err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return demoResponse{}, err
	}
	return demoResponse{
		status: resp.StatusCode, outcome: resp.Header.Get("Fulmar-Outcome"),
		replayed: resp.Header.Get("Idempotent-Replayed") == "true",
	}, nil
}

// demoLoad sends requests at a fixed rate, one booking per three menu requests.
type demoLoad struct {
	addrs []string
	sent  atomic.Uint64

	mu     sync.Mutex
	counts map[string]int
}

func newDemoLoad(addrs []string) *demoLoad {
	return &demoLoad{addrs: addrs, counts: make(map[string]int)}
}

// run sends requests for the duration d and waits for the responses.
func (l *demoLoad) run(ctx context.Context, d time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	ticker := time.NewTicker(time.Second / demoRate)
	defer ticker.Stop()
	var wg sync.WaitGroup
	for {
		select {
		case <-ctx.Done():
			wg.Wait()
			return
		case <-ticker.C:
		}
		n := l.sent.Add(1)
		wg.Add(1)
		go func() {
			defer wg.Done()
			l.sendOne(context.WithoutCancel(ctx), n)
		}()
	}
}

func (l *demoLoad) sendOne(ctx context.Context, n uint64) {
	const bookingEvery = 4
	addr := l.addrs[n%uint64(len(l.addrs))]
	method, path, key := http.MethodGet, "/menu", ""
	if n%bookingEvery == 0 {
		method, path, key = http.MethodPost, "/book", fmt.Sprintf("load-%d", n)
	}
	resp, err := send(ctx, addr, method, path, key)
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err != nil:
		l.counts["no response"]++
	case resp.outcome != "":
		l.counts[resp.outcome]++
	case resp.status >= http.StatusInternalServerError:
		l.counts["server error passed on"]++
	default:
		l.counts["answered"]++
	}
}

// takeSummary returns a summary of the counts and resets them.
func (l *demoLoad) takeSummary() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var parts []string
	for name, n := range l.counts {
		parts = append(parts, fmt.Sprintf("%d %s", n, name))
	}
	sort.Strings(parts)
	l.counts = make(map[string]int)
	return strings.Join(parts, ", ")
}
