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
	// maxAnswer bounds what the client reads of an answer.
	maxAnswer      = 64 << 20
	defaultConnect = 2 * time.Second
)

// ClientConfig says which VMs to ask and how.
type ClientConfig struct {
	Addresses  []string        // host:port, tried in turn until one answers
	TLS        *tlsconf.Source // nil: plain HTTP
	ServerName string          // name in the VM's certificate; empty: the address's host
	Connect    time.Duration   // of one connect; 0: defaultConnect
	Timeout    time.Duration   // of one try; 0: only the context's
}

// Client asks the operators' API of one VM, or of the first one that answers. Its
// errors are *result.Error; Unreachable says that no VM answered.
type Client struct {
	cfg  ClientConfig
	http *http.Client
}

// NewClient returns a client. It does not connect yet.
func NewClient(cfg ClientConfig) (*Client, error) {
	if len(cfg.Addresses) == 0 {
		return nil, result.Errorf(result.UsageError, "no address of a VM is given")
	}
	if cfg.Connect == 0 {
		cfg.Connect = defaultConnect
	}
	dialer := &net.Dialer{Timeout: cfg.Connect}
	// The proxy of the environment is not used: VMs are reached directly.
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		TLSHandshakeTimeout: cfg.Connect,
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

// do sends a request to the addresses in turn. Every request may be sent again: a
// second VM that gets the same edit appends a duplicate, which the log's readers
// recognise.
func (c *Client) do(ctx context.Context, method, path string, query url.Values, body, into any) error {
	var data []byte
	if body != nil {
		var buf bytes.Buffer
		enc := json.NewEncoder(&buf)
		enc.SetEscapeHTML(false) // a signed edit must arrive as it was signed
		if err := enc.Encode(body); err != nil {
			return result.Errorf(result.Internal, "request: %v", err)
		}
		data = buf.Bytes()
	}
	var last error
	maybeSent := false
	for _, addr := range c.cfg.Addresses {
		u := url.URL{Scheme: "http", Host: addr, Path: path, RawQuery: query.Encode()}
		if c.cfg.TLS != nil {
			u.Scheme = "https"
		}
		err := c.try(ctx, method, u.String(), data, into)
		if err == nil {
			return nil
		}
		last = err
		var lost *lostError
		maybeSent = maybeSent || errors.As(err, &lost)
		if !worthAnother(err) || ctx.Err() != nil {
			break
		}
	}
	var judged *verdictError
	if maybeSent && appends(path) && !errors.As(last, &judged) {
		return result.Errorf(result.ConfigUnknown, "the request may have taken effect: %v", last)
	}
	return last
}

// appends reports whether a request appends a record, so that a lost answer leaves
// its outcome unknown.
func appends(path string) bool { return path == "/v1/config/publish" || path == "/v1/config/genesis" }

// lostError is the failure of a request that may have reached the VM.
type lostError struct{ cause *result.Error }

func (e *lostError) Error() string { return e.cause.Error() }

func (e *lostError) Unwrap() error { return e.cause }

// unanswered classifies the failure of a request without an answer. Only a failed
// connect or TLS handshake proves that the VM has not seen the request.
func unanswered(err error, connected bool) error {
	cause := result.Errorf(result.Unreachable, "%v", err)
	if !connected {
		return cause
	}
	return &lostError{cause}
}

// worthAnother reports whether another VM may do better.
func worthAnother(err error) bool {
	switch asResult(err).Code {
	case result.Unreachable, result.NotReady, result.Draining, result.ConfigBehind, result.NoCapacity:
		var judged *verdictError
		return !errors.As(err, &judged)
	}
	return false
}

// verdictError carries the verdict of an edit that was judged and not accepted.
type verdictError struct {
	verdict Verdict
}

func (e *verdictError) Error() string {
	return result.Errorf(e.verdict.Code, "%s", e.verdict.Detail).Error()
}

func (e *verdictError) Unwrap() error {
	return result.Errorf(e.verdict.Code, "%s", e.verdict.Detail)
}

func (c *Client) try(ctx context.Context, method, url string, data []byte, into any) error {
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
		return unanswered(err, connected.Load())
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer+1))
	if err != nil {
		return &lostError{result.Errorf(result.Unreachable, "%s: answer: %v", url, err)}
	}
	if len(answer) > maxAnswer {
		return result.Errorf(result.BodyTooLarge, "%s: the answer exceeds %d bytes", url, maxAnswer)
	}
	if resp.StatusCode == http.StatusOK {
		if err := json.Unmarshal(answer, into); err != nil {
			return &lostError{result.Errorf(result.Unreachable, "%s: answer: %v", url, err)}
		}
		return nil
	}
	return failure(resp.StatusCode, url, answer, into)
}

// failure decodes an answer that is no success. A Readiness has no code of its own.
func failure(status int, url string, answer []byte, into any) error {
	if r, ok := into.(*Readiness); ok && status == http.StatusServiceUnavailable {
		if json.Unmarshal(answer, r) == nil && len(r.Reasons) > 0 {
			return nil
		}
	}
	var f Failure
	if err := json.Unmarshal(answer, &f); err != nil || f.Code == result.OK {
		return &lostError{result.Errorf(result.Unreachable, "%s: status %d without a result code", url, status)}
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

// judged turns the verdict on a refused edit from an error into a result.
func (c *Client) judged(ctx context.Context, path string, body any) (Verdict, error) {
	var v Verdict
	err := c.do(ctx, http.MethodPost, path, nil, body, &v)
	var refused *verdictError
	if errors.As(err, &refused) {
		return refused.verdict, nil
	}
	return v, err
}

// Ready returns whether the VM serves callers.
func (c *Client) Ready(ctx context.Context) (Readiness, error) {
	return get[Readiness](ctx, c, "/v1/ready", nil)
}

// Config returns the document in force, or one section of it.
func (c *Client) Config(ctx context.Context, section string) (ConfigView, error) {
	return get[ConfigView](ctx, c, "/v1/config", values("section", section))
}

// Check judges an edit without appending it.
func (c *Client) Check(ctx context.Context, edit json.RawMessage) (Verdict, error) {
	return c.judged(ctx, "/v1/config/check", PublishRequest{Edit: edit})
}

// Publish appends an edit and waits as the request says.
func (c *Client) Publish(ctx context.Context, req PublishRequest) (Verdict, error) {
	return c.judged(ctx, "/v1/config/publish", req)
}

// Genesis appends the first record.
func (c *Client) Genesis(ctx context.Context, record json.RawMessage) (Verdict, error) {
	return c.judged(ctx, "/v1/config/genesis", GenesisRequest{record})
}

// History returns the newest verdicts, newest first.
func (c *Client) History(ctx context.Context, q HistoryQuery) ([]HistoryEntry, error) {
	return get[[]HistoryEntry](ctx, c, "/v1/config/history",
		values("section", q.Section, "team", q.Team, "limit", strconv.Itoa(q.Limit)))
}

// EditStatus returns what is known about an edit.
func (c *Client) EditStatus(ctx context.Context, id string) (EditStatus, error) {
	return get[EditStatus](ctx, c, "/v1/config/status", values("id", id))
}

// Servers returns the servers that the query selects.
func (c *Client) Servers(ctx context.Context, q ServersQuery) ([]ServerStatus, error) {
	return get[[]ServerStatus](ctx, c, "/v1/servers",
		values("service", string(q.Service), "region", string(q.Region), "id", string(q.ID)))
}

// VMs returns the entry VMs that the VM knows.
func (c *Client) VMs(ctx context.Context) ([]VMStatus, error) {
	return get[[]VMStatus](ctx, c, "/v1/vms", nil)
}

// Shards returns the shards that the VM knows.
func (c *Client) Shards(ctx context.Context, q ShardsQuery) ([]ShardStatus, error) {
	mine := ""
	if q.Mine {
		mine = "true"
	}
	return get[[]ShardStatus](ctx, c, "/v1/shards", values("region", string(q.Region), "class", q.Class, "mine", mine))
}

// Events returns events of the VM's memory.
func (c *Client) Events(ctx context.Context, q journal.Query) ([]fleet.Event, error) {
	return get[[]fleet.Event](ctx, c, "/v1/events", queryValues(q))
}

// Explain returns events of all VMs and of the stream.
func (c *Client) Explain(ctx context.Context, q journal.Query) (Explanation, error) {
	return get[Explanation](ctx, c, "/v1/explain", queryValues(q))
}

// Drain starts the shutdown of the VM that the request names.
func (c *Client) Drain(ctx context.Context, req DrainRequest) (DrainStatus, error) {
	var v DrainStatus
	err := c.do(ctx, http.MethodPost, "/v1/drain", nil, req, &v)
	return v, err
}

// values makes query parameters of name and value pairs without the empty ones.
func values(pairs ...string) url.Values {
	v := url.Values{}
	for i := 0; i+1 < len(pairs); i += 2 {
		if pairs[i+1] != "" && pairs[i+1] != "0" {
			v.Set(pairs[i], pairs[i+1])
		}
	}
	return v
}
