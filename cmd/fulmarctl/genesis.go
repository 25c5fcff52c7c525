package main

import (
	"context"

	"github.com/spf13/cobra"

	"github.com/fulmarbeam/fulmarbeam/pkg/operator"
	"github.com/fulmarbeam/fulmarbeam/pkg/result"
)

// defaultStream is the name of the log stream that holds the configuration.
const defaultStream = "config"

func newGenesisCommand(o *options) *cobra.Command {
	var file, key, stream string
	var printOnly bool
	cmd := &cobra.Command{
		Use:   "genesis",
		Short: "Sign and append the first record of the configuration",
		Long: "Genesis signs the section \"fleet\" with the root key and appends it as the first record. VMs accept it if\n" +
			"root_key in their settings is the public key. Only the first valid genesis record in a stream is used.",
		Example: "  fulmarctl genesis --file fleet.jsonc --key root.key\n" +
			"  fulmarctl genesis --file fleet.jsonc --key root.key --print > genesis.json",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			input, err := readInputFile(file)
			if err != nil {
				return err
			}
			k, err := readTeamKey(key)
			if err != nil {
				return err
			}
			record, err := signGenesis(stream, input.data, k)
			if err != nil {
				return err
			}
			if printOnly {
				if _, err := cmd.OutOrStdout().Write(append(record, '\n')); err != nil {
					return result.Errorf(result.Internal, "output: %v", err)
				}
				return nil
			}
			v, err := withClient(cmd, o, func(ctx context.Context, c *operator.Client) (operator.Verdict, error) {
				return c.Genesis(ctx, record)
			})
			return o.showVerdict(cmd, v, err)
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&file, "file", "", "file with the section \"fleet\" (JSON with comments)")
	flags.StringVar(&key, "key", "", "root key file of the fleet")
	flags.StringVar(&stream, "stream", defaultStream, "log stream, covered by the signature")
	flags.BoolVar(&printOnly, "print", false, "print the record instead of appending it")
	_ = cmd.MarkFlagRequired("file")
	_ = cmd.MarkFlagRequired("key")
	return cmd
}
