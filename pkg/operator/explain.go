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
	// peerTimeout bounds the question to one VM: an explanation without a silent VM
	// is worth more than none.
	peerTimeout = 3 * time.Second
	// peerParallel bounds the VMs that are asked at once.
	peerParallel = 64
	// StreamSource names the log stream among the sources of an explanation.
	StreamSource = "stream"
)

func eventsQuery(c echo.Context) (q journal.Query, err error) {
	if q.From, err = number(c, "from", 0, math.MaxInt64); err != nil {
		return q, err
	}
	if q.To, err = number(c, "to", 0, math.MaxInt64); err != nil {
		return q, err
	}
	limit, err := number(c, "limit", DefaultEvents, MaxEvents)
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

func queryValues(q journal.Query) url.Values {
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

// events answers with this VM's events only, so that explain of two VMs cannot ask
// each other in turn.
func (a *api) events(c echo.Context) error {
	q, err := eventsQuery(c)
	if err != nil {
		return err
	}
	events, err := a.backend.Events(c.Request().Context(), q)
	return answer(c, list(events), err)
}

func (a *api) explain(c echo.Context) error {
	q, err := eventsQuery(c)
	if err != nil {
		return err
	}
	explanation, err := a.gather(c.Request().Context(), q)
	return answer(c, explanation, err)
}

// part is what one source contributed.
type part struct {
	source  Source
	events  []fleet.Event
	omitted map[string]int
}

// gather asks this VM, all others and the stream at the same time.
func (a *api) gather(ctx context.Context, q journal.Query) (Explanation, error) {
	self := a.backend.Self().ID
	local, err := a.backend.Events(ctx, q)
	if err != nil {
		return Explanation{}, err
	}
	vms, err := a.backend.VMs(ctx)
	if err != nil {
		return Explanation{}, err
	}
	asks := []func() part{func() part { return a.askStream(ctx, q) }}
	for _, vm := range vms {
		if vm.ID != self && !vm.Self {
			asks = append(asks, func() part { return a.askVM(ctx, vm, q) })
		}
	}
	parts := append([]part{{source: Source{Name: string(self)}, events: local}}, inParallel(asks)...)
	out := Explanation{Events: []fleet.Event{}}
	lists := make([][]fleet.Event, len(parts))
	for i, p := range parts {
		lists[i] = p.events
		p.source.Events = len(p.events)
		out.Sources = append(out.Sources, p.source)
		if p.omitted != nil {
			out.Omitted = p.omitted
		}
	}
	out.Events = append(out.Events, journal.Merge(q.Limit, lists...)...)
	slices.SortFunc(out.Sources[1:], func(x, y Source) int { return cmp.Compare(x.Name, y.Name) })
	return out, nil
}

func inParallel(asks []func() part) []part {
	parts := make([]part, len(asks))
	slots := make(chan struct{}, peerParallel)
	var wg sync.WaitGroup
	for i, ask := range asks {
		wg.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			parts[i] = ask()
		})
	}
	wg.Wait()
	return parts
}

// DialPeers returns a function for Options.Dial. With certificates, the peer's must
// name its VM id.
func DialPeers(src *tlsconf.Source) func(VMStatus) (*Client, error) {
	return func(vm VMStatus) (*Client, error) {
		return NewClient(ClientConfig{
			Addresses: []string{vm.Operators}, TLS: src, ServerName: string(vm.ID), Timeout: peerTimeout,
		})
	}
}

func failedPart(name string, err error) part {
	coded := asResult(err)
	return part{source: Source{Name: name, Code: coded.Code, Detail: coded.Detail}}
}

// recoverPart makes a panic a failed part. These goroutines are outside the
// recovery of the request, and a panic in them would end the process.
func recoverPart(name string, p *part) {
	if r := recover(); r != nil {
		*p = failedPart(name, result.Errorf(result.Internal, "panic: %v", r))
	}
}

func (a *api) askStream(ctx context.Context, q journal.Query) (p part) {
	defer recoverPart(StreamSource, &p)
	reading, err := a.backend.Stream(ctx, q)
	if err != nil {
		return failedPart(StreamSource, err)
	}
	p = part{source: Source{Name: StreamSource}, events: reading.Events, omitted: reading.Omitted}
	if reading.Partial {
		p.source.Detail = "the stream was read up to its bound only, give a shorter time range"
	}
	return p
}

func (a *api) askVM(ctx context.Context, vm VMStatus, q journal.Query) (p part) {
	name := string(vm.ID)
	defer recoverPart(name, &p)
	if a.dial == nil || vm.Operators == "" {
		return failedPart(name, result.Errorf(result.Unreachable, "the address of its operators' API is not known here"))
	}
	client, err := a.dial(vm)
	if err != nil {
		return failedPart(name, err)
	}
	defer client.Close()
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	events, err := client.Events(ctx, q)
	if err != nil {
		return failedPart(name, err)
	}
	return part{source: Source{Name: name}, events: events}
}
