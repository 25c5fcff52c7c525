package operator

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/journal"
	"github.com/fulmarbeam/fulmarbeam/pkg/result"
)

// fakeBackend returns fixed values.
type fakeBackend struct {
	Backend      // nil: methods that are not overridden panic
	id           fleet.VMID
	verdict      Verdict
	streamPanics bool   // Stream panics
	edit         string // edit of the last publish request
	err          error
	events       []fleet.Event
	vms          []VMStatus
}

func (b *fakeBackend) Self() VMStatus                      { return VMStatus{ID: b.id, Self: true} }
func (b *fakeBackend) Readiness(context.Context) Readiness { return Readiness{} }
func (b *fakeBackend) Config(context.Context, string) (ConfigView, error) {
	return ConfigView{VM: b.id}, b.err
}
func (b *fakeBackend) Check(context.Context, json.RawMessage) (Verdict, error) {
	return b.verdict, b.err
}
func (b *fakeBackend) Publish(_ context.Context, req PublishRequest) (Verdict, error) {
	b.edit = string(req.Edit)
	return b.verdict, b.err
}
func (b *fakeBackend) VMs(context.Context) ([]VMStatus, error) { return b.vms, b.err }
func (b *fakeBackend) Events(context.Context, journal.Query) ([]fleet.Event, error) {
	return b.events, b.err
}
func (b *fakeBackend) Stream(context.Context, journal.Query) (journal.StreamResult, error) {
	if b.streamPanics {
		panic("stream")
	}
	return journal.StreamResult{Events: b.events}, nil
}

func serve(h http.Handler, method, path, body string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
	return w
}

// Every failed response must have the HTTP status and the headers of its result code.
func TestFailuresHaveCodes(t *testing.T) {
	h := NewHandler(Options{Backend: &fakeBackend{id: "a", verdict: NewVerdict(result.ConfigConflict, "base")}})
	for _, test := range []struct {
		method, path, body string
		code               result.Code
	}{
		{"GET", "/v1/ready", "", result.NotReady},
		{"GET", "/v1/nothing", "", result.NotFound},
		{"GET", "/v1/drain", "", result.MethodNotAllowed},
		{"GET", "/v1/events?limit=x", "", result.UsageError},
		{"GET", "/v1/config/status", "", result.UsageError},
		{"GET", "/v1/shards", "", result.Internal}, // the backend panics
		{"POST", "/v1/config/check", `{"edit":{}}`, result.ConfigConflict},
		{"POST", "/v1/config/publish", `{"edit":{}}`, result.ConfigConflict},
		{"POST", "/v1/config/publish", `{"edit":{},"wiat":"none"}`, result.UsageError},
		{"POST", "/v1/config/publish", `{"edit":{}}{}`, result.UsageError},
		{"POST", "/v1/config/publish", `{"edit":"` + strings.Repeat("x", MaxBodyBytes) + `"}`, result.BodyTooLarge},
		{"POST", "/v1/config/publish", `{"edit":null}`, result.UsageError},
		{"POST", "/v1/config/genesis", `{}`, result.UsageError},
		{"POST", "/v1/drain", `{"vm":"b"}`, result.NotFound},
	} {
		w := serve(h, test.method, test.path, test.body)
		require.Equal(t, test.code.Info().HTTPStatus, w.Code, test.path)
		require.Equal(t, strconv.Itoa(int(test.code)), w.Header().Get("Fulmar-Code"), test.path)
		require.Equal(t, string(test.code.Info().Outcome), w.Header().Get("Fulmar-Outcome"), test.path)
	}
}

// Signatures cover the exact bytes of an edit, so the client must send them unchanged.
// If the response is lost, the outcome of a publish request is unknown. Check and drain
// requests append no record and fail as unreachable.
func TestClientPublish(t *testing.T) {
	backend := &fakeBackend{id: "a"}
	s := httptest.NewServer(NewHandler(Options{Backend: backend}))
	defer s.Close()
	aborting := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer aborting.Close()
	client := func(urls ...string) *Client {
		var addrs []string
		for _, u := range urls {
			addrs = append(addrs, strings.TrimPrefix(u, "http://"))
		}
		c, err := NewClient(ClientConfig{Addresses: addrs})
		require.NoError(t, err)
		return c
	}
	edit := json.RawMessage(`{"patch":{"a":"<&>"}}`)
	_, err := client(aborting.URL, s.URL).Publish(context.Background(), PublishRequest{Edit: edit})
	require.NoError(t, err, "the second VM responds")
	require.Equal(t, string(edit), backend.edit)
	_, err = client(aborting.URL).Publish(context.Background(), PublishRequest{Edit: edit})
	require.Equal(t, result.ConfigUnknown, toResultError(err).Code)
	_, err = client(aborting.URL).Check(context.Background(), edit)
	require.Equal(t, result.Unreachable, toResultError(err).Code)
	_, err = client(aborting.URL).Drain(context.Background(), DrainRequest{VM: "a"})
	require.Equal(t, result.Unreachable, toResultError(err).Code)
}

// An unreachable VM must not prevent the events of the others from being returned.
func TestExplainWithOneVMUnreachable(t *testing.T) {
	shared := fleet.Event{Kind: "eject", At: 2, VM: "b", Reason: "failing"}
	peer := httptest.NewServer(NewHandler(Options{Backend: &fakeBackend{id: "b", events: []fleet.Event{shared}}}))
	defer peer.Close()
	closed := httptest.NewServer(nil)
	closed.Close()
	addr := func(s *httptest.Server) string { return strings.TrimPrefix(s.URL, "http://") }
	h := NewHandler(Options{Dial: NewPeerDialer(nil), Backend: &fakeBackend{
		id: "a", events: []fleet.Event{{Kind: "eject", At: 1, VM: "a"}, shared},
		vms: []VMStatus{{ID: "a", Self: true}, {ID: "b", OperatorAddr: addr(peer)}, {ID: "c", OperatorAddr: addr(closed)}},
	}})
	var x Explanation
	require.NoError(t, json.Unmarshal(serve(h, "GET", "/v1/explain", "").Body.Bytes(), &x))
	require.Len(t, x.Events, 2)
	codes := map[string]result.Code{}
	for _, s := range x.Sources {
		codes[s.Name] = s.Code
	}
	require.Equal(t, map[string]result.Code{"a": 0, "b": 0, "c": result.Unreachable, StreamSource: 0}, codes)
	w := serve(NewHandler(Options{Backend: &fakeBackend{id: "a", streamPanics: true}}), "GET", "/v1/explain", "")
	require.Contains(t, w.Body.String(), `"code":6006`, "a panic while reading the stream must be reported as a failed source")
}
