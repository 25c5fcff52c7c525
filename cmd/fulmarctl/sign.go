package main

import (
	"encoding/json"

	"github.com/fulmarbeam/fulmarbeam/pkg/configlog"
	"github.com/fulmarbeam/fulmarbeam/pkg/document"
	"github.com/fulmarbeam/fulmarbeam/pkg/result"
)

// This file is the only place that uses the edit format of package configlog.

// editInput holds the input for a signed edit.
type editInput struct {
	ID      string
	Stream  string // log stream, covered by the signature
	Section string
	Base    uint64
	Current json.RawMessage // content of the section at Base
	Patch   json.RawMessage // RFC 7386 merge patch
	Key     teamKey
}

// signEdit returns an edit signed by package configlog, encoded as JSON.
func signEdit(in editInput) (json.RawMessage, error) {
	key, err := in.Key.privateKey()
	if err != nil {
		return nil, err
	}
	hash, err := patchedHash(in)
	if err != nil {
		return nil, err
	}
	signed := configlog.SignEdit(in.Stream, configlog.Edit{
		ID: in.ID, Section: in.Section, Base: in.Base, Patch: in.Patch, ResultHash: hash, Team: in.Key.Team,
	}, key)
	return encode(signed)
}

// patchedHash returns the hash of the section with the patch applied.
func patchedHash(in editInput) (document.Hash, error) {
	if in.Section == document.RootSection {
		current, err := document.ParseRoot(in.Current)
		if err != nil {
			return document.Hash{}, result.Errorf(result.ConfigInvalid, "current section: %v", err)
		}
		root, err := document.PatchRoot(current, in.Patch)
		if err != nil {
			return document.Hash{}, result.Errorf(result.ConfigInvalid, "%v", err)
		}
		return document.HashRoot(root), nil
	}
	current, err := document.ParseSection(in.Section, in.Current)
	if err != nil {
		return document.Hash{}, result.Errorf(result.ConfigInvalid, "current section: %v", err)
	}
	section, _, err := document.PatchSection(in.Section, current, in.Patch)
	if err != nil {
		return document.Hash{}, result.Errorf(result.ConfigInvalid, "%v", err)
	}
	return document.HashSection(section), nil
}

// signGenesis returns the genesis record with the root section, signed with the root key.
func signGenesis(stream string, root json.RawMessage, key teamKey) (json.RawMessage, error) {
	private, err := key.privateKey()
	if err != nil {
		return nil, err
	}
	parsed, err := document.ParseRoot(root)
	if err != nil {
		return nil, result.Errorf(result.ConfigInvalid, "root section: %v", err)
	}
	genesis, err := configlog.NewGenesis(stream, parsed, private)
	if err != nil {
		return nil, err
	}
	return encode(genesis)
}

func encode(v any) (json.RawMessage, error) {
	data, err := json.Marshal(v)
	if err != nil {
		return nil, result.Errorf(result.Internal, "encode: %v", err)
	}
	return data, nil
}
