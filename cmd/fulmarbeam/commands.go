package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"runtime"
	"runtime/debug"

	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"github.com/fulmarbeam/fulmarbeam/pkg/result"
	"github.com/fulmarbeam/fulmarbeam/pkg/settings"
	"github.com/fulmarbeam/fulmarbeam/pkg/wire"
)

// execute runs the command line and returns the exit code. docs/errors.md lists the
// exit codes.
func execute(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	root := newRoot()
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return 0
	}
	fmt.Fprintln(stderr, "error:", err)
	var resultErr *result.Error
	if errors.As(err, &resultErr) {
		return resultErr.Code.Info().ExitCode
	}
	return result.UsageError.Info().ExitCode
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:           "fulmarbeam",
		Short:         "Entry VM of a proxy fleet that is responsible for request outcomes",
		SilenceUsage:  true,
		SilenceErrors: true,
		Args:          cobra.NoArgs,
		RunE:          func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
	}
	root.AddCommand(newRun(), newServe(), newCheck(), newDemo(), newVersion())
	return root
}

func newRun() *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:     "run",
		Short:   "Run an entry VM until SIGTERM",
		Example: "  fulmarbeam run --settings /etc/fulmarbeam/settings.jsonc",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := loadSettings(file)
			if err != nil {
				return err
			}
			return runNode(cmd.Context(), s)
		},
	}
	cmd.Flags().StringVar(&file, "settings", "", "settings file (JSON with comments)")
	_ = cmd.MarkFlagRequired("settings")
	return cmd
}

// loadSettings loads a settings file. If the file cannot be read, the error has the code
// SettingsInvalid.
func loadSettings(file string) (*settings.Settings, error) {
	s, err := settings.Load(file)
	var problems *settings.Error
	if err != nil && !errors.As(err, &problems) {
		return nil, result.Errorf(result.SettingsInvalid, "%v", err)
	}
	return s, err
}

func newCheck() *cobra.Command {
	var asJSON, forGateway bool
	cmd := &cobra.Command{
		Use:     "check FILE",
		Short:   "Check a settings file and report all problems",
		Example: "  fulmarbeam check settings.jsonc",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var err error
			if forGateway {
				_, err = settings.LoadGateway(args[0])
			} else {
				_, err = loadSettings(args[0])
			}
			var problems *settings.Error
			if asJSON && errors.As(err, &problems) {
				enc := json.NewEncoder(cmd.OutOrStdout())
				enc.SetIndent("", "  ")
				if encErr := enc.Encode(problems.Problems); encErr != nil {
					return result.Errorf(result.Internal, "output: %v", encErr)
				}
			}
			if err == nil {
				fmt.Fprintln(cmd.OutOrStdout(), args[0]+": ok")
			}
			return err
		},
	}
	cmd.Flags().BoolVar(&forGateway, "gateway", false, "check a settings file of fulmarbeam serve")
	cmd.Flags().BoolVar(&asJSON, "json", false, "print the problems as JSON")
	return cmd
}

func newVersion() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version of the program and of the link protocol",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			fmt.Fprintf(cmd.OutOrStdout(), "fulmarbeam %s, link protocol %d, %s\n", version(), wire.ProtocolVersion, runtime.Version())
			return nil
		},
	}
}

// version returns the module version or, if it is not set, the VCS revision of the build.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	if v := info.Main.Version; v != "" && v != "(devel)" {
		return v
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return s.Value
		}
	}
	return "devel"
}
