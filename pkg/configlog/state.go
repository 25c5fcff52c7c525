package configlog

import (
	"crypto/sha256"
	"maps"
	"slices"
	"strconv"

	"github.com/fulmarbeam/fulmarbeam/pkg/document"
	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/platform"
	"github.com/fulmarbeam/fulmarbeam/pkg/result"
)

// HistoryEdits is the number of accepted and of refused edits that each section
// keeps for status queries and for recognizing duplicates.
const HistoryEdits = 32

// maxDetailBytes bounds the explanation of a refusal in the history.
const maxDetailBytes = 240

// chainMarks is the number of past chain hashes kept for comparison with snapshots
// and peers.
const chainMarks = 4096

// Verdict is the log's answer to an edit.
type Verdict struct {
	ID       string          `msgpack:"i" json:"id"`
	Section  string          `msgpack:"s" json:"section"`
	Team     string          `msgpack:"t" json:"team"`
	Code     result.Code     `msgpack:"c" json:"code"`     // OK, or why the edit is refused
	Revision uint64          `msgpack:"r" json:"revision"` // of the section, after the edit
	Offset   platform.Offset `msgpack:"o" json:"offset"`   // of the edit's record
	Detail   string          `msgpack:"d" json:"detail,omitempty"`
}

// entry is a verdict in the history.
type entry struct {
	Verdict Verdict       `msgpack:"v"`
	Seen    document.Hash `msgpack:"h"`
}

// proof is the signature of a section's content by its last edit.
type proof struct {
	ID        string        `msgpack:"i"`
	Base      uint64        `msgpack:"b"`
	PatchHash document.Hash `msgpack:"p"`
	Team      string        `msgpack:"t"`
	Key       []byte        `msgpack:"k"`
	Signature []byte        `msgpack:"g"`
}

// sectionState is what the log says about one section.
type sectionState struct {
	revision uint64
	sum      document.Hash
	tree     *document.Tree // nil for the root
	proof    *proof         // nil for the root before its first edit
	accepted []entry        // oldest first
	refused  []entry
}

// State is the result of a prefix of the log. It depends on nothing else.
type State struct {
	stream   string
	next     platform.Offset
	chain    document.Hash
	genesis  *Genesis
	doc      *document.Document
	revision uint64
	sections map[string]*sectionState
	opened   map[fleet.Region]map[int]struct{}
	stray    []entry // refused edits without proof that they come from the section's team
	halted   result.Code
	index    *document.Index
	marks    map[platform.Offset]document.Hash // chain after the record at the offset
}

// NewState returns the state of an empty log.
func NewState(stream string) *State {
	return &State{
		stream:   stream,
		sections: make(map[string]*sectionState),
		opened:   make(map[fleet.Region]map[int]struct{}),
		marks:    make(map[platform.Offset]document.Hash),
	}
}

// Next returns the offset of the next record to apply.
func (s *State) Next() platform.Offset { return s.next }

// Chain returns the chained hash over all records applied and their verdicts.
func (s *State) Chain() document.Hash { return s.chain }

// Revision returns the number of accepted edits, the genesis included.
func (s *State) Revision() uint64 { return s.revision }

// Halted returns ConfigNewFormat once a record of a newer format was met, else OK.
func (s *State) Halted() result.Code { return s.halted }

// RootKey returns the root key of the genesis, or nil before it.
func (s *State) RootKey() []byte {
	if s.genesis == nil {
		return nil
	}
	return s.genesis.RootKey
}

// Index returns the look-up table of the document, or nil before the genesis.
func (s *State) Index() *document.Index { return s.index }

// SectionRevision returns a section's revision; 0 when it was never edited.
func (s *State) SectionRevision(name string) uint64 {
	if sec := s.sections[name]; sec != nil {
		return sec.revision
	}
	return 0
}

// SectionHash returns the content hash of a section.
func (s *State) SectionHash(name string) document.Hash {
	if sec := s.sections[name]; sec != nil {
		return sec.sum
	}
	return document.HashSection(document.Section{})
}

// Opened reports whether the log ever opened the key shard.
func (s *State) Opened(region fleet.Region, slice int) bool {
	_, ok := s.opened[region][slice]
	return ok
}

// History returns the section's kept verdicts by offset, oldest first.
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

// Status returns the verdict on an edit by its id: the acceptance if there is one,
// else the newest refusal.
func (s *State) Status(id string) (Verdict, bool) {
	var best *Verdict
	consider := func(entries []entry) {
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
		consider(s.stray)
	}
	if best == nil {
		return Verdict{}, false
	}
	return *best, true
}

// verdictOn returns the verdict on exactly this edit. Another edit under the same id
// does not count.
func (s *State) verdictOn(seen document.Hash) (Verdict, bool) {
	for _, sec := range s.sections {
		for _, entries := range [][]entry{sec.accepted, sec.refused} {
			if i := find(entries, seen); i >= 0 {
				return entries[i].Verdict, true
			}
		}
	}
	if i := find(s.stray, seen); i >= 0 {
		return s.stray[i].Verdict, true
	}
	return Verdict{}, false
}

// ChainAt returns the chained hash after the record at an offset, if still kept.
func (s *State) ChainAt(offset platform.Offset) (document.Hash, bool) {
	h, ok := s.marks[offset]
	return h, ok
}

// Applied is the effect of one record.
type Applied struct {
	Edit     *Verdict  // set for an edit
	Snapshot *Snapshot // set for a part of a snapshot
	Opened   *Opened   // set when key shards were opened
	Genesis  bool      // the record is the genesis that counts
	Refused  *result.Error
	Seen     document.Hash // identity of the edit
}

// Apply applies the record at Next. It fails with ConfigBehind when the record has
// another offset, and with ConfigNewFormat, without effect, at a newer format.
func (s *State) Apply(rec platform.Record) (Applied, *result.Error) {
	if s.halted != result.OK {
		return Applied{}, result.Errorf(s.halted, "stopped at offset %d", s.next)
	}
	if rec.Offset != s.next {
		return Applied{}, result.Errorf(result.ConfigBehind, "record %d where %d is next", rec.Offset, s.next)
	}
	body, err := DecodeRecord(rec.Data)
	if err != nil && err.Code == result.ConfigNewFormat {
		s.halted = err.Code
		return Applied{}, err
	}
	out := Applied{Refused: err}
	switch r := body.(type) {
	case *Genesis:
		out.Refused = s.applyGenesis(r)
		out.Genesis = out.Refused == nil
	case *Edit:
		out.Edit, out.Refused = s.applyEdit(r)
		out.Seen = r.seen(s.stream)
	case *Opened:
		out.Refused = s.applyOpened(r)
		if out.Refused == nil {
			out.Opened = r
		}
	case *Snapshot:
		out.Snapshot = r
	}
	s.advance(sha256.Sum256(rec.Data), out)
	return out, nil
}

// Skip passes over a part of a snapshot of which only the record's hash is at hand.
func (s *State) Skip(offset platform.Offset, recordHash document.Hash) *result.Error {
	if s.halted != result.OK {
		return result.Errorf(s.halted, "stopped at offset %d", s.next)
	}
	if offset != s.next {
		return result.Errorf(result.ConfigBehind, "record %d where %d is next", offset, s.next)
	}
	s.advance(recordHash, Applied{})
	return nil
}

// advance extends the chain by the record and its verdict, so that a program that
// judges differently is noticed as well as a log that differs.
func (s *State) advance(recordHash document.Hash, out Applied) {
	code, sum := result.OK, document.Hash{}
	if out.Refused != nil {
		code = out.Refused.Code
	} else if out.Edit != nil {
		sum = s.sections[out.Edit.Section].sum
	}
	s.chain = digest(chainDomain, s.chain[:], number(uint64(s.next)), recordHash[:], number(uint64(code)), sum[:])
	s.marks[s.next] = s.chain
	delete(s.marks, s.next-chainMarks)
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
	s.sections[document.RootSection] = &sectionState{revision: 1, sum: document.HashRoot(root)}
	s.index = document.NewIndex(s.doc, s.revision)
	return nil
}

func (s *State) applyOpened(o *Opened) *result.Error {
	if s.genesis == nil {
		return result.Errorf(result.ConfigInvalid, "no genesis yet")
	}
	if !slices.Contains(s.doc.Root.Regions, o.Region) {
		return result.Errorf(result.ConfigInvalid, "unknown region %q", o.Region)
	}
	if len(o.Slices) == 0 || len(o.Slices) > maxOpenedSlices {
		return result.Errorf(result.ConfigBadForm, "%d slices", len(o.Slices))
	}
	limit := s.doc.Root.Filled().KeySlices
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

// change is an edit that may be accepted.
type change struct {
	doc  *document.Document
	tree *document.Tree
	sum  document.Hash
	refs []document.Ref
}

// Check returns the verdict that an edit would get now. Code OK means that it would
// be accepted, ConfigDuplicate that it was accepted before.
func (s *State) Check(e Edit) Verdict {
	v := s.newVerdict(&e)
	if _, _, err := s.judge(&e); err != nil {
		s.refuse(&e, &v, err)
	} else {
		v.Revision++
	}
	return v
}

func (s *State) newVerdict(e *Edit) Verdict {
	return Verdict{ID: e.ID, Section: e.Section, Team: e.Team, Offset: s.next, Revision: s.SectionRevision(e.Section)}
}

func (s *State) refuse(e *Edit, v *Verdict, err *result.Error) {
	v.Code, v.Detail = err.Code, truncate(err.Detail)
	if err.Code == result.ConfigDuplicate {
		accepted := s.sections[e.Section].accepted
		first := accepted[find(accepted, e.seen(s.stream))].Verdict
		v.Revision, v.Offset = first.Revision, first.Offset
	}
}

func (s *State) applyEdit(e *Edit) (*Verdict, *result.Error) {
	v := s.newVerdict(e)
	ch, authentic, err := s.judge(e)
	if err != nil {
		s.refuse(e, &v, err)
		s.remember(e, v, authentic)
		return &v, err
	}
	sec := s.sections[e.Section]
	if sec == nil {
		sec = &sectionState{}
		s.sections[e.Section] = sec
	}
	sec.revision++
	sec.tree, sec.sum = ch.tree, ch.sum
	sec.proof = &proof{e.ID, e.Base, sha256.Sum256(e.Patch), e.Team, e.Key, e.Signature}
	v.Revision = sec.revision
	s.doc = ch.doc
	s.revision++
	if e.Section == document.RootSection {
		s.index = document.NewIndex(s.doc, s.revision)
	} else {
		s.index = s.index.Next(s.doc, s.revision, ch.refs)
	}
	sec.accepted = keep(sec.accepted, entry{v, e.seen(s.stream)})
	return &v, nil
}

// remember keeps a refusal. Only edits that the section's team signed enter the
// section's history: others could push its entries out.
func (s *State) remember(e *Edit, v Verdict, authentic bool) {
	if v.Code == result.ConfigDuplicate || e.checkForm() != nil {
		return
	}
	seen := e.seen(s.stream)
	if !authentic {
		s.stray = keep(s.stray, entry{v, seen})
		return
	}
	sec := s.sections[e.Section]
	if sec == nil {
		sec = &sectionState{sum: document.HashSection(document.Section{})}
		s.sections[e.Section] = sec
	}
	if i := find(sec.refused, seen); i < 0 {
		sec.refused = keep(sec.refused, entry{v, seen})
	}
}

func keep(entries []entry, e entry) []entry {
	if len(entries) >= HistoryEdits {
		entries = slices.Delete(entries, 0, len(entries)-HistoryEdits+1)
	}
	return append(entries, e)
}

func find(entries []entry, seen document.Hash) int {
	return slices.IndexFunc(entries, func(e entry) bool { return e.Seen == seen })
}

// judge decides on an edit without changing the state. authentic says that the
// section's team signed it.
func (s *State) judge(e *Edit) (ch change, authentic bool, err *result.Error) {
	if err := e.checkForm(); err != nil {
		return ch, false, err
	}
	if s.genesis == nil {
		return ch, false, result.Errorf(result.ConfigInvalid, "no genesis yet")
	}
	sec := s.sections[e.Section]
	if sec != nil {
		seen := e.seen(s.stream)
		if i := find(sec.accepted, seen); i >= 0 {
			return ch, true, result.Errorf(result.ConfigDuplicate, "accepted at revision %d", sec.accepted[i].Verdict.Revision)
		}
		// A late copy of a refused edit must not be accepted after all: its author
		// was told that it has no effect.
		if i := find(sec.refused, seen); i >= 0 {
			v := sec.refused[i].Verdict
			return ch, true, result.Errorf(v.Code, "%s", v.Detail)
		}
	}
	// The same holds for one whose key the root section did not hold then.
	if i := find(s.stray, e.seen(s.stream)); i >= 0 {
		v := s.stray[i].Verdict
		return ch, false, result.Errorf(v.Code, "%s", v.Detail)
	}
	team, known := s.doc.Root.Teams[e.Team]
	if !known || !slices.Contains(team.Sections, e.Section) {
		return ch, false, result.Errorf(result.ConfigForbidden, "team %q does not own section %q", e.Team, e.Section)
	}
	if !holds(team, e.Key) || !e.verify(s.stream) {
		return ch, false, result.Errorf(result.ConfigBadSignature, "not signed by a current key of team %q", e.Team)
	}
	if current := s.SectionRevision(e.Section); e.Base != current {
		return ch, true, result.Errorf(result.ConfigConflict, "based on revision %d, the section is at %d", e.Base, current)
	}
	ch, err = s.patch(e, sec)
	return ch, true, err
}

func (s *State) patch(e *Edit, sec *sectionState) (ch change, err *result.Error) {
	var problems document.Problems
	if e.Section == document.RootSection {
		root, err := document.PatchRoot(s.doc.Root, e.Patch)
		if err != nil {
			return ch, result.Errorf(result.ConfigInvalid, "%s", err)
		}
		ch.sum = document.HashRoot(root)
		ch.doc = s.doc.WithRoot(root)
		problems = document.ValidateRootChange(ch.doc, s.doc.Root)
	} else {
		section, refs, err := document.PatchSection(e.Section, s.doc.Sections[e.Section], e.Patch)
		if err != nil {
			return ch, result.Errorf(result.ConfigInvalid, "%s", err)
		}
		ch.refs = refs
		ch.tree = sec.treeOrEmpty().Updated(section, refs)
		ch.sum = ch.tree.Sum()
		ch.doc = s.doc.WithSection(e.Section, section)
		problems = document.ValidateChange(ch.doc, s.doc, e.Section, refs)
	}
	// A larger document could not be passed on as a snapshot.
	if size := s.bytesWith(e.Section, ch.tree); size > document.MaxDocumentBytes {
		return ch, result.Errorf(result.ConfigTooLarge, "the document would have %d bytes of at most %d", size, document.MaxDocumentBytes)
	}
	if ch.sum != e.ResultHash {
		return ch, result.Errorf(result.ConfigHashMismatch, "the patched section has hash %s", ch.sum)
	}
	if len(problems) > 0 {
		return ch, result.Errorf(result.ConfigInvalid, "%s", problems.Error())
	}
	return ch, nil
}

// bytesWith returns the size of all sections' entries with one tree replaced.
func (s *State) bytesWith(section string, tree *document.Tree) int {
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

func (sec *sectionState) treeOrEmpty() *document.Tree {
	if sec == nil || sec.tree == nil {
		return document.NewTree(document.Section{})
	}
	return sec.tree
}

// Prepare fills base and result hash of an edit against this state, for a client
// that goes on to sign it. It fails with ConfigInvalid when the patch does not apply
// or the document would not be valid.
func (s *State) Prepare(e Edit) (Edit, *result.Error) {
	if s.genesis == nil {
		return e, result.Errorf(result.ConfigBehind, "no genesis yet")
	}
	e.Base = s.SectionRevision(e.Section)
	ch, err := s.patch(&e, s.sections[e.Section])
	if err != nil && err.Code != result.ConfigHashMismatch {
		return e, err
	}
	e.ResultHash = ch.sum
	_, err = s.patch(&e, s.sections[e.Section])
	return e, err
}

func truncate(detail string) string {
	if len(detail) <= maxDetailBytes {
		return detail
	}
	return detail[:maxDetailBytes] + " (" + strconv.Itoa(len(detail)-maxDetailBytes) + " bytes more)"
}

// SectionNames returns the sections that were edited, and the root, sorted.
func (s *State) SectionNames() []string {
	return slices.Sorted(maps.Keys(s.sections))
}
