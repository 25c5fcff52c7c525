package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"github.com/fulmarbeam/fulmarbeam/pkg/bench"
)

// Exit codes.
const (
	exitFailed          = 1 // the benchmark could not be run
	exitUsage           = 2 // invalid arguments or scenario
	exitInvariantBroken = 5 // a run broke an invariant
)

// errInvariantBroken makes the program exit with exitInvariantBroken.
var errInvariantBroken = errors.ConstError("an invariant was broken")

// errUsage makes the program exit with exitUsage.
var errUsage = errors.ConstError("usage")

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
	switch {
	case errors.Is(err, errInvariantBroken):
		return exitInvariantBroken
	case errors.Is(err, errUsage):
		return exitUsage
	}
	return exitFailed
}

// usageError marks err as a usage error. It returns nil if err is nil.
func usageError(err error) error {
	if err == nil {
		return nil
	}
	return errors.WithType(err, errUsage)
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:           "fulmarbench",
		Short:         "Benchmark a fleet on loopback with scenarios",
		SilenceUsage:  true,
		SilenceErrors: true,
		Args:          cobra.NoArgs,
		RunE:          func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError(err) })
	root.AddCommand(newRun(), newSlopes(), newDecisions())
	return root
}

type runFlags struct {
	seed   uint64
	policy string
	repeat int
	out    string
	json   bool
}

func newRun() *cobra.Command {
	var f runFlags
	cmd := &cobra.Command{
		Use:   "run FILE.jsonc",
		Short: "Run a scenario and report the measurements of callers and servers",
		Long: `Starts the scenario's fleet and simulated servers in this process on loopback, sends
the scenario's load while injecting its faults, and prints a table, or a JSON report
with --json. With --out it writes the report and plots to a directory.

Exit code 5: a request ran twice, was reported as not-run but ran, or received a wrong
or truncated response, or ejections violated a floor. Exit code 2: invalid arguments or
scenario.`,
		Example: "  fulmarbench run scenarios/gray-fail.jsonc\n  fulmarbench run scenarios/tsehay.jsonc --policy all --out out",
		Args: func(cmd *cobra.Command, args []string) error {
			return usageError(cobra.ExactArgs(1)(cmd, args))
		},
		RunE: func(cmd *cobra.Command, args []string) error {
			return run(cmd.Context(), args[0], f, cmd.OutOrStdout(), cmd.ErrOrStderr())
		},
	}
	flags := cmd.Flags()
	flags.Uint64Var(&f.seed, "seed", 0, "seed of arrivals and work times; 0: the scenario's seed")
	flags.StringVar(&f.policy, "policy", bench.ProductPolicy, "one of "+strings.Join(bench.Policies, ", ")+", or all")
	flags.IntVar(&f.repeat, "repeat", 1, "number of runs of each policy, with consecutive seeds")
	flags.StringVar(&f.out, "out", "", "directory for the JSON report and plots")
	flags.BoolVar(&f.json, "json", false, "print the JSON report instead of the table")
	return cmd
}

func run(ctx context.Context, file string, f runFlags, stdout, stderr io.Writer) error {
	policies := []string{f.policy}
	if f.policy == "all" {
		policies = bench.Policies
	} else if !slices.Contains(bench.Policies, f.policy) {
		return usageError(errors.Errorf("unknown policy %q; must be one of %s, all", f.policy, strings.Join(bench.Policies, ", ")))
	}
	if f.repeat < 1 || f.repeat > 100 {
		return usageError(errors.New("--repeat must be from 1 to 100"))
	}
	s, err := bench.Load(file)
	if err != nil {
		return usageError(err)
	}
	report, err := bench.Run(ctx, s, bench.Options{
		Seed: f.seed, Policies: policies, Repeat: f.repeat,
		Progress: func(text string) { fmt.Fprintf(stderr, "%s: %s\n", s.Name, text) },
	})
	if err != nil {
		return err
	}
	if err := writeReport(report, f, stdout); err != nil {
		return err
	}
	return checkInvariants(report)
}

func writeReport(report *bench.Report, f runFlags, stdout io.Writer) error {
	data, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return errors.Trace(err)
	}
	data = append(data, '\n')
	if f.out != "" {
		if err := os.MkdirAll(f.out, 0o755); err != nil {
			return errors.Trace(err)
		}
		if err := os.WriteFile(filepath.Join(f.out, report.Scenario+".json"), data, 0o644); err != nil {
			return errors.Trace(err)
		}
		if err := report.Plot(f.out); err != nil {
			return err
		}
	}
	if f.json {
		_, err = stdout.Write(data)
		return errors.Trace(err)
	}
	return report.Write(stdout)
}

// checkInvariants returns an error that wraps errInvariantBroken if a run broke an
// invariant.
func checkInvariants(report *bench.Report) error {
	var lines []string
	for name, m := range report.Policies {
		for _, measures := range append([]*bench.Measures{m}, report.Repeats[name]...) {
			if violated := measures.ViolatedInvariants(); len(violated) > 0 {
				lines = append(lines, fmt.Sprintf("%s: %s", name, strings.Join(violated, " ")))
			}
		}
	}
	if len(lines) == 0 {
		return nil
	}
	slices.Sort(lines)
	return errors.Annotate(errInvariantBroken, strings.Join(lines, "; "))
}
