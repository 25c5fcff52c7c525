package main

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/journal"
	"github.com/fulmarbeam/fulmarbeam/pkg/operator"
	"github.com/fulmarbeam/fulmarbeam/pkg/result"
)

// explainTimeout is the operator API's request timeout plus a margin.
const explainTimeout = 17 * time.Second

// explainFlags holds the flags of the explain command.
type explainFlags struct {
	service, server, request, kind, vm string
	since                              time.Duration
	from, to                           string
	limit                              int
}

// parse returns the query that the flags specify. now is the time that --since refers to.
func (f *explainFlags) parse(now time.Time) (journal.Query, error) {
	q := journal.Query{
		Kind: fleet.EventKind(f.kind), Service: fleet.Service(f.service), Server: fleet.ServerID(f.server),
		Request: f.request, VM: fleet.VMID(f.vm), Limit: f.limit,
	}
	if f.limit < 0 || f.limit > operator.MaxEventLimit {
		return q, result.Errorf(result.UsageError, "--limit must be from 0 to %d", operator.MaxEventLimit)
	}
	if f.since < 0 {
		return q, result.Errorf(result.UsageError, "--since must not be negative; use a duration such as 15m")
	}
	if f.since > 0 {
		q.From = now.Add(-f.since).UnixNano()
	}
	for _, t := range []struct {
		flag, value string
		target      *int64
	}{{"from", f.from, &q.From}, {"to", f.to, &q.To}} {
		if t.value == "" {
			continue
		}
		at, err := time.Parse(time.RFC3339Nano, t.value)
		if err != nil {
			return q, result.Errorf(result.UsageError, "--%s must be a time such as 2006-01-02T15:04:05Z, not %q", t.flag, t.value)
		}
		*t.target = at.UnixNano()
	}
	return q, nil
}

func newExplain(o *options) *cobra.Command {
	var f explainFlags
	cmd := &cobra.Command{
		Use:   "explain",
		Short: "Show the fleet's decisions and their reasons",
		Long: "Explain collects the events that the VMs hold in memory and those in the fleet's log stream, and sorts\n" +
			"them by time. Sources that failed are listed below the events.",
		Example: "  fulmarctl explain --server pay-07 --since 15m\n" +
			"  fulmarctl explain --request 0198c0de-5a1d-7c3e-9c11-0d3b5a7e9f00\n" +
			"  fulmarctl explain --service pay-counter --from 2026-03-01T10:00:00Z --to 2026-03-01T10:05:00Z -o json",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			q, err := f.parse(time.Now())
			if err != nil {
				return err
			}
			o.tryTimeout = max(o.tryTimeout, explainTimeout) // the VM waits for unresponsive VMs and the stream
			explanation, err := withClient(cmd, o, func(ctx context.Context, c *operator.Client) (operator.Explanation, error) {
				return c.Explain(ctx, q)
			})
			if err != nil {
				return err
			}
			return o.show(cmd, explanation, func() table { return explanationTable(explanation) })
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&f.service, "service", "", "only events of this service")
	flags.StringVar(&f.server, "server", "", "only events of this backend server")
	flags.StringVar(&f.request, "request", "", "only events of this request id")
	flags.StringVar(&f.kind, "kind", "", "only events of this kind")
	flags.StringVar(&f.vm, "vm", "", "only events of this VM")
	flags.DurationVar(&f.since, "since", 0, "only events at most this old, such as 15m")
	flags.StringVar(&f.from, "from", "", "only events at or after this time (RFC 3339)")
	flags.StringVar(&f.to, "to", "", "only events before this time (RFC 3339)")
	flags.IntVar(&f.limit, "limit", operator.DefaultEventLimit, "maximum number of events; the newest are shown")
	cmd.MarkFlagsMutuallyExclusive("since", "from")
	return cmd
}

func explanationTable(x operator.Explanation) table {
	t := table{head: []string{"TIME", "VM", "KIND", "SERVICE", "SERVER", "REQUEST", "REASON", "DETAIL"}}
	for _, e := range x.Events {
		t.addRow(formatTime(e.At), string(e.VM), string(e.Kind), string(e.Service), string(e.Server), e.Request, e.Reason, formatDetail(e.Detail))
	}
	var notes []string
	for _, s := range x.Sources {
		if s.Code != result.OK || s.Detail != "" {
			notes = append(notes, sanitize(fmt.Sprintf("%s: %s %s", s.Name, s.Code, s.Detail)))
		}
	}
	for _, kind := range slices.Sorted(maps.Keys(x.Omitted)) {
		notes = append(notes, sanitize(fmt.Sprintf("%s: %d events of kind %s omitted by sampling", operator.StreamSource, x.Omitted[kind], kind)))
	}
	t.note = strings.Join(notes, "\n")
	return t
}

func formatDetail(m map[string]string) string {
	parts := make([]string, 0, len(m))
	for _, k := range slices.Sorted(maps.Keys(m)) {
		parts = append(parts, k+"="+m[k])
	}
	return strings.Join(parts, " ")
}
