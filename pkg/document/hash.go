package document

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Hash is a SHA-256 content hash.
type Hash [sha256.Size]byte

// String returns the hash in hexadecimal.
func (h Hash) String() string { return hex.EncodeToString(h[:]) }

// MarshalJSON spells the hash in hexadecimal.
func (h Hash) MarshalJSON() ([]byte, error) { return json.Marshal(h.String()) }

// UnmarshalJSON reads a hash in hexadecimal.
func (h *Hash) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return err
	}
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != len(h) {
		return fmt.Errorf("want a hash of %d bytes in hexadecimal", len(h))
	}
	copy(h[:], raw)
	return nil
}

// EntryKind names a map of a section.
type EntryKind string

// Maps of a section.
const (
	KindService   EntryKind = "services"
	KindRoute     EntryKind = "routes"
	KindWorkspace EntryKind = "workspaces"
)

// Ref names an entry of a section.
type Ref struct {
	Kind EntryKind
	Name string
}

// Domains keep the hashes of different contents apart.
const (
	rootDomain    = "fulmarbeam root 1\x00"
	entryDomain   = "fulmarbeam entry 1\x00"
	sectionDomain = "fulmarbeam section 1\x00"
)

// CanonicalRoot returns the root in JSON with the field order of format 1, maps
// sorted by name, and absent defaults left out.
func CanonicalRoot(r Root) ([]byte, error) { return json.Marshal(r) }

// CanonicalSection returns a section in JSON with the field order of format 1, maps
// sorted by name, and absent defaults left out.
func CanonicalSection(s Section) ([]byte, error) { return json.Marshal(s) }

// HashRoot returns the content hash of the root.
func HashRoot(r Root) Hash {
	data, _ := CanonicalRoot(r) // the type has no value that JSON cannot express once validated
	return sha256.Sum256(append([]byte(rootDomain), data...))
}

// treeBuckets is the number of buckets of a Tree. With 490,000 workspaces a bucket
// has 120 entries, so a changed entry costs the hash of 120 digests and of the
// bucket list (128 KiB) instead of 25 MB of JSON.
const treeBuckets = 4096

type treeLeaf struct {
	ref    Ref
	digest Hash
	size   int // of the entry in canonical JSON
}

// Tree is the content hash of a section, kept up to date entry by entry. Its sum
// depends on the entries only, not on the order of the changes.
type Tree struct {
	leaves [][]treeLeaf // by bucket, sorted by kind and name
	sums   []Hash       // by bucket; meaningless for an empty bucket
	bytes  int          // sum of the entries' sizes
}

// NewTree builds the tree of a section.
func NewTree(s Section) *Tree {
	t := &Tree{leaves: make([][]treeLeaf, treeBuckets), sums: make([]Hash, treeBuckets)}
	for name, v := range s.Services {
		t.append(Ref{KindService, string(name)}, v)
	}
	for name, v := range s.Routes {
		t.append(Ref{KindRoute, name}, v)
	}
	for name, v := range s.Workspaces {
		t.append(Ref{KindWorkspace, name}, v)
	}
	for i, bucket := range t.leaves {
		slices.SortFunc(bucket, func(a, b treeLeaf) int { return compareRefs(a.ref, b.ref) })
		t.sums[i] = bucketSum(bucket)
	}
	return t
}

func (t *Tree) append(ref Ref, value any) {
	i := bucketOf(ref)
	leaf := newLeaf(ref, value)
	t.leaves[i] = append(t.leaves[i], leaf)
	t.bytes += leaf.size
}

// Bytes returns the size of all entries, names included, in canonical JSON.
func (t *Tree) Bytes() int { return t.bytes }

// Updated returns the tree after a change of the entries named by refs; s is the
// section after it. The receiver stays as it is.
func (t *Tree) Updated(s Section, refs []Ref) *Tree {
	out := &Tree{leaves: slices.Clone(t.leaves), sums: slices.Clone(t.sums), bytes: t.bytes}
	for _, ref := range refs {
		i := bucketOf(ref)
		value, present := s.entry(ref)
		bucket := slices.Clone(out.leaves[i])
		at, found := slices.BinarySearchFunc(bucket, ref, func(l treeLeaf, r Ref) int { return compareRefs(l.ref, r) })
		if found {
			out.bytes -= bucket[at].size
			bucket = slices.Delete(bucket, at, at+1)
		}
		if present {
			leaf := newLeaf(ref, value)
			out.bytes += leaf.size
			bucket = slices.Insert(bucket, at, leaf)
		}
		out.leaves[i] = bucket
		out.sums[i] = bucketSum(bucket)
	}
	return out
}

// Sum returns the section's content hash.
func (t *Tree) Sum() Hash {
	h := sha256.New()
	h.Write([]byte(sectionDomain))
	var index [4]byte
	for i, bucket := range t.leaves {
		if len(bucket) > 0 {
			binary.BigEndian.PutUint32(index[:], uint32(i))
			h.Write(index[:])
			h.Write(t.sums[i][:])
		}
	}
	return Hash(h.Sum(nil))
}

// HashSection returns the content hash of a section.
func HashSection(s Section) Hash { return NewTree(s).Sum() }

func (s Section) entry(ref Ref) (value any, ok bool) {
	switch ref.Kind {
	case KindService:
		value, ok = lookup(s.Services, ref.Name)
	case KindRoute:
		value, ok = lookup(s.Routes, ref.Name)
	case KindWorkspace:
		value, ok = lookup(s.Workspaces, ref.Name)
	}
	return value, ok
}

func lookup[K ~string, V any](m map[K]V, name string) (V, bool) {
	v, ok := m[K(name)]
	return v, ok
}

func compareRefs(a, b Ref) int {
	if c := strings.Compare(string(a.Kind), string(b.Kind)); c != 0 {
		return c
	}
	return strings.Compare(a.Name, b.Name)
}

// bucketOf spreads entries evenly; the hash need not be hard to invert because the
// buckets' contents are hashed with SHA-256.
func bucketOf(ref Ref) int {
	return int(xxhash.Sum64String(ref.Name) % treeBuckets)
}

func bucketSum(bucket []treeLeaf) Hash {
	h := sha256.New()
	for i := range bucket {
		h.Write(bucket[i].digest[:])
	}
	return Hash(h.Sum(nil))
}

// newLeaf hashes kind, name and value; the length before the name keeps the fields
// from running into each other.
func newLeaf(ref Ref, value any) treeLeaf {
	data, _ := json.Marshal(value)
	buf := make([]byte, 0, len(entryDomain)+len(ref.Kind)+len(ref.Name)+len(data)+8)
	buf = append(buf, entryDomain...)
	buf = append(buf, ref.Kind...)
	buf = append(buf, 0)
	buf = binary.BigEndian.AppendUint32(buf, uint32(len(ref.Name)))
	buf = append(buf, ref.Name...)
	buf = append(buf, data...)
	return treeLeaf{ref, sha256.Sum256(buf), len(ref.Name) + len(data)}
}
