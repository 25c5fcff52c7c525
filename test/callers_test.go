package test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"github.com/fulmarbeam/fulmarbeam/pkg/result"
	"github.com/fulmarbeam/fulmarbeam/pkg/standin"
)

// giveUp is when a caller stops waiting for a VM, which may be stopped. It is longer
// than every deadline of the test document.
const giveUp = 7 * time.Second

// attempt is one request in the callers' ledger.
type attempt struct {
	id, key, vm string
	digest      string // that the server must have seen and that its answer holds
	status      int
	outcome     result.Outcome // from the fleet; empty for a server's answer
	code, body  string
	err         error
}

// answered reports whether the caller got a server's answer.
func (a attempt) answered() bool { return a.err == nil && a.outcome == "" }

// cut reports that the caller got no whole answer although its connection was taken.
func (a attempt) cut() bool {
	var op *net.OpError
	return a.err != nil && !(errors.As(a.err, &op) && op.Op == "dial")
}

// callers send requests and keep a ledger of what they were told.
type callers struct {
	client *http.Client

	mu       sync.Mutex
	seq      int
	attempts []attempt
}

func newCallers(t *testing.T) *callers {
	tr := &http.Transport{MaxIdleConnsPerHost: 64}
	t.Cleanup(tr.CloseIdleConnections)
	return &callers{client: &http.Client{Transport: tr, Timeout: giveUp}}
}

func (c *callers) next() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seq++
	return fmt.Sprintf("c-%d", c.seq)
}

// keys returns new idempotency keys.
func (c *callers) keys(n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = "key-" + c.next()
	}
	return out
}

// book sends a booking. Each repeat of a key is the same request with its own id.
func (c *callers) book(v *vm, key string) attempt {
	return c.send(v, attempt{id: c.next(), key: key, vm: v.id}, http.MethodPost, "/book?for="+key, "order "+key)
}

// menu sends an idempotent look-up.
func (c *callers) menu(v *vm) attempt {
	id := c.next()
	return c.send(v, attempt{id: id, vm: v.id}, http.MethodGet, "/menu?for="+id, "")
}

// report sends an idempotent request whose work takes a time.
func (c *callers) report(v *vm, work time.Duration) attempt {
	return c.send(v, attempt{id: c.next(), vm: v.id}, http.MethodGet, "/report?work="+work.String(), "")
}

func (c *callers) send(v *vm, a attempt, method, path, body string) attempt {
	a.digest = standin.Digest(method, path, []byte(body))
	req, err := http.NewRequest(method, "http://"+v.callers+path, strings.NewReader(body))
	if err == nil {
		// The client must not repeat a booking on its own: the ledger would not show it.
		req.GetBody = nil
		req.Host = "tickets.example"
		req.Header.Set("X-Request-Id", a.id)
		if a.key != "" {
			req.Header.Set("Idempotency-Key", a.key)
		}
		var resp *http.Response
		if resp, err = c.client.Do(req); err == nil {
			var data []byte
			data, err = io.ReadAll(resp.Body)
			resp.Body.Close()
			a.status, a.body = resp.StatusCode, string(data)
			a.outcome, a.code = result.Outcome(resp.Header.Get("Fulmar-Outcome")), resp.Header.Get("Fulmar-Code")
		}
	}
	a.err = err
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attempts = append(c.attempts, a)
	return a
}

// bookAll sends every booking through all VMs, everything at once.
func (c *callers) bookAll(vms []*vm, keys []string) {
	var wg sync.WaitGroup
	for _, key := range keys {
		for _, v := range vms {
			wg.Add(1)
			go func() {
				defer wg.Done()
				c.book(v, key)
			}()
		}
	}
	wg.Wait()
}

// load sends bookings and look-ups through the VMs that vms returns until stop is
// called. A booking that is not answered is repeated through other VMs, and a part of
// the bookings goes through two VMs at once.
func (c *callers) load(t *testing.T, vms func() []*vm, workers int) (stop func()) {
	stops := make([]func(), workers)
	for w := range workers {
		rng := rand.New(rand.NewPCG(uint64(w), 7))
		stops[w] = background(t, time.Millisecond, func() { c.one(vms, rng) })
	}
	return func() {
		for _, stop := range stops {
			stop()
		}
	}
}

func (c *callers) one(vms func() []*vm, rng *rand.Rand) {
	const repeats = 3
	pick := func() *vm { all := vms(); return all[rng.IntN(len(all))] }
	switch keys := c.keys(1); rng.IntN(4) {
	case 0:
		c.menu(pick())
	case 1:
		c.bookAll([]*vm{pick(), pick()}, keys)
	default:
		for n := 0; n < repeats && !c.book(pick(), keys[0]).answered(); n++ {
		}
	}
	time.Sleep(time.Duration(rng.IntN(10)) * time.Millisecond)
}

func (c *callers) ledger() []attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.attempts)
}

// having returns the attempts that satisfy a condition.
func (c *callers) having(cond func(attempt) bool) []attempt {
	return slices.DeleteFunc(c.ledger(), func(a attempt) bool { return !cond(a) })
}

// verify compares the callers' ledger with the servers': no key ran twice, nothing
// that a caller was told not to have run ran, and each answer is whole, the caller's
// own, and of a run.
func verify(t *testing.T, f *testFleet, c *callers) {
	t.Helper()
	runs, byKey, told := make(map[string]int), make(map[string]int), make(map[string]int)
	for _, e := range f.ledger() {
		runs[e.Request()]++
		if e.Key != "" {
			byKey[e.Key]++
		}
	}
	for key, n := range byKey {
		if n > 1 {
			t.Errorf("key %s ran %d times: %+v", key, n, c.having(func(a attempt) bool { return a.key == key }))
		}
	}
	for _, a := range c.ledger() {
		switch {
		case a.outcome == result.OutcomeNotRun && runs[a.id] > 0:
			t.Errorf("told not-run, but ran: %+v", a)
		case a.answered() && a.status == http.StatusOK && a.body != a.digest:
			t.Errorf("wrong or incomplete answer: %+v", a)
		case a.answered() && a.key != "" && byKey[a.key] == 0:
			t.Errorf("answered without a run: %+v", a)
		}
		told[fmt.Sprintf("%s %s, failed %t", a.outcome, a.code, a.err != nil)]++
	}
	t.Logf("callers were told %v; servers ran %d bookings", told, len(byKey))
	require.NotEmpty(t, byKey, "no booking ran, so nothing was tested")
}

// awaitBookings waits until every running VM gets new bookings answered.
func (f *testFleet) awaitBookings(c *callers) {
	f.t.Helper()
	for _, v := range f.running() {
		eventually(f.t, "bookings through "+v.id+" are answered", func() bool {
			return !slices.ContainsFunc(c.keys(keySlices), func(key string) bool { return !c.book(v, key).answered() })
		})
	}
}
