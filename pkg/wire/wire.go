// Package wire encodes messages between entry VMs: length-prefixed msgpack frames
// with bounded size and a versioned hello.
package wire

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
)

// Bounds of the protocol.
const (
	// ProtocolVersion is sent in the hello; peers with another version are refused.
	ProtocolVersion = 1
	// MaxFrameBytes bounds a frame's body, so that a peer cannot make the reader
	// allocate without limit. Larger states are sent in parts.
	MaxFrameBytes = 4 << 20
	headerBytes   = 6 // 4 bytes of body length, 2 bytes of kind
)

var registry = map[fleet.Kind]func() fleet.Message{}

// Register makes a message type known. It is called from init functions and
// panics on a number that is taken.
func Register(newMessage func() fleet.Message) {
	kind := newMessage().Kind()
	if _, taken := registry[kind]; taken {
		panic(fmt.Sprintf("wire: message kind %d registered twice", kind))
	}
	registry[kind] = newMessage
}

// FrameError reports a frame that cannot be decoded.
type FrameError struct {
	Kind   fleet.Kind
	Reason string
}

// Error describes the frame.
func (e *FrameError) Error() string {
	return fmt.Sprintf("wire: frame of kind %d: %s", e.Kind, e.Reason)
}

// Encode returns m as one frame.
func Encode(m fleet.Message) ([]byte, error) {
	var buf bytes.Buffer
	buf.Write(make([]byte, headerBytes))
	enc := msgpack.GetEncoder()
	defer msgpack.PutEncoder(enc)
	enc.Reset(&buf)
	enc.UseCompactInts(true)
	if err := enc.Encode(m); err != nil {
		return nil, &FrameError{m.Kind(), err.Error()}
	}
	frame := buf.Bytes()
	body := len(frame) - headerBytes
	if body > MaxFrameBytes {
		return nil, &FrameError{m.Kind(), fmt.Sprintf("body of %d bytes exceeds %d", body, MaxFrameBytes)}
	}
	binary.BigEndian.PutUint32(frame, uint32(body))
	binary.BigEndian.PutUint16(frame[4:], uint16(m.Kind()))
	return frame, nil
}

// Read reads one frame and decodes it. It returns io.EOF only at a frame boundary.
func Read(r io.Reader) (fleet.Message, error) {
	var head [headerBytes]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(head[:])
	kind := fleet.Kind(binary.BigEndian.Uint16(head[4:]))
	if size > MaxFrameBytes {
		return nil, &FrameError{kind, fmt.Sprintf("body of %d bytes exceeds %d", size, MaxFrameBytes)}
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(r, body); err != nil {
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		return nil, err
	}
	return decode(kind, body)
}

// Decode decodes one whole frame.
func Decode(frame []byte) (fleet.Message, error) {
	r := bytes.NewReader(frame)
	m, err := Read(r)
	if err == nil && r.Len() > 0 {
		return nil, &FrameError{m.Kind(), "bytes after the end of the frame"}
	}
	return m, err
}

func decode(kind fleet.Kind, body []byte) (fleet.Message, error) {
	newMessage, ok := registry[kind]
	if !ok {
		return nil, &FrameError{kind, "unknown kind"}
	}
	m := newMessage()
	r := bytes.NewReader(body)
	if err := msgpack.NewDecoder(r).Decode(m); err != nil {
		return nil, &FrameError{kind, err.Error()}
	}
	if r.Len() > 0 {
		return nil, &FrameError{kind, "bytes after the message"}
	}
	return m, nil
}
