package registry

import (
	"context"
	"time"

	"github.com/fulmarbeam/fulmarbeam/pkg/document"
)

// Document is a configuration document in stored and decoded form.
type Document struct {
	Raw      []byte
	Revision uint64 // increases with each change of the document
	Doc      *document.Document
}

// DocumentBatch is the result of a read from the feed of configuration documents.
type DocumentBatch struct {
	Newest *Document // nil: no newer document
	Next   Position  // position of the next read
	Reset  bool      // Newest is the newest one of the complete state, which can be older than one read before
}

// Source reads the store's feeds of registrations and of configuration documents. A read
// from NoPosition, or from one that the store does not have, returns the complete state.
// Implementations are safe for concurrent use, and each call returns soon after its context ends.
type Source interface {
	// Servers reads registrations starting at a position.
	Servers(ctx context.Context, from Position) (Batch, error)
	// Documents reads configuration documents starting at a position. If there is
	// none, it blocks for at most wait until there is one.
	Documents(ctx context.Context, from Position, wait time.Duration) (DocumentBatch, error)
	// DecodeDocument decodes a stored document, which may come from another VM.
	DecodeDocument(raw []byte) (*Document, error)
	// Announce stores an address under a name, which VMs without a live peer look up.
	Announce(ctx context.Context, name, address string) error
	// Announced returns the stored addresses by name.
	Announced(ctx context.Context) (map[string]string, error)
}
