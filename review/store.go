package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Stand-in of the platform's store: keyed topics with reads, newest records and appends, as PROTOCOL.md says.

type storeRecord struct {
	key   string
	value []byte
}

type storeTopic struct {
	records []storeRecord
	newest  map[string]int // offset of the newest record of each key that has a value
}

// store is the state of the platform's store.
type store struct {
	mu      sync.Mutex
	changed chan struct{}
	topics  map[string]*storeTopic
	// fault returns a status to answer with instead of executing the call, or 0.
	fault func(r *http.Request) int
}

func newStore() *store {
	return &store{changed: make(chan struct{}), topics: map[string]*storeTopic{}}
}

func (s *store) setFault(f func(r *http.Request) int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

func (s *store) topic(name string) *storeTopic {
	t := s.topics[name]
	if t == nil {
		t = &storeTopic{newest: map[string]int{}}
		s.topics[name] = t
	}
	return t
}

// put appends a record; an empty value drops the key.
func (s *store) put(name, key string, value []byte) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	offset := len(t.records)
	t.records = append(t.records, storeRecord{key, value})
	if len(value) == 0 {
		delete(t.newest, key)
	} else {
		t.newest[key] = offset
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return offset
}

// listen serves the store on a free loopback port.
func (s *store) listen() (addr string, stop func(), err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	srv := &http.Server{Handler: s}
	go func() { _ = srv.Serve(l) }()
	return l.Addr().String(), func() { _ = srv.Close() }, nil
}

// ServeHTTP serves one call.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	fault := s.fault
	s.mu.Unlock()
	if fault != nil {
		if status := fault(r); status != 0 {
			note("store", "%s %s topic=%s -> %d", r.Method, r.URL.Path, r.URL.Query().Get("topic"), status)
			w.WriteHeader(status)
			return
		}
	}
	switch r.URL.Path {
	case "/api/log-append":
		s.append(w, r)
	case "/api/log-read":
		s.read(w, r)
	case "/api/log-newest":
		s.newestRecords(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	name := r.URL.Query().Get("topic")
	switch {
	case err != nil || len(body) < 6 || !strings.HasPrefix(name, "keyed."):
		w.WriteHeader(http.StatusBadRequest)
		return
	case name == "keyed.op" || name == "keyed.servers":
		w.WriteHeader(http.StatusForbidden)
		return
	}
	size := int(binary.BigEndian.Uint32(body))
	content := body[4:]
	if size != len(content) || 1+int(content[0]) > size {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	key, value := string(content[1:1+content[0]]), content[1+content[0]:]
	offset := s.put(name, key, value)
	note("store", "append topic=%s key=%s value=%s", name, key, value)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]int{"offset": offset, "end": offset + 1})
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, err := strconv.Atoi(q.Get("from"))
	if err != nil || from < 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		t, changed := s.topic(q.Get("topic")), s.changed
		if from < len(t.records) || wait == 0 {
			out := binary.BigEndian.AppendUint64(nil, uint64(len(t.records)))
			out = binary.BigEndian.AppendUint64(out, 0)
			for _, rec := range t.records[min(from, len(t.records)):] {
				out = binary.BigEndian.AppendUint32(out, uint32(1+len(rec.key)+len(rec.value)))
				out = append(out, byte(len(rec.key)))
				out = append(out, rec.key...)
				out = append(out, rec.value...)
			}
			s.mu.Unlock()
			_, _ = w.Write(out)
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) newestRecords(w http.ResponseWriter, r *http.Request) {
	const page = 500
	s.mu.Lock()
	t := s.topic(r.URL.Query().Get("topic"))
	var keys []string
	for key := range t.newest {
		if key > r.URL.Query().Get("after") {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	items := []item{}
	for _, key := range keys[:min(len(keys), page)] {
		at := t.newest[key]
		items = append(items, item{key, base64.StdEncoding.EncodeToString(t.records[at].value), at})
	}
	out := map[string]any{"items": items, "more": len(keys) > page, "end": len(t.records)}
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(out)
}
