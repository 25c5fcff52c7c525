package shard

import (
	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/wire"
)

// Message kinds of the shard protocol.
const (
	kindViews fleet.Kind = 200 + iota
	kindAsks
	kindReplies
	kindReleases
	kindPrepare
	kindPrepared
	kindCommit
	kindCommitted
	kindResign
	kindQuery
)

// Views announces active views, and views that the sender is no longer a member of.
type Views struct {
	Views []View `msgpack:"v"`
	Left  []View `msgpack:"l,omitempty"` // views whose state the sender has dropped although they name it as a member
}

// Claim identifies one attempt to claim a shard. Attempt numbers of one process increase.
type Claim struct {
	Shard   ID     `msgpack:"s"`
	Attempt uint64 `msgpack:"a"`
}

// Asks requests promises for claims of the sender. A promise excludes all other claimers.
type Asks struct {
	Claims []Claim `msgpack:"c"`
}

// Reply answers one Claim.
type Reply struct {
	Claim      Claim        `msgpack:"c"`
	Promised   bool         `msgpack:"p"`
	Held       bool         `msgpack:"h"`           // the sender is a member or holds the state of a prepared view
	Bound      fleet.Member `msgpack:"b,omitempty"` // claimer that the sender has already promised
	Known      View         `msgpack:"k"`           // newest active view known to the sender
	Highest    uint64       `msgpack:"v"`           // highest version seen, prepared views included
	Generation uint64       `msgpack:"g"`           // generation of the sender's VM directory
}

// Replies answers Asks.
type Replies struct {
	Replies []Reply `msgpack:"r"`
}

// Releases returns promises that were given to the sender.
type Releases struct {
	Claims []Claim `msgpack:"c"`
}

// Part is one chunk of the state that the copy of a prepared view receives.
type Part struct {
	View  View   `msgpack:"v"`
	Index int    `msgpack:"i"`
	Total int    `msgpack:"n"`
	Data  []byte `msgpack:"d"`
}

// Prepare transfers state chunks. Its size is bounded by maxPrepareBytes.
type Prepare struct {
	Parts []Part `msgpack:"p"`
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

// Commit tells the copies of views that the views are active.
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

// Query requests the newest active views of shards.
type Query struct {
	Shards []ID `msgpack:"s"`
}

// Kind implements fleet.Message.
func (*Views) Kind() fleet.Kind { return kindViews }

// Kind implements fleet.Message.
func (*Asks) Kind() fleet.Kind { return kindAsks }

// Kind implements fleet.Message.
func (*Replies) Kind() fleet.Kind { return kindReplies }

// Kind implements fleet.Message.
func (*Releases) Kind() fleet.Kind { return kindReleases }

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
func (*Query) Kind() fleet.Kind { return kindQuery }

func init() {
	wire.Register(func() fleet.Message { return &Views{} })
	wire.Register(func() fleet.Message { return &Asks{} })
	wire.Register(func() fleet.Message { return &Replies{} })
	wire.Register(func() fleet.Message { return &Releases{} })
	wire.Register(func() fleet.Message { return &Prepare{} })
	wire.Register(func() fleet.Message { return &Prepared{} })
	wire.Register(func() fleet.Message { return &Commit{} })
	wire.Register(func() fleet.Message { return &Committed{} })
	wire.Register(func() fleet.Message { return &Resign{} })
	wire.Register(func() fleet.Message { return &Query{} })
}
