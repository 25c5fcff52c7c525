package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// answered is what a client got for one attempt.
type answered struct {
	at      time.Time
	machine string
	id      string
	status  int    // 0: no answer
	server  string // by the Server-Signature, or ""
	limit   string // Server-Limit
}

// clients sends requests to the machines and keeps what was answered.
type clients struct {
	f       *fleet
	mu      sync.Mutex
	answers []answered
	via     map[string]string // machine by Attempt-Id
	next    atomic.Int64
	wg      sync.WaitGroup
	stopped atomic.Bool
	served  atomic.Int64
	sent    atomic.Int64
}

func newClients(f *fleet) *clients { return &clients{f: f, via: map[string]string{}} }

// load sends perS requests a second at random times until the clients are stopped. The platform's part of choosing a
// machine is done here: targets returns the machines in rotation.
func (c *clients) load(perS float64, method, path string, limit time.Duration, retries int, targets func() []*machine) {
	c.wg.Add(1)
	go func() {
		defer c.wg.Done()
		for !c.stopped.Load() {
			time.Sleep(time.Duration(rand.ExpFloat64() / perS * float64(time.Second)))
			c.wg.Add(1)
			go func() {
				defer c.wg.Done()
				c.request(method, path, limit, retries, targets)
			}()
		}
	}()
}

// request sends one request with the client's retries: after a promise, as long as Retry-After says, up to one third of
// the time left, on another machine and a new connection.
func (c *clients) request(method, path string, limit time.Duration, retries int, targets func() []*machine) {
	c.sent.Add(1)
	end := time.Now().Add(limit)
	at := rand.IntN(1 << 20)
	for try := 0; ; try++ {
		list := targets()
		if len(list) == 0 || c.stopped.Load() {
			return
		}
		m := list[(at+try)%len(list)]
		status, retryAfter := c.attempt(m, method, path, time.Until(end))
		if status >= 200 && status < 300 {
			c.served.Add(1)
			return
		}
		if status != 429 && status != 503 || try >= retries {
			return
		}
		wait := min(retryAfter, time.Until(end)/3)
		if wait <= 0 {
			wait = 50 * time.Millisecond
		}
		time.Sleep(wait)
		if time.Until(end) < 50*time.Millisecond {
			return
		}
	}
}

func (c *clients) attempt(m *machine, method, path string, left time.Duration) (status int, retryAfter time.Duration) {
	id := fmt.Sprintf("%08x%08x", rand.Uint32(), c.next.Add(1))
	c.mu.Lock()
	c.via[id] = m.name
	c.mu.Unlock()
	var body io.Reader
	if method != http.MethodGet {
		body = strings.NewReader(strings.Repeat("x", 300))
	}
	req, err := http.NewRequest(method, "http://"+c.f.ingress(m)+path, body)
	if err != nil {
		return 0, 0
	}
	req.Host = host
	req.Header.Set("Attempt-Id", id)
	req.Header.Set("Deadline-Ms", strconv.FormatInt(left.Milliseconds(), 10))
	client := http.Client{Timeout: left, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	note("client", "sends id=%s to %s %s %s", id, m.name, method, path)
	resp, err := client.Do(req)
	a := answered{machine: m.name, id: id}
	if err == nil {
		_, err = io.ReadAll(resp.Body)
		resp.Body.Close()
	}
	a.at = time.Now()
	if err == nil {
		a.status, a.limit = resp.StatusCode, resp.Header.Get("Server-Limit")
		a.server, _, _ = strings.Cut(resp.Header.Get("Server-Signature"), ".")
		if s, e := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); e == nil {
			retryAfter = time.Duration(s * float64(time.Second))
		}
	}
	note("client", "got id=%s from %s status=%d server=%s limit=%q retry_after=%s", id, m.name, a.status, a.server, a.limit, retryAfter)
	c.mu.Lock()
	c.answers = append(c.answers, a)
	c.mu.Unlock()
	return a.status, retryAfter
}

func (c *clients) stop() {
	c.stopped.Store(true)
	c.wg.Wait()
}
