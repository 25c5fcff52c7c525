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

// Domain separators of signatures and hashes. They keep a signature or hash for one
// purpose from being valid for another.
const (
	genesisDomain      = "fulmarbeam genesis 1\x00"
	editDomain         = "fulmarbeam edit 1\x00"
	editIdentityDomain = "fulmarbeam seen edit 1\x00"
	chainDomain        = "fulmarbeam chain 1\x00"
)

// NewGenesis creates and signs the first record of a stream. It fails with ConfigInvalid
// if the root section is not valid.
func NewGenesis(stream string, root document.Root, key ed25519.PrivateKey) (Genesis, error) {
	if problems := document.Validate(&document.Document{Format: document.Format, Root: root}); len(problems) > 0 {
		return Genesis{}, result.Errorf(result.ConfigInvalid, "%s", problems.Error())
	}
	content, err := document.CanonicalRoot(root)
	if err != nil {
		return Genesis{}, result.Errorf(result.ConfigBadForm, "%s", err)
	}
	g := Genesis{Stream: stream, RootKey: publicKey(key), Root: content}
	g.Signature = ed25519.Sign(key, g.signedBytes())
	return g, nil
}

func (g *Genesis) signedBytes() []byte {
	d := hashFields(genesisDomain, []byte(g.Stream), g.RootKey, g.Root)
	return append([]byte(genesisDomain), d[:]...)
}

// verify checks the stream, the signature and the root section, and returns the latter.
func (g *Genesis) verify(stream string) (document.Root, *result.Error) {
	if g.Stream != stream {
		return document.Root{}, result.Errorf(result.ConfigBadForm, "genesis of stream %q", g.Stream)
	}
	if len(g.RootKey) != ed25519.PublicKeySize || len(g.Signature) != ed25519.SignatureSize ||
		!ed25519.Verify(g.RootKey, g.signedBytes(), g.Signature) {
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

// SignEdit sets the key and signature of an edit whose other fields are set.
func SignEdit(stream string, e Edit, key ed25519.PrivateKey) Edit {
	e.Key = publicKey(key)
	e.Signature = ed25519.Sign(key, e.signedBytes(stream))
	return e
}

func (e *Edit) signedBytes(stream string) []byte {
	patchHash := sha256.Sum256(e.Patch)
	return editSignedBytes(stream, e.ID, e.Section, e.Base, patchHash, e.ResultHash, e.Team)
}

// editSignedBytes returns the bytes that an edit's signature covers. They include the
// patch as its hash, so that a state can keep the proof without the patch.
func editSignedBytes(stream, id, section string, base uint64, patchHash, resultHash document.Hash, team string) []byte {
	d := hashFields(editDomain, []byte(stream), []byte(id), []byte(section), uint64Bytes(base), patchHash[:], resultHash[:], []byte(team))
	return append([]byte(editDomain), d[:]...)
}

// identity identifies an edit in the history independently of its encoding. It covers
// the signature, so that a forged edit with the same id is a different edit.
func (e *Edit) identity(stream string) document.Hash {
	return hashFields(editIdentityDomain, e.signedBytes(stream), e.Key, e.Signature)
}

func (e *Edit) verify(stream string) bool {
	return len(e.Key) == ed25519.PublicKeySize && len(e.Signature) == ed25519.SignatureSize &&
		ed25519.Verify(e.Key, e.signedBytes(stream), e.Signature)
}

// checkForm checks the edit's fields as far as that needs no state.
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

// hasKey reports whether the team lists the key.
func hasKey(team document.Team, key []byte) bool {
	return slices.Contains(team.Keys, base64.StdEncoding.EncodeToString(key))
}
