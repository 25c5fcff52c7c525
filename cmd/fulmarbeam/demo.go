package main

import (
	"context"
	"crypto/ed25519"
	"crypto/rand"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"github.com/fulmarbeam/fulmarbeam/pkg/document"
	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/journal"
	"github.com/fulmarbeam/fulmarbeam/pkg/localfleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/operator"
	"github.com/fulmarbeam/fulmarbeam/pkg/standin"
)

// Parameters of the demo.
const (
	demoVMs          = 6
	demoServers      = 6
	demoRate         = 120 // requests per second
	demoHealthyPhase = 4 * time.Second
	demoGrayPhase    = 8 * time.Second
	demoTimeout      = 55 * time.Second
	demoGrayServer   = fleet.ServerID("ticket-3")
	demoSection      = "payments"
)

func newDemo() *cobra.Command {
	return &cobra.Command{
		Use:   "demo",
		Short: "Run a small fleet with simulated servers on loopback and show its behavior",
		Long: `Starts a log service, a VM list, six backend servers and six entry VMs in this
process on loopback, publishes a document, sends load, makes one server fail 40% of
its requests while its health checks pass, publishes two conflicting edits at the same
time, repeats a booking through another VM, and prints the fleet's decisions and their
reasons.`,
		Example: "  fulmarbeam demo",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, cancel := context.WithTimeout(cmd.Context(), demoTimeout)
			defer cancel()
			return runDemo(ctx, cmd.OutOrStdout())
		},
	}
}

// demo is a running demo.
type demo struct {
	out   io.Writer
	fleet *localfleet.Fleet
	key   ed25519.PrivateKey // key of the team payments
}

func runDemo(ctx context.Context, out io.Writer) error {
	d := &demo{out: out}
	if err := d.start(ctx); err != nil {
		return err
	}
	defer d.fleet.Close()
	load := newDemoLoad(d.callerAddrs())
	load.run(ctx, demoHealthyPhase)
	d.printf("healthy fleet: %s", load.takeSummary())
	d.fleet.Backend(demoGrayServer).SetMode(standin.Mode{Fault: standin.FaultError, FailShare: 0.4})
	since := time.Now()
	d.printf("server %s now fails 40%% of its work; its probes pass", demoGrayServer)
	load.run(ctx, demoGrayPhase)
	d.printf("with the gray server: %s", load.takeSummary())
	if err := d.publishConcurrently(ctx); err != nil {
		return err
	}
	if err := d.repeatBooking(ctx); err != nil {
		return err
	}
	return d.explain(ctx, since)
}

func (d *demo) printf(format string, args ...any) { fmt.Fprintf(d.out, format+"\n", args...) }

func (d *demo) start(ctx context.Context) error {
	_, rootKey, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return errors.Trace(err)
	}
	if _, d.key, err = ed25519.GenerateKey(rand.Reader); err != nil {
		return errors.Trace(err)
	}
	cfg := localfleet.Config{RootKey: rootKey}
	for i := range demoVMs {
		cfg.VMs = append(cfg.VMs, localfleet.VMSpec{ID: fleet.VMID(fmt.Sprintf("vm-%d", i+1)), Region: "addis", Zone: demoZone(i)})
	}
	for i := range demoServers {
		cfg.Servers = append(cfg.Servers, localfleet.ServerSpec{
			ID: fleet.ServerID(fmt.Sprintf("ticket-%d", i+1)), Service: "ticket-desk", Region: "addis", Zone: demoZone(i),
			Backend: standin.BackendConfig{Seed: uint64(i), Work: standin.WorkTime{Median: 20 * time.Millisecond, Sigma: 0.3}},
		})
	}
	if d.fleet, err = localfleet.Start(cfg); err != nil {
		return errors.Trace(err)
	}
	d.printf("started %d entry VMs and %d backend servers in two availability zones", demoVMs, demoServers)
	return d.publishInitial(ctx, rootKey)
}

func demoZone(i int) fleet.Zone { return fleet.Zone(fmt.Sprintf("addis-%d", i%2+1)) }

func (d *demo) publishInitial(ctx context.Context, rootKey ed25519.PrivateKey) error {
	via := d.fleet.Node("vm-1")
	root := document.Root{
		Teams: map[string]document.Team{
			"fleet":    {Keys: []string{localfleet.PublicKey(rootKey)}, Sections: []string{document.RootSection}},
			"payments": {Keys: []string{localfleet.PublicKey(d.key)}, Sections: []string{demoSection}},
		},
		KeySlices: 16,
		Regions:   []fleet.Region{"addis"},
	}
	if err := d.fleet.WriteGenesis(ctx, via, root); err != nil {
		return err
	}
	start := time.Now()
	v, err := d.fleet.Publish(ctx, via, "payments", demoSection, demoContent(2), d.key)
	if err != nil {
		return err
	}
	d.printf("published section %q: %s at revision %d, in effect on %d of %d VMs after %s",
		demoSection, v.Name, v.Revision, v.Applied, v.Listed, time.Since(start).Round(time.Millisecond))
	return d.fleet.AwaitReady(ctx)
}

func demoContent(menuWeight float64) document.Section {
	return document.Section{
		Services: map[fleet.Service]document.Service{
			"ticket-desk": {Servers: demoServers, Slots: 6, Connections: 330, Floor: document.Floor{Servers: 4}},
		},
		Routes: map[string]document.Route{
			"menu": {Path: "/menu", Methods: []string{"GET"}, Service: "ticket-desk", Idempotent: true, Retries: 2, Weight: menuWeight, Deadline: document.Duration(2 * time.Second)},
			"book": {Path: "/book", Methods: []string{"POST"}, Service: "ticket-desk", Key: document.KeyRequired, Weight: 5, Deadline: document.Duration(2 * time.Second)},
		},
	}
}

func (d *demo) callerAddrs() []string {
	var addrs []string
	for _, n := range d.fleet.Nodes() {
		addrs = append(addrs, n.CallersAddr())
	}
	slices.Sort(addrs)
	return addrs
}

// publishConcurrently publishes two edits based on the same revision through different VMs.
func (d *demo) publishConcurrently(ctx context.Context) error {
	verdicts := make(chan operator.Verdict, 2)
	publishErrs := make(chan error, 2)
	for i, id := range []fleet.VMID{"vm-1", "vm-2"} {
		via := d.fleet.Node(id)
		edit, err := localfleet.SignSection(ctx, via, "payments", demoSection, demoContent(float64(3+i)), d.key)
		if err != nil {
			return errors.Trace(err)
		}
		go func() {
			v, err := via.Publish(ctx, operator.PublishRequest{Edit: edit, Wait: operator.WaitApplied})
			publishErrs <- err
			verdicts <- v
		}()
	}
	d.printf("two people of team payments publish at the same time:")
	for range 2 {
		if err := <-publishErrs; err != nil {
			return errors.Trace(err)
		}
		v := <-verdicts
		d.printf("  edit %s: %s, current revision %d %s", v.EditID, v.Name, v.Revision, v.Detail)
	}
	return nil
}

// repeatBooking sends a booking twice, with the same idempotency key but through
// different VMs.
func (d *demo) repeatBooking(ctx context.Context) error {
	key := fmt.Sprintf("booking-%d", time.Now().UnixNano())
	for _, id := range []fleet.VMID{"vm-1", "vm-4"} {
		resp, err := send(ctx, d.fleet.Node(id).CallersAddr(), "POST", "/book", key)
		if err != nil {
			return errors.Trace(err)
		}
		d.printf("booking through %s: status %d, replayed %t", id, resp.status, resp.replayed)
	}
	runs := 0
	for _, b := range d.fleet.Backends() {
		runs += len(b.RunsByKey(key))
	}
	d.printf("the servers ran the booking %d time(s)", runs)
	return nil
}

// explain prints the events of all VMs since the server started to fail.
func (d *demo) explain(ctx context.Context, since time.Time) error {
	d.printf("what the fleet did and why, since the server became gray:")
	var lists [][]fleet.Event
	for _, n := range d.fleet.Nodes() {
		events, err := n.Events(ctx, journal.Query{From: since.UnixNano()})
		if err != nil {
			return errors.Trace(err)
		}
		lists = append(lists, events)
	}
	const maxEvents = 25
	for _, e := range firstPerSubject(journal.Merge(0, lists...), maxEvents) {
		d.printf("  +%6.2fs %s %s %s: %s %v", time.Unix(0, e.At).Sub(since).Seconds(), e.VM, e.Kind, e.Server, e.Reason, e.Detail)
	}
	return nil
}

// firstPerSubject returns the first event for each combination of kind, service and
// server, up to maxEvents events.
func firstPerSubject(events []fleet.Event, maxEvents int) []fleet.Event {
	type subject struct {
		kind    fleet.EventKind
		service fleet.Service
		server  fleet.ServerID
	}
	seen := make(map[subject]bool)
	var out []fleet.Event
	for _, e := range events {
		s := subject{e.Kind, e.Service, e.Server}
		if seen[s] || len(out) >= maxEvents {
			continue
		}
		seen[s] = true
		out = append(out, e)
	}
	return out
}
