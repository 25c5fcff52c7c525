package configlog

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/fulmarbeam/fulmarbeam/pkg/document"
	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/platform"
	"github.com/fulmarbeam/fulmarbeam/pkg/result"
)

// feed applies records and returns the last effect.
func feed(t require.TestingT, s *State, records ...[]byte) Applied {
	var last Applied
	for _, data := range records {
		applied, err := s.Apply(platform.Record{Offset: s.Next(), Data: data})
		require.Nil(t, err)
		last = applied
	}
	return last
}

func startedState(t require.TestingT) *State {
	s := NewState(testStream)
	require.True(t, feed(t, s, genesisRecord(t, rootKey)).Genesis)
	return s
}

func encoded(t require.TestingT, s *State) []byte {
	data, err := s.Encode()
	require.Nil(t, err)
	return data
}

// Each rule of an edit must refuse on its own, with its code, and leave the document.
func TestRefusedEdits(t *testing.T) {
	s := startedState(t)
	feed(t, s, record(t, payEdit(t, s, "first", 1)))
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
			applied := feed(t, s, record(t, e))
			require.Equal(t, code, applied.Edit.Code)
		}
	}
	require.Equal(t, result.ConfigBadSignature, s.Check(SignEdit(testStream, good, strangerKey)).Code)
	require.EqualValues(t, 1, s.SectionRevision("payments"))
	require.EqualValues(t, 2, s.Index().Revision)
	v := feed(t, s, record(t, good)).Edit
	require.Equal(t, result.OK, v.Code, v.Detail)
	require.EqualValues(t, 2, v.Revision)
	require.Len(t, s.History("payments"), 5, "two accepted, three refused edits of the team")
}

// A key that a team gave up must not sign any more, and the new one must.
func TestKeyRotation(t *testing.T) {
	s := startedState(t)
	rotate := signed(t, s, "rotate", "ops", "fleet", opsKey, []byte(`{"teams":{"pay":{"keys":["`+keyText(strangerKey)+`"]}}}`))
	require.Equal(t, result.OK, feed(t, s, record(t, rotate)).Edit.Code)
	e := payEdit(t, s, "old-key", 1)
	require.Equal(t, result.ConfigBadSignature, s.Check(e).Code)
	require.Equal(t, result.OK, s.Check(SignEdit(testStream, e, strangerKey)).Code)
	_, err := s.Prepare(Edit{ID: "slices", Section: "fleet", Team: "ops", Patch: []byte(`{"key_slices":32}`)})
	require.Equal(t, result.ConfigInvalid, err.Code, "key shards must stay where they are")
	_, err = s.Prepare(Edit{ID: "lockout", Section: "fleet", Team: "ops", Patch: []byte(`{"teams":{"ops":null}}`)})
	require.Equal(t, result.ConfigInvalid, err.Code, "nobody could edit the root any more")
}

// Racing edits of one section: exactly the first in the log is accepted, and copies of
// both keep their verdicts however late they come.
func TestRacingAndDuplicatedEdits(t *testing.T) {
	s := startedState(t)
	one, two := payEdit(t, s, "one", 1), payEdit(t, s, "two", 2)
	other := signed(t, s, "other", "shop", "orders", shopKey, workspacePatch("yard", 1))
	feed(t, s, record(t, one), record(t, two), record(t, other), record(t, one), record(t, two), record(t, one))
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

// An edit that was refused because the document was not valid must stay refused when
// a copy arrives after another team made it valid: its author was told so.
func TestLateCopyOfRefusedEditStaysRefused(t *testing.T) {
	s := startedState(t)
	e := Edit{ID: "early", Section: "payments", Team: "pay", Patch: []byte(`{"routes":{"r":{"path":"/","service":"yard"}}}`)}
	section, _, err := document.PatchSection("payments", document.Section{}, e.Patch)
	require.NoError(t, err)
	e.ResultHash = document.HashSection(section)
	e = SignEdit(testStream, e, payKey)
	// A forgery under the same id must not take the place of the genuine edit.
	forged := e
	forged.Signature = make([]byte, 64)
	require.Equal(t, result.ConfigBadSignature, feed(t, s, record(t, forged)).Edit.Code)
	require.Equal(t, result.ConfigInvalid, feed(t, s, record(t, e)).Edit.Code)
	yard := signed(t, s, "yard", "shop", "orders", shopKey, []byte(`{"services":{"yard":{"servers":1,"slots":1,"connections":1}}}`))
	require.Equal(t, result.OK, feed(t, s, record(t, yard)).Edit.Code)
	require.Equal(t, result.ConfigInvalid, feed(t, s, record(t, e)).Edit.Code)
	e.ID = "again"
	require.Equal(t, result.OK, feed(t, s, record(t, SignEdit(testStream, e, payKey))).Edit.Code)
}

// A late copy of an edit that was refused for its key must stay refused after the key
// is added: its author was told that the edit has no effect.
func TestEditRefusedForItsKeyStaysRefused(t *testing.T) {
	s := startedState(t)
	early := SignEdit(testStream, payEdit(t, s, "early", 1), strangerKey)
	require.Equal(t, result.ConfigBadSignature, feed(t, s, record(t, early)).Edit.Code)
	add := signed(t, s, "add", "ops", "fleet", opsKey, []byte(`{"teams":{"pay":{"keys":["`+keyText(payKey)+`","`+keyText(strangerKey)+`"]}}}`))
	require.Equal(t, result.OK, feed(t, s, record(t, add)).Edit.Code)
	require.Equal(t, result.ConfigBadSignature, feed(t, s, record(t, early)).Edit.Code)
	again := early
	again.ID = "again"
	require.Equal(t, result.OK, feed(t, s, record(t, SignEdit(testStream, again, strangerKey))).Edit.Code)
}

// A VM that lags must not tell a final conflict on an edit that the log may accept.
func TestLaggingVMLeavesTheVerdictToTheLog(t *testing.T) {
	ahead := startedState(t)
	feed(t, ahead, record(t, payEdit(t, ahead, "first", 1)))
	next := payEdit(t, ahead, "second", 2)
	n := New(Config{Stream: testStream, RootKey: ahead.RootKey(), Self: fleet.Member{VM: "late", Incarnation: 1}, Region: "north"})
	n.state = startedState(t)
	require.Equal(t, result.ConfigConflict, n.state.Check(next).Code, "the VM has not read the first edit")
	require.Equal(t, result.OK, n.Publish(0, next).Code)
	_, wanted := n.WantAppend(0)
	require.True(t, wanted)
}

func TestOnlyFirstValidGenesisCounts(t *testing.T) {
	s := NewState(testStream)
	g, err := NewGenesis(testStream, testRoot(), rootKey)
	require.NoError(t, err)
	g.Signature[0]++
	bad, err := EncodeGenesis(g)
	require.NoError(t, err)
	feed(t, s, []byte("garbage"), bad, []byte("fbcl\x01\x09"), genesisRecord(t, rootKey), genesisRecord(t, strangerKey))
	require.Equal(t, publicKey(rootKey), s.RootKey())
	require.EqualValues(t, 5, s.Next())
}

// A record of a newer format must stop a reader: it could not judge what follows.
func TestNewerFormatStops(t *testing.T) {
	s := startedState(t)
	newer := append([]byte("fbcl"), Format+1, byte(TypeEdit))
	_, err := s.Apply(platform.Record{Offset: s.Next(), Data: newer})
	require.Equal(t, result.ConfigNewFormat, err.Code)
	_, err = s.Apply(platform.Record{Offset: s.Next(), Data: record(t, payEdit(t, s, "after", 1))})
	require.Equal(t, result.ConfigNewFormat, err.Code)
	require.EqualValues(t, 1, s.Next())
}

// A state from a snapshot must equal the state from a full replay, and must be
// refused when any signed content was changed.
func TestSnapshotEqualsReplay(t *testing.T) {
	s := startedState(t)
	opened, err := EncodeOpened(Opened{"east", []int{3, 1}})
	require.NoError(t, err)
	one := payEdit(t, s, "one", 1)
	feed(t, s, record(t, one), opened, record(t, one))
	saved := encoded(t, s)
	r, restoreErr := Restore(testStream, publicKey(rootKey), saved)
	require.Nil(t, restoreErr)
	two := record(t, payEdit(t, s, "two", 2))
	feed(t, s, two)
	feed(t, r, two)
	require.Equal(t, encoded(t, s), encoded(t, r))
	require.True(t, r.Opened("east", 3) && !r.Opened("east", 2) && !r.Opened("west", 3))
	require.Equal(t, s.Chain(), r.Chain())

	_, restoreErr = Restore(testStream, publicKey(strangerKey), saved)
	require.Equal(t, result.ConfigGenesisDenied, restoreErr.Code)
	for i := range saved {
		tampered := append([]byte(nil), saved...)
		tampered[i] ^= 1
		if r, err := Restore(testStream, publicKey(rootKey), tampered); err == nil {
			require.Equal(t, encodedSections(t, saved), encodedSections(t, encoded(t, r)), "byte %d", i)
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
	f.Add(record(f, payEdit(f, s, "one", 1)))
	opened, _ := EncodeOpened(Opened{"east", []int{1}})
	f.Add(opened)
	for _, p := range Split("id", 0, s.Chain(), encoded(f, s)) {
		data, _ := EncodeSnapshot(p)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		// Two readers must agree on any bytes.
		a, b := startedState(t), startedState(t)
		rec := platform.Record{Offset: 1, Data: data}
		doneA, errA := a.Apply(rec)
		doneB, errB := b.Apply(rec)
		require.Equal(t, errA, errB)
		require.Equal(t, doneA, doneB)
		require.Equal(t, a.Chain(), b.Chain())
		_, _ = Restore(testStream, publicKey(rootKey), data)
	})
}

// FuzzEdit signs whatever patch the fuzzer makes: an accepted one must leave a valid
// document that survives a snapshot.
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
		require.Equal(t, v.Code, feed(t, s, record(t, SignEdit(testStream, e, payKey))).Edit.Code)
		require.Empty(t, document.Validate(s.doc))
		r, err := Restore(testStream, publicKey(rootKey), encoded(t, s))
		require.Nil(t, err)
		require.Equal(t, encoded(t, s), encoded(t, r))
	})
}
