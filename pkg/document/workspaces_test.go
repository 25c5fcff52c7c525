package document

import (
	"encoding/json"
	"fmt"
	"math"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
)

func hashes(keys ...string) (out []string) {
	for _, key := range keys {
		out = append(out, HashAPIKey(key).String())
	}
	return out
}

// Guards against keys that identify no workspace or several, and against quotas and priorities without a meaning.
// No problem may contain the text of a key.
func TestInvalidWorkspaces(t *testing.T) {
	good := hashes("good")[0]
	doc := &Document{Sections: map[string]Section{
		"a": {Workspaces: map[string]Workspace{
			"one":   {Keys: []string{good, good, "plain-key", good[:63], good + "0", "Z" + good[1:], fmt.Sprintf("%X", HashAPIKey("upper"))}},
			"two":   {Quota: Quota{Rate: -1, Burst: math.NaN()}},
			"three": {Quota: Quota{Rate: math.Inf(1), Burst: 1}, Priority: -1},
			"four":  {Keys: hashes("own"), Quota: Quota{Rate: 5, Burst: 5}, Priority: 3},
		}},
		"b": {Workspaces: map[string]Workspace{"five": {Keys: []string{good}}}},
	}}
	problems := ValidateWorkspaces(doc)
	var paths []string
	for _, p := range problems {
		paths = append(paths, p.Path)
	}
	require.Equal(t, []string{
		"sections.a.workspaces.one.keys[2]", "sections.a.workspaces.one.keys[3]", "sections.a.workspaces.one.keys[4]",
		"sections.a.workspaces.one.keys[5]", "sections.a.workspaces.one.keys[6]",
		"sections.a.workspaces.three.priority", "sections.a.workspaces.three.quota.rate",
		"sections.a.workspaces.two.quota.burst", "sections.a.workspaces.two.quota.rate",
		"sections.b.workspaces.five.keys[0]",
	}, paths)
	require.NotContains(t, problems.Error(), good)
	require.NotContains(t, problems.Error(), "plain-key")
}

// Guards against a signed section whose quota no VM would enforce, in a whole document and in an edit.
func TestSignedSectionsHaveNoQuota(t *testing.T) {
	doc := exampleDocument(t)
	inn := doc.Sections["payments"].Workspaces["inn"]
	inn.Quota.Rate = 5
	changed := doc.WithSection("payments", Section{Services: doc.Sections["payments"].Services, Routes: doc.Sections["payments"].Routes,
		Workspaces: map[string]Workspace{"inn": inn}})
	for _, problems := range []Problems{Validate(changed), ValidateChange(changed, doc, "payments", []EntryRef{{KindWorkspace, "inn"}})} {
		require.Len(t, problems, 1)
		require.Equal(t, "sections.payments.workspaces.inn.quota: quotas are enforced by fulmarbeam serve only", problems.Error())
	}
}

// Guards against an edit that gives a key to a second workspace although Validate would refuse the result.
func TestEditsShareNoKey(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		doc := exampleDocument(t)
		doc.Root.APIKeys = true
		doc.Sections["orders"] = Section{Workspaces: map[string]Workspace{"barn": {Home: "south", Keys: hashes("a")}}}
		section := doc.Sections["payments"]
		for range rapid.IntRange(1, 4).Draw(t, "edits") {
			name := rapid.SampledFrom([]string{"inn", "farm"}).Draw(t, "workspace")
			keys := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c", "d"}), 0, 2, rapid.ID).Draw(t, "keys")
			patch, err := json.Marshal(map[string]any{"workspaces": map[string]any{name: map[string]any{"home": "south", "keys": hashes(keys...)}}})
			require.NoError(t, err)
			next, refs, err := PatchSection("payments", section, patch)
			require.NoError(t, err)
			changed := doc.WithSection("payments", next)
			problems := ValidateChange(changed, doc, "payments", refs)
			require.Equal(t, Validate(changed), problems)
			if len(problems) > 0 {
				continue
			}
			index := NewIndex(doc, 1).Updated(changed, 2, refs)
			require.Equal(t, NewIndex(changed, 2).keys, index.keys)
			doc, section = changed, next
		}
	})
}

// Guards against a key that is accepted after it was withdrawn, or for a workspace that does not hold it any more.
func TestKeysFollowTheDocument(t *testing.T) {
	index := func(keys map[string][]string) *Index {
		s := Section{Workspaces: map[string]Workspace{}}
		for name, k := range keys {
			s.Workspaces[name] = Workspace{Keys: k, Quota: Quota{Rate: 4}}
		}
		return NewIndex(&Document{Root: Root{APIKeys: true}, Sections: map[string]Section{"s": s}}, 1)
	}
	holder := func(x *Index, key string) string {
		m, ok := x.WorkspaceOfKey(HashAPIKey(key))
		require.Equal(t, ok, m.Name != "")
		return m.Name
	}
	x := index(map[string][]string{"inn": hashes("a", "b"), "farm": hashes("c")})
	require.Equal(t, []string{"inn", "inn", "farm", ""}, []string{holder(x, "a"), holder(x, "b"), holder(x, "c"), holder(x, "")})
	require.Equal(t, []int{3, 2}, []int{x.KeyCount(), x.WorkspaceCount()})
	m, _ := x.WorkspaceOfKey(HashAPIKey("a"))
	require.Equal(t, []float64{4, 1}, []float64{m.Workspace.Quota.Rate, m.Workspace.Weight})
	x = index(map[string][]string{"inn": nil, "farm": hashes("b")}) // inn loses all keys, one of which moves
	require.Equal(t, []string{"", "farm", ""}, []string{holder(x, "a"), holder(x, "b"), holder(x, "c")})
	require.True(t, x.RequiresAPIKeys())
}

// largeDocument has the sizes that a VM of 184 MB must hold.
func largeDocument() *Document {
	const routes, workspaces, keys = 1_400, 75, 5_000
	s := Section{Services: map[fleet.Service]Service{"desk": {}}, Routes: map[string]Route{}, Workspaces: map[string]Workspace{}}
	for i := range routes {
		s.Routes[fmt.Sprintf("route-%d", i)] = Route{Hosts: []string{fmt.Sprintf("host-%d.example", i%50)}, Path: fmt.Sprintf("/area-%d/", i), Service: "desk"}
	}
	for i := range keys {
		name := fmt.Sprintf("workspace-%d", i%workspaces)
		w := s.Workspaces[name]
		w.Keys = append(w.Keys, HashAPIKey(fmt.Sprint("key-", i)).String())
		s.Workspaces[name] = w
	}
	return &Document{Root: Root{APIKeys: true}, Sections: map[string]Section{"s": s}}
}

// Guards against an index that takes a noticeable part of the memory of a small VM, which holds two of them while a
// configuration is replaced.
func TestIndexOfManyKeysIsSmall(t *testing.T) {
	const maxBytes = 8 << 20 // 4% of 184 MB
	used := func() uint64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	before := used()
	kept := []*Index{NewIndex(largeDocument(), 1), NewIndex(largeDocument(), 2)}
	require.Less(t, used()-before, uint64(maxBytes))
	require.Equal(t, 5_000, kept[1].KeyCount())
	runtime.KeepAlive(kept)
}

// BenchmarkNewIndexWithKeys measures the rebuild that each configuration causes.
func BenchmarkNewIndexWithKeys(b *testing.B) {
	doc := largeDocument()
	b.ReportAllocs()
	for b.Loop() {
		NewIndex(doc, 1)
	}
}

// BenchmarkWorkspaceOfKey measures what a request pays for its key: the hash and the look-up.
func BenchmarkWorkspaceOfKey(b *testing.B) {
	x := NewIndex(largeDocument(), 1)
	b.ReportAllocs()
	for b.Loop() {
		x.WorkspaceOfKey(HashAPIKey("key-4711"))
	}
}
