package configlog

import (
	"bytes"
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/json"
	"maps"
	"slices"

	"github.com/fulmarbeam/fulmarbeam/pkg/document"
	"github.com/fulmarbeam/fulmarbeam/pkg/platformapi"
	"github.com/fulmarbeam/fulmarbeam/pkg/result"
)

// savedState is the encoding of a State. Equal states have equal bytes.
type savedState struct {
	Format          int                `msgpack:"f"`
	Stream          string             `msgpack:"s"`
	Next            platformapi.Offset `msgpack:"o"`
	Chain           document.Hash      `msgpack:"h"`
	Genesis         Genesis            `msgpack:"g"`
	Revision        uint64             `msgpack:"r"`
	Sections        []savedSection     `msgpack:"c"` // sorted by name, the root included
	Opened          []ShardsOpened     `msgpack:"k"` // sorted
	Unauthenticated []historyEntry     `msgpack:"y"`
}

type savedSection struct {
	Name     string         `msgpack:"n"`
	Revision uint64         `msgpack:"r"`
	Content  []byte         `msgpack:"c"` // canonical JSON
	Proof    *proof         `msgpack:"p"`
	Accepted []historyEntry `msgpack:"a"`
	Refused  []historyEntry `msgpack:"x"`
}

// Encode encodes the state for snapshots and for peers. It fails with ConfigBehind
// before the genesis and with ConfigTooLarge above MaxStateBytes.
func (s *State) Encode() ([]byte, *result.Error) {
	if s.genesis == nil {
		return nil, result.Errorf(result.ConfigBehind, "no genesis yet")
	}
	saved := savedState{Format: Format, Stream: s.stream, Next: s.next, Chain: s.chain, Genesis: *s.genesis,
		Revision: s.revision, Unauthenticated: s.unauthenticated}
	for _, name := range s.SectionNames() {
		content, err := s.sectionContent(name)
		if err != nil {
			return nil, result.Errorf(result.Internal, "encode section %s: %s", name, err)
		}
		sec := s.sections[name]
		saved.Sections = append(saved.Sections, savedSection{name, sec.revision, content, sec.proof, sec.accepted, sec.refused})
	}
	for _, region := range slices.Sorted(maps.Keys(s.opened)) {
		saved.Opened = append(saved.Opened, ShardsOpened{region, slices.Sorted(maps.Keys(s.opened[region]))})
	}
	data, err := marshal(&saved)
	if err != nil {
		return nil, result.Errorf(result.Internal, "encode state: %s", err)
	}
	if len(data) > MaxStateBytes {
		return nil, result.Errorf(result.ConfigTooLarge, "state of %d bytes exceeds %d", len(data), MaxStateBytes)
	}
	return data, nil
}

func (s *State) sectionContent(name string) ([]byte, error) {
	if name == document.RootSection {
		return document.CanonicalRoot(s.doc.Root)
	}
	return document.CanonicalSection(s.doc.Sections[name])
}

// Restore decodes a state that came from a snapshot or a peer and verifies it: the
// genesis is signed by rootKey, each section's content has the hash that its last
// edit's signature covers, and the document is valid. Errors have the codes ConfigBadForm,
// ConfigNewFormat, ConfigGenesisDenied, ConfigBadSignature or ConfigInvalid.
func Restore(stream string, rootKey, data []byte) (*State, *result.Error) {
	var saved savedState
	if err := unmarshal(data, &saved); err != nil {
		return nil, result.Errorf(result.ConfigBadForm, "state: %s", err)
	}
	if saved.Format > Format {
		return nil, result.Errorf(result.ConfigNewFormat, "state of format %d", saved.Format)
	}
	if saved.Stream != stream || saved.Next < 1 {
		return nil, result.Errorf(result.ConfigBadForm, "state of stream %q at offset %d", saved.Stream, saved.Next)
	}
	if !bytes.Equal(saved.Genesis.RootKey, rootKey) {
		return nil, result.Errorf(result.ConfigGenesisDenied, "the state's root key is not the expected one")
	}
	root, err := saved.Genesis.verify(stream)
	if err != nil {
		return nil, err
	}
	s := NewState(stream)
	s.next, s.chain, s.genesis, s.revision, s.unauthenticated = saved.Next, saved.Chain, &saved.Genesis, saved.Revision, saved.Unauthenticated
	s.doc = &document.Document{Format: document.Format, Root: root, Sections: make(map[string]document.Section, len(saved.Sections))}
	accepted := uint64(0)
	for i := range saved.Sections {
		if err := s.restoreSection(&saved.Sections[i]); err != nil {
			return nil, err
		}
		accepted += saved.Sections[i].Revision
	}
	if s.sections[document.RootSection] == nil || accepted != s.revision || len(s.unauthenticated) > MaxHistoryEdits {
		return nil, result.Errorf(result.ConfigBadForm, "state's revisions or histories are inconsistent")
	}
	if problems := document.Validate(s.doc); len(problems) > 0 {
		return nil, result.Errorf(result.ConfigInvalid, "state: %s", truncate(problems.Error()))
	}
	return s, s.finishRestore(saved.Opened)
}

func (s *State) finishRestore(opened []ShardsOpened) *result.Error {
	for _, o := range opened {
		set := make(map[int]struct{}, len(o.Slices))
		for _, n := range o.Slices {
			set[n] = struct{}{}
		}
		s.opened[o.Region] = set
	}
	s.chainHashes[s.next-1] = s.chain
	s.index = document.NewIndex(s.doc, s.revision)
	return nil
}

func (s *State) restoreSection(saved *savedSection) *result.Error {
	if s.sections[saved.Name] != nil || len(saved.Accepted) > MaxHistoryEdits || len(saved.Refused) > MaxHistoryEdits {
		return result.Errorf(result.ConfigBadForm, "state repeats section %q or its history is too long", saved.Name)
	}
	sec := &sectionState{revision: saved.Revision, proof: saved.Proof, accepted: saved.Accepted, refused: saved.Refused}
	s.sections[saved.Name] = sec
	if saved.Name == document.RootSection {
		root, err := document.ParseRoot(saved.Content)
		if err != nil {
			return result.Errorf(result.ConfigInvalid, "state: %s", truncate(err.Error()))
		}
		sec.hash = document.HashRoot(root)
		if sec.proof == nil && (sec.revision != 1 || sec.hash != document.HashRoot(s.doc.Root)) {
			return result.Errorf(result.ConfigBadSignature, "state's root section differs from the genesis")
		}
		s.doc.Root = root
		return s.checkProof(saved.Name, sec, 1)
	}
	// checkProof verifies the content hash, so strict decoding is not needed here.
	var section document.Section
	if err := json.Unmarshal(saved.Content, &section); err != nil {
		return result.Errorf(result.ConfigBadForm, "state: section %q: %s", saved.Name, err)
	}
	sec.tree = document.NewHashTree(section)
	sec.hash = sec.tree.Sum()
	if sec.revision > 0 {
		s.doc.Sections[saved.Name] = section
	}
	return s.checkProof(saved.Name, sec, 0)
}

// checkProof verifies the signature of the section's last edit over its content.
// unsigned is the only revision at which a section needs no proof.
func (s *State) checkProof(name string, sec *sectionState, unsigned uint64) *result.Error {
	if sec.proof == nil {
		if sec.revision != unsigned {
			return result.Errorf(result.ConfigBadSignature, "section %q of the state has no proof", name)
		}
		return nil
	}
	p := sec.proof
	signed := editSignedBytes(s.stream, p.ID, name, p.Base, p.PatchHash, sec.hash, p.Team)
	if len(p.Key) != ed25519.PublicKeySize || p.Base+1 != sec.revision || !ed25519.Verify(p.Key, signed, p.Signature) {
		return result.Errorf(result.ConfigBadSignature, "section %q of the state does not match the signature of its last edit", name)
	}
	return nil
}

// SplitSnapshot splits an encoded state into the parts of a snapshot.
func SplitSnapshot(id string, covers platformapi.Offset, chain document.Hash, data []byte) []SnapshotPart {
	parts := max(1, (len(data)+SnapshotPartBytes-1)/SnapshotPartBytes)
	hash := document.Hash(sha256.Sum256(data))
	out := make([]SnapshotPart, parts)
	for i := range out {
		end := min((i+1)*SnapshotPartBytes, len(data))
		out[i] = SnapshotPart{ID: id, Covers: covers, Part: i, Parts: parts, Bytes: len(data), Chain: chain, DataHash: hash,
			Data: data[i*SnapshotPartBytes : end]}
	}
	return out
}

// validHeader checks a part's fields other than its data.
func (p *SnapshotPart) validHeader() bool {
	return p.ID != "" && len(p.ID) <= MaxIDBytes && p.Covers >= 0 && p.Bytes > 0 && p.Bytes <= MaxStateBytes &&
		p.Parts == (p.Bytes+SnapshotPartBytes-1)/SnapshotPartBytes && p.Part >= 0 && p.Part < p.Parts
}

func (p *SnapshotPart) validData() bool {
	return len(p.Data) == min(SnapshotPartBytes, p.Bytes-p.Part*SnapshotPartBytes)
}

// header returns the fields that all parts of a snapshot share.
func (p *SnapshotPart) header() SnapshotPart {
	h := *p
	h.Part, h.Data = 0, nil
	return h
}

// snapshotKey is a comparable identity of a snapshot.
type snapshotKey struct {
	id       string
	covers   platformapi.Offset
	parts    int
	bytes    int
	chain    document.Hash
	dataHash document.Hash
}

func (p *SnapshotPart) key() snapshotKey {
	return snapshotKey{p.ID, p.Covers, p.Parts, p.Bytes, p.Chain, p.DataHash}
}

// maxCollected bounds the snapshots that are collected at once. Normally at most two
// writers and a third that was paused overlap.
const maxCollected = 4

// snapshotCollector collects the parts of snapshots. Without data it only detects when
// a snapshot is complete.
type snapshotCollector struct {
	withData   bool
	incomplete map[snapshotKey]*collectedSnapshot
	complete   []*collectedSnapshot // highest Covers first, at most maxCollected; only filled with withData
}

// collectedSnapshot holds the parts of one snapshot that were collected so far.
type collectedSnapshot struct {
	header      SnapshotPart
	firstOffset platformapi.Offset // of its first part's record
	ageMS       int64              // of its first part's record, in milliseconds
	parts       map[int][]byte
}

func newSnapshotCollector(withData bool) *snapshotCollector {
	return &snapshotCollector{withData: withData, incomplete: make(map[snapshotKey]*collectedSnapshot)}
}

// add adds a part and returns its snapshot once that is complete, else nil.
func (c *snapshotCollector) add(rec platformapi.Record, p *SnapshotPart) *collectedSnapshot {
	if !p.validHeader() || p.Covers >= rec.Offset || c.withData && !p.validData() {
		return nil
	}
	key := p.key()
	snap := c.incomplete[key]
	if snap == nil {
		if !c.makeRoom(p.Covers) {
			return nil
		}
		snap = &collectedSnapshot{header: p.header(), firstOffset: rec.Offset, ageMS: rec.AgeMS, parts: make(map[int][]byte)}
		c.incomplete[key] = snap
	}
	snap.parts[p.Part] = nil
	if c.withData {
		snap.parts[p.Part] = p.Data
	}
	if len(snap.parts) < p.Parts {
		return nil
	}
	delete(c.incomplete, key)
	if c.withData {
		c.complete = append(c.complete, snap)
		slices.SortStableFunc(c.complete, func(a, b *collectedSnapshot) int { return int(b.header.Covers - a.header.Covers) })
		c.complete = c.complete[:min(len(c.complete), maxCollected)]
	}
	return snap
}

// makeRoom evicts the incomplete snapshot with the lowest Covers if there are too many.
// It reports whether a snapshot with the given Covers may be added.
func (c *snapshotCollector) makeRoom(covers platformapi.Offset) bool {
	if len(c.incomplete) < maxCollected {
		return true
	}
	var lowest *collectedSnapshot
	for _, snap := range c.incomplete {
		if lowest == nil || snap.header.Covers < lowest.header.Covers ||
			snap.header.Covers == lowest.header.Covers && snap.firstOffset < lowest.firstOffset {
			lowest = snap
		}
	}
	if lowest.header.Covers > covers {
		return false
	}
	delete(c.incomplete, lowest.header.key())
	return true
}

// assemble joins the parts and checks their hash.
func (snap *collectedSnapshot) assemble() ([]byte, bool) {
	var data []byte
	for i := range snap.header.Parts {
		data = append(data, snap.parts[i]...)
	}
	return data, len(data) == snap.header.Bytes && document.Hash(sha256.Sum256(data)) == snap.header.DataHash
}
