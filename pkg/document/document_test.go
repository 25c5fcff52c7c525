package document

import (
	"encoding/base64"
	"encoding/json"
	"maps"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	jsonpatch "github.com/evanphx/json-patch/v5"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/result"
)

var testKey = base64.StdEncoding.EncodeToString(make([]byte, 32))

const exampleFile = `{
	// Comments and trailing commas are for operators' files only.
	"format": 1,
	"fleet": {"teams": {"ops": {"keys": ["KEY"], "sections": ["fleet", "payments"]}}, "regions": ["south", "north"]},
	"sections": {"payments": {
		"services": {"pay": {"servers": 12, "slots": 6, "connections": 330, "floor": {"percent": 60}, "warmup": "5s"}},
		"routes": {
			"pay": {"hosts": ["pay.example"], "path": "/pay", "methods": ["POST"], "service": "pay", "key": "required"},
			"look": {"path": "/pay", "methods": ["GET"], "service": "pay", "idempotent": true},
		},
		"workspaces": {"inn": {"home": "south", "weight": 2}},
	}},
}`

func exampleDocument(t require.TestingT) *Document {
	doc, err := ParseFile([]byte(strings.ReplaceAll(exampleFile, "KEY", testKey)))
	require.NoError(t, err)
	require.Empty(t, Validate(doc))
	return doc
}

// Validate must report all problems of a document at once, each with its path.
func TestValidateListsAllProblems(t *testing.T) {
	doc := exampleDocument(t)
	s := doc.Sections["payments"]
	pay := s.Services["pay"]
	pay.Floor, pay.Slots = Floor{Servers: 13}, 0
	s.Services["pay"] = pay
	s.Routes["twin"] = s.Routes["pay"]
	s.Routes["lost"] = Route{Path: "lost", Service: "nowhere", Retries: 2, Length: "tall"}
	s.Workspaces["far"] = Workspace{Home: "west", Weight: -1}
	doc.Sections["orders"] = Section{Workspaces: map[string]Workspace{"inn": {Home: "north"}}}
	doc.Root.Teams["ops"] = Team{Keys: []string{"short"}, Sections: []string{"payments"}}
	var got []string
	for _, p := range Validate(doc) {
		got = append(got, p.Path)
	}
	require.Equal(t, []string{
		"fleet.teams", "fleet.teams.ops.keys[0]", "sections.payments.routes.lost.length",
		"sections.payments.routes.lost.path", "sections.payments.routes.lost.retries",
		"sections.payments.routes.lost.service", "sections.payments.routes.twin",
		"sections.payments.services.pay.floor.servers", "sections.payments.services.pay.slots",
		"sections.payments.workspaces.far.home", "sections.payments.workspaces.far.weight",
		"sections.payments.workspaces.inn",
	}, got)
}

// encoding/json accepts "Path" for "path" and uses the last of repeated names, so that a
// typing error or a hostile patch would go undetected.
func TestUnknownAndRepeatedFieldsAreRefused(t *testing.T) {
	_, err := Parse([]byte(`{"format":1,"Format":1,"fleet":{"teams":{},"teams":{},"regionz":[]},
		"sections":{"a":{"routes":{"r":{"Path":"/"}}}}}`))
	require.Equal(t, Problems{{"Format", "unknown field"}, {"fleet.regionz", "unknown field"},
		{"fleet.teams", "repeated"}, {"sections.a.routes.r.Path", "unknown field"}}, err)
	_, _, err = PatchSection("a", Section{}, []byte(`{"routes":{"r":{"path":"/a"},"r":{"path":"/b"}}}`))
	require.ErrorContains(t, err, "repeated")
	_, err = Parse([]byte(strings.Repeat(`{"sections":`, 20000)))
	require.Error(t, err, "deep nesting must not exhaust the stack")
}

func TestDurationJSON(t *testing.T) {
	data, err := json.Marshal(Duration(1500 * time.Millisecond))
	require.NoError(t, err)
	require.Equal(t, `"1.5s"`, string(data))
	var d Duration
	require.Error(t, json.Unmarshal([]byte(`5`), &d), "a bare number has no unit")
}

func TestDefaultsOfFormat1(t *testing.T) {
	x := NewIndex(exampleDocument(t), 7)
	m, code := x.Route("PAY.example:443", "/pay/1", "POST")
	require.Equal(t, result.OK, code)
	require.Equal(t, Route{Hosts: []string{"pay.example"}, Path: "/pay", Methods: []string{"POST"}, Service: "pay",
		Length: LengthLearned, Key: KeyRequired, Weight: 1, Deadline: Duration(30 * time.Second), MaxBody: 1 << 20}, m.Route)
	require.Equal(t, 64, x.Root().KeySlices)
	require.Equal(t, Duration(10*time.Minute), x.Root().KeyRetention)
}

func TestKeyShard(t *testing.T) {
	x := NewIndex(exampleDocument(t), 1)
	region, slice := x.KeyShard("inn", 1<<32|65)
	require.Equal(t, fleet.Region("south"), region)
	require.Equal(t, 1, slice)
	region, _ = x.KeyShard("unknown", 1<<32|65)
	require.Equal(t, fleet.Region("south"), region) // regions are sorted: north, south
	region, _ = x.KeyShard("unknown", 2<<32|65)
	require.Equal(t, fleet.Region("north"), region)
}

func TestRouteCodes(t *testing.T) {
	x := NewIndex(exampleDocument(t), 1)
	for _, c := range []struct {
		host, path, method string
		code               result.Code
		route              string
	}{
		{"pay.example", "/pay", "POST", result.OK, "pay"},
		{"pay.example", "/pay", "GET", result.OK, "look"}, // falls back to any host
		{"other", "/pay/x", "GET", result.OK, "look"},
		{"other", "/pay", "POST", result.MethodNotAllowed, ""},
		{"other", "/payment", "GET", result.NoRoute, ""},
		{"other", "", "GET", result.NoRoute, ""},
		{"other", "/menu/%2E./pay", "GET", result.BadRequest, ""}, // a server would resolve it to /pay
		{"other", "/pay/..", "GET", result.BadRequest, ""},
		{"other", "/pay/.well-known", "GET", result.OK, "look"},
	} {
		m, code := x.Route(c.host, c.path, c.method)
		require.Equal(t, c.code, code, "%v", c)
		require.Equal(t, c.route, m.Name, "%v", c)
	}
}

// A look-up in the route table must return the same route as a search over all routes.
func TestRouteEqualsLinearSearch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		segment := rapid.SampledFrom([]string{"a", "b", "ab"})
		path := rapid.Custom(func(t *rapid.T) string {
			return "/" + strings.Join(rapid.SliceOfN(segment, 0, 3).Draw(t, "segments"), "/")
		})
		host := rapid.SampledFrom([]string{"", "h", "i"})
		method := rapid.SampledFrom([]string{"", "GET", "POST"})
		type key struct{ host, path, method string }
		all := map[key]string{}
		table := make(routeTable)
		for i := range rapid.IntRange(0, 12).Draw(t, "routes") {
			k := key{host.Draw(t, "host"), path.Draw(t, "path"), method.Draw(t, "method")}
			if _, repeated := all[k]; repeated {
				continue
			}
			name := string(rune('a' + i))
			all[k] = name
			r := Route{Path: k.path}
			if k.host != "" {
				r.Hosts = []string{k.host}
			}
			if k.method != "" {
				r.Methods = []string{k.method}
			}
			table.add(name, r)
		}
		request := key{rapid.SampledFrom([]string{"h", "i", "j"}).Draw(t, "h"), path.Draw(t, "p"), rapid.SampledFrom([]string{"GET", "PUT"}).Draw(t, "m")}
		best, bestRank := "", -1
		for k, name := range all {
			under := k.path == "/" || request.path == k.path || strings.HasPrefix(request.path, k.path+"/")
			if (k.host != "" && k.host != request.host) || (k.method != "" && k.method != request.method) || !under {
				continue
			}
			rank := 2 * len(k.path)
			if k.host != "" {
				rank += 1000
			}
			if k.method != "" {
				rank++
			}
			if rank > bestRank {
				best, bestRank = name, rank
			}
		}
		m, _ := (&Index{routes: table}).Route(request.host, request.path, request.method)
		if m.Name != best {
			t.Fatalf("%v in %v: got %q, want %q", request, all, m.Name, best)
		}
	})
}

// A patch is merged, hashed and validated entry by entry. The result must equal that of
// merging, hashing and validating the whole section, or readers with another
// implementation would diverge.
func TestPatchEqualsMergeOfWholeSection(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		doc := exampleDocument(t)
		doc.Sections["orders"] = Section{Services: map[fleet.Service]Service{"yard": {Servers: 3, Slots: 1, Connections: 9}}}
		section, tree := doc.Sections["payments"], NewHashTree(doc.Sections["payments"])
		for range rapid.IntRange(1, 4).Draw(t, "edits") {
			patch := drawPatch(t)
			before, err := CanonicalSection(section)
			require.NoError(t, err)
			merged, err := jsonpatch.MergePatch(before, patch)
			require.NoError(t, err)
			whole, wholeErr := ParseSection("payments", merged)
			next, refs, err := PatchSection("payments", section, patch)
			require.Equal(t, wholeErr == nil, err == nil, "%s: %v, %v", patch, wholeErr, err)
			after, _ := CanonicalSection(section)
			require.Equal(t, before, after, "the given section must not be modified")
			if err != nil {
				return
			}
			nextTree := tree.Updated(next, refs)
			require.Equal(t, HashSection(whole), nextTree.Sum(), "%s", patch)
			changed := doc.WithSection("payments", next)
			require.Equal(t, len(Validate(changed)) == 0, len(ValidateChange(changed, changed, "payments", refs)) == 0, "%s: %v", patch, Validate(changed))
			if len(Validate(changed)) > 0 {
				return
			}
			doc, section, tree = changed, next, nextTree
		}
	})
}

func drawPatch(t *rapid.T) []byte {
	pick := func(label string, options ...string) string { return rapid.SampledFrom(options).Draw(t, label) }
	entries := map[string][]string{
		"services": {`null`, `{"servers":3}`, `{"floor":{"servers":1,"percent":null}}`, `{"floor":null}`, `{"slots":"x"}`,
			`{"servers":5,"slots":2,"connections":8}`},
		"routes":     {`null`, `{"weight":2}`, `{"service":"yard"}`, `{"path":"/pay","service":"pay"}`, `{"methods":null}`, `{"Path":"/x"}`, `7`},
		"workspaces": {`null`, `{"home":"north"}`, `{"home":"west"}`, `{"weight":3}`},
	}
	var parts []string
	for _, kind := range slices.Sorted(maps.Keys(entries)) {
		switch pick(kind, "skip", "skip", "null", "some", "some", "some") {
		case "null":
			parts = append(parts, `"`+kind+`":null`)
		case "some":
			name := pick("name", "pay", "look", "inn", "yard", "new")
			parts = append(parts, `"`+kind+`":{"`+name+`":`+pick("value", entries[kind]...)+`}`)
		}
	}
	return []byte("{" + strings.Join(parts, ",") + "}")
}

// Malformed or malicious input must never crash a reader, and a valid document must keep its hash when
// it is encoded and decoded.
func FuzzDocument(f *testing.F) {
	f.Add([]byte(strings.ReplaceAll(exampleFile, "KEY", testKey)), []byte(`{"routes":{"pay":null}}`))
	f.Add([]byte(`{"sections":{"":{"routes":null}}}`), []byte(`{"workspaces":{"x":{"home":1}}}`))
	f.Fuzz(func(t *testing.T, data, patch []byte) {
		doc, err := ParseFile(data)
		if err != nil {
			return
		}
		problems := Validate(doc)
		for name, s := range doc.Sections {
			_, _, _ = PatchSection(name, s, patch)
			canonical, err := CanonicalSection(s)
			require.NoError(t, err)
			again, err := ParseSection(name, canonical)
			if len(problems) == 0 {
				require.NoError(t, err)
				require.Equal(t, HashSection(s), HashSection(again))
			}
		}
		if len(problems) == 0 {
			NewIndex(doc, 1).Route("h", string(patch), "GET")
		}
	})
}

// A change of a workspace or of the region list must not move idempotency keys to
// another region, because a repeated request would not find the record of the first one.
func TestKeyPlacementIsFixed(t *testing.T) {
	before := &Document{Format: Format, Root: Root{Regions: []fleet.Region{"addis", "hawassa"}}, Sections: map[string]Section{
		"payments": {Workspaces: map[string]Workspace{"w": {Home: "addis"}}},
	}}
	moved := before.WithSection("payments", Section{Workspaces: map[string]Workspace{"w": {Home: "hawassa"}}})
	problems := ValidateChange(moved, before, "payments", []EntryRef{{Kind: KindWorkspace, Name: "w"}})
	require.Len(t, problems, 1)
	require.Contains(t, problems.Error(), "home")

	grown := Root{Regions: []fleet.Region{"addis", "hawassa", "bahirdar"}}
	var p Problems
	checkRegionChange(&p, grown, before.Root)
	require.Len(t, p, 1, "every region holds keys of requests without a workspace")
	old := Root{Regions: before.Root.Regions, KeyRegions: 2}
	grown.KeyRegions, p = 2, nil
	checkRegionChange(&p, grown, old)
	require.Empty(t, p)
	for hash := range uint64(64) {
		a, _ := NewIndex(&Document{Format: Format, Root: old}, 1).KeyShard("", hash<<30)
		b, _ := NewIndex(&Document{Format: Format, Root: grown}, 2).KeyShard("", hash<<30)
		require.Equal(t, a, b)
	}
}

// The documented examples must be valid.
func TestExamplesAreValid(t *testing.T) {
	read := func(name string) []byte {
		data, err := os.ReadFile("../../docs/examples/" + name)
		require.NoError(t, err)
		standard, err := Standardize(data)
		require.NoError(t, err)
		return standard
	}
	root, err := ParseRoot(read("root.jsonc"))
	require.NoError(t, err)
	payments, err := ParseSection("payments", read("payments.jsonc"))
	require.NoError(t, err)
	doc := &Document{Format: Format, Root: root, Sections: map[string]Section{"payments": payments}}
	require.Empty(t, Validate(doc))
}
