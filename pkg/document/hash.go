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

// MarshalJSON encodes the hash in hexadecimal.
func (h Hash) MarshalJSON() ([]byte, error) { return json.Marshal(h.String()) }

// UnmarshalJSON decodes a hash in hexadecimal.
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

// EntryKind is the kind of a section's entry: the JSON name of the map that holds it.
type EntryKind string

// Kinds of entries.
const (
	KindService   EntryKind = "services"
	KindRoute     EntryKind = "routes"
	KindWorkspace EntryKind = "workspaces"
)

// EntryRef identifies an entry of a section.
type EntryRef struct {
	Kind EntryKind
	Name string
}

// Domain separators of the content hashes.
const (
	rootDomain    = "fulmarbeam root 1\x00"
	entryDomain   = "fulmarbeam entry 1\x00"
	sectionDomain = "fulmarbeam section 1\x00"
)

// CanonicalRoot encodes the root as JSON with the field order of format 1, maps sorted
// by name, and absent fields omitted.
func CanonicalRoot(r Root) ([]byte, error) { return json.Marshal(r) }

// CanonicalSection encodes a section as JSON with the field order of format 1, maps
// sorted by name, and absent fields omitted.
func CanonicalSection(s Section) ([]byte, error) { return json.Marshal(s) }

// HashRoot returns the content hash of the root.
func HashRoot(r Root) Hash {
	data, _ := CanonicalRoot(r) // a validated root has no value that JSON cannot represent
	return sha256.Sum256(append([]byte(rootDomain), data...))
}

// treeBuckets is the number of buckets of a HashTree. With 490,000 workspaces a bucket has
// 120 entries, so a change to an entry costs hashing 120 digests and the list of bucket
// hashes (128 KiB) instead of 25 MB of JSON.
const treeBuckets = 4096

type treeLeaf struct {
	ref    EntryRef
	digest Hash
	size   int // bytes of the entry's name and its value in canonical JSON
}

// HashTree is a two-level hash tree over the entries of a section, updated entry by entry.
// Its sum depends only on the entries, not on the order of the updates.
type HashTree struct {
	leaves [][]treeLeaf // by bucket, sorted by kind and name
	sums   []Hash       // by bucket; unused for an empty bucket
	bytes  int          // sum of the entries' sizes
}

// NewHashTree builds the tree of a section.
func NewHashTree(s Section) *HashTree {
	t := &HashTree{leaves: make([][]treeLeaf, treeBuckets), sums: make([]Hash, treeBuckets)}
	for name, v := range s.Services {
		t.append(EntryRef{KindService, string(name)}, v)
	}
	for name, v := range s.Routes {
		t.append(EntryRef{KindRoute, name}, v)
	}
	for name, v := range s.Workspaces {
		t.append(EntryRef{KindWorkspace, name}, v)
	}
	for i, bucket := range t.leaves {
		slices.SortFunc(bucket, func(a, b treeLeaf) int { return compareRefs(a.ref, b.ref) })
		t.sums[i] = hashBucket(bucket)
	}
	return t
}

func (t *HashTree) append(ref EntryRef, value any) {
	i := bucketIndex(ref)
	leaf := newLeaf(ref, value)
	t.leaves[i] = append(t.leaves[i], leaf)
	t.bytes += leaf.size
}

// Bytes returns the total size of all entries in bytes: their names and their values in
// canonical JSON.
func (t *HashTree) Bytes() int { return t.bytes }

// Updated returns the tree of section s, which differs from the receiver's section only
// in the entries refs. The receiver is not modified.
func (t *HashTree) Updated(s Section, refs []EntryRef) *HashTree {
	out := &HashTree{leaves: slices.Clone(t.leaves), sums: slices.Clone(t.sums), bytes: t.bytes}
	for _, ref := range refs {
		i := bucketIndex(ref)
		value, present := s.lookupEntry(ref)
		bucket := slices.Clone(out.leaves[i])
		at, found := slices.BinarySearchFunc(bucket, ref, func(l treeLeaf, r EntryRef) int { return compareRefs(l.ref, r) })
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
		out.sums[i] = hashBucket(bucket)
	}
	return out
}

// Sum returns the section's content hash.
func (t *HashTree) Sum() Hash {
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
func HashSection(s Section) Hash { return NewHashTree(s).Sum() }

func (s Section) lookupEntry(ref EntryRef) (value any, ok bool) {
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

func compareRefs(a, b EntryRef) int {
	if c := strings.Compare(string(a.Kind), string(b.Kind)); c != 0 {
		return c
	}
	return strings.Compare(a.Name, b.Name)
}

// bucketIndex distributes entries evenly. The hash need not be cryptographic, because the
// contents of the buckets are hashed with SHA-256.
func bucketIndex(ref EntryRef) int {
	return int(xxhash.Sum64String(ref.Name) % treeBuckets)
}

func hashBucket(bucket []treeLeaf) Hash {
	h := sha256.New()
	for i := range bucket {
		h.Write(bucket[i].digest[:])
	}
	return Hash(h.Sum(nil))
}

// newLeaf hashes an entry's kind, name and value. The length before the name keeps
// different fields from concatenating to the same input.
func newLeaf(ref EntryRef, value any) treeLeaf {
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
