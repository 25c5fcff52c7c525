package wire

import (
	"bytes"
	"io"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
)

type testMessage struct {
	Name string `msgpack:"n"`
	N    uint64 `msgpack:"u"`
}

func (*testMessage) Kind() fleet.Kind { return 65000 }

func init() { Register(func() fleet.Message { return &testMessage{} }) }

func TestFrameRoundTrip(t *testing.T) {
	frame, err := Encode(&testMessage{"x", 1 << 40})
	require.NoError(t, err)
	m, err := Decode(frame)
	require.NoError(t, err)
	require.Equal(t, &testMessage{"x", 1 << 40}, m)
}

// A truncated frame must be an error and must not decode to a shorter message.
func TestTruncatedFrame(t *testing.T) {
	frame, err := Encode(&testMessage{"hello", 7})
	require.NoError(t, err)
	for n := 1; n < len(frame); n++ {
		_, err := Read(bytes.NewReader(frame[:n]))
		require.ErrorIs(t, err, io.ErrUnexpectedEOF, "cut at %d", n)
	}
}

// A frame above the size limit must be rejected, so that a peer cannot make the reader
// allocate without limit.
func TestOversizedFrame(t *testing.T) {
	_, err := Read(bytes.NewReader([]byte{0xff, 0xff, 0xff, 0xff, 0, 1}))
	var frameErr *FrameError
	require.ErrorAs(t, err, &frameErr)
}

func FuzzDecode(f *testing.F) {
	frame, _ := Encode(&testMessage{"seed", 3})
	f.Add(frame)
	f.Add([]byte{0, 0, 0, 0, 0, 1})
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := Decode(data)
		if err == nil && m == nil {
			t.Fatal("no message and no error")
		}
	})
}

func BenchmarkEncode(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Encode(&testMessage{"ticket-desk", 1 << 40}); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkDecode(b *testing.B) {
	frame, err := Encode(&testMessage{"ticket-desk", 1 << 40})
	require.NoError(b, err)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Decode(frame); err != nil {
			b.Fatal(err)
		}
	}
}
