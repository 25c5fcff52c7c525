package main

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"github.com/fulmarbeam/fulmarbeam/pkg/bench"
)

func newSlopes() *cobra.Command {
	var asJSON, quick bool
	cmd := &cobra.Command{
		Use:   "slopes",
		Short: "Measure how memory and processor time of the product's code grow with sizes",
		Long: `Runs the deterministic packages in this process on a simulated clock with several
sizes of each kind, fits a line to each cost, and prints a table, or JSON with --json.
This takes several minutes. With --quick it uses a tenth of the sizes, to try the
command.`,
		Example: "  fulmarbench slopes --json > slopes.json",
		Args: func(cmd *cobra.Command, args []string) error {
			return usageError(cobra.NoArgs(cmd, args))
		},
		RunE: func(cmd *cobra.Command, _ []string) error {
			report, err := bench.MeasureSlopes(bench.SlopeOptions{
				Quick: quick, Progress: func(text string) { fmt.Fprintln(cmd.ErrOrStderr(), text) },
			})
			if err != nil {
				return err
			}
			return writeSlopes(cmd.OutOrStdout(), report, asJSON)
		},
	}
	cmd.Flags().BoolVar(&asJSON, "json", false, "print JSON instead of the table")
	cmd.Flags().BoolVar(&quick, "quick", false, "use a tenth of the sizes")
	return cmd
}

func writeSlopes(out io.Writer, report *bench.SlopeReport, asJSON bool) error {
	if !asJSON {
		return report.Write(out)
	}
	e := json.NewEncoder(out)
	e.SetIndent("", "  ")
	return errors.Trace(e.Encode(report))
}
