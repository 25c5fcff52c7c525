package document

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	"slices"
)

// Limits of workspaces, part of format 1.
const (
	MaxWorkspaceKeys     = 100_000 // of one workspace
	MaxWorkspacePriority = 1_000_000
	MaxQuota             = 1e9 // requests per second, and of a burst
)

// WorkspaceMatch is the workspace that holds an API key.
type WorkspaceMatch struct {
	Name      string
	Workspace Workspace
}

// HashAPIKey returns the hash under which a document holds an API key. Keys are random, so a plain hash cannot be
// reversed by guessing.
func HashAPIKey(key string) Hash { return sha256.Sum256([]byte(key)) }

// keyTable holds the workspace of each API key by the key's hash.
type keyTable map[Hash]*WorkspaceMatch

// newKeyTable returns the keys of a valid document, or nil if the document requires no API keys.
func newKeyTable(doc *Document) keyTable {
	if !doc.Root.APIKeys {
		return nil
	}
	size := 0
	for _, section := range doc.Sections {
		for _, w := range section.Workspaces {
			size += len(w.Keys)
		}
	}
	table := make(keyTable, size)
	for _, section := range doc.Sections {
		for name, w := range section.Workspaces {
			match := &WorkspaceMatch{Name: name, Workspace: w.WithDefaults()}
			for _, key := range w.Keys {
				if hash, ok := parseKeyHash(key); ok {
					table[hash] = match
				}
			}
		}
	}
	return table
}

// RequiresAPIKeys reports whether requests on routes that are not public need an API key.
func (x *Index) RequiresAPIKeys() bool { return x.root.APIKeys }

// WorkspaceOfKey returns the workspace that holds an API key, including defaults.
func (x *Index) WorkspaceOfKey(key Hash) (WorkspaceMatch, bool) {
	match := x.keys[key]
	if match == nil {
		return WorkspaceMatch{}, false
	}
	return *match, true
}

// Quota returns the quota of a workspace; the zero Quota means no limit.
func (x *Index) Quota(workspace string) Quota {
	w, _ := x.Workspace(workspace)
	return w.Quota
}

// HasQuotas reports whether a workspace has a quota.
func (x *Index) HasQuotas() bool { return x.hasQuotas }

func hasQuotas(doc *Document) bool {
	for _, section := range doc.Sections {
		for _, w := range section.Workspaces {
			if w.Quota.Rate > 0 {
				return true
			}
		}
	}
	return false
}

// KeyCount returns the number of API keys that are accepted.
func (x *Index) KeyCount() int { return len(x.keys) }

// WorkspaceCount returns the number of workspaces.
func (x *Index) WorkspaceCount() (n int) {
	for _, workspaces := range x.workspaces {
		n += len(workspaces)
	}
	return n
}

// parseKeyHash decodes the hash of an API key. Upper case is refused, so that a key has one form only.
func parseKeyHash(text string) (h Hash, ok bool) {
	if len(text) != hex.EncodedLen(len(h)) {
		return h, false
	}
	for i := range len(text) {
		if c := text[i]; c >= 'A' && c <= 'F' {
			return h, false
		}
	}
	_, err := hex.Decode(h[:], []byte(text))
	return h, err == nil
}

// ValidateWorkspaces checks the keys, quotas and priorities of all workspaces. It reports no key or hash.
func ValidateWorkspaces(doc *Document) Problems {
	var p Problems
	for section, s := range doc.Sections {
		for name, w := range s.Workspaces {
			checkKeysAndQuota(&p, workspacePath(section, name), w)
		}
	}
	checkSharedKeys(&p, doc)
	p.sort()
	return p
}

func workspacePath(section, name string) string {
	return "sections." + section + "." + string(KindWorkspace) + "." + name
}

func checkKeysAndQuota(p *Problems, path string, w Workspace) {
	if len(w.Keys) > MaxWorkspaceKeys {
		p.addf(path+".keys", "%d keys exceed %d", len(w.Keys), MaxWorkspaceKeys)
	}
	for i, key := range w.Keys {
		if _, ok := parseKeyHash(key); !ok {
			p.addf(fmt.Sprintf("%s.keys[%d]", path, i), "want the SHA-256 hash of a key: %d hexadecimal digits in lower case", hex.EncodedLen(sha256.Size))
		}
	}
	for field, v := range map[string]float64{"rate": w.Quota.Rate, "burst": w.Quota.Burst} {
		if !(v >= 0 && v <= MaxQuota) { // NaN is not >= 0
			p.addf(path+".quota."+field, "%v is not within 0 and %v", v, MaxQuota)
		}
	}
	checkRange(p, path+".priority", w.Priority, 0, MaxWorkspacePriority)
}

// keyHolder is where a key was found.
type keyHolder struct {
	path  string
	index int
}

// checkSharedKeys reports keys that several workspaces hold: a request with such a key could belong to either.
func checkSharedKeys(p *Problems, doc *Document) {
	seen := make(map[string]keyHolder)
	for _, section := range slices.Sorted(maps.Keys(doc.Sections)) {
		workspaces := doc.Sections[section].Workspaces
		for _, name := range slices.Sorted(maps.Keys(workspaces)) {
			path := workspacePath(section, name)
			for i, key := range workspaces[name].Keys {
				first, held := seen[key]
				switch {
				case !held:
					seen[key] = keyHolder{path, i}
				case first.path != path:
					p.addf(fmt.Sprintf("%s.keys[%d]", path, i), "the key is also %s.keys[%d]", first.path, first.index)
				}
			}
		}
	}
}

// addsKeys reports whether an entry holds a key that it did not hold before.
func addsKeys(now Workspace, before map[string]Workspace, name string) bool {
	return slices.ContainsFunc(now.Keys, func(key string) bool { return !slices.Contains(before[name].Keys, key) })
}

// checkNoQuota reports a quota in a signed section, which no VM would enforce.
func checkNoQuota(p *Problems, path string, w Workspace) {
	if w.Quota != (Quota{}) {
		p.addf(path+".quota", "quotas are enforced by fulmarbeam serve only")
	}
}
