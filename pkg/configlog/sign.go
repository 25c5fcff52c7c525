package configlog

import (
	"bytes"
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/base64"
	"slices"

	"github.com/fulmarbeam/fulmarbeam/pkg/document"
	"github.com/fulmarbeam/fulmarbeam/pkg/result"
)

// Domains of signatures. A signature for one purpose is never valid for another.
const (
	genesisDomain = "fulmarbeam genesis 1\x00"
	editDomain    = "fulmarbeam edit 1\x00"
	seenDomain    = "fulmarbeam seen edit 1\x00"
	chainDomain   = "fulmarbeam chain 1\x00"
)

// NewGenesis makes the first record of a stream. It fails with ConfigInvalid when
// the root section is not valid.
func NewGenesis(stream string, root document.Root, key ed25519.PrivateKey) (Genesis, error) {
	if problems := document.Validate(&document.Document{Format: document.Format, Root: root}); len(problems) > 0 {
		return Genesis{}, result.Errorf(result.ConfigInvalid, "%s", problems.Error())
	}
	content, err := document.CanonicalRoot(root)
	if err != nil {
		return Genesis{}, result.Errorf(result.ConfigBadForm, "%s", err)
	}
	g := Genesis{Stream: stream, RootKey: publicKey(key), Root: content}
	g.Signature = ed25519.Sign(key, g.signed())
	return g, nil
}

func (g *Genesis) signed() []byte {
	d := digest(genesisDomain, []byte(g.Stream), g.RootKey, g.Root)
	return append([]byte(genesisDomain), d[:]...)
}

// verify checks form, stream and signature, and returns the root section.
func (g *Genesis) verify(stream string) (document.Root, *result.Error) {
	if g.Stream != stream {
		return document.Root{}, result.Errorf(result.ConfigBadForm, "genesis of stream %q", g.Stream)
	}
	if len(g.RootKey) != ed25519.PublicKeySize || len(g.Signature) != ed25519.SignatureSize ||
		!ed25519.Verify(g.RootKey, g.signed(), g.Signature) {
		return document.Root{}, result.Errorf(result.ConfigBadSignature, "genesis is not signed by its root key")
	}
	root, err := document.ParseRoot(g.Root)
	if err != nil {
		return document.Root{}, result.Errorf(result.ConfigInvalid, "%s", err)
	}
	if problems := document.Validate(&document.Document{Format: document.Format, Root: root}); len(problems) > 0 {
		return document.Root{}, result.Errorf(result.ConfigInvalid, "%s", problems.Error())
	}
	return root, nil
}

// SignEdit fills key and signature of an edit whose other fields are set.
func SignEdit(stream string, e Edit, key ed25519.PrivateKey) Edit {
	e.Key = publicKey(key)
	e.Signature = ed25519.Sign(key, e.signed(stream))
	return e
}

func (e *Edit) signed(stream string) []byte {
	patch := sha256.Sum256(e.Patch)
	return signedEdit(stream, e.ID, e.Section, e.Base, patch, e.ResultHash, e.Team)
}

// signedEdit returns the bytes that an edit's signature covers. The patch enters by
// its hash, so that a state can keep the proof without the patch.
func signedEdit(stream, id, section string, base uint64, patch, resultHash document.Hash, team string) []byte {
	d := digest(editDomain, []byte(stream), []byte(id), []byte(section), number(base), patch[:], resultHash[:], []byte(team))
	return append([]byte(editDomain), d[:]...)
}

// seen identifies an edit in the history, whatever its encoding was. It covers the
// signature, so that a forged edit under somebody's id is a different one.
func (e *Edit) seen(stream string) document.Hash {
	return digest(seenDomain, e.signed(stream), e.Key, e.Signature)
}

func (e *Edit) verify(stream string) bool {
	return len(e.Key) == ed25519.PublicKeySize && len(e.Signature) == ed25519.SignatureSize &&
		ed25519.Verify(e.Key, e.signed(stream), e.Signature)
}

// checkForm checks what needs no state.
func (e *Edit) checkForm() *result.Error {
	switch {
	case e.ID == "" || len(e.ID) > MaxIDBytes || !printable(e.ID):
		return result.Errorf(result.ConfigBadForm, "an id has 1 to %d printable characters", MaxIDBytes)
	case e.Section == "" || len(e.Section) > document.MaxNameBytes || len(e.Team) > document.MaxNameBytes:
		return result.Errorf(result.ConfigBadForm, "section or team has no valid name")
	case len(e.Patch) > MaxPatchBytes:
		return result.Errorf(result.ConfigTooLarge, "patch of %d bytes exceeds %d", len(e.Patch), MaxPatchBytes)
	case len(e.Key) != ed25519.PublicKeySize || len(e.Signature) != ed25519.SignatureSize:
		return result.Errorf(result.ConfigBadForm, "key or signature has the wrong length")
	}
	return nil
}

func printable(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}

func publicKey(key ed25519.PrivateKey) []byte { return bytes.Clone(key.Public().(ed25519.PublicKey)) }

// holds reports whether the team lists the key.
func holds(team document.Team, key []byte) bool {
	return slices.Contains(team.Keys, base64.StdEncoding.EncodeToString(key))
}
