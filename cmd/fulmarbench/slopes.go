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
		Short: "Measure memory and processor time of the product's own code against sizes",
		Long: `Runs the deterministic packages in this process on a simulated clock at several
sizes of each kind, fits a line to each cost, and prints a table, or JSON with --json.
Takes several minutes; --quick takes a tenth of the sizes to try the command.`,
		Example: "  fulmarbench slopes --json > slopes.json",
		Args: func(cmd *cobra.Command, args []string) error {
			return usage(cobra.NoArgs(cmd, args))
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
	cmd.Flags().BoolVar(&quick, "quick", false, "a tenth of the sizes")
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
