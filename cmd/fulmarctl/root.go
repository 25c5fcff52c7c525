package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"github.com/fulmarbeam/fulmarbeam/pkg/operator"
	"github.com/fulmarbeam/fulmarbeam/pkg/result"
	"github.com/fulmarbeam/fulmarbeam/pkg/tlsconf"
)

// Defaults of the flags.
const (
	defaultAddress    = "127.0.0.1:7500"
	defaultTimeout    = 30 * time.Second
	defaultTryTimeout = 5 * time.Second
	// answerMargin is the time beyond a publish's wait that its answer may take.
	answerMargin = 2 * time.Second
)

// options holds the flags that all commands share.
type options struct {
	addresses  []string
	output     string
	timeout    time.Duration
	tryTimeout time.Duration
	tls        tlsconf.Files
	tlsName    string
}

// run executes the command line and returns the exit code. docs/errors.md tables
// the exit codes.
func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	o := &options{}
	root := newRoot(o)
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return 0
	}
	coded := codedError(err)
	if o.output == outputJSON {
		_ = json.NewEncoder(stderr).Encode(operator.Failure{Code: coded.Code, Name: coded.Code.String(), Outcome: coded.Code.Info().Outcome, Detail: coded.Detail})
	} else {
		fmt.Fprintln(stderr, "error:", coded)
	}
	return coded.Code.Info().ExitCode
}

// codedError returns the error's result code. Errors without one come from cobra's
// own checks of the command line.
func codedError(err error) *result.Error {
	var coded *result.Error
	if errors.As(err, &coded) {
		return coded
	}
	return result.Errorf(result.UsageError, "%v", err)
}

func newRoot(o *options) *cobra.Command {
	root := &cobra.Command{
		Use:   "fulmarctl",
		Short: "Operate a fulmarbeam proxy fleet",
		Long: "Fulmarctl reads and edits the fleet's configuration, and tells what the fleet did and why.\n" +
			"Exit codes are listed in docs/errors.md.",
		Example: "  fulmarctl --address 127.0.0.1:7500 vms\n" +
			"  fulmarctl config get --section payments --file payments.jsonc\n" +
			"  fulmarctl explain --server pay-07 --since 15m",
		SilenceUsage:  true,
		SilenceErrors: true,
		Args:          cobra.NoArgs,
		PersistentPreRunE: func(*cobra.Command, []string) error {
			if o.output != outputJSON && o.output != outputTable {
				return result.Errorf(result.UsageError, "--output is json or table, not %q", o.output)
			}
			return nil
		},
		RunE: func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
	}
	f := root.PersistentFlags()
	f.StringSliceVar(&o.addresses, "address", []string{defaultAddress}, "operators' API of a VM; several are tried in turn")
	f.StringVarP(&o.output, "output", "o", outputTable, "output format: json or table")
	f.DurationVar(&o.timeout, "timeout", defaultTimeout, "time for the whole command")
	f.DurationVar(&o.tryTimeout, "try-timeout", defaultTryTimeout, "time for one address")
	f.StringVar(&o.tls.Cert, "tls-cert", "", "file of the client certificate (PEM)")
	f.StringVar(&o.tls.Key, "tls-key", "", "file of the client key (PEM)")
	f.StringVar(&o.tls.CA, "tls-ca", "", "file of the authorities that sign the VMs' certificates (PEM)")
	f.StringVar(&o.tlsName, "tls-name", "", "name in the VM's certificate, when it is not the address's host")
	complete(root, "output", outputJSON, outputTable)
	root.AddCommand(newConfig(o), newKey(o), newGenesisCommand(o), newServers(o), newVMs(o), newExplain(o), newDrain(o))
	return root
}

// complete offers fixed values for a flag in shell completion.
func complete(cmd *cobra.Command, flag string, choices ...string) {
	// The only error is a flag that does not exist, which a test would show.
	_ = cmd.RegisterFlagCompletionFunc(flag, cobra.FixedCompletions(choices, cobra.ShellCompDirectiveNoFileComp))
}

// source returns the certificates of the flags, or nil without them.
func (o *options) source() (*tlsconf.Source, error) {
	if o.tls == (tlsconf.Files{}) {
		return nil, nil
	}
	if o.tls.Cert == "" || o.tls.Key == "" || o.tls.CA == "" {
		return nil, result.Errorf(result.UsageError, "--tls-cert, --tls-key and --tls-ca belong together")
	}
	return tlsconf.New(o.tls)
}

// client returns the client of the given addresses, or of --address.
func (o *options) client(tryTimeout time.Duration, name string, addresses ...string) (*operator.Client, error) {
	src, err := o.source()
	if err != nil {
		return nil, err
	}
	if len(addresses) == 0 {
		addresses = o.addresses
	}
	return operator.NewClient(operator.ClientConfig{Addresses: addresses, TLS: src, ServerName: name, Timeout: tryTimeout})
}

// ask runs f with a client and the command's time limit.
func ask[T any](cmd *cobra.Command, o *options, f func(context.Context, *operator.Client) (T, error)) (T, error) {
	c, err := o.client(o.tryTimeout, o.tlsName)
	if err != nil {
		var none T
		return none, err
	}
	defer c.Close()
	ctx, cancel := context.WithTimeout(cmd.Context(), o.timeout)
	defer cancel()
	return f(ctx, c)
}
