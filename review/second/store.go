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
	"sync"
	"time"
)

// store is a stand-in of the platform's store: the keyed topics, waiting reads, and a restore from a copy.
type store struct {
	rec *record
	l   net.Listener

	mu      sync.Mutex
	changed chan struct{} // closed and replaced when something changes
	topics  map[string][]logRecord
	era     int
	away    bool
}

type logRecord struct {
	key   string
	value []byte // empty: the key is dropped
}

const (
	pageItems = 500
	opTopic   = "keyed.op"
	srvTopic  = "keyed.servers"
)

func startStore(rec *record) (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{rec: rec, l: l, changed: make(chan struct{}), topics: map[string][]logRecord{}, era: 1}
	go http.Serve(l, s)
	return s, nil
}

func (s *store) address() string { return s.l.Addr().String() }

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put appends a record and reports whether the store took it.
func (s *store) put(topic, key string, value []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return false
	}
	s.topics[topic] = append(s.topics[topic], logRecord{key, value})
	s.wake()
	return true
}

func (s *store) end(topic string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.topics[topic])
}

// backup returns a copy of all topics.
func (s *store) backup() map[string][]logRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string][]logRecord{}
	for name, records := range s.topics {
		out[name] = append([]logRecord(nil), records...)
	}
	return out
}

// goAway makes the store answer every call with 503 until restore is called.
func (s *store) goAway() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	s.wake()
}

// restore brings the store back from a copy, in a new era.
func (s *store) restore(backup map[string][]logRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics, s.away = backup, false
	s.era++
	s.wake()
}

func (s *store) currentEra() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	w.Header().Set("Store-Era", strconv.Itoa(s.era))
	away := s.away
	s.mu.Unlock()
	if away {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch r.URL.Path {
	case "/api/log-read":
		s.read(w, r)
	case "/api/log-newest":
		s.newest(w, r)
	case "/api/log-append":
		s.append(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	topic := q.Get("topic")
	from, err := strconv.Atoi(q.Get("from"))
	if err != nil || from < 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	waitMS, _ := strconv.Atoi(q.Get("waitMs"))
	timeout := time.After(time.Duration(waitMS) * time.Millisecond)
	for {
		s.mu.Lock()
		records, changed, away, era := s.topics[topic], s.changed, s.away, s.era
		s.mu.Unlock()
		w.Header().Set("Store-Era", strconv.Itoa(era))
		if away {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if from > len(records) {
			if topic == opTopic {
				s.rec.add("store: read of %s from %d is answered 410, the end is %d", topic, from, len(records))
			}
			w.WriteHeader(http.StatusGone)
			_ = json.NewEncoder(w).Encode(map[string]int{"first": 0})
			return
		}
		if from < len(records) || waitMS == 0 {
			w.Write(encodeRecords(records, from))
			return
		}
		select {
		case <-changed:
		case <-timeout:
			waitMS = 0
		case <-r.Context().Done():
			return
		}
	}
}

func encodeRecords(records []logRecord, from int) []byte {
	out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	out = binary.BigEndian.AppendUint64(out, 0)
	for _, rec := range records[from:] {
		out = binary.BigEndian.AppendUint32(out, uint32(1+len(rec.key)+len(rec.value)))
		out = append(out, byte(len(rec.key)))
		out = append(out, rec.key...)
		out = append(out, rec.value...)
	}
	return out
}

func (s *store) newest(w http.ResponseWriter, r *http.Request) {
	topic, after := r.URL.Query().Get("topic"), r.URL.Query().Get("after")
	s.mu.Lock()
	records := s.topics[topic]
	s.mu.Unlock()
	offsets := map[string]int{}
	for i, rec := range records {
		if len(rec.value) == 0 {
			delete(offsets, rec.key)
		} else {
			offsets[rec.key] = i
		}
	}
	var keys []string
	for key := range offsets {
		if key > after {
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
	for _, key := range keys[:min(len(keys), pageItems)] {
		items = append(items, item{key, base64.StdEncoding.EncodeToString(records[offsets[key]].value), offsets[key]})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "more": len(keys) > pageItems, "end": len(records)})
}

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	topic := r.URL.Query().Get("topic")
	if topic == opTopic || topic == srvTopic {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil || len(body) < 5 || len(body) < 5+int(body[4]) {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	key := 5 + int(body[4])
	if !s.put(topic, string(body[5:key]), body[key:]) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	end := s.end(topic)
	_ = json.NewEncoder(w).Encode(map[string]int{"offset": end - 1, "end": end})
}
