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

// Bounds of the API.
const (
	MaxBody      = 1 << 20 // bytes of a request's body
	DefaultLimit = 100     // entries of a history
	// DefaultEvents and MaxEvents bound the events of one answer.
	DefaultEvents = 1000
	MaxEvents     = journal.RingSize
	// DefaultWait and MaxWait bound how long a publish waits.
	DefaultWait = 10 * time.Second
	MaxWait     = 2 * time.Minute
	// requestTimeout bounds every request but a publish that waits.
	requestTimeout = 15 * time.Second
	// maxRequests bounds the requests that run at once.
	maxRequests = 64

	headerTimeout  = 5 * time.Second
	bodyTimeout    = 15 * time.Second
	idleTimeout    = time.Minute
	maxHeaderBytes = 32 << 10
)

// Options describe the API of one VM. Backend is required.
type Options struct {
	Backend Backend
	Logger  logr.Logger
	// Dial returns the client of another VM's API, which explain asks. Without it
	// explain asks this VM and the stream only.
	Dial func(vm VMStatus) (*Client, error)
}

type api struct {
	backend Backend
	log     logr.Logger
	dial    func(vm VMStatus) (*Client, error)
	running chan struct{}
}

// NewHandler returns the API as an HTTP handler.
func NewHandler(o Options) http.Handler {
	a := &api{backend: o.Backend, log: o.Logger, dial: o.Dial, running: make(chan struct{}, maxRequests)}
	if a.log.GetSink() == nil {
		a.log = logr.Discard()
	}
	e := echo.New()
	e.JSONSerializer = serializer{}
	e.HTTPErrorHandler = a.fail
	e.Pre(a.identify)
	e.Use(a.bound, a.recovered)
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

// NewServer returns an HTTP server with the API's bounds. The caller serves on a
// listener, with tlsconf's Server configuration where certificates are set.
func NewServer(o Options) *http.Server {
	return &http.Server{
		Handler:           NewHandler(o),
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       bodyTimeout,
		WriteTimeout:      MaxWait + requestTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// Listen binds the API's address. Without certificates only a loopback address is
// accepted.
func Listen(address string, src *tlsconf.Source) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Annotate(err, "operators' listener")
	}
	if src != nil {
		return tls.NewListener(l, src.Server()), nil
	}
	if tcp, ok := l.Addr().(*net.TCPAddr); !ok || !tcp.IP.IsLoopback() {
		l.Close()
		return nil, result.Errorf(result.SettingsInvalid, "operators' listener %s is not a loopback address and has no certificates", address)
	}
	return l, nil
}

func requestID(c echo.Context) string { return c.Response().Header().Get(telemetry.RequestIDHeader) }

// identify gives each request an id, which the answer and the log repeat.
func (a *api) identify(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		c.Response().Header().Set(telemetry.RequestIDHeader, telemetry.RequestID(c.Request().Header))
		return next(c)
	}
}

// recovered makes a panic of the backend an answer with the code Internal.
func (a *api) recovered(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) (err error) {
		defer func() {
			if r := recover(); r != nil {
				err = result.Errorf(result.Internal, "panic: %v", r)
				a.log.Error(err, "operators' request panicked", "path", c.Path(), "request_id", requestID(c), "stack", string(debug.Stack()))
			}
		}()
		return next(c)
	}
}

// bound limits the body and the time of a request and how many run at once.
func (a *api) bound(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		// Publishes that wait must not fail the load balancer's readiness checks.
		if path := c.Path(); path != "/v1/health" && path != "/v1/ready" {
			select {
			case a.running <- struct{}{}:
				defer func() { <-a.running }()
			default:
				return result.Errorf(result.NoCapacity, "%d requests are already running", maxRequests)
			}
		}
		limit := requestTimeout
		if c.Path() == "/v1/config/publish" {
			limit += MaxWait
		}
		ctx, cancel := context.WithTimeout(c.Request().Context(), limit)
		defer cancel()
		req := c.Request().WithContext(ctx)
		req.Body = http.MaxBytesReader(c.Response(), req.Body, MaxBody)
		c.SetRequest(req)
		return next(c)
	}
}

// fail answers every error with its result code.
func (a *api) fail(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	coded := asResult(err)
	if coded.Code == result.Internal {
		a.log.Error(err, "operators' request failed", "path", c.Path(), "request_id", requestID(c))
	}
	a.answerFailure(c, coded.Code, coded.Detail, nil)
}

// serializer writes JSON without escapes for HTML: a section's content must arrive as
// it was signed.
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

func (a *api) answerFailure(c echo.Context, code result.Code, detail string, verdict *Verdict) {
	setCode(c, code)
	body := Failure{Code: code, Name: code.String(), Outcome: code.Info().Outcome, Detail: detail, RequestID: requestID(c), Verdict: verdict}
	if err := c.JSON(code.Info().HTTP, body); err != nil {
		a.log.V(1).Info("answer not sent", "error", err.Error())
	}
}

// answer sends v, or fails with err.
func answer[T any](c echo.Context, v T, err error) error {
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, v)
}

// judge sends a verdict. A refusal has the HTTP status of its code.
func (a *api) judge(c echo.Context, v Verdict, err error) error {
	if err != nil {
		return err
	}
	if v.Name == "" {
		v.Name = v.Code.String()
	}
	if v.Code == result.OK || v.Code == result.ConfigDuplicate {
		return c.JSON(http.StatusOK, v)
	}
	a.answerFailure(c, v.Code, v.Detail, &v)
	return nil
}

// read decodes a request's body strictly: a misspelt field must not be ignored.
func read(c echo.Context, into any) error {
	dec := json.NewDecoder(c.Request().Body)
	dec.DisallowUnknownFields()
	err := dec.Decode(into)
	if err == nil {
		_, err = dec.Token()
		if err == io.EOF {
			return nil
		}
		if err == nil {
			return result.Errorf(result.UsageError, "the body holds more than one JSON value")
		}
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return result.Errorf(result.BodyTooLarge, "the body exceeds %d bytes", MaxBody)
	}
	return result.Errorf(result.UsageError, "the body is not the expected JSON: %v", err)
}

func missing(raw json.RawMessage) bool { return len(raw) == 0 || string(raw) == "null" }

func (a *api) health(c echo.Context) error {
	return c.JSON(http.StatusOK, map[string]any{"status": "ok", "vm": a.backend.Self().ID})
}

func (a *api) ready(c echo.Context) error {
	r := a.backend.Readiness(c.Request().Context())
	if r.Ready {
		return c.JSON(http.StatusOK, r)
	}
	if len(r.Reasons) == 0 {
		r.Reasons = []ReasonLine{Reason(result.NotReady, "no reason is known")}
	}
	code := r.Reasons[0].Code
	setCode(c, code)
	return c.JSON(http.StatusServiceUnavailable, r)
}

func (a *api) config(c echo.Context) error {
	v, err := a.backend.Config(c.Request().Context(), c.QueryParam("section"))
	return answer(c, v, err)
}

func (a *api) check(c echo.Context) error {
	var req PublishRequest
	if err := read(c, &req); err != nil {
		return err
	}
	if missing(req.Edit) {
		return result.Errorf(result.UsageError, "the field edit is missing")
	}
	v, err := a.backend.Check(c.Request().Context(), req.Edit)
	return a.judge(c, v, err)
}

func (a *api) publish(c echo.Context) error {
	var req PublishRequest
	if err := read(c, &req); err != nil {
		return err
	}
	if req.Wait == "" {
		req.Wait = WaitApplied
	}
	if req.Timeout == 0 {
		req.Timeout = Millis(DefaultWait.Milliseconds())
	}
	switch {
	case missing(req.Edit):
		return result.Errorf(result.UsageError, "the field edit is missing")
	case req.Wait != WaitNone && req.Wait != WaitAccepted && req.Wait != WaitApplied:
		return result.Errorf(result.UsageError, "wait is none, accepted or applied, not %q", req.Wait)
	case req.Timeout < 0 || req.Timeout > Millis(MaxWait.Milliseconds()):
		return result.Errorf(result.UsageError, "timeout_ms is 0 to %d", MaxWait.Milliseconds())
	}
	v, err := a.backend.Publish(c.Request().Context(), req)
	return a.judge(c, v, err)
}

func (a *api) genesis(c echo.Context) error {
	var req GenesisRequest
	if err := read(c, &req); err != nil {
		return err
	}
	if missing(req.Record) {
		return result.Errorf(result.UsageError, "the field record is missing")
	}
	v, err := a.backend.Genesis(c.Request().Context(), req.Record)
	return a.judge(c, v, err)
}

func (a *api) history(c echo.Context) error {
	limit, err := number(c, "limit", DefaultLimit, MaxEvents)
	if err != nil {
		return err
	}
	q := HistoryQuery{Section: c.QueryParam("section"), Team: c.QueryParam("team"), Limit: int(limit)}
	entries, err := a.backend.History(c.Request().Context(), q)
	return answer(c, list(entries), err)
}

func (a *api) status(c echo.Context) error {
	id := c.QueryParam("id")
	if id == "" {
		return result.Errorf(result.UsageError, "the parameter id is missing")
	}
	v, err := a.backend.EditStatus(c.Request().Context(), id)
	return answer(c, v, err)
}

func (a *api) servers(c echo.Context) error {
	q := ServersQuery{
		Service: fleet.Service(c.QueryParam("service")),
		Region:  fleet.Region(c.QueryParam("region")),
		ID:      fleet.ServerID(c.QueryParam("id")),
	}
	servers, err := a.backend.Servers(c.Request().Context(), q)
	return answer(c, list(servers), err)
}

func (a *api) vms(c echo.Context) error {
	vms, err := a.backend.VMs(c.Request().Context())
	return answer(c, list(vms), err)
}

func (a *api) shards(c echo.Context) error {
	q := ShardsQuery{Region: fleet.Region(c.QueryParam("region")), Class: c.QueryParam("class"), Mine: c.QueryParam("mine") == "true"}
	shards, err := a.backend.Shards(c.Request().Context(), q)
	return answer(c, list(shards), err)
}

func (a *api) drain(c echo.Context) error {
	var req DrainRequest
	if err := read(c, &req); err != nil {
		return err
	}
	if self := a.backend.Self().ID; req.VM != self {
		return result.Errorf(result.NotFound, "the request is for VM %q, this is %q", req.VM, self)
	}
	v, err := a.backend.Drain(c.Request().Context(), req)
	return answer(c, v, err)
}

// list makes an empty answer an empty JSON array.
func list[T any](items []T) []T {
	if items == nil {
		return []T{}
	}
	return items
}

// number reads a query parameter from 0 to most.
func number(c echo.Context, name string, absent, most int64) (int64, error) {
	text := c.QueryParam(name)
	if text == "" {
		return absent, nil
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < 0 || n > most {
		return 0, result.Errorf(result.UsageError, "%s is a number from 0 to %d, not %q", name, most, text)
	}
	return n, nil
}
