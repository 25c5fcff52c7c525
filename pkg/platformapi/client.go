package platformapi

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

// Limits of the clients.
const (
	// DefaultTimeout bounds a call whose context has no earlier deadline.
	DefaultTimeout = 5 * time.Second
	// MaxWait bounds the wait of a read.
	MaxWait = 30 * time.Second
	// readWaitMargin is the part of the time until a read's deadline that is reserved for
	// the transfer of the response; the service waits for the rest.
	readWaitMargin = 500 * time.Millisecond
	// MaxListBytes bounds the response with the VM list; 80,000 rows take about 12 MB.
	MaxListBytes = 32 << 20
	// maxReadBytes bounds the data that one read may request.
	maxReadBytes = 8 << 20
	// maxReadOverhead bounds the size of a read's response beyond the requested data in
	// base64. It leaves room for one record of the maximum size when less was requested.
	maxReadOverhead = 4 << 20
	// maxShortResponseBytes bounds the response to an append and the text of an error.
	maxShortResponseBytes = 1 << 10
	maxIdleConns          = 4
)

// client sends requests to one service.
type client struct {
	baseURL string
	http    *http.Client
}

func newClient(base string, transport http.RoundTripper) client {
	if transport == nil {
		transport = &http.Transport{
			MaxIdleConnsPerHost: maxIdleConns,
			IdleConnTimeout:     time.Minute,
			DisableCompression:  true,
		}
	}
	return client{strings.TrimSuffix(base, "/"), &http.Client{Transport: transport}}
}

// call sends one request and decodes the response, of at most limit bytes, into out.
// It returns a *result.Error with the code StoreAway if the service or the network fails.
func (c client) call(ctx context.Context, method, path string, in, out any, limit int64) error {
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return result.Errorf(result.Internal, "encode request: %s", err)
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, body)
	if err != nil {
		return result.Errorf(result.Internal, "%s", err)
	}
	if in != nil {
		req.Header.Set("Content-Type", "application/json")
		// Without GetBody the transport cannot retry the request.
		req.GetBody = nil
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return result.Errorf(result.StoreAway, "%s %s: %s", method, path, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, maxShortResponseBytes))
		return result.Errorf(result.StoreAway, "%s %s: status %d: %s", method, path, resp.StatusCode, strings.TrimSpace(string(text)))
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return result.Errorf(result.StoreAway, "%s %s: read response: %s", method, path, err)
	}
	if int64(len(data)) > limit {
		return result.Errorf(result.StoreAway, "%s %s: response exceeds %d bytes", method, path, limit)
	}
	if err := json.Unmarshal(data, out); err != nil {
		return result.Errorf(result.StoreAway, "%s %s: decode response: %s", method, path, err)
	}
	return nil
}

// LogClient implements Log over HTTP. It is safe for concurrent use.
type LogClient struct{ client client }

// NewLogClient returns a client for the log service at a base URL. A nil transport
// means a new one with default settings.
func NewLogClient(base string, transport http.RoundTripper) *LogClient {
	return &LogClient{newClient(base, transport)}
}

// AppendRequest is the request body of an append.
type AppendRequest struct {
	Data []byte `json:"data"`
}

// AppendResponse is the response body of an append.
type AppendResponse struct {
	Offset Offset `json:"offset"`
}

// Append appends a record. After an error the record may or may not have been written.
func (l *LogClient) Append(ctx context.Context, stream string, data []byte) (Offset, error) {
	ctx, cancel := context.WithTimeout(ctx, DefaultTimeout)
	defer cancel()
	response := AppendResponse{Offset: -1}
	err := l.client.call(ctx, http.MethodPost, streamPath(stream), AppendRequest{data}, &response, maxShortResponseBytes)
	if err != nil {
		return 0, err
	}
	if response.Offset < 0 {
		return 0, result.Errorf(result.StoreAway, "append: response without offset")
	}
	return response.Offset, nil
}

// Read reads records, up to maxBytes of data but at least one record. With wait and without
// new records it returns an empty batch shortly before the deadline of ctx or after MaxWait,
// whichever comes first.
func (l *LogClient) Read(ctx context.Context, stream string, from Offset, maxBytes int, wait bool) (Batch, error) {
	maxBytes = min(max(maxBytes, 1), maxReadBytes)
	query := url.Values{"from": {strconv.FormatInt(int64(from), 10)}, "max": {strconv.Itoa(maxBytes)}}
	timeout := DefaultTimeout
	if wait {
		waiting := MaxWait
		if deadline, ok := ctx.Deadline(); ok {
			waiting = min(waiting, max(0, time.Until(deadline)-readWaitMargin))
		}
		query.Set("wait_ms", strconv.FormatInt(waiting.Milliseconds(), 10))
		timeout += waiting
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var batch Batch
	// Base64 encodes three bytes as four.
	limit := int64(maxBytes)*4/3 + maxReadOverhead
	if err := l.client.call(ctx, http.MethodGet, streamPath(stream)+"?"+query.Encode(), nil, &batch, limit); err != nil {
		return Batch{}, err
	}
	return batch, batch.check(from)
}

// check returns an error if the offsets are inconsistent, so that a fault of the service is
// reported by the read that received it.
func (b Batch) check(from Offset) error {
	want := max(from, b.OldestOffset)
	for _, rec := range b.Records {
		if rec.Offset != want || rec.Offset >= b.NextOffset {
			return result.Errorf(result.StoreAway, "read: found record %d, expected %d (base %d, next %d)", rec.Offset, want, b.OldestOffset, b.NextOffset)
		}
		want++
	}
	if b.OldestOffset < 0 || b.NextOffset < b.OldestOffset {
		return result.Errorf(result.StoreAway, "read: base %d, next %d", b.OldestOffset, b.NextOffset)
	}
	return nil
}

func streamPath(stream string) string { return "/v1/streams/" + url.PathEscape(stream) + "/records" }

// ListResponse is the response body with the VM list.
type ListResponse struct {
	Generation uint64      `json:"generation"`
	VMs        []VMRow     `json:"vms"`
	Servers    []ServerRow `json:"servers"`
}

// VMRow is the list's entry for a VM.
type VMRow struct {
	ID     fleet.VMID   `json:"id"`
	Addr   string       `json:"addr"`
	Region fleet.Region `json:"region"`
	Zone   fleet.Zone   `json:"zone"`
	State  string       `json:"state"`
}

// ServerRow is the list's entry for a backend server.
type ServerRow struct {
	ID      fleet.ServerID `json:"id"`
	Service fleet.Service  `json:"service"`
	Addr    string         `json:"addr"`
	Region  fleet.Region   `json:"region"`
	Zone    fleet.Zone     `json:"zone"`
	State   string         `json:"state"`
}

// ListClient implements Lister over HTTP. It is safe for concurrent use.
type ListClient struct{ client client }

// NewListClient returns a client for the VM list at a base URL. A nil transport means a
// new one with default settings.
func NewListClient(base string, transport http.RoundTripper) *ListClient {
	return &ListClient{newClient(base, transport)}
}

// List reads the whole list. One invalid row fails the read: if the row were skipped, its
// VM would seem to be missing and would lose the ownership of its shards.
func (l *ListClient) List(ctx context.Context) (*fleet.Directory, error) {
	ctx, cancel := context.WithTimeout(ctx, DefaultTimeout)
	defer cancel()
	var response ListResponse
	if err := l.client.call(ctx, http.MethodGet, "/v1/vms", nil, &response, MaxListBytes); err != nil {
		return nil, err
	}
	return response.Directory()
}

// Directory converts the response to a directory. Unknown states and empty or repeated ids
// are errors.
func (l ListResponse) Directory() (*fleet.Directory, error) {
	vms := make([]fleet.VM, 0, len(l.VMs))
	seenVMs := make(map[fleet.VMID]bool, len(l.VMs))
	for _, r := range l.VMs {
		state, err := ParseState(r.State)
		if err != nil || r.ID == "" || seenVMs[r.ID] {
			return nil, result.Errorf(result.StoreAway, "VM list: VM %q: empty or repeated id, or unknown state %q", r.ID, r.State)
		}
		seenVMs[r.ID] = true
		vms = append(vms, fleet.VM{ID: r.ID, Addr: r.Addr, Region: r.Region, Zone: r.Zone, State: state})
	}
	servers := make([]fleet.Server, 0, len(l.Servers))
	seenServers := make(map[fleet.ServerID]bool, len(l.Servers))
	for _, r := range l.Servers {
		state, err := ParseState(r.State)
		if err != nil || r.ID == "" || seenServers[r.ID] {
			return nil, result.Errorf(result.StoreAway, "VM list: server %q: empty or repeated id, or unknown state %q", r.ID, r.State)
		}
		seenServers[r.ID] = true
		servers = append(servers, fleet.Server{ID: r.ID, Service: r.Service, Addr: r.Addr, Region: r.Region, Zone: r.Zone, State: state})
	}
	return fleet.NewDirectory(l.Generation, vms, servers), nil
}

// NewListResponse converts a directory to the response body of the service.
func NewListResponse(d *fleet.Directory) ListResponse {
	out := ListResponse{Generation: d.Generation, VMs: []VMRow{}, Servers: []ServerRow{}}
	for _, v := range d.VMs {
		out.VMs = append(out.VMs, VMRow{v.ID, v.Addr, v.Region, v.Zone, v.State.String()})
	}
	for _, s := range d.Servers {
		out.Servers = append(out.Servers, ServerRow{s.ID, s.Service, s.Addr, s.Region, s.Zone, s.State.String()})
	}
	return out
}

// ParseState parses a state of the list.
func ParseState(text string) (fleet.State, error) {
	for _, s := range []fleet.State{fleet.StateLive, fleet.StateLeaving} {
		if s.String() == text {
			return s, nil
		}
	}
	return 0, fmt.Errorf("unknown state %q", text)
}
