package main

import (
	"encoding/json"
	"fmt"
	"math"

	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleetsim"
)

func newDecisions() *cobra.Command {
	var seed uint64
	var runs int
	var asJSON bool
	cmd := &cobra.Command{
		Use:   "decisions SCENARIO...",
		Short: "Simulate the decisions of a fleet on a platform with a store",
		Long: `Runs the balancers of all VMs of each scenario against simulated servers in this
process, on a simulated clock, and prints the outcomes of the requests. The report
depends only on the scenario and the seed.`,
		Example: "  fulmarbench decisions scenarios/decisions/turns.jsonc --runs 10",
		Args: func(cmd *cobra.Command, args []string) error {
			return usageError(cobra.MinimumNArgs(1)(cmd, args))
		},
		RunE: func(cmd *cobra.Command, args []string) error {
			if runs < 1 {
				return usageError(errors.NotValidf("--runs %d", runs))
			}
			for _, path := range args {
				if err := runDecisions(cmd, path, seed, runs, asJSON); err != nil {
					return err
				}
			}
			return nil
		},
	}
	cmd.Flags().Uint64Var(&seed, "seed", 1, "seed of the first run")
	cmd.Flags().IntVar(&runs, "runs", 1, "number of runs of each scenario, with consecutive seeds")
	cmd.Flags().BoolVar(&asJSON, "json", false, "print one JSON object per run")
	return cmd
}

func runDecisions(cmd *cobra.Command, path string, seed uint64, runs int, asJSON bool) error {
	s, err := fleetsim.Load(path)
	if err != nil {
		return usageError(err)
	}
	out := cmd.OutOrStdout()
	var total fleetsim.Ratios
	worstOverLimit, limitUse := math.Inf(-1), 0.0
	for i := range runs {
		r, err := fleetsim.Run(s, seed+uint64(i))
		if err != nil {
			return usageError(err)
		}
		total.Add(r.Ratios)
		worstOverLimit, limitUse = max(worstOverLimit, r.OverLimit), limitUse+r.LimitUse
		if asJSON {
			if err := json.NewEncoder(out).Encode(r); err != nil {
				return errors.Trace(err)
			}
		}
	}
	if !asJSON && s.Limits != nil {
		fmt.Fprintf(out, "%-10s rate limits: worst window %+.1f requests against the bound, %.2f of the limits used\n", s.Name, worstOverLimit, limitUse/float64(runs))
	}
	if !asJSON {
		mean := total.Mean(runs)
		_, err = fmt.Fprintf(out, "%-10s %d runs: in time %.4f by weight, late %.4f, unserved %.4f, repeats %.4f, KB/s between zones %.1f, between regions %.1f\n",
			s.Name, runs, mean.InTime, mean.Late, mean.Unserved, mean.Retries, mean.ZoneKBPerSecond, mean.RegionKBPerSecond)
	}
	return errors.Trace(err)
}
