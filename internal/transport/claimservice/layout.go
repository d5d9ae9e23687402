package claimservice

import (
	"context"
	"errors"

	"oleanderfall.example/oleanderfall/internal/protocol/objectapi"
	"oleanderfall.example/oleanderfall/internal/protocol/wire"
)

// layoutKey is the object that stores the number of shards, which never changes.
const layoutKey = "claims-layout"

type layout struct {
	Shards int `cbor:"1,keyasint"`
}

// readLayout returns the stored number of shards. If none is stored it stores wanted.
func readLayout(ctx context.Context, api objectapi.API, wanted int) (int, error) {
	o, err := api.Get(ctx, layoutKey)
	if errors.Is(err, objectapi.ErrNotFound) {
		value, err := wire.Encode(layout{Shards: wanted})
		if err != nil {
			return 0, err
		}
		if _, err := api.Put(ctx, layoutKey, value, 0); err != nil && !errors.Is(err, objectapi.ErrConflict) {
			return 0, err
		}
		o, err = api.Get(ctx, layoutKey)
		if err != nil {
			return 0, err
		}
	} else if err != nil {
		return 0, err
	}
	var l layout
	if err := wire.Decode(o.Value, &l); err != nil || l.Shards < 1 {
		return 0, Error.New("invalid claim layout: %v", err)
	}
	return l.Shards, nil
}
