package operator

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"
	"github.com/labstack/echo/v4"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/journal"
	"github.com/fulmarbeam/fulmarbeam/pkg/result"
	"github.com/fulmarbeam/fulmarbeam/pkg/telemetry"
	"github.com/fulmarbeam/fulmarbeam/pkg/tlsconf"
)

// Limits of the API.
const (
	MaxBodyBytes        = 1 << 20 // maximum size of a request body in bytes
	DefaultHistoryLimit = 100     // default number of history entries
	// DefaultEvents and MaxEvents limit the number of events in a response. MaxEvents also
	// limits the number of history entries.
	DefaultEvents = 1000
	MaxEvents     = journal.RingSize
	// DefaultPublishWait and MaxPublishWait limit how long a publish request waits.
	DefaultPublishWait = 10 * time.Second
	MaxPublishWait     = 2 * time.Minute
	// requestTimeout limits every request. A publish request may wait MaxPublishWait longer.
	requestTimeout = 15 * time.Second
	// maxRequests limits the number of concurrent requests.
	maxRequests = 64

	headerTimeout  = 5 * time.Second
	bodyTimeout    = 15 * time.Second
	idleTimeout    = time.Minute
	maxHeaderBytes = 32 << 10
)

// Options configures the API of one VM. Backend is required.
type Options struct {
	Backend Backend
	Logger  logr.Logger
	// Dial returns a client for the API of another VM. The explain endpoint uses it
	// to query all VMs; if Dial is nil, it queries only this VM and the log stream.
	Dial func(vm VMStatus) (*Client, error)
}

type api struct {
	backend      Backend
	log          logr.Logger
	dial         func(vm VMStatus) (*Client, error)
	requestSlots chan struct{}
}

// NewHandler returns the API as an HTTP handler.
func NewHandler(o Options) http.Handler {
	a := &api{backend: o.Backend, log: o.Logger, dial: o.Dial, requestSlots: make(chan struct{}, maxRequests)}
	if a.log.GetSink() == nil {
		a.log = logr.Discard()
	}
	e := echo.New()
	e.JSONSerializer = serializer{}
	e.HTTPErrorHandler = a.handleError
	e.Pre(a.setRequestID)
	e.Use(a.limitRequests, a.recoverPanic)
	v1 := e.Group("/v1")
	v1.GET("/health", a.health)
	v1.GET("/ready", a.ready)
	v1.GET("/config", a.config)
	v1.POST("/config/check", a.check)
	v1.POST("/config/publish", a.publish)
	v1.POST("/config/genesis", a.genesis)
	v1.GET("/config/history", a.history)
	v1.GET("/config/status", a.status)
	v1.GET("/servers", a.servers)
	v1.GET("/vms", a.vms)
	v1.GET("/shards", a.shards)
	v1.GET("/events", a.events)
	v1.GET("/explain", a.explain)
	v1.POST("/drain", a.drain)
	return e
}

// NewServer returns an HTTP server with the API's limits, to be served on a listener
// that Listen returns.
func NewServer(o Options) *http.Server {
	return &http.Server{
		Handler:           NewHandler(o),
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       bodyTimeout,
		WriteTimeout:      MaxPublishWait + requestTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// Listen binds the API's address. If src is nil, the listener uses plain TCP, and for
// an address that is not loopback the error has the code SettingsInvalid.
func Listen(address string, src *tlsconf.Source) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Annotate(err, "operator API listener")
	}
	if src != nil {
		return tls.NewListener(l, src.Server()), nil
	}
	if tcp, ok := l.Addr().(*net.TCPAddr); !ok || !tcp.IP.IsLoopback() {
		l.Close()
		return nil, result.Errorf(result.SettingsInvalid, "operator API listener: %s is not a loopback address and TLS certificates are not configured", address)
	}
	return l, nil
}

func requestID(c echo.Context) string { return c.Response().Header().Get(telemetry.RequestIDHeader) }

// setRequestID sets the response header with the request id: the id that the client
// sent, or a new one. Log messages contain it too.
func (a *api) setRequestID(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		c.Response().Header().Set(telemetry.RequestIDHeader, telemetry.RequestID(c.Request().Header))
		return next(c)
	}
}

// recoverPanic converts a panic in a handler into a response with the code Internal.
func (a *api) recoverPanic(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) (err error) {
		defer func() {
			if r := recover(); r != nil {
				err = result.Errorf(result.Internal, "panic: %v", r)
				a.log.Error(err, "operator API handler panicked", "path", c.Path(), "request_id", requestID(c), "stack", string(debug.Stack()))
			}
		}()
		return next(c)
	}
}

// limitRequests limits the body size and the duration of each request and the number
// of concurrent requests.
func (a *api) limitRequests(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		// Health checks are exempt: waiting publish requests must not make the load
		// balancer's readiness checks fail.
		if path := c.Path(); path != "/v1/health" && path != "/v1/ready" {
			select {
			case a.requestSlots <- struct{}{}:
				defer func() { <-a.requestSlots }()
			default:
				return result.Errorf(result.NoCapacity, "%d requests are already in progress", maxRequests)
			}
		}
		timeout := requestTimeout
		if c.Path() == "/v1/config/publish" {
			timeout += MaxPublishWait
		}
		ctx, cancel := context.WithTimeout(c.Request().Context(), timeout)
		defer cancel()
		req := c.Request().WithContext(ctx)
		req.Body = http.MaxBytesReader(c.Response(), req.Body, MaxBodyBytes)
		c.SetRequest(req)
		return next(c)
	}
}

// handleError sends the response for a failed request, with the error's result code.
func (a *api) handleError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	resultErr := toResultError(err)
	if resultErr.Code == result.Internal {
		a.log.Error(err, "operator API request failed", "path", c.Path(), "request_id", requestID(c))
	}
	a.writeFailure(c, resultErr.Code, resultErr.Detail, nil)
}

// serializer encodes JSON without HTML escaping, because signatures cover the exact
// bytes of a section's content.
type serializer struct{ echo.DefaultJSONSerializer }

// Serialize writes v as JSON.
func (serializer) Serialize(c echo.Context, v any, _ string) error {
	enc := json.NewEncoder(c.Response())
	enc.SetEscapeHTML(false)
	return enc.Encode(v)
}

func setCode(c echo.Context, code result.Code) {
	c.Response().Header().Set("Fulmar-Code", strconv.Itoa(int(code)))
	c.Response().Header().Set("Fulmar-Outcome", string(code.Info().Outcome))
}

func (a *api) writeFailure(c echo.Context, code result.Code, detail string, verdict *Verdict) {
	setCode(c, code)
	body := Failure{Code: code, Name: code.String(), Outcome: code.Info().Outcome, Detail: detail, RequestID: requestID(c), Verdict: verdict}
	if err := c.JSON(code.Info().HTTPStatus, body); err != nil {
		a.log.V(1).Info("response not sent", "error", err.Error())
	}
}

// respond sends v as JSON, or returns err if it is not nil.
func respond[T any](c echo.Context, v T, err error) error {
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, v)
}

// respondVerdict sends a verdict. Unless its code is OK or ConfigDuplicate, it is sent
// in a Failure with the HTTP status of the code.
func (a *api) respondVerdict(c echo.Context, v Verdict, err error) error {
	if err != nil {
		return err
	}
	if v.Name == "" {
		v.Name = v.Code.String()
	}
	if v.Code == result.OK || v.Code == result.ConfigDuplicate {
		return c.JSON(http.StatusOK, v)
	}
	a.writeFailure(c, v.Code, v.Detail, &v)
	return nil
}

// decodeBody decodes a request body and rejects unknown fields, so that a misspelt
// field is not ignored.
func decodeBody(c echo.Context, into any) error {
	dec := json.NewDecoder(c.Request().Body)
	dec.DisallowUnknownFields()
	err := dec.Decode(into)
	if err == nil {
		_, err = dec.Token()
		if err == io.EOF {
			return nil
		}
		if err == nil {
			return result.Errorf(result.UsageError, "the request body contains more than one JSON value")
		}
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return result.Errorf(result.BodyTooLarge, "the request body exceeds %d bytes", MaxBodyBytes)
	}
	return result.Errorf(result.UsageError, "invalid request body: %v", err)
}

func isMissing(raw json.RawMessage) bool { return len(raw) == 0 || string(raw) == "null" }

func (a *api) health(c echo.Context) error {
	return c.JSON(http.StatusOK, map[string]any{"status": "ok", "vm": a.backend.Self().ID})
}

func (a *api) ready(c echo.Context) error {
	r := a.backend.Readiness(c.Request().Context())
	if r.Ready {
		return c.JSON(http.StatusOK, r)
	}
	if len(r.Reasons) == 0 {
		r.Reasons = []ReadinessReason{NewReadinessReason(result.NotReady, "no reason given")}
	}
	code := r.Reasons[0].Code
	setCode(c, code)
	return c.JSON(http.StatusServiceUnavailable, r)
}

func (a *api) config(c echo.Context) error {
	v, err := a.backend.Config(c.Request().Context(), c.QueryParam("section"))
	return respond(c, v, err)
}

func (a *api) check(c echo.Context) error {
	var req PublishRequest
	if err := decodeBody(c, &req); err != nil {
		return err
	}
	if isMissing(req.Edit) {
		return result.Errorf(result.UsageError, "the field edit is missing")
	}
	v, err := a.backend.Check(c.Request().Context(), req.Edit)
	return a.respondVerdict(c, v, err)
}

func (a *api) publish(c echo.Context) error {
	var req PublishRequest
	if err := decodeBody(c, &req); err != nil {
		return err
	}
	if req.Wait == "" {
		req.Wait = WaitApplied
	}
	if req.Timeout == 0 {
		req.Timeout = Millis(DefaultPublishWait.Milliseconds())
	}
	switch {
	case isMissing(req.Edit):
		return result.Errorf(result.UsageError, "the field edit is missing")
	case req.Wait != WaitNone && req.Wait != WaitAccepted && req.Wait != WaitApplied:
		return result.Errorf(result.UsageError, "wait must be none, accepted or applied, not %q", req.Wait)
	case req.Timeout < 0 || req.Timeout > Millis(MaxPublishWait.Milliseconds()):
		return result.Errorf(result.UsageError, "timeout_ms must be from 0 to %d", MaxPublishWait.Milliseconds())
	}
	v, err := a.backend.Publish(c.Request().Context(), req)
	return a.respondVerdict(c, v, err)
}

func (a *api) genesis(c echo.Context) error {
	var req GenesisRequest
	if err := decodeBody(c, &req); err != nil {
		return err
	}
	if isMissing(req.Record) {
		return result.Errorf(result.UsageError, "the field record is missing")
	}
	v, err := a.backend.Genesis(c.Request().Context(), req.Record)
	return a.respondVerdict(c, v, err)
}

func (a *api) history(c echo.Context) error {
	limit, err := intParam(c, "limit", DefaultHistoryLimit, MaxEvents)
	if err != nil {
		return err
	}
	q := HistoryQuery{Section: c.QueryParam("section"), Team: c.QueryParam("team"), Limit: int(limit)}
	entries, err := a.backend.History(c.Request().Context(), q)
	return respond(c, nonNil(entries), err)
}

func (a *api) status(c echo.Context) error {
	id := c.QueryParam("id")
	if id == "" {
		return result.Errorf(result.UsageError, "the parameter id is missing")
	}
	v, err := a.backend.EditStatus(c.Request().Context(), id)
	return respond(c, v, err)
}

func (a *api) servers(c echo.Context) error {
	q := ServersQuery{
		Service: fleet.Service(c.QueryParam("service")),
		Region:  fleet.Region(c.QueryParam("region")),
		ID:      fleet.ServerID(c.QueryParam("id")),
	}
	servers, err := a.backend.Servers(c.Request().Context(), q)
	return respond(c, nonNil(servers), err)
}

func (a *api) vms(c echo.Context) error {
	vms, err := a.backend.VMs(c.Request().Context())
	return respond(c, nonNil(vms), err)
}

func (a *api) shards(c echo.Context) error {
	q := ShardsQuery{Region: fleet.Region(c.QueryParam("region")), Class: c.QueryParam("class"), MemberOnly: c.QueryParam("mine") == "true"}
	shards, err := a.backend.Shards(c.Request().Context(), q)
	return respond(c, nonNil(shards), err)
}

func (a *api) drain(c echo.Context) error {
	var req DrainRequest
	if err := decodeBody(c, &req); err != nil {
		return err
	}
	if self := a.backend.Self().ID; req.VM != self {
		return result.Errorf(result.NotFound, "the request is for VM %q, but this VM is %q", req.VM, self)
	}
	v, err := a.backend.Drain(c.Request().Context(), req)
	return respond(c, v, err)
}

// nonNil returns an empty slice for nil, so that JSON has an empty array instead of null.
func nonNil[T any](items []T) []T {
	if items == nil {
		return []T{}
	}
	return items
}

// intParam parses a query parameter, an integer from 0 to maxValue. If the parameter is
// missing or empty, it returns defaultValue.
func intParam(c echo.Context, name string, defaultValue, maxValue int64) (int64, error) {
	text := c.QueryParam(name)
	if text == "" {
		return defaultValue, nil
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < 0 || n > maxValue {
		return 0, result.Errorf(result.UsageError, "%s must be a number from 0 to %d, not %q", name, maxValue, text)
	}
	return n, nil
}
