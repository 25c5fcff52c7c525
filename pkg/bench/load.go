package bench

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/result"
	"github.com/fulmarbeam/fulmarbeam/pkg/standin"
)

// outcome is what a caller knows about its request in the end.
type outcome string

const (
	outAnswered outcome = "answered"     // a success status with the expected body
	outWrong    outcome = "wrong"        // a success status with another body
	outFailed   outcome = "failed"       // the server's own error, passed on
	outNotRun   outcome = "not-run"      // told by the fleet
	outUnknown  outcome = "unknown"      // told by the fleet
	outCut      outcome = "cut"          // the connection ended without a whole answer
	outLost     outcome = "lost-with-vm" // as cut, at a VM that the scenario killed
	outRefused  outcome = "refused"      // no connection to the VM: nothing was sent
	outTimeout  outcome = "timeout"      // no answer within the deadline and callerGrace
)

const (
	// callerGrace is how long callers wait beyond the route's deadline.
	callerGrace = 3 * time.Second
	// idleConnections bounds the callers' idle connections to a VM.
	idleConnections = 1024
)

// call is a row of the callers' ledger.
type call struct {
	request
	vm      fleet.VMID
	zone    fleet.Zone
	region  fleet.Region
	sent    time.Time
	done    time.Time
	outcome outcome
	status  int
	code    string // Fulmar-Code
	server  fleet.ServerID
}

// latency is what the caller sees, without the way to the fleet.
func (c *call) latency(begin time.Time) time.Duration { return c.done.Sub(begin.Add(c.at)) }

// load sends planned requests.
type load struct {
	w      *world
	client *http.Client
	begin  time.Time
	calls  []call
	wg     sync.WaitGroup

	mu      sync.Mutex
	targets []target
}

// target is a VM that takes callers.
type target struct {
	vm     fleet.VMID
	zone   fleet.Zone
	region fleet.Region
	addr   string
}

func newLoad(w *world, plan []request) *load {
	l := &load{w: w, calls: make([]call, len(plan))}
	for i := range plan {
		l.calls[i].request = plan[i]
	}
	l.client = &http.Client{Transport: &http.Transport{
		DisableCompression: true, MaxIdleConnsPerHost: idleConnections, IdleConnTimeout: time.Minute,
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
	}}
	for _, r := range w.s.Topology.Regions {
		for _, z := range r.Zones {
			for n := 1; n <= r.VMsPerZone; n++ {
				l.addTarget(vmID(z, n))
			}
		}
	}
	return l
}

// addTarget and dropTarget are the platform's load balancer.
func (l *load) addTarget(id fleet.VMID) {
	spec := l.w.specs[id]
	n := l.w.fleet.Node(id)
	if n == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.targets = append(l.targets, target{id, spec.Zone, spec.Region, n.CallersAddr()})
}

func (l *load) dropTarget(id fleet.VMID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.targets {
		if l.targets[i].vm == id {
			l.targets = append(l.targets[:i:i], l.targets[i+1:]...)
			return
		}
	}
}

func (l *load) target(pick uint64) (target, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.targets) == 0 {
		return target{}, false
	}
	return l.targets[pick%uint64(len(l.targets))], true
}

// run sends the requests at their times and waits for the last answer.
func (l *load) run(ctx context.Context, begin time.Time) {
	l.begin = begin
	for i := range l.calls {
		c := &l.calls[i]
		if d := time.Until(begin.Add(c.at)); d > 0 {
			select {
			case <-time.After(d):
			case <-ctx.Done():
				l.calls = l.calls[:i]
			}
			if ctx.Err() != nil {
				break
			}
		}
		l.wg.Add(1)
		go func() {
			defer l.wg.Done()
			l.one(ctx, c)
		}()
	}
	l.wg.Wait()
	l.client.CloseIdleConnections()
}

func (l *load) one(ctx context.Context, c *call) {
	c.sent = time.Now()
	defer func() { c.done = time.Now() }()
	t, ok := l.target(c.pick)
	if !ok {
		c.outcome = outRefused
		return
	}
	c.vm, c.zone, c.region = t.vm, t.zone, t.region
	route := l.w.s.Routes[c.route]
	ctx, cancel := context.WithTimeout(ctx, time.Duration(route.Deadline)+callerGrace)
	defer cancel()
	var wrote atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteHeaders: func() { wrote.Store(true) }})
	resp, err := l.client.Do(l.httpRequest(ctx, c, route, t))
	if err != nil {
		c.outcome = failure(ctx, err, wrote.Load())
		return
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	c.status, c.code = resp.StatusCode, resp.Header.Get("Fulmar-Code")
	c.server = fleet.ServerID(resp.Header.Get(standin.HeaderServer))
	if err != nil {
		c.outcome = failure(ctx, err, true)
		return
	}
	c.outcome = c.judge(resp.Header.Get("Fulmar-Outcome"), route, string(body))
}

// httpRequest builds the request. Without GetBody the client does not send a request
// with a body again on its own.
func (l *load) httpRequest(ctx context.Context, c *call, route Route, t target) *http.Request {
	body := c.body(route)
	req, err := http.NewRequestWithContext(ctx, route.Method, "http://"+t.addr+c.uri(), strings.NewReader(body))
	if err != nil {
		panic(err) // the address and the method are checked
	}
	req.GetBody = nil
	if body == "" {
		req.Body = http.NoBody
	}
	h := req.Header
	h.Set("X-Request-Id", c.id())
	h.Set(workspaceHeader, workspaceOf(t.region))
	h.Set(standin.HeaderWork, c.work.String())
	if route.Answer > 0 {
		h.Set(standin.HeaderSize, strconv.Itoa(route.Answer))
	}
	if c.fails {
		h.Set(standin.HeaderStatus, "500")
	}
	if route.Keyed {
		h.Set("Idempotency-Key", "key-"+c.id())
	}
	return req
}

func (r request) uri() string { return "/" + r.route + "?id=" + r.id() }

func (r request) body(route Route) string {
	if route.Method == http.MethodGet {
		return ""
	}
	return "order " + r.id()
}

// expected returns the only body that answers the request.
func (r request) expected(route Route) string {
	digest := standin.Digest(route.Method, r.uri(), []byte(r.body(route)))
	if route.Answer == 0 {
		return digest
	}
	return strings.Repeat(digest, route.Answer/len(digest)+1)[:route.Answer]
}

func (c *call) judge(told string, route Route, body string) outcome {
	switch {
	case told == string(result.OutcomeNotRun):
		return outNotRun
	case told == string(result.OutcomeUnknown):
		return outUnknown
	case c.status >= 300:
		return outFailed
	case body != c.expected(route):
		return outWrong
	}
	return outAnswered
}

// failure classifies an error of the caller's connection. After a lost connection
// net/http sends a GET again by itself, so a failed connect alone does not show that
// nothing was sent before.
func failure(ctx context.Context, err error, wrote bool) outcome {
	var op *net.OpError
	switch {
	case ctx.Err() != nil:
		return outTimeout
	case !wrote && errors.As(err, &op) && op.Op == "dial":
		return outRefused
	}
	return outCut
}
