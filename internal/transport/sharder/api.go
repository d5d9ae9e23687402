// Package sharder gives each shard of a duty to one host at a time, through epochs
// in the object API.
//
// Invariant: an epoch of a shard has one holder. Two hosts may believe for a while
// that they hold a shard; what they do must be fenced by the epoch.
package sharder

import (
	"context"
	"log/slog"

	"oleanderfall.example/oleanderfall/internal/coordination/shards"
	"oleanderfall.example/oleanderfall/internal/protocol/objectapi"
	"oleanderfall.example/oleanderfall/internal/state/model"
)

// Shard is a shard held under an epoch.
type Shard struct {
	// ID is such as "claims/0", "trainer/drafts" or "weights/drafting".
	ID    string
	Epoch model.Epoch
}

// Owner is the holder of a shard as far as this host knows.
type Owner struct {
	Host model.HostID
	// Address is what the holder gave as its own (Options.Address).
	Address string
	Epoch   model.Epoch
	// Self says that this host holds the shard.
	Self bool
	// Valid ends when this host learns of a newer record of the shard.
	Valid context.Context
}

// Options configures a Sharder.
type Options struct {
	API  objectapi.API
	Host model.HostID
	// Incarnation is this process's life; it grows with each start.
	Incarnation model.Incarnation
	// Address is how others reach this process for the shards it holds.
	Address string
	// View returns the fleet as this host sees it, nil before the first view.
	View func() *model.FleetView
	// Shards lists the shards that the view's configuration asks for.
	Shards func(*model.FleetView) []string
	// Candidates lists the members that may hold a shard.
	Candidates func(*model.FleetView) []model.Member
	// Acquired runs in a goroutine of its own for each shard gained; ctx ends with
	// the ownership, and the ownership ends when Acquired returns.
	Acquired func(ctx context.Context, s Shard)
	Log      *slog.Logger
	// Timing holds the waits of the decisions; zero means shards.DefaultTiming.
	Timing shards.Timing
}

// KeyPrefix is where the ownership objects (shards.Record) lie in the object API.
const KeyPrefix = keyPrefix
