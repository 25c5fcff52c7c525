package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Sizes of the requests and answers of the cases with long bodies.
const (
	longBody   = 16 << 20 // of a request; the configuration allows 64 MB
	answerSize = 4000
	firstPart  = 1000
)

// earlyServer answers long requests before it has read their bodies, keeps the connection and reads on later.
type earlyServer struct {
	id, addr string
	l        net.Listener
	slow     atomic.Bool
	// answer writes the answer to the request with the id.
	answer func(s *earlyServer, c *net.TCPConn, id string)

	mu       sync.Mutex
	runs     map[string]time.Time // start of the run, by Attempt-Id
	finished map[string]time.Time // when the whole answer was written
}

func startEarlyServer(st *store, id string, answer func(s *earlyServer, c *net.TCPConn, id string)) (*earlyServer, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &earlyServer{id: id, addr: l.Addr().String(), l: l, answer: answer, runs: map[string]time.Time{}, finished: map[string]time.Time{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c.(*net.TCPConn))
		}
	}()
	born := time.Now().UnixMilli()
	go func() {
		for seq := 1; ; seq++ {
			st.put("keyed.servers", s.id, fmt.Appendf(nil,
				`{"address":%q,"born":%d,"info":{"service":"yard","zone":"east-a","version":"v1","slots":6},"status":{"state":"ready","seq":%d,"warmupLeftS":0}}`,
				s.addr, born, seq))
			time.Sleep(heartbeat)
		}
	}()
	return s, nil
}

func (s *earlyServer) serve(c *net.TCPConn) {
	defer c.Close()
	in := bufio.NewReaderSize(c, 4<<10)
	r, err := http.ReadRequest(in)
	if err != nil {
		return
	}
	id := r.Header.Get("Attempt-Id")
	s.mu.Lock()
	s.runs[id] = time.Now()
	s.mu.Unlock()
	note(s.id, "runs id=%s", id)
	s.answer(s, c, id)
	s.mu.Lock()
	s.finished[id] = time.Now()
	s.mu.Unlock()
	note(s.id, "wrote the answer id=%s", id)
	n, err := io.Copy(io.Discard, r.Body)
	note(s.id, "read on id=%s: %d bytes, %v", id, n, err)
}

// work returns the time of one run: around 250 ms, eight times as long at a slow server.
func (s *earlyServer) work() time.Duration {
	d := time.Duration(200+rand.IntN(100)) * time.Millisecond
	if s.slow.Load() {
		d *= 8
	}
	return d
}

func (s *earlyServer) head(id string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Signature: %s.%s\r\n", id, s.id, id)
}

// upload sends one request with a long body and returns the status, the bytes of the answer and the error.
func upload(client *http.Client, f *fleet, m *machine, id string) (status, n int, err error) {
	req, err := http.NewRequest(http.MethodPut, "http://"+f.ingress(m)+"/book/1", strings.NewReader(strings.Repeat("x", longBody)))
	if err != nil {
		return 0, 0, err
	}
	req.Host = host
	req.Header.Set("Attempt-Id", id)
	req.Header.Set("Deadline-Ms", "8000")
	note("client", "sends id=%s to %s", id, m.name)
	resp, err := client.Do(req)
	if err != nil {
		note("client", "id=%s no answer: %v", id, err)
		return 0, 0, err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	note("client", "id=%s status=%d bytes=%d length=%d err=%v", id, resp.StatusCode, len(b), resp.ContentLength, err)
	return resp.StatusCode, len(b), err
}

// earlyFleet starts one machine and servers that answer early.
func earlyFleet(p *play, servers int, answer func(s *earlyServer, c *net.TCPConn, id string)) (f *fleet, list []*earlyServer, stop func(), err error) {
	st := newStore()
	addr, stopStore, err := st.listen()
	if err != nil {
		return nil, nil, nil, err
	}
	if f, err = newFleet(p.root, p.dir, addr, map[string]string{"east-a": "east"}, 2); err != nil {
		return nil, nil, nil, err
	}
	stop = func() { f.stop(); stopStore() }
	for i := range servers {
		s, err := startEarlyServer(st, fmt.Sprintf("i-yard-%d", i+1), answer)
		if err != nil {
			stop()
			return nil, nil, nil, err
		}
		list = append(list, s)
	}
	st.put("keyed.op", "config", configuration(1, []string{"yard"}, []route{{"book", "/book/", "unsafe", "yard", 4, 1.2, 2, 1}}))
	for _, name := range []string{"edge-east-a-1", "edge-east-a-2"} {
		if err := f.start(f.add(name, "east-a")); err != nil {
			stop()
			return nil, nil, nil, err
		}
	}
	if err := f.waitReady(20 * time.Second); err != nil {
		stop()
		return nil, nil, nil, err
	}
	return f, list, stop, nil
}

// slowTime is how long servers are slow; the days of the site have 9 s at most.
const slowTime = 9 * time.Second

// earlyAnswer: servers answer without a length, before they have read a long body. Two of five turn slow.
func earlyAnswer(p *play) (bool, error) {
	body := strings.Repeat("b", answerSize)
	f, servers, stop, err := earlyFleet(p, 5, func(s *earlyServer, c *net.TCPConn, id string) {
		time.Sleep(30 * time.Millisecond)
		_, _ = io.WriteString(c, s.head(id)+"Connection: close\r\n\r\n"+body[:firstPart])
		time.Sleep(s.work())
		_, _ = io.WriteString(c, body[firstPart:])
		_ = c.CloseWrite()
	})
	if err != nil {
		return false, err
	}
	defer stop()
	var wg sync.WaitGroup
	var sent, whole, part, other atomic.Int64
	end := time.Now().Add(20 * time.Second)
	for w := range 6 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			client := &http.Client{Timeout: 8 * time.Second, Transport: &http.Transport{DisableCompression: true}}
			for i := 0; time.Now().Before(end); i++ {
				id := fmt.Sprintf("%04x%012x", w, i)
				sent.Add(1)
				switch status, n, err := upload(client, f, f.machines[w%2], id); {
				case err == nil && status == http.StatusOK && n == answerSize:
					whole.Add(1)
				case err == nil && status == http.StatusOK:
					part.Add(1)
					say("id=%s: 200 with %d of %d bytes, as if complete", id, n, answerSize)
				default:
					other.Add(1)
				}
			}
		}()
	}
	time.Sleep(4 * time.Second)
	if p.trouble {
		servers[0].slow.Store(true)
		servers[1].slow.Store(true)
		say("%s and %s turn slow at %.3f", servers[0].id, servers[1].id, since(time.Now()))
		time.Sleep(slowTime)
		servers[0].slow.Store(false)
		servers[1].slow.Store(false)
		note("script", "the slow servers are well again")
	}
	wg.Wait()
	say("%d requests: %d with the whole answer, %d with a part that looks complete, %d others", sent.Load(), whole.Load(), part.Load(), other.Load())
	if whole.Load() == 0 {
		return false, errNotServed
	}
	return part.Load() > 0, nil
}

// earlyStop: a machine gets SIGTERM while servers are at work on requests whose bodies they read later.
func earlyStop(p *play) (bool, error) {
	body := strings.Repeat("b", answerSize)
	f, servers, stop, err := earlyFleet(p, 3, func(s *earlyServer, c *net.TCPConn, id string) {
		time.Sleep(2200 * time.Millisecond)
		_, _ = io.WriteString(c, s.head(id)+fmt.Sprintf("Content-Length: %d\r\n\r\n", answerSize)+body)
	})
	if err != nil {
		return false, err
	}
	defer stop()
	m := f.machines[0]
	type sentRequest struct {
		id     string
		at     time.Time
		status int
		done   time.Time
	}
	var mu sync.Mutex
	var all []sentRequest
	var wg sync.WaitGroup
	one := func(w, i int, client *http.Client) {
		id := fmt.Sprintf("%04x%012x", w, i)
		at := time.Now()
		status, _, _ := upload(client, f, m, id)
		mu.Lock()
		all = append(all, sentRequest{id, at, status, time.Now()})
		mu.Unlock()
	}
	for w := range 6 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			client := &http.Client{Timeout: 8 * time.Second, Transport: &http.Transport{DisableCompression: true}}
			time.Sleep(time.Duration(w) * 100 * time.Millisecond)
			one(w, 0, client)
		}()
	}
	time.Sleep(1200 * time.Millisecond)
	term := time.Now()
	if p.trouble {
		_ = m.proc.Process.Signal(syscallTerm)
		say("SIGTERM to %s at %.3f", m.name, since(term))
	}
	wg.Wait()
	lost := 0
	for _, r := range all {
		var run, fin time.Time
		for _, s := range servers {
			s.mu.Lock()
			if t, ok := s.runs[r.id]; ok {
				run, fin = t, s.finished[r.id]
			}
			s.mu.Unlock()
		}
		atWork := !run.IsZero() && run.Before(r.done) && (fin.IsZero() || fin.After(r.done))
		say("id=%s sent %.3f status %d at %.3f, server at work then: %v", r.id, since(r.at), r.status, since(r.done), atWork)
		if p.trouble && r.done.After(term) && r.status != http.StatusOK && atWork {
			lost++
		}
	}
	say("%d requests were broken off after the SIGTERM while their server was at work", lost)
	return lost > 0, nil
}
