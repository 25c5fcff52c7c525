package mesh

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/juju/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/follower"
	"github.com/fulmarbeam/fulmarbeam/pkg/wire"
)

const (
	maxDatagram = 60 << 10
	// compressFrom is the size from which a message is compressed. The registrations of a
	// large fleet repeat names and addresses, and one update goes to all VMs of a zone.
	compressFrom = 3 << 10
	// Limits of decompressed data.
	maxFrameBytes    = 1 << 20
	maxSnapshotBytes = 64 << 20
)

// compressors holds *flate.Writer values, whose tables are large.
var compressors = sync.Pool{New: func() any {
	w, err := flate.NewWriter(io.Discard, flate.BestSpeed)
	if err != nil {
		panic(err) // BestSpeed is a valid level
	}
	return w
}}

func compress(data []byte) ([]byte, error) {
	w := compressors.Get().(*flate.Writer)
	defer compressors.Put(w)
	var buf bytes.Buffer
	w.Reset(&buf)
	if _, err := w.Write(data); err != nil {
		return nil, errors.Trace(err)
	}
	if err := w.Close(); err != nil {
		return nil, errors.Trace(err)
	}
	return buf.Bytes(), nil
}

func decompress(data []byte, limit int64) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(data))
	defer r.Close()
	out, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err == nil && int64(len(out)) > limit {
		err = errors.Errorf("more than %d bytes", limit)
	}
	return out, errors.Trace(err)
}

// encodeDatagram encodes a message and compresses it if it is large.
func encodeDatagram(m fleet.Message) ([]byte, error) {
	frame, err := wire.Encode(m)
	if err != nil || len(frame) < compressFrom {
		return frame, errors.Trace(err)
	}
	compressed, err := compress(frame)
	if err != nil {
		return nil, err
	}
	if frame, err = wire.Encode(&Compressed{compressed}); err != nil {
		return nil, errors.Trace(err)
	}
	if len(frame) > maxDatagram {
		return nil, errors.Errorf("%d bytes exceed the limit of a datagram", len(frame))
	}
	return frame, nil
}

// DecodeDatagram decodes a received datagram. It returns an error for bytes that are no message, and for
// a compressed one that contains more than maxFrameBytes.
func DecodeDatagram(data []byte) (fleet.Message, error) {
	m, err := wire.Decode(data)
	if err != nil {
		return nil, errors.Trace(err)
	}
	c, ok := m.(*Compressed)
	if !ok {
		return m, nil
	}
	frame, err := decompress(c.Frame, maxFrameBytes)
	if err != nil {
		return nil, err
	}
	if m, err = wire.Decode(frame); err != nil {
		return nil, errors.Trace(err)
	}
	if _, nested := m.(*Compressed); nested {
		return nil, errors.NotValidf("compressed message in a compressed message")
	}
	return m, nil
}

func compressSnapshot(s *follower.Snapshot) ([]byte, error) {
	data, err := msgpack.Marshal(s)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return compress(data)
}

func decompressSnapshot(data []byte) (*follower.Snapshot, error) {
	plain, err := decompress(data, maxSnapshotBytes)
	if err != nil {
		return nil, err
	}
	var s follower.Snapshot
	if err := msgpack.Unmarshal(plain, &s); err != nil {
		return nil, errors.Trace(err)
	}
	return &s, nil
}
