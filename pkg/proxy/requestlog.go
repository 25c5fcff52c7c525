package proxy

import (
	"strconv"
	"strings"
	"time"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/pool"
	"github.com/fulmarbeam/fulmarbeam/pkg/result"
)

// attemptRecord describes one attempt, or a refusal to assign a server, for the request's log line.
type attemptRecord struct {
	server    fleet.ServerID
	trial     bool
	selection pool.SelectionInputs
	at        time.Duration // offset from the arrival of the request
	took      time.Duration
	end       pool.EndState
	status    int // of the server's response; 0 without one
	code      result.Code
}

// String formats the record as "server[ trial] at=.. took=.. end=.. [status=..] [code=..] risk=..".
func (r attemptRecord) String() string {
	var b strings.Builder
	if r.server == "" {
		b.WriteString("none")
	} else {
		b.WriteString(string(r.server))
	}
	if r.trial {
		b.WriteString(" trial")
	}
	b.WriteString(" at=" + ms(r.at) + " took=" + ms(r.took) + " end=" + endLabel(r.end))
	if r.status != 0 {
		b.WriteString(" status=" + strconv.Itoa(r.status))
	}
	if r.code != result.OK {
		b.WriteString(" code=" + r.code.String())
	}
	b.WriteString(" risk=" + strconv.FormatFloat(r.selection.Risk, 'f', 3, 64) + " risk_age=" + ms(r.selection.Age) +
		" load=" + strconv.Itoa(r.selection.Load) + " wait=" + ms(r.selection.Wait) + " place=" + r.selection.Locality + " servers=" + strconv.Itoa(r.selection.Servers))
	if r.selection.Held != 0 {
		b.WriteString(" held=" + strconv.Itoa(r.selection.Held))
	}
	return b.String()
}

func ms(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) + "ms" }

// logRequest logs the request if it failed or needed more than one attempt. Of the other requests it
// logs one in successLogInterval.
func (x *exchange) logRequest() {
	ok := x.code == result.OK && x.status < 500 && len(x.attempts) <= 1
	if ok && x.p.successes.Add(1)%successLogInterval != 0 {
		return
	}
	attempts := make([]string, len(x.attempts))
	for i, a := range x.attempts {
		attempts[i] = a.String()
	}
	x.p.log.Info("request", "request", x.id, "route", x.route.Name, "service", x.route.Route.Service, "workspace", x.knownWorkspace,
		"code", int(x.code), "name", x.code.String(), "status", x.status, "revision", x.revision,
		"took_ms", time.Since(x.start).Milliseconds(), "allowed_ms", x.timeout.Milliseconds(), "steps", attempts, "detail", x.detail)
}

// successLogInterval is the number of successful requests per logged one.
const successLogInterval = 50
