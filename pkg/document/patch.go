package document

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	jsonpatch "github.com/evanphx/json-patch/v5"
	"github.com/tailscale/hujson"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
)

// PatchRoot applies an RFC 7386 merge patch to the root.
func PatchRoot(root Root, patch []byte) (Root, error) {
	data, err := CanonicalRoot(root)
	if err != nil {
		return Root{}, err
	}
	if err := checkRepeatedNames(patch, RootSection); err != nil {
		return Root{}, err
	}
	merged, err := mergePatch(data, patch, RootSection)
	if err != nil {
		return Root{}, err
	}
	return ParseRoot(merged)
}

// PatchSection applies an RFC 7386 merge patch to a section and returns the affected
// entries. Only these are decoded and merged; the result equals a merge of the whole
// section. The given section is not modified. The error has type Problems.
func PatchSection(name string, s Section, patch []byte) (Section, []EntryRef, error) {
	path := "sections." + name
	var parts map[string]json.RawMessage
	if err := decodeObject(patch, &parts); err != nil {
		return Section{}, nil, Problems{{path, err.Error()}}
	}
	var refs []EntryRef
	if err := checkRepeatedNames(patch, path); err != nil {
		return Section{}, nil, err
	}
	var problems Problems
	for _, part := range slices.Sorted(maps.Keys(parts)) {
		raw, partPath := parts[part], joinPath(path, part)
		switch kind := EntryKind(part); kind {
		case KindService:
			s.Services = patchMap(s.Services, kind, raw, partPath, &refs, &problems)
		case KindRoute:
			s.Routes = patchMap(s.Routes, kind, raw, partPath, &refs, &problems)
		case KindWorkspace:
			s.Workspaces = patchMap(s.Workspaces, kind, raw, partPath, &refs, &problems)
		default:
			problems.addf(partPath, "unknown field")
		}
	}
	return s, refs, problems.errorOrNil()
}

func patchMap[K ~string, V any](cur map[K]V, kind EntryKind, raw json.RawMessage, path string, refs *[]EntryRef,
	problems *Problems) map[K]V {
	addRef := func(name K) { *refs = append(*refs, EntryRef{kind, string(name)}) }
	if string(raw) == "null" {
		for _, name := range slices.Sorted(maps.Keys(cur)) {
			addRef(name)
		}
		return nil
	}
	var entries map[K]json.RawMessage
	if err := decodeObject(raw, &entries); err != nil {
		problems.addf(path, "%s", err)
		return cur
	}
	out := maps.Clone(cur)
	if out == nil {
		out = make(map[K]V, len(entries))
	}
	for _, name := range slices.Sorted(maps.Keys(entries)) {
		addRef(name)
		if string(entries[name]) == "null" {
			delete(out, name)
			continue
		}
		value, err := patchEntry(out[name], contains(out, name), entries[name], joinPath(path, string(name)))
		if err != nil {
			*problems = append(*problems, asProblems(err)...)
			continue
		}
		out[name] = value
	}
	return out
}

func contains[K comparable, V any](m map[K]V, key K) bool {
	_, ok := m[key]
	return ok
}

func patchEntry[V any](cur V, present bool, patch []byte, path string) (V, error) {
	var out V
	data := []byte("{}")
	if present {
		var err error
		if data, err = json.Marshal(cur); err != nil {
			return out, err
		}
	}
	merged, err := mergePatch(data, patch, path)
	if err != nil {
		return out, err
	}
	err = strictDecode(merged, path, &out)
	return out, err
}

func mergePatch(data, patch []byte, path string) ([]byte, error) {
	var object map[string]json.RawMessage
	if err := decodeObject(patch, &object); err != nil {
		return nil, Problems{{path, err.Error()}}
	}
	merged, err := jsonpatch.MergePatch(data, patch)
	if err != nil {
		return nil, Problems{{path, err.Error()}}
	}
	return merged, nil
}

// decodeObject decodes a JSON object and leaves its values undecoded.
func decodeObject[K ~string](data []byte, out *map[K]json.RawMessage) error {
	if !json.Valid(data) {
		return fmt.Errorf("not valid JSON")
	}
	if err := json.Unmarshal(data, out); err != nil || *out == nil {
		return fmt.Errorf("want an object")
	}
	return nil
}

// checkRepeatedNames rejects a patch in which an object repeats a name, because libraries
// differ in which of the values they use.
func checkRepeatedNames(patch []byte, path string) error {
	if !json.Valid(patch) {
		return Problems{{path, "not valid JSON"}}
	}
	tree, err := hujson.Parse(patch)
	if err != nil {
		return Problems{{path, err.Error()}}
	}
	var problems Problems
	findRepeatedNames(&problems, tree.Value, path)
	return problems.errorOrNil()
}

func findRepeatedNames(problems *Problems, value hujson.ValueTrimmed, path string) {
	switch v := value.(type) {
	case *hujson.Object:
		seen := make(map[string]struct{}, len(v.Members))
		for i := range v.Members {
			literal, _ := v.Members[i].Name.Value.(hujson.Literal)
			name := literal.String()
			if _, repeated := seen[name]; repeated {
				problems.addf(joinPath(path, name), "repeated")
			}
			seen[name] = struct{}{}
			findRepeatedNames(problems, v.Members[i].Value.Value, joinPath(path, name))
		}
	case *hujson.Array:
		for i := range v.Elements {
			findRepeatedNames(problems, v.Elements[i].Value, path)
		}
	}
}

func asProblems(err error) Problems {
	if p, ok := err.(Problems); ok {
		return p
	}
	return Problems{{"", err.Error()}}
}

// CreatePatch returns the merge patch from one version of a section or root to another, both
// in standard JSON.
func CreatePatch(from, to []byte) ([]byte, error) { return jsonpatch.CreateMergePatch(from, to) }

// ServiceSection returns the section that defines a service.
func (d *Document) ServiceSection(name fleet.Service) (string, bool) {
	for _, section := range slices.Sorted(maps.Keys(d.Sections)) {
		if _, ok := d.Sections[section].Services[name]; ok {
			return section, true
		}
	}
	return "", false
}
