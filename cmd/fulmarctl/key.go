package main

import (
	"crypto/ed25519"
	"encoding/base64"
	"encoding/json"
	"os"

	"github.com/spf13/cobra"

	"github.com/fulmarbeam/fulmarbeam/pkg/result"
)

// teamKey is the content of a key file.
type teamKey struct {
	Team    string `json:"team"`
	Public  string `json:"public_key"`  // base64 Ed25519 key, as in the section "fleet" and in settings
	Private string `json:"private_key"` // base64 seed of 32 bytes
}

// privateKey decodes the private key and verifies that it matches the public key.
func (k teamKey) privateKey() (ed25519.PrivateKey, error) {
	seed, err := base64.StdEncoding.DecodeString(k.Private)
	if err != nil || len(seed) != ed25519.SeedSize {
		return nil, result.Errorf(result.UsageError, "private_key must be a base64-encoded seed of %d bytes", ed25519.SeedSize)
	}
	key := ed25519.NewKeyFromSeed(seed)
	if base64.StdEncoding.EncodeToString(key.Public().(ed25519.PublicKey)) != k.Public {
		return nil, result.Errorf(result.UsageError, "public_key does not match private_key")
	}
	return key, nil
}

func generateTeamKey(team string) (teamKey, error) {
	public, private, err := ed25519.GenerateKey(nil)
	if err != nil {
		return teamKey{}, result.Errorf(result.Internal, "generate key: %v", err)
	}
	return teamKey{
		Team:    team,
		Public:  base64.StdEncoding.EncodeToString(public),
		Private: base64.StdEncoding.EncodeToString(private.Seed()),
	}, nil
}

// write creates a key file that only its owner can read. It does not overwrite an
// existing file.
func (k teamKey) write(path string) error {
	data, err := json.MarshalIndent(k, "", "  ")
	if err != nil {
		return result.Errorf(result.Internal, "generate key: %v", err)
	}
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return result.Errorf(result.UsageError, "key file: %v", err)
	}
	_, err = f.Write(append(data, '\n'))
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return result.Errorf(result.Internal, "key file: %v", err)
	}
	return nil
}

// readTeamKey reads a key file. It rejects a file that users other than its owner can
// access.
func readTeamKey(path string) (teamKey, error) {
	var k teamKey
	if path == "" {
		return k, result.Errorf(result.UsageError, "--key FILE is required; create a key file with fulmarctl key new")
	}
	info, err := os.Stat(path)
	if err != nil {
		return k, result.Errorf(result.UsageError, "key file: %v", err)
	}
	if info.Mode().Perm()&0o077 != 0 {
		return k, result.Errorf(result.UsageError, "key file %s is accessible to other users (mode %v); change its mode to 0600", path, info.Mode().Perm())
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return k, result.Errorf(result.UsageError, "key file: %v", err)
	}
	if err := json.Unmarshal(data, &k); err != nil {
		return k, result.Errorf(result.UsageError, "key file %s: %v", path, err)
	}
	_, err = k.privateKey()
	return k, err
}

func newKey(o *options) *cobra.Command {
	key := &cobra.Command{Use: "key", Short: "Create team keys and the fleet's root key", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return cmd.Help() }}
	var team, file string
	create := &cobra.Command{
		Use:   "new",
		Short: "Create a file with an Ed25519 key pair",
		Long: "New writes a key pair to a new file that only its owner can read, and prints the public key for use in\n" +
			"the section \"fleet\" or as root_key in the settings.",
		Example: "  fulmarctl key new --team payments --file payments.key",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			k, err := generateTeamKey(team)
			if err == nil {
				err = k.write(file)
			}
			if err != nil {
				return err
			}
			created := map[string]string{"team": k.Team, "public_key": k.Public, "file": file}
			return o.show(cmd, created, func() table {
				return table{head: []string{"TEAM", "PUBLIC KEY", "FILE"}, rows: [][]string{{k.Team, k.Public, file}}}
			})
		},
	}
	create.Flags().StringVar(&team, "team", "", "name of the team, or root for the root key")
	create.Flags().StringVar(&file, "file", "", "file to create")
	_ = create.MarkFlagRequired("team")
	_ = create.MarkFlagRequired("file")
	key.AddCommand(create)
	return key
}
