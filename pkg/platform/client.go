package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/result"
)

// Bounds of the clients.
const (
	// DefaultTimeout ends a call whose context has no earlier deadline.
	DefaultTimeout = 5 * time.Second
	// MaxWait bounds a waiting read.
	MaxWait = 30 * time.Second
	// waitMargin is what a waiting read leaves of its deadline for the answer's way.
	waitMargin = 500 * time.Millisecond
	// MaxListBytes bounds the VM list; 80,000 rows take about 12 MB.
	MaxListBytes = 32 << 20
	// maxReadBytes bounds the data that a read may ask for.
	maxReadBytes = 8 << 20
	// readOverhead is what a read's answer may take beyond its data in base64. It
	// admits one record of the largest size where less was asked for.
	readOverhead = 4 << 20
	maxErrorText = 1 << 10
	idleConns    = 4
)

// client calls one service.
type client struct {
	base string
	http *http.Client
}

func newClient(base string, transport http.RoundTripper) client {
	if transport == nil {
		transport = &http.Transport{
			MaxIdleConnsPerHost: idleConns,
			IdleConnTimeout:     time.Minute,
			DisableCompression:  true,
		}
	}
	return client{strings.TrimSuffix(base, "/"), &http.Client{Transport: transport}}
}

// call does one request and decodes the answer, of at most limit bytes, into out.
// All failures have the code StoreAway.
func (c client) call(ctx context.Context, method, path string, in, out any, limit int64) error {
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return result.Errorf(result.Internal, "encode request: %s", err)
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return result.Errorf(result.Internal, "%s", err)
	}
	if in != nil {
		req.Header.Set("Content-Type", "application/json")
		// Without GetBody the transport cannot send the request a second time.
		req.GetBody = nil
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return result.Errorf(result.StoreAway, "%s %s: %s", method, path, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorText))
		return result.Errorf(result.StoreAway, "%s %s: status %d: %s", method, path, resp.StatusCode, strings.TrimSpace(string(text)))
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return result.Errorf(result.StoreAway, "%s %s: read answer: %s", method, path, err)
	}
	if int64(len(data)) > limit {
		return result.Errorf(result.StoreAway, "%s %s: answer exceeds %d bytes", method, path, limit)
	}
	if err := json.Unmarshal(data, out); err != nil {
		return result.Errorf(result.StoreAway, "%s %s: decode answer: %s", method, path, err)
	}
	return nil
}

// LogClient is a Log over HTTP. It is safe for concurrent use.
type LogClient struct{ client client }

// NewLogClient returns a client of the log service at a base URL. A nil transport
// gets one of its own.
func NewLogClient(base string, transport http.RoundTripper) *LogClient {
	return &LogClient{newClient(base, transport)}
}

// AppendRequest is the body of an append.
type AppendRequest struct {
	Data []byte `json:"data"`
}

// AppendAnswer is the answer to an append.
type AppendAnswer struct {
	Offset Offset `json:"offset"`
}

// Append appends a record. After an error the record may be written or not.
func (l *LogClient) Append(ctx context.Context, stream string, data []byte) (Offset, error) {
	ctx, cancel := context.WithTimeout(ctx, DefaultTimeout)
	defer cancel()
	answer := AppendAnswer{Offset: -1}
	err := l.client.call(ctx, http.MethodPost, streamPath(stream), AppendRequest{data}, &answer, maxErrorText)
	if err != nil {
		return 0, err
	}
	if answer.Offset < 0 {
		return 0, result.Errorf(result.StoreAway, "append: answer without offset")
	}
	return answer.Offset, nil
}

// Read reads records. With wait it returns without records, and without an error,
// shortly before the deadline of ctx, or after MaxWait.
func (l *LogClient) Read(ctx context.Context, stream string, from Offset, maxBytes int, wait bool) (Batch, error) {
	maxBytes = min(max(maxBytes, 1), maxReadBytes)
	query := url.Values{"from": {strconv.FormatInt(int64(from), 10)}, "max": {strconv.Itoa(maxBytes)}}
	timeout := DefaultTimeout
	if wait {
		waiting := MaxWait
		if deadline, ok := ctx.Deadline(); ok {
			waiting = min(waiting, max(0, time.Until(deadline)-waitMargin))
		}
		query.Set("wait_ms", strconv.FormatInt(waiting.Milliseconds(), 10))
		timeout += waiting
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var batch Batch
	// Base64 takes four bytes for three.
	limit := int64(maxBytes)*4/3 + readOverhead
	if err := l.client.call(ctx, http.MethodGet, streamPath(stream)+"?"+query.Encode(), nil, &batch, limit); err != nil {
		return Batch{}, err
	}
	return batch, batch.check(from)
}

// check refuses an answer that contradicts itself, so that a faulty service is
// noticed where it is called.
func (b Batch) check(from Offset) error {
	want := max(from, b.Base)
	for _, rec := range b.Records {
		if rec.Offset != want || rec.Offset >= b.Next {
			return result.Errorf(result.StoreAway, "read: record %d where %d is next (base %d, next %d)", rec.Offset, want, b.Base, b.Next)
		}
		want++
	}
	if b.Base < 0 || b.Next < b.Base {
		return result.Errorf(result.StoreAway, "read: base %d, next %d", b.Base, b.Next)
	}
	return nil
}

func streamPath(stream string) string { return "/v1/streams/" + url.PathEscape(stream) + "/records" }

// ListAnswer is the VM list as the service answers it.
type ListAnswer struct {
	Generation uint64      `json:"generation"`
	VMs        []VMRow     `json:"vms"`
	Servers    []ServerRow `json:"servers"`
}

// VMRow is a VM of the list.
type VMRow struct {
	ID     fleet.VMID   `json:"id"`
	Addr   string       `json:"addr"`
	Region fleet.Region `json:"region"`
	Zone   fleet.Zone   `json:"zone"`
	State  string       `json:"state"`
}

// ServerRow is a backend server of the list.
type ServerRow struct {
	ID      fleet.ServerID `json:"id"`
	Service fleet.Service  `json:"service"`
	Addr    string         `json:"addr"`
	Region  fleet.Region   `json:"region"`
	Zone    fleet.Zone     `json:"zone"`
	State   string         `json:"state"`
}

// ListClient is a Lister over HTTP. It is safe for concurrent use.
type ListClient struct{ client client }

// NewListClient returns a client of the VM list at a base URL. A nil transport gets
// one of its own.
func NewListClient(base string, transport http.RoundTripper) *ListClient {
	return &ListClient{newClient(base, transport)}
}

// List reads the whole list. A row that is not understood fails the reading: a VM
// that seems missing would lose its authority.
func (l *ListClient) List(ctx context.Context) (*fleet.Directory, error) {
	ctx, cancel := context.WithTimeout(ctx, DefaultTimeout)
	defer cancel()
	var answer ListAnswer
	if err := l.client.call(ctx, http.MethodGet, "/v1/vms", nil, &answer, MaxListBytes); err != nil {
		return nil, err
	}
	return answer.Directory()
}

// Directory converts the answer. It fails on unknown states, and on empty or
// repeated ids.
func (a ListAnswer) Directory() (*fleet.Directory, error) {
	vms := make([]fleet.VM, 0, len(a.VMs))
	seenVMs := make(map[fleet.VMID]bool, len(a.VMs))
	for _, r := range a.VMs {
		state, err := ParseState(r.State)
		if err != nil || r.ID == "" || seenVMs[r.ID] {
			return nil, result.Errorf(result.StoreAway, "VM list: row %q is repeated, unnamed or of unknown state %q", r.ID, r.State)
		}
		seenVMs[r.ID] = true
		vms = append(vms, fleet.VM{ID: r.ID, Addr: r.Addr, Region: r.Region, Zone: r.Zone, State: state})
	}
	servers := make([]fleet.Server, 0, len(a.Servers))
	seenServers := make(map[fleet.ServerID]bool, len(a.Servers))
	for _, r := range a.Servers {
		state, err := ParseState(r.State)
		if err != nil || r.ID == "" || seenServers[r.ID] {
			return nil, result.Errorf(result.StoreAway, "VM list: server %q is repeated, unnamed or of unknown state %q", r.ID, r.State)
		}
		seenServers[r.ID] = true
		servers = append(servers, fleet.Server{ID: r.ID, Service: r.Service, Addr: r.Addr, Region: r.Region, Zone: r.Zone, State: state})
	}
	return fleet.NewDirectory(a.Generation, vms, servers), nil
}

// NewListAnswer converts a directory to the service's answer.
func NewListAnswer(d *fleet.Directory) ListAnswer {
	a := ListAnswer{Generation: d.Generation, VMs: []VMRow{}, Servers: []ServerRow{}}
	for _, v := range d.VMs {
		a.VMs = append(a.VMs, VMRow{v.ID, v.Addr, v.Region, v.Zone, v.State.String()})
	}
	for _, s := range d.Servers {
		a.Servers = append(a.Servers, ServerRow{s.ID, s.Service, s.Addr, s.Region, s.Zone, s.State.String()})
	}
	return a
}

// ParseState reads a state as the list spells it.
func ParseState(text string) (fleet.State, error) {
	for _, s := range []fleet.State{fleet.StateLive, fleet.StateLeaving} {
		if s.String() == text {
			return s, nil
		}
	}
	return 0, fmt.Errorf("unknown state %q", text)
}
