// Command fulmarstandin runs simulated platform services, backend servers and
// fault-injecting proxies on loopback, for tests and for evaluating a fleet.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"github.com/fulmarbeam/fulmarbeam/pkg/faultproxy"
	"github.com/fulmarbeam/fulmarbeam/pkg/standin"
)

const (
	loopbackAnyPort   = "127.0.0.1:0"
	readHeaderTimeout = 10 * time.Second
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := newRoot().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "error:", err)
		os.Exit(1)
	}
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:           "fulmarstandin",
		Short:         "Run simulated platform services, backend servers and faulty links on loopback",
		Long:          "Each command prints one line of JSON with its listening addresses and runs until SIGTERM.",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(newPlatform(), newServer(), newProxy())
	return root
}

func newPlatform() *cobra.Command {
	var logAddr, listAddr string
	var lag time.Duration
	cmd := &cobra.Command{
		Use:     "platform",
		Short:   "Run a log service and a VM list",
		Example: "  fulmarstandin platform --log 127.0.0.1:7001 --list 127.0.0.1:7002 --lag 2s",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			list := standin.NewVMList(standin.ListControl{LagMS: lag.Milliseconds()}, nil)
			return serve(cmd.Context(), cmd.OutOrStdout(), map[string]endpoint{
				"log":  {logAddr, standin.NewLog(standin.LogControl{}, nil).Handler()},
				"list": {listAddr, list.Handler()},
			}, nil)
		},
	}
	cmd.Flags().StringVar(&logAddr, "log", loopbackAnyPort, "address of the log service")
	cmd.Flags().StringVar(&listAddr, "list", loopbackAnyPort, "address of the VM list")
	cmd.Flags().DurationVar(&lag, "lag", 0, "delay until readers see changes of the VM list")
	return cmd
}

func newServer() *cobra.Command {
	cfg := standin.BackendConfig{}
	var control string
	cmd := &cobra.Command{
		Use:     "server",
		Short:   "Run a backend server with a limited number of slots, fault injection and a ledger of requests",
		Example: "  fulmarstandin server --name ticket-1 --slots 6 --work 20ms",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			b, err := standin.StartBackend(cfg)
			if err != nil {
				return errors.Trace(err)
			}
			defer b.Close()
			return serve(cmd.Context(), cmd.OutOrStdout(), map[string]endpoint{"control": {control, b.Control()}},
				map[string]string{"server": b.Addr()})
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&cfg.Name, "name", "server", "name of the server")
	flags.StringVar(&cfg.Addr, "addr", loopbackAnyPort, "address that serves requests")
	flags.StringVar(&control, "control", loopbackAnyPort, "address of the control endpoint")
	flags.IntVar(&cfg.Slots, "slots", 6, "maximum number of concurrent requests")
	flags.DurationVar(&cfg.Work.Median, "work", 0, "median work time")
	flags.Float64Var(&cfg.Work.Sigma, "sigma", 0, "standard deviation of the logarithm of the work time")
	flags.Uint64Var(&cfg.Seed, "seed", 1, "seed of work times and faults")
	flags.StringVar(&cfg.EchoHeader, "echo", "", "response header that returns the request's X-Request-Id")
	return cmd
}

func newProxy() *cobra.Command {
	var target, control string
	var seed uint64
	cmd := &cobra.Command{
		Use:     "proxy",
		Short:   "Run a TCP proxy that injects faults",
		Example: "  fulmarstandin proxy --target 127.0.0.1:7101",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			p, err := faultproxy.Start(target, seed)
			if err != nil {
				return errors.Trace(err)
			}
			defer p.Close()
			return serve(cmd.Context(), cmd.OutOrStdout(), map[string]endpoint{"control": {control, p.Control()}},
				map[string]string{"proxy": p.Addr()})
		},
	}
	cmd.Flags().StringVar(&target, "target", "", "address that connections are forwarded to")
	cmd.Flags().StringVar(&control, "control", loopbackAnyPort, "address of the control endpoint")
	cmd.Flags().Uint64Var(&seed, "seed", 1, "seed of random faults")
	_ = cmd.MarkFlagRequired("target")
	return cmd
}

// endpoint is an HTTP handler and its listen address.
type endpoint struct {
	addr    string
	handler http.Handler
}

// serve starts the endpoints, prints their addresses and the given ones, and serves until
// ctx ends.
func serve(ctx context.Context, out io.Writer, endpoints map[string]endpoint, addresses map[string]string) error {
	serveErr := make(chan error, len(endpoints))
	listening := make(map[string]string)
	for name, addr := range addresses {
		listening[name] = addr
	}
	for name, e := range endpoints {
		l, err := net.Listen("tcp", e.addr)
		if err != nil {
			return errors.Annotate(err, name)
		}
		listening[name] = l.Addr().String()
		server := &http.Server{Handler: e.handler, ReadHeaderTimeout: readHeaderTimeout}
		defer server.Close()
		go func() { serveErr <- server.Serve(l) }()
	}
	if err := json.NewEncoder(out).Encode(listening); err != nil {
		return errors.Trace(err)
	}
	select {
	case err := <-serveErr:
		return errors.Trace(err)
	case <-ctx.Done():
		return nil
	}
}
