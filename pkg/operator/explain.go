package operator

import (
	"cmp"
	"context"
	"math"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/journal"
	"github.com/fulmarbeam/fulmarbeam/pkg/result"
	"github.com/fulmarbeam/fulmarbeam/pkg/tlsconf"
)

const (
	// peerTimeout limits the query to one VM. An unresponsive VM is reported as a failed
	// source, so that it does not fail the whole request.
	peerTimeout = 3 * time.Second
	// maxParallelQueries limits the number of sources that are queried concurrently.
	maxParallelQueries = 64
	// StreamSource is the name of the log stream in Explanation.Sources.
	StreamSource = "stream"
)

func parseEventsQuery(c echo.Context) (q journal.Query, err error) {
	if q.From, err = intParam(c, "from", 0, math.MaxInt64); err != nil {
		return q, err
	}
	if q.To, err = intParam(c, "to", 0, math.MaxInt64); err != nil {
		return q, err
	}
	limit, err := intParam(c, "limit", DefaultEvents, MaxEvents)
	if err != nil {
		return q, err
	}
	if q.Limit = int(limit); q.Limit == 0 {
		q.Limit = DefaultEvents
	}
	if q.To != 0 && q.To <= q.From {
		return q, result.Errorf(result.UsageError, "to must be later than from")
	}
	q.Kind = fleet.EventKind(c.QueryParam("kind"))
	q.Service = fleet.Service(c.QueryParam("service"))
	q.Server = fleet.ServerID(c.QueryParam("server"))
	q.Request = c.QueryParam("request")
	q.VM = fleet.VMID(c.QueryParam("vm"))
	return q, nil
}

func encodeEventsQuery(q journal.Query) url.Values {
	v := url.Values{}
	set := func(name, value string) {
		if value != "" && value != "0" {
			v.Set(name, value)
		}
	}
	set("from", strconv.FormatInt(q.From, 10))
	set("to", strconv.FormatInt(q.To, 10))
	set("limit", strconv.Itoa(q.Limit))
	set("kind", string(q.Kind))
	set("service", string(q.Service))
	set("server", string(q.Server))
	set("request", q.Request)
	set("vm", string(q.VM))
	return v
}

// events returns only this VM's events. It does not query other VMs, because the
// explain handlers of the VMs call it and would otherwise query each other in a loop.
func (a *api) events(c echo.Context) error {
	q, err := parseEventsQuery(c)
	if err != nil {
		return err
	}
	events, err := a.backend.Events(c.Request().Context(), q)
	return respond(c, nonNil(events), err)
}

func (a *api) explain(c echo.Context) error {
	q, err := parseEventsQuery(c)
	if err != nil {
		return err
	}
	explanation, err := a.collectEvents(c.Request().Context(), q)
	return respond(c, explanation, err)
}

// sourceResult is the result of querying one source.
type sourceResult struct {
	source  Source
	events  []fleet.Event
	omitted map[string]int
}

// collectEvents returns the events of this VM, and queries all other VMs and the log
// stream in parallel.
func (a *api) collectEvents(ctx context.Context, q journal.Query) (Explanation, error) {
	self := a.backend.Self().ID
	local, err := a.backend.Events(ctx, q)
	if err != nil {
		return Explanation{}, err
	}
	vms, err := a.backend.VMs(ctx)
	if err != nil {
		return Explanation{}, err
	}
	queries := []func() sourceResult{func() sourceResult { return a.queryStream(ctx, q) }}
	for _, vm := range vms {
		if vm.ID != self && !vm.Self {
			queries = append(queries, func() sourceResult { return a.queryVM(ctx, vm, q) })
		}
	}
	results := append([]sourceResult{{source: Source{Name: string(self)}, events: local}}, runParallel(queries)...)
	out := Explanation{Events: []fleet.Event{}}
	lists := make([][]fleet.Event, len(results))
	for i, r := range results {
		lists[i] = r.events
		r.source.Events = len(r.events)
		out.Sources = append(out.Sources, r.source)
		if r.omitted != nil {
			out.Omitted = r.omitted
		}
	}
	out.Events = append(out.Events, journal.Merge(q.Limit, lists...)...)
	slices.SortFunc(out.Sources[1:], func(x, y Source) int { return cmp.Compare(x.Name, y.Name) })
	return out, nil
}

func runParallel(queries []func() sourceResult) []sourceResult {
	results := make([]sourceResult, len(queries))
	slots := make(chan struct{}, maxParallelQueries)
	var wg sync.WaitGroup
	for i, query := range queries {
		wg.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			results[i] = query()
		})
	}
	wg.Wait()
	return results
}

// NewPeerDialer returns a function for Options.Dial. With TLS, the certificate of a peer
// must contain its VM id as a DNS name.
func NewPeerDialer(src *tlsconf.Source) func(VMStatus) (*Client, error) {
	return func(vm VMStatus) (*Client, error) {
		return NewClient(ClientConfig{
			Addresses: []string{vm.OperatorAddr}, TLS: src, ServerName: string(vm.ID), Timeout: peerTimeout,
		})
	}
}

func failedSource(name string, err error) sourceResult {
	resultErr := toResultError(err)
	return sourceResult{source: Source{Name: name, Code: resultErr.Code, Detail: resultErr.Detail}}
}

// recoverSource converts a panic into a failed source. Queries run in goroutines of
// their own, which the recovery of the request does not cover: a panic there would end
// the process.
func recoverSource(name string, out *sourceResult) {
	if r := recover(); r != nil {
		*out = failedSource(name, result.Errorf(result.Internal, "panic: %v", r))
	}
}

func (a *api) queryStream(ctx context.Context, q journal.Query) (out sourceResult) {
	defer recoverSource(StreamSource, &out)
	stream, err := a.backend.Stream(ctx, q)
	if err != nil {
		return failedSource(StreamSource, err)
	}
	out = sourceResult{source: Source{Name: StreamSource}, events: stream.Events, omitted: stream.Omitted}
	if stream.Partial {
		out.source.Detail = "the stream was read only in part because of the size limit; use a shorter time range"
	}
	return out
}

func (a *api) queryVM(ctx context.Context, vm VMStatus, q journal.Query) (out sourceResult) {
	name := string(vm.ID)
	defer recoverSource(name, &out)
	if a.dial == nil || vm.OperatorAddr == "" {
		return failedSource(name, result.Errorf(result.Unreachable, "address of the VM's operator API is not known"))
	}
	client, err := a.dial(vm)
	if err != nil {
		return failedSource(name, err)
	}
	defer client.Close()
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	events, err := client.Events(ctx, q)
	if err != nil {
		return failedSource(name, err)
	}
	return sourceResult{source: Source{Name: name}, events: events}
}
