package proxy

import (
	"strconv"
	"strings"
	"time"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/pool"
	"github.com/fulmarbeam/fulmarbeam/pkg/result"
)

// step is one decision about a request, kept for the line that the log gets at the
// request's end.
type step struct {
	server fleet.ServerID
	trial  bool
	basis  pool.Basis
	at     time.Duration // since the request arrived
	took   time.Duration
	end    pool.EndState
	status int // of the server's answer; 0 without one
	code   result.Code
}

// String returns the step as "server[!trial] at+took end/status risk=..".
func (s step) String() string {
	var b strings.Builder
	if s.server == "" {
		b.WriteString("none")
	} else {
		b.WriteString(string(s.server))
	}
	if s.trial {
		b.WriteString(" trial")
	}
	b.WriteString(" at=" + ms(s.at) + " took=" + ms(s.took) + " end=" + endName(s.end))
	if s.status != 0 {
		b.WriteString(" status=" + strconv.Itoa(s.status))
	}
	if s.code != result.OK {
		b.WriteString(" code=" + s.code.String())
	}
	b.WriteString(" risk=" + strconv.FormatFloat(s.basis.Risk, 'f', 3, 64) + " risk_age=" + ms(s.basis.Age) +
		" load=" + strconv.Itoa(s.basis.Load) + " wait=" + ms(s.basis.Wait) + " place=" + s.basis.Place + " servers=" + strconv.Itoa(s.basis.Servers))
	return b.String()
}

func ms(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) + "ms" }

// tell logs the request's line: one for each request that did not go well on its
// first server, and one of okEvery others.
func (x *exchange) tell() {
	well := x.code == result.OK && x.status < 500 && len(x.steps) <= 1
	if well && x.p.wellServed.Add(1)%okEvery != 0 {
		return
	}
	steps := make([]string, len(x.steps))
	for i, s := range x.steps {
		steps[i] = s.String()
	}
	x.p.log.Info("request", "request", x.id, "route", x.route.Name, "service", x.route.Route.Service,
		"code", int(x.code), "name", x.code.String(), "status", x.status, "revision", x.revision,
		"took_ms", time.Since(x.begun).Milliseconds(), "allowed_ms", x.allowed.Milliseconds(), "steps", steps, "detail", x.detail)
}

// okEvery is how many requests that went well share one line of the log.
const okEvery = 50
