package configlog

import (
	"bytes"
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/json"
	"maps"
	"slices"

	"github.com/fulmarbeam/fulmarbeam/pkg/document"
	"github.com/fulmarbeam/fulmarbeam/pkg/platform"
	"github.com/fulmarbeam/fulmarbeam/pkg/result"
)

// savedState is the encoding of a State. Equal states have equal bytes.
type savedState struct {
	Format   int             `msgpack:"f"`
	Stream   string          `msgpack:"s"`
	Next     platform.Offset `msgpack:"o"`
	Chain    document.Hash   `msgpack:"h"`
	Genesis  Genesis         `msgpack:"g"`
	Revision uint64          `msgpack:"r"`
	Sections []savedSection  `msgpack:"c"` // sorted by name, the root included
	Opened   []Opened        `msgpack:"k"` // sorted
	Stray    []entry         `msgpack:"y"`
}

type savedSection struct {
	Name     string  `msgpack:"n"`
	Revision uint64  `msgpack:"r"`
	Content  []byte  `msgpack:"c"` // canonical JSON
	Proof    *proof  `msgpack:"p"`
	Accepted []entry `msgpack:"a"`
	Refused  []entry `msgpack:"x"`
}

// Encode returns the state for snapshots and for peers. It fails with ConfigBehind
// before the genesis and with ConfigTooLarge above MaxStateBytes.
func (s *State) Encode() ([]byte, *result.Error) {
	if s.genesis == nil {
		return nil, result.Errorf(result.ConfigBehind, "no genesis yet")
	}
	saved := savedState{Format: Format, Stream: s.stream, Next: s.next, Chain: s.chain, Genesis: *s.genesis,
		Revision: s.revision, Stray: s.stray}
	for _, name := range s.SectionNames() {
		content, err := s.content(name)
		if err != nil {
			return nil, result.Errorf(result.Internal, "encode section %s: %s", name, err)
		}
		sec := s.sections[name]
		saved.Sections = append(saved.Sections, savedSection{name, sec.revision, content, sec.proof, sec.accepted, sec.refused})
	}
	for _, region := range slices.Sorted(maps.Keys(s.opened)) {
		saved.Opened = append(saved.Opened, Opened{region, slices.Sorted(maps.Keys(s.opened[region]))})
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

func (s *State) content(name string) ([]byte, error) {
	if name == document.RootSection {
		return document.CanonicalRoot(s.doc.Root)
	}
	return document.CanonicalSection(s.doc.Sections[name])
}

// Restore decodes a state that came from a snapshot or a peer and verifies it: the
// genesis is signed by rootKey, each section's content has the hash that its last
// edit's signature covers, and the document is valid.
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
		return nil, result.Errorf(result.ConfigGenesisDenied, "state has another root key")
	}
	root, err := saved.Genesis.verify(stream)
	if err != nil {
		return nil, err
	}
	s := NewState(stream)
	s.next, s.chain, s.genesis, s.revision, s.stray = saved.Next, saved.Chain, &saved.Genesis, saved.Revision, saved.Stray
	s.doc = &document.Document{Format: document.Format, Root: root, Sections: make(map[string]document.Section, len(saved.Sections))}
	accepted := uint64(0)
	for i := range saved.Sections {
		if err := s.restoreSection(&saved.Sections[i]); err != nil {
			return nil, err
		}
		accepted += saved.Sections[i].Revision
	}
	if s.sections[document.RootSection] == nil || accepted != s.revision || len(s.stray) > HistoryEdits {
		return nil, result.Errorf(result.ConfigBadForm, "state's revisions or histories are inconsistent")
	}
	if problems := document.Validate(s.doc); len(problems) > 0 {
		return nil, result.Errorf(result.ConfigInvalid, "state: %s", truncate(problems.Error()))
	}
	return s, s.finishRestore(saved.Opened)
}

func (s *State) finishRestore(opened []Opened) *result.Error {
	for _, o := range opened {
		set := make(map[int]struct{}, len(o.Slices))
		for _, n := range o.Slices {
			set[n] = struct{}{}
		}
		s.opened[o.Region] = set
	}
	s.marks[s.next-1] = s.chain
	s.index = document.NewIndex(s.doc, s.revision)
	return nil
}

func (s *State) restoreSection(saved *savedSection) *result.Error {
	if s.sections[saved.Name] != nil || len(saved.Accepted) > HistoryEdits || len(saved.Refused) > HistoryEdits {
		return result.Errorf(result.ConfigBadForm, "state repeats section %q or its history is too long", saved.Name)
	}
	sec := &sectionState{revision: saved.Revision, proof: saved.Proof, accepted: saved.Accepted, refused: saved.Refused}
	s.sections[saved.Name] = sec
	if saved.Name == document.RootSection {
		root, err := document.ParseRoot(saved.Content)
		if err != nil {
			return result.Errorf(result.ConfigInvalid, "state: %s", truncate(err.Error()))
		}
		sec.sum = document.HashRoot(root)
		if sec.proof == nil && (sec.revision != 1 || sec.sum != document.HashRoot(s.doc.Root)) {
			return result.Errorf(result.ConfigBadSignature, "state's root section differs from the genesis")
		}
		s.doc.Root = root
		return s.checkProof(saved.Name, sec, 1)
	}
	// The content hash is checked below, so that a plain decode is enough here.
	var section document.Section
	if err := json.Unmarshal(saved.Content, &section); err != nil {
		return result.Errorf(result.ConfigBadForm, "state: section %q: %s", saved.Name, err)
	}
	sec.tree = document.NewTree(section)
	sec.sum = sec.tree.Sum()
	if sec.revision > 0 {
		s.doc.Sections[saved.Name] = section
	}
	return s.checkProof(saved.Name, sec, 0)
}

// checkProof verifies the signature of a section's last edit over its content.
// unsigned is the revision that needs none.
func (s *State) checkProof(name string, sec *sectionState, unsigned uint64) *result.Error {
	if sec.proof == nil {
		if sec.revision != unsigned {
			return result.Errorf(result.ConfigBadSignature, "section %q of the state has no proof", name)
		}
		return nil
	}
	p := sec.proof
	signed := signedEdit(s.stream, p.ID, name, p.Base, p.PatchHash, sec.sum, p.Team)
	if len(p.Key) != ed25519.PublicKeySize || p.Base+1 != sec.revision || !ed25519.Verify(p.Key, signed, p.Signature) {
		return result.Errorf(result.ConfigBadSignature, "section %q of the state is not as its last edit signed it", name)
	}
	return nil
}

// Split cuts the encoded state into the parts of a snapshot.
func Split(id string, covers platform.Offset, chain document.Hash, data []byte) []Snapshot {
	parts := max(1, (len(data)+SnapshotPartBytes-1)/SnapshotPartBytes)
	hash := document.Hash(sha256.Sum256(data))
	out := make([]Snapshot, parts)
	for i := range out {
		end := min((i+1)*SnapshotPartBytes, len(data))
		out[i] = Snapshot{ID: id, Covers: covers, Part: i, Parts: parts, Bytes: len(data), Chain: chain, DataHash: hash,
			Data: data[i*SnapshotPartBytes : end]}
	}
	return out
}

// validHead checks a part apart from its data.
func (p *Snapshot) validHead() bool {
	return p.ID != "" && len(p.ID) <= MaxIDBytes && p.Covers >= 0 && p.Bytes > 0 && p.Bytes <= MaxStateBytes &&
		p.Parts == (p.Bytes+SnapshotPartBytes-1)/SnapshotPartBytes && p.Part >= 0 && p.Part < p.Parts
}

func (p *Snapshot) validData() bool {
	return len(p.Data) == min(SnapshotPartBytes, p.Bytes-p.Part*SnapshotPartBytes)
}

// header identifies the snapshot that a part belongs to.
func (p *Snapshot) header() Snapshot {
	h := *p
	h.Part, h.Data = 0, nil
	return h
}

// snapshotKey is a comparable identity of a snapshot.
type snapshotKey struct {
	id       string
	covers   platform.Offset
	parts    int
	bytes    int
	chain    document.Hash
	dataHash document.Hash
}

func (p *Snapshot) key() snapshotKey {
	return snapshotKey{p.ID, p.Covers, p.Parts, p.Bytes, p.Chain, p.DataHash}
}

// maxGathered bounds the snapshots that are collected at once. Two writers and a
// paused third are the most that normally overlap.
const maxGathered = 4

// gather collects parts of snapshots. Without data it only notices when one is
// complete.
type gather struct {
	withData bool
	open     map[snapshotKey]*gathered
	done     []*gathered // complete, newest covers first
}

type gathered struct {
	header Snapshot
	first  platform.Offset // of its first part's record
	age    int64           // of its first part's record, in milliseconds
	have   map[int][]byte
}

func newGather(withData bool) *gather {
	return &gather{withData: withData, open: make(map[snapshotKey]*gathered)}
}

// add takes a part and returns its snapshot when that is complete.
func (g *gather) add(rec platform.Record, p *Snapshot) *gathered {
	if !p.validHead() || p.Covers >= rec.Offset || g.withData && !p.validData() {
		return nil
	}
	key := p.key()
	one := g.open[key]
	if one == nil {
		if !g.makeRoom(p.Covers) {
			return nil
		}
		one = &gathered{header: p.header(), first: rec.Offset, age: rec.AgeMS, have: make(map[int][]byte)}
		g.open[key] = one
	}
	one.have[p.Part] = nil
	if g.withData {
		one.have[p.Part] = p.Data
	}
	if len(one.have) < p.Parts {
		return nil
	}
	delete(g.open, key)
	if g.withData {
		g.done = append(g.done, one)
		slices.SortStableFunc(g.done, func(a, b *gathered) int { return int(b.header.Covers - a.header.Covers) })
		g.done = g.done[:min(len(g.done), maxGathered)]
	}
	return one
}

// makeRoom drops the snapshot with the lowest covers when too many are open. It
// reports whether one with the given covers may be added.
func (g *gather) makeRoom(covers platform.Offset) bool {
	if len(g.open) < maxGathered {
		return true
	}
	var lowest *gathered
	for _, one := range g.open {
		if lowest == nil || one.header.Covers < lowest.header.Covers ||
			one.header.Covers == lowest.header.Covers && one.first < lowest.first {
			lowest = one
		}
	}
	if lowest.header.Covers > covers {
		return false
	}
	delete(g.open, lowest.header.key())
	return true
}

// assemble joins the parts and checks their hash.
func (one *gathered) assemble() ([]byte, bool) {
	var data []byte
	for i := range one.header.Parts {
		data = append(data, one.have[i]...)
	}
	return data, len(data) == one.header.Bytes && document.Hash(sha256.Sum256(data)) == one.header.DataHash
}
