// Package shardassignment assigns each shard to one host at a time, by ownership records with
// epochs in the object API.
//
// Invariant: an epoch of a shard has one owner. Two hosts may both consider themselves the
// owner of a shard for a while, so everything an owner does must be fenced by its epoch.
package shardassignment

import (
	"context"
	"log/slog"

	"oleanderfall.example/oleanderfall/internal/coordination/shards"
	"oleanderfall.example/oleanderfall/internal/protocol/objectapi"
	"oleanderfall.example/oleanderfall/internal/state/model"
)

// Shard is a shard owned under an epoch.
type Shard struct {
	// ID is the kind of shard and a name or number, for example "claims/0",
	// "trainer/drafts" or "weights/drafting".
	ID    string
	Epoch model.Epoch
}

// Owner is the owner of a shard as far as this host knows.
type Owner struct {
	Host model.HostID
	// Address is where the owner can be reached, as set in its Options.Address.
	Address string
	Epoch   model.Epoch
	// Self reports that this host owns the shard.
	Self bool
	// EpochContext is cancelled when this host learns of a newer record of the shard.
	EpochContext context.Context
}

// Options configures a Manager.
type Options struct {
	API  objectapi.API
	Host model.HostID
	// Incarnation identifies this run of the process; it increases with each start.
	Incarnation model.Incarnation
	// Address is where other processes reach this process for the shards it owns.
	Address string
	// View returns the fleet as this host sees it, nil before the first view.
	View func() *model.FleetView
	// Shards lists the shards that the configuration of the view defines.
	Shards func(*model.FleetView) []string
	// Candidates lists the members that may own shards.
	Candidates func(*model.FleetView) []model.Member
	// Acquired is called in a separate goroutine for each acquired shard. ctx is cancelled
	// when the ownership ends; the ownership also ends when Acquired returns.
	Acquired func(ctx context.Context, s Shard)
	Log      *slog.Logger
	// Timing sets the delays of ownership decisions; the zero value means
	// shards.DefaultTiming.
	Timing shards.Timing
}

// KeyPrefix is the key prefix of the ownership records (shards.Record) in the object API.
const KeyPrefix = keyPrefix
