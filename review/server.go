package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Stand-in of a backend server, as PROTOCOL.md and the news page say.

const heartbeat = 1500 * time.Millisecond

// arrival is a request that reached a server.
type arrival struct {
	at time.Time
	id string
}

type server struct {
	id, service, zone string
	slots, queue      int
	work              func() time.Duration
	store             *store
	addr              string
	srv               *http.Server

	mu       sync.Mutex
	limit    string // Server-Limit; "" for none
	named    time.Time
	arrivals []arrival
	waiting  int
	running  chan struct{}
	seq      int
	state    string
	born     int64
	stop     chan struct{}
}

// startServer listens on a free loopback port and registers the server.
func startServer(st *store, id, service, zone string, slots int, work func() time.Duration) (*server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{id: id, service: service, zone: zone, slots: slots, queue: 24, work: work, store: st, addr: l.Addr().String(),
		running: make(chan struct{}, slots), born: time.Now().UnixMilli(), stop: make(chan struct{}), state: "ready"}
	s.srv = &http.Server{Handler: s, IdleTimeout: 10 * time.Second}
	go func() { _ = s.srv.Serve(l) }()
	s.beat()
	go func() {
		for {
			select {
			case <-s.stop:
				return
			case <-time.After(heartbeat):
				s.beat()
			}
		}
	}()
	return s, nil
}

func (s *server) beat() {
	s.mu.Lock()
	s.seq++
	seq, state := s.seq, s.state
	s.mu.Unlock()
	s.store.put("keyed.servers", s.id, fmt.Appendf(nil,
		`{"address":%q,"born":%d,"info":{"service":%q,"zone":%q,"version":"v1","slots":%d},"status":{"state":%q,"seq":%d,"warmupLeftS":0}}`,
		s.addr, s.born, s.service, s.zone, s.slots, state, seq))
}

// setLimit makes the server name a limit in its answers from now on.
func (s *server) setLimit(limit string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = limit
	if s.named.IsZero() {
		s.named = time.Now()
	}
}

// drain makes the server report that it is draining, and returns when the store has accepted that.
func (s *server) drain() time.Time {
	s.mu.Lock()
	s.state = "draining"
	s.mu.Unlock()
	s.beat()
	return time.Now()
}

func (s *server) close() {
	close(s.stop)
	_ = s.srv.Close()
}

// ServeHTTP runs one request.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	at := time.Now()
	id := r.Header.Get("Attempt-Id")
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("Attempt-Id", id)
	if r.URL.Path == "/healthz" {
		w.Header().Set("Instance-Id", s.id)
		return
	}
	s.mu.Lock()
	s.arrivals = append(s.arrivals, arrival{at, id})
	limit := s.limit
	full := s.waiting >= s.queue && len(s.running) >= s.slots
	if !full {
		s.waiting++
	}
	s.mu.Unlock()
	note(s.id, "arrived id=%s", id)
	answer := func(status int, notExecuted bool) {
		s.mu.Lock()
		limit = s.limit
		s.mu.Unlock()
		if limit != "" {
			w.Header().Set("Server-Limit", limit)
		}
		if notExecuted {
			w.Header().Set("Not-Executed", "1")
		} else {
			w.Header().Set("Server-Signature", s.id+"."+id)
		}
		w.WriteHeader(status)
		note(s.id, "answered id=%s status=%d limit=%q", id, status, limit)
	}
	if target := r.Header.Get("Target-Instance"); target != "" && target != s.id {
		s.leaveQueue(full)
		answer(http.StatusMisdirectedRequest, true)
		return
	}
	if id == "" {
		s.leaveQueue(full)
		answer(http.StatusBadRequest, true)
		return
	}
	if full {
		answer(http.StatusServiceUnavailable, true)
		return
	}
	allowed := time.Hour
	if ms, err := strconv.Atoi(r.Header.Get("Deadline-Ms")); err == nil {
		allowed = time.Duration(ms) * time.Millisecond
	}
	deadline := time.After(allowed)
	select {
	case s.running <- struct{}{}:
		s.leaveQueue(full)
	case <-deadline:
		s.leaveQueue(full)
		answer(http.StatusServiceUnavailable, true)
		return
	case <-r.Context().Done():
		s.leaveQueue(full)
		return
	}
	defer func() { <-s.running }()
	note(s.id, "runs id=%s", id)
	select {
	case <-time.After(s.work()):
	case <-deadline:
		answer(http.StatusGatewayTimeout, false)
		return
	case <-r.Context().Done():
		note(s.id, "dropped id=%s", id)
		return
	}
	answer(http.StatusOK, false)
	_, _ = io.WriteString(w, "done by "+s.id+" for "+id)
}

func (s *server) leaveQueue(full bool) {
	if full {
		return
	}
	s.mu.Lock()
	s.waiting--
	s.mu.Unlock()
}

func (s *server) arrived() []arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]arrival(nil), s.arrivals...)
}
