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

// Default values of flags.
const (
	defaultAddress    = "127.0.0.1:7500"
	defaultTimeout    = 30 * time.Second
	defaultTryTimeout = 5 * time.Second
	// publishResponseMargin is added to the wait time of a publish request to get the
	// timeout of its response.
	publishResponseMargin = 2 * time.Second
)

// options holds the values of the global flags.
type options struct {
	addresses  []string
	output     string
	timeout    time.Duration
	tryTimeout time.Duration
	tls        tlsconf.Files
	tlsName    string
}

// run executes the command line and returns the exit code. docs/errors.md lists the
// exit codes.
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
	resultErr := toResultError(err)
	if o.output == outputJSON {
		_ = json.NewEncoder(stderr).Encode(operator.Failure{Code: resultErr.Code, Name: resultErr.Code.String(), Outcome: resultErr.Code.Info().Outcome, Detail: resultErr.Detail})
	} else {
		fmt.Fprintln(stderr, "error:", resultErr)
	}
	return resultErr.Code.Info().ExitCode
}

// toResultError converts an error to a *result.Error. Errors without a result code come
// from cobra's validation of the command line.
func toResultError(err error) *result.Error {
	var resultErr *result.Error
	if errors.As(err, &resultErr) {
		return resultErr
	}
	return result.Errorf(result.UsageError, "%v", err)
}

func newRoot(o *options) *cobra.Command {
	root := &cobra.Command{
		Use:   "fulmarctl",
		Short: "Operate a fulmarbeam proxy fleet",
		Long: "Fulmarctl reads and edits the fleet's configuration, and shows the fleet's decisions and their reasons.\n" +
			"Exit codes are listed in docs/errors.md.",
		Example: "  fulmarctl --address 127.0.0.1:7500 vms\n" +
			"  fulmarctl config get --section payments --file payments.jsonc\n" +
			"  fulmarctl explain --server pay-07 --since 15m",
		SilenceUsage:  true,
		SilenceErrors: true,
		Args:          cobra.NoArgs,
		PersistentPreRunE: func(*cobra.Command, []string) error {
			if o.output != outputJSON && o.output != outputTable {
				return result.Errorf(result.UsageError, "--output must be json or table, not %q", o.output)
			}
			return nil
		},
		RunE: func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
	}
	f := root.PersistentFlags()
	f.StringSliceVar(&o.addresses, "address", []string{defaultAddress}, "address of a VM's operator API; several are tried in order")
	f.StringVarP(&o.output, "output", "o", outputTable, "output format: json or table")
	f.DurationVar(&o.timeout, "timeout", defaultTimeout, "timeout of the whole command")
	f.DurationVar(&o.tryTimeout, "try-timeout", defaultTryTimeout, "timeout per address")
	f.StringVar(&o.tls.Cert, "tls-cert", "", "client certificate file (PEM)")
	f.StringVar(&o.tls.Key, "tls-key", "", "client key file (PEM)")
	f.StringVar(&o.tls.CA, "tls-ca", "", "file with the certificate authorities of the VMs (PEM)")
	f.StringVar(&o.tlsName, "tls-name", "", "name in the VM's certificate if it differs from the host in the address")
	completeWith(root, "output", outputJSON, outputTable)
	root.AddCommand(newConfig(o), newKey(o), newGenesisCommand(o), newServers(o), newVMs(o), newExplain(o), newDrain(o))
	return root
}

// completeWith registers fixed values for the shell completion of a flag.
func completeWith(cmd *cobra.Command, flag string, choices ...string) {
	// Registration fails only if the flag does not exist.
	_ = cmd.RegisterFlagCompletionFunc(flag, cobra.FixedCompletions(choices, cobra.ShellCompDirectiveNoFileComp))
}

// tlsSource loads the certificates that the flags name. It returns nil if none is set.
func (o *options) tlsSource() (*tlsconf.Source, error) {
	if o.tls == (tlsconf.Files{}) {
		return nil, nil
	}
	if o.tls.Cert == "" || o.tls.Key == "" || o.tls.CA == "" {
		return nil, result.Errorf(result.UsageError, "--tls-cert, --tls-key and --tls-ca must be given together")
	}
	return tlsconf.New(o.tls)
}

// newClient returns a client for the given addresses, or for those of --address. The
// timeout applies to each address, and name is the expected name in the certificate.
// Connections use TLS if the flags name certificates.
func (o *options) newClient(tryTimeout time.Duration, name string, addresses ...string) (*operator.Client, error) {
	src, err := o.tlsSource()
	if err != nil {
		return nil, err
	}
	if len(addresses) == 0 {
		addresses = o.addresses
	}
	return operator.NewClient(operator.ClientConfig{Addresses: addresses, TLS: src, ServerName: name, Timeout: tryTimeout})
}

// withClient runs f with a client for --address and the command's timeout.
func withClient[T any](cmd *cobra.Command, o *options, f func(context.Context, *operator.Client) (T, error)) (T, error) {
	c, err := o.newClient(o.tryTimeout, o.tlsName)
	if err != nil {
		var zero T
		return zero, err
	}
	defer c.Close()
	ctx, cancel := context.WithTimeout(cmd.Context(), o.timeout)
	defer cancel()
	return f(ctx, c)
}
