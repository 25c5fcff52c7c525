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

// clientTimeout limits a request to a VM, which may be paused. It is longer than every
// deadline in the test's configuration.
const clientTimeout = 7 * time.Second

// attempt is one request and its result in the callers' ledger.
type attempt struct {
	id, key, vm string
	digest      string // of the request; the server's response must contain it
	status      int
	outcome     result.Outcome // from the fleet; empty for a server's response
	code, body  string
	err         error
}

// gotResponse reports whether the caller received a server's response.
func (a attempt) gotResponse() bool { return a.err == nil && a.outcome == "" }

// interrupted reports whether the request failed without a complete response after the
// VM had accepted the connection.
func (a attempt) interrupted() bool {
	var opErr *net.OpError
	return a.err != nil && !(errors.As(a.err, &opErr) && opErr.Op == "dial")
}

// callers send requests and record all attempts in a ledger.
type callers struct {
	client *http.Client

	mu       sync.Mutex
	seq      int
	attempts []attempt
}

func newCallers(t *testing.T) *callers {
	tr := &http.Transport{MaxIdleConnsPerHost: 64}
	t.Cleanup(tr.CloseIdleConnections)
	return &callers{client: &http.Client{Transport: tr, Timeout: clientTimeout}}
}

func (c *callers) nextID() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seq++
	return fmt.Sprintf("c-%d", c.seq)
}

// keys returns new idempotency keys.
func (c *callers) keys(n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = "key-" + c.nextID()
	}
	return out
}

// book sends a booking. All bookings with one key are the same request with different
// request ids.
func (c *callers) book(v *vm, key string) attempt {
	return c.send(v, attempt{id: c.nextID(), key: key, vm: v.id}, http.MethodPost, "/book?for="+key, "order "+key)
}

// menu sends a short idempotent request.
func (c *callers) menu(v *vm) attempt {
	id := c.nextID()
	return c.send(v, attempt{id: id, vm: v.id}, http.MethodGet, "/menu?for="+id, "")
}

// report sends an idempotent request with a given work time.
func (c *callers) report(v *vm, work time.Duration) attempt {
	return c.send(v, attempt{id: c.nextID(), vm: v.id}, http.MethodGet, "/report?work="+work.String(), "")
}

func (c *callers) send(v *vm, a attempt, method, path, body string) attempt {
	a.digest = standin.Digest(method, path, []byte(body))
	req, err := http.NewRequest(method, "http://"+v.callers+path, strings.NewReader(body))
	if err == nil {
		// Without GetBody, net/http cannot retry a booking on its own, which the ledger
		// would not show.
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

// bookAll sends every booking through all VMs concurrently.
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

// startLoad sends bookings and menu requests through the VMs that vms returns until stop
// is called. A booking without a response is repeated through a random VM, and some
// bookings are sent through two VMs at once.
func (c *callers) startLoad(t *testing.T, vms func() []*vm, workers int) (stop func()) {
	stops := make([]func(), workers)
	for w := range workers {
		rng := rand.New(rand.NewPCG(uint64(w), 7))
		stops[w] = runInBackground(t, time.Millisecond, func() { c.sendRandom(vms, rng) })
	}
	return func() {
		for _, stop := range stops {
			stop()
		}
	}
}

func (c *callers) sendRandom(vms func() []*vm, rng *rand.Rand) {
	const maxAttempts = 3
	randomVM := func() *vm { all := vms(); return all[rng.IntN(len(all))] }
	switch keys := c.keys(1); rng.IntN(4) {
	case 0:
		c.menu(randomVM())
	case 1:
		c.bookAll([]*vm{randomVM(), randomVM()}, keys)
	default:
		for n := 0; n < maxAttempts && !c.book(randomVM(), keys[0]).gotResponse(); n++ {
		}
	}
	time.Sleep(time.Duration(rng.IntN(10)) * time.Millisecond)
}

func (c *callers) ledger() []attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.attempts)
}

// filter returns the attempts in the ledger that satisfy a condition.
func (c *callers) filter(cond func(attempt) bool) []attempt {
	return slices.DeleteFunc(c.ledger(), func(a attempt) bool { return !cond(a) })
}

// verify compares the callers' ledger with the servers' ledgers: no key ran twice, no
// request with the outcome not-run ran, and each response is complete, belongs to its
// request and comes from a run.
func verify(t *testing.T, f *testFleet, c *callers) {
	t.Helper()
	runsByRequest, runsByKey, outcomes := make(map[string]int), make(map[string]int), make(map[string]int)
	for _, e := range f.ledger() {
		runsByRequest[e.CallerRequestID()]++
		if e.Key != "" {
			runsByKey[e.Key]++
		}
	}
	for key, n := range runsByKey {
		if n > 1 {
			t.Errorf("key %s ran %d times: %+v", key, n, c.filter(func(a attempt) bool { return a.key == key }))
		}
	}
	for _, a := range c.ledger() {
		switch {
		case a.outcome == result.OutcomeNotRun && runsByRequest[a.id] > 0:
			t.Errorf("outcome not-run, but the request ran: %+v", a)
		case a.gotResponse() && a.status == http.StatusOK && a.body != a.digest:
			t.Errorf("wrong or incomplete response: %+v", a)
		case a.gotResponse() && a.key != "" && runsByKey[a.key] == 0:
			t.Errorf("response without a run: %+v", a)
		}
		outcomes[fmt.Sprintf("%s %s, failed %t", a.outcome, a.code, a.err != nil)]++
	}
	t.Logf("outcomes: %v; servers ran %d bookings", outcomes, len(runsByKey))
	require.NotEmpty(t, runsByKey, "no booking ran, so nothing was tested")
}

// awaitBookings waits until new bookings through every running VM get a response.
func (f *testFleet) awaitBookings(c *callers) {
	f.t.Helper()
	for _, v := range f.running() {
		eventually(f.t, "bookings through "+v.id+" get a response", func() bool {
			return !slices.ContainsFunc(c.keys(keySlices), func(key string) bool { return !c.book(v, key).gotResponse() })
		})
	}
}
