// Package wire encodes the messages between entry VMs as length-prefixed msgpack frames of
// bounded size, and defines the protocol version that the hello carries.
package wire

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
)

// Version and limits of the protocol.
const (
	// ProtocolVersion is sent in the hello. Peers with another version are refused.
	ProtocolVersion = 1
	// MaxFrameBytes bounds the body of a frame, so that a peer cannot make the reader
	// allocate without limit. Larger state is sent in parts.
	MaxFrameBytes    = 4 << 20
	frameHeaderBytes = 6 // 4 bytes of body length, 2 bytes of kind
)

var messageTypes = map[fleet.Kind]func() fleet.Message{}

// Register registers a message type for decoding. It must be called from init functions and
// panics if the kind is already registered.
func Register(newMessage func() fleet.Message) {
	kind := newMessage().Kind()
	if _, taken := messageTypes[kind]; taken {
		panic(fmt.Sprintf("wire: message kind %d registered twice", kind))
	}
	messageTypes[kind] = newMessage
}

// FrameError reports a message that cannot be encoded or a frame that cannot be decoded.
type FrameError struct {
	Kind   fleet.Kind
	Reason string
}

// Error returns the frame's kind and the reason.
func (e *FrameError) Error() string {
	return fmt.Sprintf("wire: frame of kind %d: %s", e.Kind, e.Reason)
}

// Encode returns m as one frame. It returns a *FrameError if m cannot be encoded or exceeds MaxFrameBytes.
func Encode(m fleet.Message) ([]byte, error) {
	var buf bytes.Buffer
	buf.Write(make([]byte, frameHeaderBytes))
	enc := msgpack.GetEncoder()
	defer msgpack.PutEncoder(enc)
	enc.Reset(&buf)
	enc.UseCompactInts(true)
	if err := enc.Encode(m); err != nil {
		return nil, &FrameError{m.Kind(), err.Error()}
	}
	frame := buf.Bytes()
	body := len(frame) - frameHeaderBytes
	if body > MaxFrameBytes {
		return nil, &FrameError{m.Kind(), fmt.Sprintf("body of %d bytes exceeds %d", body, MaxFrameBytes)}
	}
	binary.BigEndian.PutUint32(frame, uint32(body))
	binary.BigEndian.PutUint16(frame[4:], uint16(m.Kind()))
	return frame, nil
}

// Read reads and decodes one frame. It returns io.EOF only at a frame boundary, and a *FrameError for an
// invalid frame.
func Read(r io.Reader) (fleet.Message, error) {
	var head [frameHeaderBytes]byte
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

// Decode decodes one frame. Trailing bytes are an error.
func Decode(frame []byte) (fleet.Message, error) {
	r := bytes.NewReader(frame)
	m, err := Read(r)
	if err == nil && r.Len() > 0 {
		return nil, &FrameError{m.Kind(), "bytes after the end of the frame"}
	}
	return m, err
}

func decode(kind fleet.Kind, body []byte) (fleet.Message, error) {
	newMessage, ok := messageTypes[kind]
	if !ok {
		return nil, &FrameError{kind, "unknown kind"}
	}
	m := newMessage()
	r := bytes.NewReader(body)
	dec := msgpack.GetDecoder()
	defer msgpack.PutDecoder(dec)
	dec.Reset(r)
	if err := dec.Decode(m); err != nil {
		return nil, &FrameError{kind, err.Error()}
	}
	if r.Len() > 0 {
		return nil, &FrameError{kind, "bytes after the message"}
	}
	return m, nil
}
