package standin

import (
	"encoding/json"
	"net/http"
	"time"
)

// Control returns the HTTP control endpoint of the server, to be served on another
// port: GET /counts and /ledger; PUT /mode (Mode), /health (HealthOrder) and
// /drain (true or false); POST /restart and /close-idle.
func (b *Backend) Control() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, b.Counts()) })
	mux.HandleFunc("GET /ledger", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, b.Ledger()) })
	mux.HandleFunc("PUT /mode", accept(b.SetMode))
	mux.HandleFunc("PUT /drain", accept(b.Drain))
	mux.HandleFunc("PUT /health", accept(func(o HealthOrder) { b.SetHealth(o.Health, o.Lag) }))
	mux.HandleFunc("POST /restart", func(w http.ResponseWriter, _ *http.Request) { b.Restart() })
	mux.HandleFunc("POST /close-idle", func(w http.ResponseWriter, _ *http.Request) { b.CloseIdle() })
	return mux
}

// HealthOrder asks the health endpoint to report Health after Lag (in nanoseconds).
type HealthOrder struct {
	Health
	Lag time.Duration `json:"lag"`
}

// accept decodes a JSON body strictly and applies it.
func accept[T any](apply func(T)) http.HandlerFunc {
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
