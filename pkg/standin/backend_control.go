package standin

import (
	"encoding/json"
	"net/http"
	"time"
)

// Control returns the handler of the control endpoint, which needs a port of its own:
// GET /counts and /ledger; PUT /mode (Mode), /health (HealthRequest) and /drain (true or
// false); POST /restart and /close-idle. Durations in JSON are in nanoseconds.
func (b *Backend) Control() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, b.Counts()) })
	mux.HandleFunc("GET /ledger", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, b.Ledger()) })
	mux.HandleFunc("PUT /mode", decodeAndApply(b.SetMode))
	mux.HandleFunc("PUT /drain", decodeAndApply(b.Drain))
	mux.HandleFunc("PUT /health", decodeAndApply(func(request HealthRequest) { b.SetHealth(request.Health, request.Lag) }))
	mux.HandleFunc("POST /restart", func(w http.ResponseWriter, _ *http.Request) { b.Restart() })
	mux.HandleFunc("POST /close-idle", func(w http.ResponseWriter, _ *http.Request) { b.CloseIdle() })
	return mux
}

// HealthRequest makes the health endpoint report Health after Lag.
type HealthRequest struct {
	Health
	Lag time.Duration `json:"lag"`
}

// decodeAndApply returns a handler that passes the JSON body to apply. Unknown fields
// are rejected.
func decodeAndApply[T any](apply func(T)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var v T
		d := json.NewDecoder(http.MaxBytesReader(w, r.Body, 64<<10))
		d.DisallowUnknownFields()
		if err := d.Decode(&v); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		apply(v)
		w.WriteHeader(http.StatusNoContent)
	}
}
