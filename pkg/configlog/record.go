// Package configlog replicates the configuration through an append-only log. State is
// the deterministic state machine: every reader of the same log makes the same decision
// on each edit. Node implements the protocol between entry VMs: relays, pulls, state
// transfer and snapshots.
package configlog

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/fulmarbeam/fulmarbeam/pkg/document"
	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/platformapi"
	"github.com/fulmarbeam/fulmarbeam/pkg/result"
)

// Format is the newest record format that this program supports. A reader stops at a
// record of a newer format.
const Format = 1

// Size limits of records and states.
const (
	// MaxRecordBytes bounds a record. Every reader refuses a larger one.
	MaxRecordBytes = 1 << 20
	// MaxPatchBytes bounds the merge patch of an edit.
	MaxPatchBytes = 768 << 10
	// MaxIDBytes bounds the id of an edit or a snapshot.
	MaxIDBytes = 64
	// SnapshotPartBytes is the data size of a snapshot part; the last one may be smaller.
	SnapshotPartBytes = 512 << 10
	// MaxStateBytes bounds an encoded state, in snapshots and between VMs.
	MaxStateBytes = 256 << 20
	// maxOpenedSlices bounds the key shards that one record opens.
	maxOpenedSlices = document.MaxKeySlices
)

// magic is the prefix of each record. Without it, foreign data in the log could be mistaken
// for a record of a newer format, at which readers stop.
var magic = []byte("fbcl")

// RecordType is the type of a log record.
type RecordType uint8

// Types of records.
const (
	TypeGenesis RecordType = iota + 1
	TypeEdit
	TypeSnapshotPart
	TypeShardsOpened
)

// Genesis is the first valid record of a stream. It carries the root section, signed by
// the root key.
type Genesis struct {
	Stream    string `msgpack:"s" json:"stream"`
	RootKey   []byte `msgpack:"k" json:"root_key"` // Ed25519 public key
	Root      []byte `msgpack:"r" json:"root"`     // canonical JSON of the root section
	Signature []byte `msgpack:"g" json:"signature"`
}

// Edit is a signed change to one section.
type Edit struct {
	ID         string        `msgpack:"i" json:"id"`
	Section    string        `msgpack:"s" json:"section"`
	Base       uint64        `msgpack:"b" json:"base"`  // revision of the section that the edit is based on
	Patch      []byte        `msgpack:"p" json:"patch"` // RFC 7386 merge patch
	ResultHash document.Hash `msgpack:"h" json:"result_hash"`
	Team       string        `msgpack:"t" json:"team"`
	Key        []byte        `msgpack:"k" json:"key"` // Ed25519 public key
	Signature  []byte        `msgpack:"g" json:"signature"`
}

// SnapshotPart is one part of an encoded state.
type SnapshotPart struct {
	ID       string             `msgpack:"i"`
	Covers   platformapi.Offset `msgpack:"c"` // offset of the last record included
	Part     int                `msgpack:"p"` // from 0
	Parts    int                `msgpack:"n"`
	Bytes    int                `msgpack:"b"` // of the whole encoded state
	Chain    document.Hash      `msgpack:"h"` // chained hash of the state at Covers
	DataHash document.Hash      `msgpack:"x"` // of the whole encoded state
	Data     []byte             `msgpack:"d"`
}

// ShardsOpened records that key shards of a region are about to accept their first key.
type ShardsOpened struct {
	Region fleet.Region `msgpack:"r"`
	Slices []int        `msgpack:"n"`
}

// EncodeGenesis returns the genesis as a log record. It fails with ConfigTooLarge above
// MaxRecordBytes.
func EncodeGenesis(g Genesis) ([]byte, error) { return encodeRecord(TypeGenesis, &g) }

// EncodeEdit returns the edit as a log record. It fails with ConfigTooLarge above
// MaxRecordBytes.
func EncodeEdit(e Edit) ([]byte, error) { return encodeRecord(TypeEdit, &e) }

// EncodeSnapshotPart returns the snapshot part as a log record. It fails with ConfigTooLarge
// above MaxRecordBytes.
func EncodeSnapshotPart(p SnapshotPart) ([]byte, error) { return encodeRecord(TypeSnapshotPart, &p) }

// EncodeShardsOpened returns the opening of key shards as a log record. It fails with
// ConfigTooLarge above MaxRecordBytes.
func EncodeShardsOpened(o ShardsOpened) ([]byte, error) { return encodeRecord(TypeShardsOpened, &o) }

func encodeRecord(t RecordType, body any) ([]byte, error) {
	data, err := marshal(body)
	if err != nil {
		return nil, result.Errorf(result.ConfigBadForm, "encode record: %s", err)
	}
	out := append(bytes.Clone(magic), Format, byte(t))
	out = append(out, data...)
	if len(out) > MaxRecordBytes {
		return nil, result.Errorf(result.ConfigTooLarge, "record of %d bytes exceeds %d", len(out), MaxRecordBytes)
	}
	return out, nil
}

// DecodeRecord returns *Genesis, *Edit, *SnapshotPart or *ShardsOpened. Errors have the codes
// ConfigTooLarge, ConfigBadForm or ConfigNewFormat.
func DecodeRecord(data []byte) (any, *result.Error) {
	headerBytes := len(magic) + 2
	if len(data) > MaxRecordBytes {
		return nil, result.Errorf(result.ConfigTooLarge, "record of %d bytes exceeds %d", len(data), MaxRecordBytes)
	}
	if len(data) < headerBytes || !bytes.Equal(data[:len(magic)], magic) {
		return nil, result.Errorf(result.ConfigBadForm, "not a configuration record")
	}
	if format := data[len(magic)]; format > Format {
		return nil, result.Errorf(result.ConfigNewFormat, "record of format %d, this program supports up to %d", format, Format)
	} else if format == 0 {
		return nil, result.Errorf(result.ConfigBadForm, "record of format 0")
	}
	var body any
	switch RecordType(data[headerBytes-1]) {
	case TypeGenesis:
		body = new(Genesis)
	case TypeEdit:
		body = new(Edit)
	case TypeSnapshotPart:
		body = new(SnapshotPart)
	case TypeShardsOpened:
		body = new(ShardsOpened)
	default:
		return nil, result.Errorf(result.ConfigBadForm, "record of unknown type %d", data[headerBytes-1])
	}
	if err := unmarshal(data[headerBytes:], body); err != nil {
		return nil, result.Errorf(result.ConfigBadForm, "%s", err)
	}
	return body, nil
}

func marshal(v any) ([]byte, error) {
	var buf bytes.Buffer
	enc := msgpack.NewEncoder(&buf)
	enc.UseCompactInts(true)
	err := enc.Encode(v)
	return buf.Bytes(), err
}

// unmarshal decodes data as exactly one value. Unknown fields and trailing bytes are
// errors, so that all readers interpret a record in the same way.
func unmarshal(data []byte, v any) error {
	r := bytes.NewReader(data)
	dec := msgpack.NewDecoder(r)
	dec.DisallowUnknownFields(true)
	if err := dec.Decode(v); err != nil {
		return err
	}
	if r.Len() > 0 {
		return result.Errorf(result.ConfigBadForm, "%d bytes after the record", r.Len())
	}
	return nil
}

// hashFields hashes each field with its length, so that different fields cannot
// concatenate to the same input.
func hashFields(domain string, fields ...[]byte) document.Hash {
	h := sha256.New()
	h.Write([]byte(domain))
	var size [8]byte
	for _, f := range fields {
		binary.BigEndian.PutUint64(size[:], uint64(len(f)))
		h.Write(size[:])
		h.Write(f)
	}
	return document.Hash(h.Sum(nil))
}

func uint64Bytes(n uint64) []byte { return binary.BigEndian.AppendUint64(nil, n) }
