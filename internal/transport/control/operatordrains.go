package control

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"time"

	"oleanderfall.example/oleanderfall/internal/coordination/drains"
	"oleanderfall.example/oleanderfall/internal/protocol/objectapi"
	"oleanderfall.example/oleanderfall/internal/protocol/resultcode"
	"oleanderfall.example/oleanderfall/internal/protocol/wire"
	"oleanderfall.example/oleanderfall/internal/state/items"
	"oleanderfall.example/oleanderfall/internal/state/model"
)

// drainPrefix is the key prefix of the operator drains in the object API.
const drainPrefix = "drains/"

// maxDrainAttempts bounds the conditional writes for one request when other operators
// change the drain of the same target concurrently.
const maxDrainAttempts = 4

// storedDrain is an operator drain as stored in the object API. A cancelled drain is kept,
// so that the version of its object keeps growing.
type storedDrain struct {
	Endpoint    model.EndpointID  `json:"endpoint,omitempty"`
	Host        model.HostID      `json:"host,omitempty"`
	Incarnation model.Incarnation `json:"incarnation,omitempty"`
	Cancelled   bool              `json:"cancelled,omitempty"`
	Operator    string            `json:"operator"`
	// UnixMillis is the time at which the request was handled, by the clock of the host that
	// handled it.
	UnixMillis int64 `json:"unix_ms"`
}

func (s storedDrain) target() drains.Target { return drains.Target{Endpoint: s.Endpoint, Host: s.Host} }

func (s storedDrain) item(version uint64, now time.Time) items.Item {
	i := drains.OperatorItem(s.target(), s.Incarnation, s.Cancelled, version)
	i.AgeMillis = max(0, now.UnixMilli()-s.UnixMillis)
	return i
}

// operatorDrains stores operator drains in the object API, and gossips the stored ones.
type operatorDrains struct {
	api              objectapi.API
	view             func() *model.FleetView
	knownIncarnation func(drains.Target) model.Incarnation
	addItems         func(context.Context, ...items.Item) error
	log              *slog.Logger
}

// Drain stores an operator's request to drain a target or to cancel its drain, and gossips
// it. Storage errors and invalid requests are returned as *resultcode.Error.
func (o *operatorDrains) Drain(ctx context.Context, r wire.DrainRequest) error {
	if err := o.check(r); err != nil {
		return err
	}
	s := storedDrain{Endpoint: r.Endpoint, Host: r.Host, Cancelled: r.Cancel, Operator: r.Operator, UnixMillis: time.Now().UnixMilli()}
	if r.Endpoint != "" {
		s.Incarnation = o.knownIncarnation(s.target())
	}
	version, err := o.store(ctx, s)
	if err != nil {
		return storageError(err)
	}
	o.log.Info("Operator drain stored", "endpoint", r.Endpoint, "host", r.Host, "cancel", r.Cancel, "operator", r.Operator)
	return o.addItems(ctx, s.item(version, time.Now()))
}

// check validates a request. Until this host has a configuration, it accepts any target.
func (o *operatorDrains) check(r wire.DrainRequest) error {
	if (r.Endpoint == "") == (r.Host == "") {
		return resultcode.New(resultcode.BadRequest, "a drain names an endpoint or a host")
	}
	v := o.view()
	if v == nil || v.Config == nil {
		return nil
	}
	_, endpoint := v.Config.Endpoints[r.Endpoint]
	_, host := v.Config.Hosts[r.Host]
	if !endpoint && !host {
		return resultcode.New(resultcode.NotFound, "the configuration has no endpoint %q and no host %q", r.Endpoint, r.Host)
	}
	return nil
}

// store writes the drain conditionally on the stored version and returns the new version.
func (o *operatorDrains) store(ctx context.Context, s storedDrain) (uint64, error) {
	value, err := json.Marshal(s)
	if err != nil {
		return 0, err
	}
	key := drainPrefix + drains.OperatorKey(s.target())
	for range maxDrainAttempts {
		expect := uint64(0)
		old, err := o.api.Get(ctx, key)
		switch {
		case err == nil:
			expect = old.Version
		case !errors.Is(err, objectapi.ErrNotFound):
			// A failed read has written nothing, so the outcome is certain.
			return 0, resultcode.New(resultcode.StorageOutage, "%v", err)
		}
		version, err := o.api.Put(ctx, key, value, expect)
		if !errors.Is(err, objectapi.ErrConflict) {
			return version, err
		}
	}
	return 0, resultcode.New(resultcode.ConfigurationRaced, "other operators change the same drain")
}

// storageError adds a result code to an error of the object API that has none:
// StorageUnknown if the write may have been applied, StorageOutage otherwise.
func storageError(err error) error {
	var coded *resultcode.Error
	switch {
	case errors.As(err, &coded):
		return err
	case objectapi.Unresolved(err):
		return resultcode.New(resultcode.StorageUnknown, "%v", err)
	}
	return resultcode.New(resultcode.StorageOutage, "%v", err)
}

// Reset implements objectapi.ChangeHandler.
func (o *operatorDrains) Reset(objects []objectapi.Object) {
	for _, obj := range objects {
		o.gossipStored(obj)
	}
}

// Change implements objectapi.ChangeHandler.
func (o *operatorDrains) Change(e objectapi.Event) {
	if !e.Deleted {
		o.gossipStored(e.Object)
	}
}

// gossipStored gossips a stored drain. Gossip ignores the drains that it knows already.
func (o *operatorDrains) gossipStored(obj objectapi.Object) {
	var s storedDrain
	if err := json.Unmarshal(obj.Value, &s); err != nil {
		o.log.Warn("Failed to decode stored drain", "key", obj.Key, "err", err)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := o.addItems(ctx, s.item(obj.Version, time.Now())); err != nil {
		o.log.Warn("Failed to gossip stored drain", "key", obj.Key, "err", err)
	}
}
