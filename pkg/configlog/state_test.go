package configlog

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/fulmarbeam/fulmarbeam/pkg/document"
	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/platformapi"
	"github.com/fulmarbeam/fulmarbeam/pkg/result"
)

// applyRecords applies records and returns the result of the last one.
func applyRecords(t require.TestingT, s *State, records ...[]byte) ApplyResult {
	var last ApplyResult
	for _, data := range records {
		applied, err := s.Apply(platformapi.Record{Offset: s.Next(), Data: data})
		require.Nil(t, err)
		last = applied
	}
	return last
}

func startedState(t require.TestingT) *State {
	s := NewState(testStream)
	require.True(t, applyRecords(t, s, genesisRecord(t, rootKey)).Genesis)
	return s
}

func mustEncode(t require.TestingT, s *State) []byte {
	data, err := s.Encode()
	require.Nil(t, err)
	return data
}

// Each rule for edits must refuse an edit with its own code and leave the document
// unchanged.
func TestRefusedEdits(t *testing.T) {
	s := startedState(t)
	applyRecords(t, s, editRecord(t, payEdit(t, s, "first", 1)))
	good := payEdit(t, s, "good", 2)
	resign := func(change func(*Edit)) Edit {
		e := good
		change(&e)
		return SignEdit(testStream, e, payKey)
	}
	for code, e := range map[result.Code]Edit{
		result.ConfigForbidden:    resign(func(e *Edit) { e.Section = "orders" }),
		result.ConfigConflict:     resign(func(e *Edit) { e.Base-- }),
		result.ConfigHashMismatch: resign(func(e *Edit) { e.ResultHash[0]++ }),
		result.ConfigInvalid:      resign(func(e *Edit) { e.Patch = []byte(`{"routes":{"r":{"path":"/","service":"none"}}}`) }),
		result.ConfigBadForm:      resign(func(e *Edit) { e.ID = "" }),
		result.ConfigBadSignature: SignEdit("other stream", good, payKey),
		result.ConfigTooLarge:     resign(func(e *Edit) { e.Patch = make([]byte, MaxPatchBytes+1) }),
	} {
		if code == result.ConfigInvalid {
			section, _, err := document.PatchSection("payments", s.doc.Sections["payments"], e.Patch)
			require.NoError(t, err)
			e.ResultHash = document.HashSection(section)
			e = SignEdit(testStream, e, payKey)
		}
		require.Equal(t, code, s.Check(e).Code)
		if code != result.ConfigTooLarge {
			applied := applyRecords(t, s, editRecord(t, e))
			require.Equal(t, code, applied.Edit.Code)
		}
	}
	require.Equal(t, result.ConfigBadSignature, s.Check(SignEdit(testStream, good, otherKey)).Code)
	require.EqualValues(t, 1, s.SectionRevision("payments"))
	require.EqualValues(t, 2, s.Index().Revision)
	v := applyRecords(t, s, editRecord(t, good)).Edit
	require.Equal(t, result.OK, v.Code, v.Detail)
	require.EqualValues(t, 2, v.Revision)
	require.Len(t, s.History("payments"), 5, "two accepted, three refused edits of the team")
}

// A key that was removed from a team must no longer be accepted, and its replacement must.
func TestKeyRotation(t *testing.T) {
	s := startedState(t)
	rotate := signedEdit(t, s, "rotate", "ops", "fleet", opsKey, []byte(`{"teams":{"pay":{"keys":["`+keyText(otherKey)+`"]}}}`))
	require.Equal(t, result.OK, applyRecords(t, s, editRecord(t, rotate)).Edit.Code)
	e := payEdit(t, s, "old-key", 1)
	require.Equal(t, result.ConfigBadSignature, s.Check(e).Code)
	require.Equal(t, result.OK, s.Check(SignEdit(testStream, e, otherKey)).Code)
	_, err := s.Prepare(Edit{ID: "slices", Section: "fleet", Team: "ops", Patch: []byte(`{"key_slices":32}`)})
	require.Equal(t, result.ConfigInvalid, err.Code, "key shards must stay where they are")
	_, err = s.Prepare(Edit{ID: "lockout", Section: "fleet", Team: "ops", Patch: []byte(`{"teams":{"ops":null}}`)})
	require.Equal(t, result.ConfigInvalid, err.Code, "nobody could edit the root any more")
}

// Of concurrent edits to one section exactly the first in the log must be accepted, and
// later duplicates must not change the decision on either.
func TestRacingAndDuplicatedEdits(t *testing.T) {
	s := startedState(t)
	one, two := payEdit(t, s, "one", 1), payEdit(t, s, "two", 2)
	other := signedEdit(t, s, "other", "shop", "orders", shopKey, workspacePatch("yard", 1))
	applyRecords(t, s, editRecord(t, one), editRecord(t, two), editRecord(t, other), editRecord(t, one), editRecord(t, two), editRecord(t, one))
	status := func(id string) Verdict { v, _ := s.Status(id); return v }
	require.Equal(t, result.OK, status("one").Code)
	require.EqualValues(t, 1, status("one").Offset)
	require.Equal(t, result.ConfigConflict, status("two").Code)
	require.Equal(t, result.OK, status("other").Code, "teams do not conflict")
	require.EqualValues(t, 1, s.SectionRevision("payments"))
	duplicate := s.Check(one)
	require.Equal(t, result.ConfigDuplicate, duplicate.Code)
	require.EqualValues(t, 1, duplicate.Revision)
}

// A duplicate of an edit that was refused as invalid must stay refused after another
// team's edit would make it valid, because its author was notified that it has no effect.
func TestDuplicateOfRefusedEditStaysRefused(t *testing.T) {
	s := startedState(t)
	e := Edit{ID: "early", Section: "payments", Team: "pay", Patch: []byte(`{"routes":{"r":{"path":"/","service":"yard"}}}`)}
	section, _, err := document.PatchSection("payments", document.Section{}, e.Patch)
	require.NoError(t, err)
	e.ResultHash = document.HashSection(section)
	e = SignEdit(testStream, e, payKey)
	// A forged edit with the same id must not be mistaken for the genuine one.
	forged := e
	forged.Signature = make([]byte, 64)
	require.Equal(t, result.ConfigBadSignature, applyRecords(t, s, editRecord(t, forged)).Edit.Code)
	require.Equal(t, result.ConfigInvalid, applyRecords(t, s, editRecord(t, e)).Edit.Code)
	yard := signedEdit(t, s, "yard", "shop", "orders", shopKey, []byte(`{"services":{"yard":{"servers":1,"slots":1,"connections":1}}}`))
	require.Equal(t, result.OK, applyRecords(t, s, editRecord(t, yard)).Edit.Code)
	require.Equal(t, result.ConfigInvalid, applyRecords(t, s, editRecord(t, e)).Edit.Code)
	e.ID = "again"
	require.Equal(t, result.OK, applyRecords(t, s, editRecord(t, SignEdit(testStream, e, payKey))).Edit.Code)
}

// A duplicate of an edit that was refused for its key must stay refused after the key is
// added, because its author was notified that it has no effect.
func TestEditRefusedForItsKeyStaysRefused(t *testing.T) {
	s := startedState(t)
	early := SignEdit(testStream, payEdit(t, s, "early", 1), otherKey)
	require.Equal(t, result.ConfigBadSignature, applyRecords(t, s, editRecord(t, early)).Edit.Code)
	add := signedEdit(t, s, "add", "ops", "fleet", opsKey, []byte(`{"teams":{"pay":{"keys":["`+keyText(payKey)+`","`+keyText(otherKey)+`"]}}}`))
	require.Equal(t, result.OK, applyRecords(t, s, editRecord(t, add)).Edit.Code)
	require.Equal(t, result.ConfigBadSignature, applyRecords(t, s, editRecord(t, early)).Edit.Code)
	again := early
	again.ID = "again"
	require.Equal(t, result.OK, applyRecords(t, s, editRecord(t, SignEdit(testStream, again, otherKey))).Edit.Code)
}

// A VM that lags must not report a conflict as final for an edit that the log may accept.
func TestLaggingVMDoesNotReportConflict(t *testing.T) {
	ahead := startedState(t)
	applyRecords(t, ahead, editRecord(t, payEdit(t, ahead, "first", 1)))
	next := payEdit(t, ahead, "second", 2)
	n := New(Config{Stream: testStream, RootKey: ahead.RootKey(), Self: fleet.Member{VM: "late", Incarnation: 1}, Region: "north"})
	n.state = startedState(t)
	require.Equal(t, result.ConfigConflict, n.state.Check(next).Code, "the VM has not read the first edit")
	require.Equal(t, result.OK, n.Publish(0, next).Code)
	_, wanted := n.NextAppend(0)
	require.True(t, wanted)
}

func TestOnlyFirstValidGenesisCounts(t *testing.T) {
	s := NewState(testStream)
	g, err := NewGenesis(testStream, testRoot(), rootKey)
	require.NoError(t, err)
	g.Signature[0]++
	bad, err := EncodeGenesis(g)
	require.NoError(t, err)
	applyRecords(t, s, []byte("garbage"), bad, []byte("fbcl\x01\x09"), genesisRecord(t, rootKey), genesisRecord(t, otherKey))
	require.Equal(t, publicKey(rootKey), s.RootKey())
	require.EqualValues(t, 5, s.Next())
}

// A record of a newer format must stop a reader, because it cannot decide on the records
// that follow.
func TestNewerFormatStops(t *testing.T) {
	s := startedState(t)
	newer := append([]byte("fbcl"), Format+1, byte(TypeEdit))
	_, err := s.Apply(platformapi.Record{Offset: s.Next(), Data: newer})
	require.Equal(t, result.ConfigNewFormat, err.Code)
	_, err = s.Apply(platformapi.Record{Offset: s.Next(), Data: editRecord(t, payEdit(t, s, "after", 1))})
	require.Equal(t, result.ConfigNewFormat, err.Code)
	require.EqualValues(t, 1, s.Next())
}

// A state restored from a snapshot must equal the state from a full replay, and must be
// refused if any signed content was changed.
func TestSnapshotEqualsReplay(t *testing.T) {
	s := startedState(t)
	opened, err := EncodeShardsOpened(ShardsOpened{"east", []int{3, 1}})
	require.NoError(t, err)
	one := payEdit(t, s, "one", 1)
	applyRecords(t, s, editRecord(t, one), opened, editRecord(t, one))
	saved := mustEncode(t, s)
	r, restoreErr := Restore(testStream, publicKey(rootKey), saved)
	require.Nil(t, restoreErr)
	two := editRecord(t, payEdit(t, s, "two", 2))
	applyRecords(t, s, two)
	applyRecords(t, r, two)
	require.Equal(t, mustEncode(t, s), mustEncode(t, r))
	require.True(t, r.ShardOpened("east", 3) && !r.ShardOpened("east", 2) && !r.ShardOpened("west", 3))
	require.Equal(t, s.Chain(), r.Chain())

	_, restoreErr = Restore(testStream, publicKey(otherKey), saved)
	require.Equal(t, result.ConfigGenesisDenied, restoreErr.Code)
	for i := range saved {
		tampered := append([]byte(nil), saved...)
		tampered[i] ^= 1
		if r, err := Restore(testStream, publicKey(rootKey), tampered); err == nil {
			require.Equal(t, encodedSections(t, saved), encodedSections(t, mustEncode(t, r)), "byte %d", i)
		}
	}
}

// encodedSections returns the signed contents of an encoded state.
func encodedSections(t require.TestingT, data []byte) map[string]string {
	var saved savedState
	require.NoError(t, unmarshal(data, &saved))
	out := map[string]string{}
	for _, s := range saved.Sections {
		out[s.Name] = string(s.Content)
	}
	return out
}

func FuzzRecord(f *testing.F) {
	s := startedState(f)
	f.Add(genesisRecord(f, rootKey))
	f.Add(editRecord(f, payEdit(f, s, "one", 1)))
	opened, _ := EncodeShardsOpened(ShardsOpened{"east", []int{1}})
	f.Add(opened)
	for _, p := range SplitSnapshot("id", 0, s.Chain(), mustEncode(f, s)) {
		data, _ := EncodeSnapshotPart(p)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		// Two readers must reach the same state on any input.
		a, b := startedState(t), startedState(t)
		rec := platformapi.Record{Offset: 1, Data: data}
		appliedA, errA := a.Apply(rec)
		appliedB, errB := b.Apply(rec)
		require.Equal(t, errA, errB)
		require.Equal(t, appliedA, appliedB)
		require.Equal(t, a.Chain(), b.Chain())
		_, _ = Restore(testStream, publicKey(rootKey), data)
	})
}

// FuzzEdit signs arbitrary patches. An accepted one must result in a valid document, and
// in a state that can be restored from a snapshot.
func FuzzEdit(f *testing.F) {
	f.Add("id", "payments", []byte(`{"routes":{"r":{"path":"/","service":"s"}},"services":{"s":{"servers":1,"slots":1,"connections":1}}}`))
	f.Add("id", "payments", workspacePatch("inn", 1))
	f.Fuzz(func(t *testing.T, id, section string, patch []byte) {
		s := startedState(t)
		e, err := s.Prepare(Edit{ID: id, Section: section, Team: "pay", Patch: patch})
		if err != nil {
			return
		}
		v := s.Check(SignEdit(testStream, e, payKey))
		if v.Code != result.OK {
			return
		}
		require.Equal(t, v.Code, applyRecords(t, s, editRecord(t, SignEdit(testStream, e, payKey))).Edit.Code)
		require.Empty(t, document.Validate(s.doc))
		r, err := Restore(testStream, publicKey(rootKey), mustEncode(t, s))
		require.Nil(t, err)
		require.Equal(t, mustEncode(t, s), mustEncode(t, r))
	})
}
