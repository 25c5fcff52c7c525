package main

import (
	"encoding/json"

	"github.com/fulmarbeam/fulmarbeam/pkg/result"
)

// This file is the only place that uses the edit format of package configlog.

// editInput is what a signed edit is made of.
type editInput struct {
	ID      string
	Stream  string // log stream, which the signature covers
	Section string
	Base    uint64
	Current json.RawMessage // content of the section at Base
	Patch   json.RawMessage // RFC 7386 merge patch
	Key     teamKey
}

// signEdit returns the edit as package configlog signs it. Until that package is
// connected it returns an error.
func signEdit(editInput) (json.RawMessage, error) {
	return nil, result.Errorf(result.Internal, "this build cannot sign edits: package configlog is not connected")
}

// signGenesis returns the first record with the root section, signed by the root
// key. Until package configlog is connected it returns an error.
func signGenesis(stream string, root json.RawMessage, key teamKey) (json.RawMessage, error) {
	_, _, _ = stream, root, key
	return nil, result.Errorf(result.Internal, "this build cannot sign a first record: package configlog is not connected")
}
