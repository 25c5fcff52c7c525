package registry

// Position is a position in a feed of the store. Positions are ordered: they grow with each record, and
// with each epoch of the store. An epoch begins when the store is restored from a copy; its offsets start
// at the end of the copy, so that records of two epochs can have the same offset.
type Position int64

// NoPosition is the position before the first read. Reading from it returns the complete state.
const NoPosition = Position(-1)

// offsetBits is the size of the offset in a Position. The epoch uses the bits above it, so that comparing
// two positions compares their epochs first.
const offsetBits = 43

// Limits of the parts of a position.
const (
	MaxEpoch  = 1<<(63-offsetBits) - 1
	MaxOffset = 1<<offsetBits - 1
)

// NewPosition returns the position of an offset in an epoch, which must not exceed MaxOffset and MaxEpoch.
func NewPosition(epoch, offset int64) Position { return Position(epoch<<offsetBits | offset) }

// Epoch returns the epoch of the store; -1 for NoPosition.
func (p Position) Epoch() int64 { return int64(p) >> offsetBits }

// Offset returns the offset in the feed. It is not defined for NoPosition.
func (p Position) Offset() int64 { return int64(p) & MaxOffset }
