package configlog

import (
	"crypto/sha256"
	"maps"
	"slices"
	"strconv"

	"github.com/fulmarbeam/fulmarbeam/pkg/document"
	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/platformapi"
	"github.com/fulmarbeam/fulmarbeam/pkg/result"
)

// MaxHistoryEdits is the maximum number of accepted edits, and of refused ones, that each
// section keeps for status queries and for recognizing duplicates.
const MaxHistoryEdits = 32

// maxDetailBytes bounds the detail text of a refusal.
const maxDetailBytes = 240

// maxChainHashes is the number of past chain hashes kept for comparison with snapshots
// and peers.
const maxChainHashes = 4096

// Verdict is the decision on an edit.
type Verdict struct {
	ID       string             `msgpack:"i" json:"id"`
	Section  string             `msgpack:"s" json:"section"`
	Team     string             `msgpack:"t" json:"team"`
	Code     result.Code        `msgpack:"c" json:"code"`     // OK, or why the edit is refused
	Revision uint64             `msgpack:"r" json:"revision"` // of the section, after the edit
	Offset   platformapi.Offset `msgpack:"o" json:"offset"`   // of the edit's record
	Detail   string             `msgpack:"d" json:"detail,omitempty"`
}

// historyEntry is the decision on an edit, with the edit's identity.
type historyEntry struct {
	Verdict  Verdict       `msgpack:"v"`
	Identity document.Hash `msgpack:"h"`
}

// proof holds the fields of a section's last accepted edit that are needed to verify its
// signature over the section's content.
type proof struct {
	ID        string        `msgpack:"i"`
	Base      uint64        `msgpack:"b"`
	PatchHash document.Hash `msgpack:"p"`
	Team      string        `msgpack:"t"`
	Key       []byte        `msgpack:"k"`
	Signature []byte        `msgpack:"g"`
}

// sectionState is the replicated state of one section.
type sectionState struct {
	revision uint64
	hash     document.Hash
	tree     *document.HashTree // nil for the root
	proof    *proof             // nil for the root before its first edit
	accepted []historyEntry     // oldest first
	refused  []historyEntry
}

// State is the result of applying a prefix of the log. It depends on nothing else.
type State struct {
	stream          string
	next            platformapi.Offset
	chain           document.Hash
	genesis         *Genesis
	doc             *document.Document
	revision        uint64
	sections        map[string]*sectionState
	opened          map[fleet.Region]map[int]struct{}
	unauthenticated []historyEntry // refused edits that are not proven to come from the section's team
	halted          result.Code
	index           *document.Index
	chainHashes     map[platformapi.Offset]document.Hash // chain after the record at the offset
}

// NewState returns the state of an empty log.
func NewState(stream string) *State {
	return &State{
		stream:      stream,
		sections:    make(map[string]*sectionState),
		opened:      make(map[fleet.Region]map[int]struct{}),
		chainHashes: make(map[platformapi.Offset]document.Hash),
	}
}

// Next returns the offset of the next record to apply.
func (s *State) Next() platformapi.Offset { return s.next }

// Chain returns the chained hash over all applied records and the decisions on them.
func (s *State) Chain() document.Hash { return s.chain }

// Revision returns the number of accepted edits, the genesis included.
func (s *State) Revision() uint64 { return s.revision }

// Halted returns ConfigNewFormat after a record of a newer format was read, else OK.
func (s *State) Halted() result.Code { return s.halted }

// RootKey returns the root key of the genesis, or nil before it.
func (s *State) RootKey() []byte {
	if s.genesis == nil {
		return nil
	}
	return s.genesis.RootKey
}

// Index returns the index of the document, or nil before the genesis.
func (s *State) Index() *document.Index { return s.index }

// SectionRevision returns a section's revision, or 0 if it was never edited.
func (s *State) SectionRevision(name string) uint64 {
	if sec := s.sections[name]; sec != nil {
		return sec.revision
	}
	return 0
}

// SectionHash returns the content hash of a section.
func (s *State) SectionHash(name string) document.Hash {
	if sec := s.sections[name]; sec != nil {
		return sec.hash
	}
	return document.HashSection(document.Section{})
}

// ShardOpened reports whether an applied record opened the key shard.
func (s *State) ShardOpened(region fleet.Region, slice int) bool {
	_, ok := s.opened[region][slice]
	return ok
}

// History returns the kept decisions on the section's edits by offset, oldest first.
func (s *State) History(section string) []Verdict {
	var out []Verdict
	if sec := s.sections[section]; sec != nil {
		for _, e := range slices.Concat(sec.accepted, sec.refused) {
			out = append(out, e.Verdict)
		}
	}
	slices.SortFunc(out, func(a, b Verdict) int { return int(a.Offset - b.Offset) })
	return out
}

// Status returns the decision on the edit with an id: the acceptance if there is one,
// else the newest refusal.
func (s *State) Status(id string) (Verdict, bool) {
	var best *Verdict
	consider := func(entries []historyEntry) {
		for i := range entries {
			if v := &entries[i].Verdict; v.ID == id && (best == nil || v.Offset > best.Offset) {
				best = v
			}
		}
	}
	for _, sec := range s.sections {
		consider(sec.accepted)
	}
	if best == nil {
		for _, sec := range s.sections {
			consider(sec.refused)
		}
		consider(s.unauthenticated)
	}
	if best == nil {
		return Verdict{}, false
	}
	return *best, true
}

// verdictFor returns the decision on exactly this edit. A different edit with the same
// id does not match.
func (s *State) verdictFor(identity document.Hash) (Verdict, bool) {
	for _, sec := range s.sections {
		for _, entries := range [][]historyEntry{sec.accepted, sec.refused} {
			if i := findEdit(entries, identity); i >= 0 {
				return entries[i].Verdict, true
			}
		}
	}
	if i := findEdit(s.unauthenticated, identity); i >= 0 {
		return s.unauthenticated[i].Verdict, true
	}
	return Verdict{}, false
}

// ChainAt returns the chained hash after the record at an offset, if it is still kept.
func (s *State) ChainAt(offset platformapi.Offset) (document.Hash, bool) {
	h, ok := s.chainHashes[offset]
	return h, ok
}

// ApplyResult is the effect of one record.
type ApplyResult struct {
	Edit         *Verdict      // set for an edit
	Snapshot     *SnapshotPart // set for a part of a snapshot
	Opened       *ShardsOpened // set when key shards were opened
	Genesis      bool          // the record became the stream's genesis
	Refused      *result.Error // why the record was refused, or nil
	EditIdentity document.Hash // set with Edit
}

// Apply applies the record at Next. It fails without effect with ConfigBehind if the
// record has another offset. At a record of a newer format the state halts: this and all
// further calls fail with ConfigNewFormat.
func (s *State) Apply(rec platformapi.Record) (ApplyResult, *result.Error) {
	if s.halted != result.OK {
		return ApplyResult{}, result.Errorf(s.halted, "stopped at offset %d", s.next)
	}
	if rec.Offset != s.next {
		return ApplyResult{}, result.Errorf(result.ConfigBehind, "got record %d, the next one is %d", rec.Offset, s.next)
	}
	body, err := DecodeRecord(rec.Data)
	if err != nil && err.Code == result.ConfigNewFormat {
		s.halted = err.Code
		return ApplyResult{}, err
	}
	out := ApplyResult{Refused: err}
	switch r := body.(type) {
	case *Genesis:
		out.Refused = s.applyGenesis(r)
		out.Genesis = out.Refused == nil
	case *Edit:
		out.Edit, out.Refused = s.applyEdit(r)
		out.EditIdentity = r.identity(s.stream)
	case *ShardsOpened:
		out.Refused = s.applyOpened(r)
		if out.Refused == nil {
			out.Opened = r
		}
	case *SnapshotPart:
		out.Snapshot = r
	}
	s.advance(sha256.Sum256(rec.Data), out)
	return out, nil
}

// SkipSnapshotPart advances past a snapshot part of which only the record's hash is available.
// It fails with ConfigBehind at another offset than Next, and with ConfigNewFormat after a halt.
func (s *State) SkipSnapshotPart(offset platformapi.Offset, recordHash document.Hash) *result.Error {
	if s.halted != result.OK {
		return result.Errorf(s.halted, "stopped at offset %d", s.next)
	}
	if offset != s.next {
		return result.Errorf(result.ConfigBehind, "got record %d, the next one is %d", offset, s.next)
	}
	s.advance(recordHash, ApplyResult{})
	return nil
}

// advance extends the chain by the record and the decision on it. A program version that
// decides differently is thus detected in the same way as a log that differs.
func (s *State) advance(recordHash document.Hash, out ApplyResult) {
	code, hash := result.OK, document.Hash{}
	if out.Refused != nil {
		code = out.Refused.Code
	} else if out.Edit != nil {
		hash = s.sections[out.Edit.Section].hash
	}
	s.chain = hashFields(chainDomain, s.chain[:], uint64Bytes(uint64(s.next)), recordHash[:], uint64Bytes(uint64(code)), hash[:])
	s.chainHashes[s.next] = s.chain
	delete(s.chainHashes, s.next-maxChainHashes)
	s.next++
}

func (s *State) applyGenesis(g *Genesis) *result.Error {
	if s.genesis != nil {
		return result.Errorf(result.ConfigConflict, "the log has a genesis")
	}
	root, err := g.verify(s.stream)
	if err != nil {
		return err
	}
	s.genesis = g
	s.doc = &document.Document{Format: document.Format, Root: root, Sections: map[string]document.Section{}}
	s.revision = 1
	s.sections[document.RootSection] = &sectionState{revision: 1, hash: document.HashRoot(root)}
	s.index = document.NewIndex(s.doc, s.revision)
	return nil
}

func (s *State) applyOpened(o *ShardsOpened) *result.Error {
	if s.genesis == nil {
		return result.Errorf(result.ConfigInvalid, "no genesis yet")
	}
	if !slices.Contains(s.doc.Root.Regions, o.Region) {
		return result.Errorf(result.ConfigInvalid, "unknown region %q", o.Region)
	}
	if len(o.Slices) == 0 || len(o.Slices) > maxOpenedSlices {
		return result.Errorf(result.ConfigBadForm, "%d slices", len(o.Slices))
	}
	limit := s.doc.Root.WithDefaults().KeySlices
	for _, n := range o.Slices {
		if n < 0 || n >= limit {
			return result.Errorf(result.ConfigInvalid, "slice %d is not below %d", n, limit)
		}
	}
	if s.opened[o.Region] == nil {
		s.opened[o.Region] = make(map[int]struct{})
	}
	for _, n := range o.Slices {
		s.opened[o.Region][n] = struct{}{}
	}
	return nil
}

// candidateChange is the outcome of an edit if it is accepted.
type candidateChange struct {
	doc  *document.Document
	tree *document.HashTree  // of the section; nil for the root
	hash document.Hash       // of the section
	refs []document.EntryRef // changed entries
}

// Check returns the decision that an edit would get now. Code OK means that it would be
// accepted, ConfigDuplicate that it was accepted before.
func (s *State) Check(e Edit) Verdict {
	v := s.newVerdict(&e)
	if _, _, err := s.evaluate(&e); err != nil {
		s.setRefusal(&e, &v, err)
	} else {
		v.Revision++
	}
	return v
}

func (s *State) newVerdict(e *Edit) Verdict {
	return Verdict{ID: e.ID, Section: e.Section, Team: e.Team, Offset: s.next, Revision: s.SectionRevision(e.Section)}
}

// setRefusal sets the refusal in a verdict. For a duplicate, the revision and offset are those
// of the accepted edit.
func (s *State) setRefusal(e *Edit, v *Verdict, err *result.Error) {
	v.Code, v.Detail = err.Code, truncate(err.Detail)
	if err.Code == result.ConfigDuplicate {
		accepted := s.sections[e.Section].accepted
		first := accepted[findEdit(accepted, e.identity(s.stream))].Verdict
		v.Revision, v.Offset = first.Revision, first.Offset
	}
}

func (s *State) applyEdit(e *Edit) (*Verdict, *result.Error) {
	v := s.newVerdict(e)
	ch, authentic, err := s.evaluate(e)
	if err != nil {
		s.setRefusal(e, &v, err)
		s.recordRefusal(e, v, authentic)
		return &v, err
	}
	sec := s.sections[e.Section]
	if sec == nil {
		sec = &sectionState{}
		s.sections[e.Section] = sec
	}
	sec.revision++
	sec.tree, sec.hash = ch.tree, ch.hash
	sec.proof = &proof{e.ID, e.Base, sha256.Sum256(e.Patch), e.Team, e.Key, e.Signature}
	v.Revision = sec.revision
	s.doc = ch.doc
	s.revision++
	if e.Section == document.RootSection {
		s.index = document.NewIndex(s.doc, s.revision)
	} else {
		s.index = s.index.Updated(s.doc, s.revision, ch.refs)
	}
	sec.accepted = appendHistory(sec.accepted, historyEntry{v, e.identity(s.stream)})
	return &v, nil
}

// recordRefusal adds a refusal to the history. Only edits that the section's team signed
// enter the section's history, as anyone else could otherwise evict its entries.
func (s *State) recordRefusal(e *Edit, v Verdict, authentic bool) {
	if v.Code == result.ConfigDuplicate || e.checkForm() != nil {
		return
	}
	identity := e.identity(s.stream)
	if !authentic {
		s.unauthenticated = appendHistory(s.unauthenticated, historyEntry{v, identity})
		return
	}
	sec := s.sections[e.Section]
	if sec == nil {
		sec = &sectionState{hash: document.HashSection(document.Section{})}
		s.sections[e.Section] = sec
	}
	if i := findEdit(sec.refused, identity); i < 0 {
		sec.refused = appendHistory(sec.refused, historyEntry{v, identity})
	}
}

func appendHistory(entries []historyEntry, e historyEntry) []historyEntry {
	if len(entries) >= MaxHistoryEdits {
		entries = slices.Delete(entries, 0, len(entries)-MaxHistoryEdits+1)
	}
	return append(entries, e)
}

func findEdit(entries []historyEntry, identity document.Hash) int {
	return slices.IndexFunc(entries, func(e historyEntry) bool { return e.Identity == identity })
}

// evaluate decides on an edit without changing the state. authentic reports whether the
// section's team signed it.
func (s *State) evaluate(e *Edit) (ch candidateChange, authentic bool, err *result.Error) {
	if err := e.checkForm(); err != nil {
		return ch, false, err
	}
	if s.genesis == nil {
		return ch, false, result.Errorf(result.ConfigInvalid, "no genesis yet")
	}
	sec := s.sections[e.Section]
	if sec != nil {
		identity := e.identity(s.stream)
		if i := findEdit(sec.accepted, identity); i >= 0 {
			return ch, true, result.Errorf(result.ConfigDuplicate, "accepted at revision %d", sec.accepted[i].Verdict.Revision)
		}
		// A duplicate of a refused edit must not be accepted later, because its author
		// was notified that it has no effect.
		if i := findEdit(sec.refused, identity); i >= 0 {
			v := sec.refused[i].Verdict
			return ch, true, result.Errorf(v.Code, "%s", v.Detail)
		}
	}
	// The same applies to an edit whose key was not in the root section at that time.
	if i := findEdit(s.unauthenticated, e.identity(s.stream)); i >= 0 {
		v := s.unauthenticated[i].Verdict
		return ch, false, result.Errorf(v.Code, "%s", v.Detail)
	}
	team, known := s.doc.Root.Teams[e.Team]
	if !known || !slices.Contains(team.Sections, e.Section) {
		return ch, false, result.Errorf(result.ConfigForbidden, "team %q does not own section %q", e.Team, e.Section)
	}
	if !hasKey(team, e.Key) || !e.verify(s.stream) {
		return ch, false, result.Errorf(result.ConfigBadSignature, "not signed by a current key of team %q", e.Team)
	}
	if current := s.SectionRevision(e.Section); e.Base != current {
		return ch, true, result.Errorf(result.ConfigConflict, "based on revision %d, the section is at %d", e.Base, current)
	}
	ch, err = s.patch(e, sec)
	return ch, true, err
}

// patch applies an edit's patch and checks the result. ch.hash is also set if it fails with
// ConfigHashMismatch; Prepare depends on that.
func (s *State) patch(e *Edit, sec *sectionState) (ch candidateChange, err *result.Error) {
	var problems document.Problems
	if e.Section == document.RootSection {
		root, err := document.PatchRoot(s.doc.Root, e.Patch)
		if err != nil {
			return ch, result.Errorf(result.ConfigInvalid, "%s", err)
		}
		ch.hash = document.HashRoot(root)
		ch.doc = s.doc.WithRoot(root)
		problems = document.ValidateRootChange(ch.doc, s.doc.Root)
	} else {
		section, refs, err := document.PatchSection(e.Section, s.doc.Sections[e.Section], e.Patch)
		if err != nil {
			return ch, result.Errorf(result.ConfigInvalid, "%s", err)
		}
		ch.refs = refs
		ch.tree = sec.treeOrEmpty().Updated(section, refs)
		ch.hash = ch.tree.Sum()
		ch.doc = s.doc.WithSection(e.Section, section)
		problems = document.ValidateChange(ch.doc, s.doc, e.Section, refs)
	}
	// A larger document would not fit into a snapshot.
	if size := s.documentBytes(e.Section, ch.tree); size > document.MaxDocumentBytes {
		return ch, result.Errorf(result.ConfigTooLarge, "the document would have %d bytes of at most %d", size, document.MaxDocumentBytes)
	}
	if ch.hash != e.ResultHash {
		return ch, result.Errorf(result.ConfigHashMismatch, "the patched section has hash %s", ch.hash)
	}
	if len(problems) > 0 {
		return ch, result.Errorf(result.ConfigInvalid, "%s", problems.Error())
	}
	return ch, nil
}

// documentBytes returns the size of all sections' entries if the tree of one section
// were replaced.
func (s *State) documentBytes(section string, tree *document.HashTree) int {
	total := 0
	if tree != nil {
		total = tree.Bytes()
	}
	for name, sec := range s.sections {
		if name != section && sec.tree != nil {
			total += sec.tree.Bytes()
		}
	}
	return total
}

func (sec *sectionState) treeOrEmpty() *document.HashTree {
	if sec == nil || sec.tree == nil {
		return document.NewHashTree(document.Section{})
	}
	return sec.tree
}

// Prepare sets the base and result hash of an edit against this state, for a client to
// sign it. It fails with ConfigBehind before the genesis, with ConfigInvalid if the patch
// does not apply or the document would not be valid, and with ConfigTooLarge if the document
// would exceed document.MaxDocumentBytes.
func (s *State) Prepare(e Edit) (Edit, *result.Error) {
	if s.genesis == nil {
		return e, result.Errorf(result.ConfigBehind, "no genesis yet")
	}
	e.Base = s.SectionRevision(e.Section)
	ch, err := s.patch(&e, s.sections[e.Section])
	if err != nil && err.Code != result.ConfigHashMismatch {
		return e, err
	}
	e.ResultHash = ch.hash
	_, err = s.patch(&e, s.sections[e.Section])
	return e, err
}

func truncate(detail string) string {
	if len(detail) <= maxDetailBytes {
		return detail
	}
	return detail[:maxDetailBytes] + " (" + strconv.Itoa(len(detail)-maxDetailBytes) + " bytes more)"
}

// SectionNames returns the names of the root and of all sections with an edit in the
// history, sorted.
func (s *State) SectionNames() []string {
	return slices.Sorted(maps.Keys(s.sections))
}
