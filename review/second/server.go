package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// backend is a stand-in of a backend server.
type backend struct {
	id, service, zone string
	rec               *record
	store             *store
	l                 net.Listener
	slots             chan struct{}
	waiting           atomic.Int64
	work              time.Duration
	seq               atomic.Int64
	born              int64
	// fails chooses requests that this server runs and then answers with a failure of its own; nil for none.
	fails func(id string) (status int, ok bool)

	runs *runs
}

const (
	slotsPerServer = 6
	queuePerServer = 24
)

// run is one request that a server began to work on.
type run struct {
	id, service, server, method, path string
	at                                time.Time
}

// runs collects what all servers ran.
type runs struct {
	mu  sync.Mutex
	all []run
}

func (r *runs) add(x run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = append(r.all, x)
}

func (r *runs) byID() map[string][]run {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[string][]run{}
	for _, x := range r.all {
		out[x.id] = append(out[x.id], x)
	}
	return out
}

func startBackend(rec *record, st *store, rs *runs, id, service, zone string, work time.Duration) (*backend, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &backend{id: id, service: service, zone: zone, rec: rec, store: st, l: l, work: work, runs: rs,
		slots: make(chan struct{}, slotsPerServer), born: time.Now().UnixMilli()}
	go http.Serve(l, b)
	b.register()
	go b.watchStore()
	return b, nil
}

// register writes this server's entry.
func (b *backend) register() bool {
	return b.store.put(srvTopic, b.id, fmt.Appendf(nil,
		`{"address":%q,"born":%d,"info":{"service":%q,"version":"v1","zone":%q,"slots":%d},"status":{"state":"ready","seq":%d,"warmupLeftS":0}}`,
		b.l.Addr(), b.born, b.service, b.zone, slotsPerServer, b.seq.Add(1)))
}

// watchStore writes the entry again in each new era of the store.
func (b *backend) watchStore() {
	for era := b.store.currentEra(); ; time.Sleep(100 * time.Millisecond) {
		if now := b.store.currentEra(); now != era && b.register() {
			era = now
		}
	}
}

func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	h := w.Header()
	h.Set("Attempt-Id", id)
	h.Set("Instance-Id", b.id)
	if target := r.Header.Get("Target-Instance"); target != "" && target != b.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if b.waiting.Add(1) > slotsPerServer+queuePerServer {
		b.waiting.Add(-1)
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer b.waiting.Add(-1)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	select {
	case b.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-b.slots }()
	b.runs.add(run{id, b.service, b.id, r.Method, r.URL.Path, time.Now()})
	b.rec.add("server %s (%s) runs %s %s %s", b.id, b.service, id, r.Method, r.URL.Path)
	time.Sleep(b.work)
	h.Set("Server-Signature", fmt.Sprintf("%s.%s", b.id, id))
	if b.fails != nil {
		if status, ok := b.fails(id); ok {
			b.rec.add("server %s answers %s with its own %d", b.id, id, status)
			w.WriteHeader(status)
			return
		}
	}
	fmt.Fprintf(w, "%s ran %s with %d bytes", b.id, id, len(body))
}
