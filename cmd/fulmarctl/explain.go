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

// explainTimeout is what the operators' API takes at most to answer, and a margin.
const explainTimeout = 17 * time.Second

// explainFlags are the flags of explain.
type explainFlags struct {
	service, server, request, kind, vm string
	since                              time.Duration
	from, to                           string
	limit                              int
}

// query reads the flags. Now is the operator's clock.
func (f *explainFlags) query(now time.Time) (journal.Query, error) {
	q := journal.Query{
		Kind: fleet.EventKind(f.kind), Service: fleet.Service(f.service), Server: fleet.ServerID(f.server),
		Request: f.request, VM: fleet.VMID(f.vm), Limit: f.limit,
	}
	if f.limit < 0 || f.limit > operator.MaxEvents {
		return q, result.Errorf(result.UsageError, "--limit is 0 to %d", operator.MaxEvents)
	}
	if f.since < 0 {
		return q, result.Errorf(result.UsageError, "--since is a time before now, such as 15m")
	}
	if f.since > 0 {
		q.From = now.Add(-f.since).UnixNano()
	}
	for _, t := range []struct {
		flag, value string
		into        *int64
	}{{"from", f.from, &q.From}, {"to", f.to, &q.To}} {
		if t.value == "" {
			continue
		}
		at, err := time.Parse(time.RFC3339Nano, t.value)
		if err != nil {
			return q, result.Errorf(result.UsageError, "--%s is a time such as 2006-01-02T15:04:05Z, not %q", t.flag, t.value)
		}
		*t.into = at.UnixNano()
	}
	return q, nil
}

func newExplain(o *options) *cobra.Command {
	var f explainFlags
	cmd := &cobra.Command{
		Use:   "explain",
		Short: "Tell what the fleet did and why",
		Long: "Explain asks every VM for the events that it holds in memory, adds those of the fleet's log stream and\n" +
			"sorts them by time. A source that did not answer is named below the events.",
		Example: "  fulmarctl explain --server pay-07 --since 15m\n" +
			"  fulmarctl explain --request 0198c0de-5a1d-7c3e-9c11-0d3b5a7e9f00\n" +
			"  fulmarctl explain --service pay-counter --from 2026-03-01T10:00:00Z --to 2026-03-01T10:05:00Z -o json",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			q, err := f.query(time.Now())
			if err != nil {
				return err
			}
			o.tryTimeout = max(o.tryTimeout, explainTimeout) // the VM waits for silent VMs and the stream
			explanation, err := ask(cmd, o, func(ctx context.Context, c *operator.Client) (operator.Explanation, error) {
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
	flags.DurationVar(&f.since, "since", 0, "only events of the time before now, such as 15m")
	flags.StringVar(&f.from, "from", "", "only events from this time on (RFC 3339)")
	flags.StringVar(&f.to, "to", "", "only events before this time (RFC 3339)")
	flags.IntVar(&f.limit, "limit", operator.DefaultEvents, "number of events, the newest ones")
	cmd.MarkFlagsMutuallyExclusive("since", "from")
	return cmd
}

func explanationTable(x operator.Explanation) table {
	t := table{head: []string{"TIME", "VM", "KIND", "SERVICE", "SERVER", "REQUEST", "REASON", "DETAIL"}}
	for _, e := range x.Events {
		t.add(clock(e.At), string(e.VM), string(e.Kind), string(e.Service), string(e.Server), e.Request, e.Reason, pairs(e.Detail))
	}
	var notes []string
	for _, s := range x.Sources {
		if s.Code != result.OK || s.Detail != "" {
			notes = append(notes, printable(fmt.Sprintf("%s: %s %s", s.Name, s.Code, s.Detail)))
		}
	}
	for _, kind := range slices.Sorted(maps.Keys(x.Omitted)) {
		notes = append(notes, printable(fmt.Sprintf("%s: %d events of kind %s were left out by sampling", operator.StreamSource, x.Omitted[kind], kind)))
	}
	t.note = strings.Join(notes, "\n")
	return t
}

func pairs(m map[string]string) string {
	parts := make([]string, 0, len(m))
	for _, k := range slices.Sorted(maps.Keys(m)) {
		parts = append(parts, k+"="+m[k])
	}
	return strings.Join(parts, " ")
}
