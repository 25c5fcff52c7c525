package localfleet

import (
	"context"
	"crypto/ed25519"
	"encoding/base64"
	"encoding/json"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"github.com/fulmarbeam/fulmarbeam/pkg/configlog"
	"github.com/fulmarbeam/fulmarbeam/pkg/document"
	"github.com/fulmarbeam/fulmarbeam/pkg/node"
	"github.com/fulmarbeam/fulmarbeam/pkg/operator"
)

// PublicKey returns the public key in the encoding of the document (base64).
func PublicKey(key ed25519.PrivateKey) string {
	return base64.StdEncoding.EncodeToString(key.Public().(ed25519.PublicKey))
}

// WriteGenesis writes the first record of the configuration stream through a VM and waits
// until that VM has read it.
func (f *Fleet) WriteGenesis(ctx context.Context, via *node.Node, root document.Root) error {
	if err := f.awaitListed(ctx); err != nil {
		return err
	}
	genesis, err := configlog.NewGenesis(node.ConfigStream, root, f.cfg.RootKey)
	if err != nil {
		return errors.Trace(err)
	}
	data, err := json.Marshal(genesis)
	if err != nil {
		return errors.Trace(err)
	}
	_, err = via.Genesis(ctx, data)
	return errors.Trace(err)
}

// SignSection returns a signed edit that replaces a section, based on the revision that
// the VM has applied.
func SignSection(ctx context.Context, via *node.Node, team, section string, content document.Section, key ed25519.PrivateKey) (json.RawMessage, error) {
	view, err := via.Config(ctx, section)
	if err != nil {
		return nil, errors.Trace(err)
	}
	current := view.Sections[section]
	target, err := document.CanonicalSection(content)
	if err != nil {
		return nil, errors.Trace(err)
	}
	patch, err := document.CreatePatch(current.Content, target)
	if err != nil {
		return nil, errors.Trace(err)
	}
	edit := configlog.SignEdit(view.Stream, configlog.Edit{
		ID: uuid.NewString(), Section: section, Base: current.Revision, Patch: patch,
		ResultHash: document.HashSection(content), Team: team,
	}, key)
	return json.Marshal(edit)
}

// Publish replaces a section and waits until every VM has applied it.
func (f *Fleet) Publish(ctx context.Context, via *node.Node, team, section string, content document.Section, key ed25519.PrivateKey) (operator.Verdict, error) {
	edit, err := SignSection(ctx, via, team, section, content, key)
	if err != nil {
		return operator.Verdict{}, err
	}
	return via.Publish(ctx, operator.PublishRequest{Edit: edit, Wait: operator.WaitApplied})
}
