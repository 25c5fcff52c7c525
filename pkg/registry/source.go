package registry

import (
	"context"
	"time"

	"github.com/fulmarbeam/fulmarbeam/pkg/document"
)

// Document is a configuration document as the store holds it, with the document
// decoded from it.
type Document struct {
	Raw      []byte
	Revision uint64 // rises with each change of the document
	Doc      *document.Document
}

// DocumentBatch is a reading of the feed of configuration documents.
type DocumentBatch struct {
	Newest *Document // nil: no newer document
	Next   int64     // position of the next reading
}

// Source is the store's feeds of registrations and of configuration documents.
// Positions below zero start with all that there is. Implementations are safe for
// concurrent use, and each call ends soon after its context.
type Source interface {
	// Servers reads registrations from a position on.
	Servers(ctx context.Context, from int64) (Batch, error)
	// Documents reads configuration documents from a position on. It waits up to
	// wait for one when there is none.
	Documents(ctx context.Context, from int64, wait time.Duration) (DocumentBatch, error)
	// Decode decodes a document that another VM read from the store.
	Decode(raw []byte) (*Document, error)
	// Announce stores an address under a name for VMs that find no other VM.
	Announce(ctx context.Context, name, address string) error
	// Announced returns the addresses that were stored, by name.
	Announced(ctx context.Context) (map[string]string, error)
}
