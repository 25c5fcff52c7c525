package document

import "time"

// Defaults of format 1. They are part of the format: changing one would change the
// meaning of published documents, so it requires a new format.
const (
	DefaultKeySlices    = 64
	DefaultKeyRetention = Duration(10 * time.Minute)
	DefaultWarmup       = Duration(0)
	DefaultHealthPath   = "/healthz"
	DefaultWeight       = 1.0
	DefaultDeadline     = Duration(30 * time.Second)
	DefaultRetries      = 1       // retries of idempotent requests
	DefaultMaxBody      = 1 << 20 // bytes
)

// WithDefaults returns the root with absent fields set to the defaults of format 1.
func (r Root) WithDefaults() Root {
	if r.KeySlices == 0 {
		r.KeySlices = DefaultKeySlices
	}
	if r.KeyRetention == 0 {
		r.KeyRetention = DefaultKeyRetention
	}
	return r
}

// WithDefaults returns the service with absent fields set to the defaults of format 1.
func (s Service) WithDefaults() Service {
	if s.HealthPath == "" {
		s.HealthPath = DefaultHealthPath
	}
	return s
}

// WithDefaults returns the route with absent fields set to the defaults of format 1. Retries
// of a route that is not idempotent stay 0; a request that provably was not executed
// may still be retried.
func (r Route) WithDefaults() Route {
	if r.Length == "" {
		r.Length = LengthLearned
	}
	if r.Key == "" && !r.Idempotent {
		r.Key = KeyOptional
	}
	if r.Weight == 0 {
		r.Weight = DefaultWeight
	}
	if r.Deadline == 0 {
		r.Deadline = DefaultDeadline
	}
	if r.Attempts > 0 {
		r.Retries = r.Attempts - 1
	} else if r.Retries == 0 && r.Idempotent {
		r.Retries = DefaultRetries
	}
	if r.MaxBody == 0 {
		r.MaxBody = DefaultMaxBody
	}
	return r
}

// WithDefaults returns the workspace with absent fields set to the defaults of format 1.
func (w Workspace) WithDefaults() Workspace {
	if w.Weight == 0 {
		w.Weight = DefaultWeight
	}
	return w
}
