package shard

import (
	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/wire"
)

// Message kinds of the shard protocol.
const (
	kindViews fleet.Kind = 200 + iota
	kindClaimRequests
	kindClaimReplies
	kindClaimReleases
	kindPrepare
	kindPrepared
	kindCommit
	kindCommitted
	kindResign
	kindViewQuery
)

// Views announces active views, and views that the sender is no longer a member of.
type Views struct {
	Views    []View `msgpack:"v"`
	Departed []View `msgpack:"l,omitempty"` // views whose state the sender has dropped although they name it as a member
}

// Claim identifies one attempt to claim a shard. Attempt numbers of one process increase.
type Claim struct {
	Shard   ID     `msgpack:"s"`
	Attempt uint64 `msgpack:"a"`
}

// ClaimRequests requests promises for claims of the sender. A promise excludes all other claimers.
type ClaimRequests struct {
	Claims []Claim `msgpack:"c"`
}

// ClaimReply answers one Claim.
type ClaimReply struct {
	Claim      Claim        `msgpack:"c"`
	Promised   bool         `msgpack:"p"`
	HoldsState bool         `msgpack:"h"`           // the sender is a member or holds the state of a prepared view
	PromisedTo fleet.Member `msgpack:"b,omitempty"` // claimer that the sender has already promised
	Known      View         `msgpack:"k"`           // newest active view known to the sender
	Highest    uint64       `msgpack:"v"`           // highest version seen, prepared views included
	Generation uint64       `msgpack:"g"`           // generation of the sender's VM directory
}

// ClaimReplies answers ClaimRequests.
type ClaimReplies struct {
	Replies []ClaimReply `msgpack:"r"`
}

// ClaimReleases returns promises that were given to the sender.
type ClaimReleases struct {
	Claims []Claim `msgpack:"c"`
}

// StateChunk is one chunk of the state that the copy of a prepared view receives.
type StateChunk struct {
	View  View   `msgpack:"v"`
	Index int    `msgpack:"i"`
	Total int    `msgpack:"n"`
	Data  []byte `msgpack:"d"`
}

// Prepare transfers state chunks. Its size is bounded by maxPrepareBytes.
type Prepare struct {
	Chunks []StateChunk `msgpack:"p"`
}

// PreparedView reports whether the sender holds the complete state of a prepared view.
type PreparedView struct {
	View View `msgpack:"v"`
	OK   bool `msgpack:"o"`
}

// Prepared answers Prepare once a state is complete or has been refused.
type Prepared struct {
	Views []PreparedView `msgpack:"v"`
}

// Commit notifies the copies of views that the views are active.
type Commit struct {
	Views []View `msgpack:"v"`
}

// Committed acknowledges Commit.
type Committed struct {
	Views []View `msgpack:"v"`
}

// Resign announces that the sender admits no more operations in these views.
type Resign struct {
	Views []View `msgpack:"v"`
}

// ViewQuery requests the newest active views of shards.
type ViewQuery struct {
	Shards []ID `msgpack:"s"`
}

// Kind implements fleet.Message.
func (*Views) Kind() fleet.Kind { return kindViews }

// Kind implements fleet.Message.
func (*ClaimRequests) Kind() fleet.Kind { return kindClaimRequests }

// Kind implements fleet.Message.
func (*ClaimReplies) Kind() fleet.Kind { return kindClaimReplies }

// Kind implements fleet.Message.
func (*ClaimReleases) Kind() fleet.Kind { return kindClaimReleases }

// Kind implements fleet.Message.
func (*Prepare) Kind() fleet.Kind { return kindPrepare }

// Kind implements fleet.Message.
func (*Prepared) Kind() fleet.Kind { return kindPrepared }

// Kind implements fleet.Message.
func (*Commit) Kind() fleet.Kind { return kindCommit }

// Kind implements fleet.Message.
func (*Committed) Kind() fleet.Kind { return kindCommitted }

// Kind implements fleet.Message.
func (*Resign) Kind() fleet.Kind { return kindResign }

// Kind implements fleet.Message.
func (*ViewQuery) Kind() fleet.Kind { return kindViewQuery }

func init() {
	wire.Register(func() fleet.Message { return &Views{} })
	wire.Register(func() fleet.Message { return &ClaimRequests{} })
	wire.Register(func() fleet.Message { return &ClaimReplies{} })
	wire.Register(func() fleet.Message { return &ClaimReleases{} })
	wire.Register(func() fleet.Message { return &Prepare{} })
	wire.Register(func() fleet.Message { return &Prepared{} })
	wire.Register(func() fleet.Message { return &Commit{} })
	wire.Register(func() fleet.Message { return &Committed{} })
	wire.Register(func() fleet.Message { return &Resign{} })
	wire.Register(func() fleet.Message { return &ViewQuery{} })
}
