package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/journal"
	"github.com/fulmarbeam/fulmarbeam/pkg/result"
	"github.com/fulmarbeam/fulmarbeam/pkg/tlsconf"
)

const (
	// maxResponseBytes limits the size of a response body.
	maxResponseBytes      = 64 << 20
	defaultConnectTimeout = 2 * time.Second
)

// ClientConfig configures a Client.
type ClientConfig struct {
	Addresses      []string        // host:port of VMs, tried in order until one responds
	TLS            *tlsconf.Source // nil: plain HTTP
	ServerName     string          // expected name in the VM's certificate; empty: host part of the address
	ConnectTimeout time.Duration   // timeout of connecting and of the TLS handshake; 0: defaultConnectTimeout
	Timeout        time.Duration   // timeout per address; 0: only the context's deadline applies
}

// Client is a client of the operators' API. It uses the first of the configured VMs
// that responds. Its errors wrap a *result.Error; the code Unreachable means that no VM
// responded.
type Client struct {
	cfg  ClientConfig
	http *http.Client
}

// NewClient returns a client. It connects on the first request.
func NewClient(cfg ClientConfig) (*Client, error) {
	if len(cfg.Addresses) == 0 {
		return nil, result.Errorf(result.UsageError, "no VM address given")
	}
	if cfg.ConnectTimeout == 0 {
		cfg.ConnectTimeout = defaultConnectTimeout
	}
	dialer := &net.Dialer{Timeout: cfg.ConnectTimeout}
	// Proxy is not set, so that proxy settings in the environment are ignored: VMs are
	// reached directly.
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		TLSHandshakeTimeout: cfg.ConnectTimeout,
		MaxIdleConnsPerHost: 1,
		IdleConnTimeout:     idleTimeout,
	}
	if cfg.TLS != nil {
		transport.TLSClientConfig = cfg.TLS.Client(cfg.ServerName)
	}
	return &Client{cfg: cfg, http: &http.Client{Transport: transport}}, nil
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// do sends a request to the addresses in order until one succeeds. Every request is
// safe to resend: if two VMs append the same edit, readers of the log detect the
// duplicate.
func (c *Client) do(ctx context.Context, method, path string, query url.Values, body, into any) error {
	var data []byte
	if body != nil {
		var buf bytes.Buffer
		enc := json.NewEncoder(&buf)
		enc.SetEscapeHTML(false) // the signature covers the exact bytes of an edit
		if err := enc.Encode(body); err != nil {
			return result.Errorf(result.Internal, "encode request: %v", err)
		}
		data = buf.Bytes()
	}
	var lastErr error
	maybeDelivered := false
	for _, addr := range c.cfg.Addresses {
		u := url.URL{Scheme: "http", Host: addr, Path: path, RawQuery: query.Encode()}
		if c.cfg.TLS != nil {
			u.Scheme = "https"
		}
		err := c.roundTrip(ctx, method, u.String(), data, into)
		if err == nil {
			return nil
		}
		lastErr = err
		var unknown *deliveryUnknownError
		maybeDelivered = maybeDelivered || errors.As(err, &unknown)
		if !shouldTryNextVM(err) || ctx.Err() != nil {
			break
		}
	}
	var verdictErr *verdictError
	if maybeDelivered && appendsRecord(path) && !errors.As(lastErr, &verdictErr) {
		return result.Errorf(result.ConfigUnknown, "the request may have taken effect: %v", lastErr)
	}
	return lastErr
}

// appendsRecord reports whether a request appends a record to the log. If the response
// to such a request is lost, the outcome is unknown.
func appendsRecord(path string) bool {
	return path == "/v1/config/publish" || path == "/v1/config/genesis"
}

// deliveryUnknownError is the error of a request that may have reached the VM.
type deliveryUnknownError struct{ cause *result.Error }

func (e *deliveryUnknownError) Error() string { return e.cause.Error() }

func (e *deliveryUnknownError) Unwrap() error { return e.cause }

// transportError classifies the error of a request that received no response. Only a
// failed connect or TLS handshake proves that the VM did not receive the request.
func transportError(err error, connected bool) error {
	cause := result.Errorf(result.Unreachable, "%v", err)
	if !connected {
		return cause
	}
	return &deliveryUnknownError{cause}
}

// shouldTryNextVM reports whether the request may succeed on another VM.
func shouldTryNextVM(err error) bool {
	switch toResultError(err).Code {
	case result.Unreachable, result.NotReady, result.Draining, result.ConfigBehind, result.NoCapacity:
		var verdictErr *verdictError
		return !errors.As(err, &verdictErr)
	}
	return false
}

// verdictError holds the verdict from a Failure response.
type verdictError struct {
	verdict Verdict
}

func (e *verdictError) Error() string {
	return result.Errorf(e.verdict.Code, "%s", e.verdict.Detail).Error()
}

func (e *verdictError) Unwrap() error {
	return result.Errorf(e.verdict.Code, "%s", e.verdict.Detail)
}

func (c *Client) roundTrip(ctx context.Context, method, url string, data []byte, into any) error {
	if c.cfg.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.cfg.Timeout)
		defer cancel()
	}
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(data))
	if err != nil {
		return result.Errorf(result.UsageError, "%v", err)
	}
	if data != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	connected := atomic.Bool{}
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	resp, err := c.http.Do(req.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		return transportError(err, connected.Load())
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err != nil {
		return &deliveryUnknownError{result.Errorf(result.Unreachable, "%s: read response: %v", url, err)}
	}
	if len(body) > maxResponseBytes {
		return result.Errorf(result.BodyTooLarge, "%s: response exceeds %d bytes", url, maxResponseBytes)
	}
	if resp.StatusCode == http.StatusOK {
		if err := json.Unmarshal(body, into); err != nil {
			return &deliveryUnknownError{result.Errorf(result.Unreachable, "%s: read response: %v", url, err)}
		}
		return nil
	}
	return decodeFailure(resp.StatusCode, url, body, into)
}

// decodeFailure decodes a response with a status other than 200 OK. A VM that is not
// ready responds with a Readiness instead of a Failure.
func decodeFailure(status int, url string, body []byte, into any) error {
	if r, ok := into.(*Readiness); ok && status == http.StatusServiceUnavailable {
		if json.Unmarshal(body, r) == nil && len(r.Reasons) > 0 {
			return nil
		}
	}
	var f Failure
	if err := json.Unmarshal(body, &f); err != nil || f.Code == result.OK {
		return &deliveryUnknownError{result.Errorf(result.Unreachable, "%s: response has status %d and no result code", url, status)}
	}
	if f.Verdict != nil {
		return &verdictError{*f.Verdict}
	}
	return result.Errorf(f.Code, "%s", f.Detail)
}

func get[T any](ctx context.Context, c *Client, path string, query url.Values) (T, error) {
	var v T
	err := c.do(ctx, http.MethodGet, path, query, nil, &v)
	return v, err
}

// postForVerdict sends a POST request and returns the verdict. A verdict is a result
// and not an error, even if the edit was rejected.
func (c *Client) postForVerdict(ctx context.Context, path string, body any) (Verdict, error) {
	var v Verdict
	err := c.do(ctx, http.MethodPost, path, nil, body, &v)
	var verdictErr *verdictError
	if errors.As(err, &verdictErr) {
		return verdictErr.verdict, nil
	}
	return v, err
}

// Ready reports whether the VM serves callers.
func (c *Client) Ready(ctx context.Context) (Readiness, error) {
	return get[Readiness](ctx, c, "/v1/ready", nil)
}

// Config returns the document in effect, or one section of it.
func (c *Client) Config(ctx context.Context, section string) (ConfigView, error) {
	return get[ConfigView](ctx, c, "/v1/config", queryParams("section", section))
}

// Check validates an edit without appending it.
func (c *Client) Check(ctx context.Context, edit json.RawMessage) (Verdict, error) {
	return c.postForVerdict(ctx, "/v1/config/check", PublishRequest{Edit: edit})
}

// Publish appends an edit and waits as the request specifies.
func (c *Client) Publish(ctx context.Context, req PublishRequest) (Verdict, error) {
	return c.postForVerdict(ctx, "/v1/config/publish", req)
}

// Genesis appends the first record of the log.
func (c *Client) Genesis(ctx context.Context, record json.RawMessage) (Verdict, error) {
	return c.postForVerdict(ctx, "/v1/config/genesis", GenesisRequest{record})
}

// History returns the newest verdicts, newest first.
func (c *Client) History(ctx context.Context, q HistoryQuery) ([]HistoryEntry, error) {
	return get[[]HistoryEntry](ctx, c, "/v1/config/history",
		queryParams("section", q.Section, "team", q.Team, "limit", strconv.Itoa(q.Limit)))
}

// EditStatus returns the known state of an edit.
func (c *Client) EditStatus(ctx context.Context, id string) (EditStatus, error) {
	return get[EditStatus](ctx, c, "/v1/config/status", queryParams("id", id))
}

// Servers returns the servers that the query selects.
func (c *Client) Servers(ctx context.Context, q ServersQuery) ([]ServerStatus, error) {
	return get[[]ServerStatus](ctx, c, "/v1/servers",
		queryParams("service", string(q.Service), "region", string(q.Region), "id", string(q.ID)))
}

// VMs returns the entry VMs known to the VM.
func (c *Client) VMs(ctx context.Context) ([]VMStatus, error) {
	return get[[]VMStatus](ctx, c, "/v1/vms", nil)
}

// Shards returns the shards known to the VM.
func (c *Client) Shards(ctx context.Context, q ShardsQuery) ([]ShardStatus, error) {
	mine := ""
	if q.MemberOnly {
		mine = "true"
	}
	return get[[]ShardStatus](ctx, c, "/v1/shards", queryParams("region", string(q.Region), "class", q.Class, "mine", mine))
}

// Events returns events held in the VM's memory.
func (c *Client) Events(ctx context.Context, q journal.Query) ([]fleet.Event, error) {
	return get[[]fleet.Event](ctx, c, "/v1/events", encodeEventsQuery(q))
}

// Explain returns the events of all VMs and of the log stream.
func (c *Client) Explain(ctx context.Context, q journal.Query) (Explanation, error) {
	return get[Explanation](ctx, c, "/v1/explain", encodeEventsQuery(q))
}

// Drain starts a graceful shutdown of the VM that the request names.
func (c *Client) Drain(ctx context.Context, req DrainRequest) (DrainStatus, error) {
	var v DrainStatus
	err := c.do(ctx, http.MethodPost, "/v1/drain", nil, req, &v)
	return v, err
}

// queryParams returns query parameters from alternating names and values. Values that
// are empty or "0" are left out.
func queryParams(pairs ...string) url.Values {
	v := url.Values{}
	for i := 0; i+1 < len(pairs); i += 2 {
		if pairs[i+1] != "" && pairs[i+1] != "0" {
			v.Set(pairs[i], pairs[i+1])
		}
	}
	return v
}
