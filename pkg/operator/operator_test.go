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

// fakeBackend answers with fixed values.
type fakeBackend struct {
	Backend // methods that a test does not expect panic
	id      fleet.VMID
	verdict Verdict
	panics  bool   // in Stream
	edit    string // of the last publish
	err     error
	events  []fleet.Event
	vms     []VMStatus
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
func (b *fakeBackend) Stream(context.Context, journal.Query) (journal.Reading, error) {
	if b.panics {
		panic("stream")
	}
	return journal.Reading{Events: b.events}, nil
}

func ask(h http.Handler, method, path, body string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
	return w
}

// Every failure must carry its code in status, headers and body.
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
		{"POST", "/v1/config/publish", `{"edit":"` + strings.Repeat("x", MaxBody) + `"}`, result.BodyTooLarge},
		{"POST", "/v1/config/publish", `{"edit":null}`, result.UsageError},
		{"POST", "/v1/config/genesis", `{}`, result.UsageError},
		{"POST", "/v1/drain", `{"vm":"b"}`, result.NotFound},
	} {
		w := ask(h, test.method, test.path, test.body)
		require.Equal(t, test.code.Info().HTTP, w.Code, test.path)
		require.Equal(t, strconv.Itoa(int(test.code)), w.Header().Get("Fulmar-Code"), test.path)
		require.Equal(t, string(test.code.Info().Outcome), w.Header().Get("Fulmar-Outcome"), test.path)
	}
}

// Signatures cover an edit's bytes: none may change on the way. An answer that is
// lost leaves a publish unknown, and a drain or a check, which append nothing, not.
func TestClientPublish(t *testing.T) {
	backend := &fakeBackend{id: "a"}
	s := httptest.NewServer(NewHandler(Options{Backend: backend}))
	defer s.Close()
	lost := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer lost.Close()
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
	_, err := client(lost.URL, s.URL).Publish(context.Background(), PublishRequest{Edit: edit})
	require.NoError(t, err, "the second VM answers")
	require.Equal(t, string(edit), backend.edit)
	_, err = client(lost.URL).Publish(context.Background(), PublishRequest{Edit: edit})
	require.Equal(t, result.ConfigUnknown, asResult(err).Code)
	_, err = client(lost.URL).Check(context.Background(), edit)
	require.Equal(t, result.Unreachable, asResult(err).Code)
	_, err = client(lost.URL).Drain(context.Background(), DrainRequest{VM: "a"})
	require.Equal(t, result.Unreachable, asResult(err).Code)
}

// One VM that cannot be reached must not hide the events of the others.
func TestExplainWithOneVMUnreachable(t *testing.T) {
	shared := fleet.Event{Kind: "eject", At: 2, VM: "b", Reason: "failing"}
	peer := httptest.NewServer(NewHandler(Options{Backend: &fakeBackend{id: "b", events: []fleet.Event{shared}}}))
	defer peer.Close()
	closed := httptest.NewServer(nil)
	closed.Close()
	addr := func(s *httptest.Server) string { return strings.TrimPrefix(s.URL, "http://") }
	h := NewHandler(Options{Dial: DialPeers(nil), Backend: &fakeBackend{
		id: "a", events: []fleet.Event{{Kind: "eject", At: 1, VM: "a"}, shared},
		vms: []VMStatus{{ID: "a", Self: true}, {ID: "b", Operators: addr(peer)}, {ID: "c", Operators: addr(closed)}},
	}})
	var x Explanation
	require.NoError(t, json.Unmarshal(ask(h, "GET", "/v1/explain", "").Body.Bytes(), &x))
	require.Len(t, x.Events, 2)
	codes := map[string]result.Code{}
	for _, s := range x.Sources {
		codes[s.Name] = s.Code
	}
	require.Equal(t, map[string]result.Code{"a": 0, "b": 0, "c": result.Unreachable, StreamSource: 0}, codes)
	w := ask(NewHandler(Options{Backend: &fakeBackend{id: "a", panics: true}}), "GET", "/v1/explain", "")
	require.Contains(t, w.Body.String(), `"code":6006`, "a panic while the stream is read must be a failed source")
}
