package rollout

import (
	"context"
	"encoding/json"
	"errors"
	"strconv"
	"time"

	"github.com/zeebo/errs"

	"oleanderfall.example/oleanderfall/internal/protocol/objectapi"
	"oleanderfall.example/oleanderfall/internal/state/ledger"
	"oleanderfall.example/oleanderfall/internal/state/model"
	"oleanderfall.example/oleanderfall/internal/transport/clock"
)

// Error is the class of this package's errors.
var Error = errs.Class("rollout")

// errLost: another owner has a higher epoch.
var errLost = errors.New("shard has a newer owner")

// errChanged: an earlier owner wrote after its record was read here; what was decided
// on the old record must be given up.
var errChanged = errors.New("the record changed since it was read")

// errOtherPrompts: the object of an opening holds other prompts of the same digest.
var errOtherPrompts = errors.New("other prompts have the same digest")

const storeRetry = 100 * time.Millisecond

// store reads and writes one trainer's objects. Its calls go on until the object API
// answers, ownership is lost or ctx ends.
type store struct {
	api     objectapi.API
	trainer model.TrainerID
	epoch   model.Epoch
	version uint64
	// base identifies the record that version belongs to.
	base recordID
}

type recordID struct {
	epoch    model.Epoch
	sequence uint64
}

func idOf(r ledger.Record) recordID { return recordID{epoch: r.Epoch, sequence: r.Sequence} }

func (s *store) stepKey() string { return "trainer/" + string(s.trainer) + "/step" }

// promptsID names the prompts of one opening: openings with other contents have other
// objects, so that none replaces the prompts of an open step.
type promptsID struct {
	step   uint64
	digest uint64
}

func (s *store) promptsKey(id promptsID) string {
	return "trainer/" + string(s.trainer) + "/prompts/" + itoa(id.step) + "-" + strconv.FormatUint(id.digest, 16)
}

// load reads the record an earlier owner left; the zero Record when there is none.
func (s *store) load(ctx context.Context) (ledger.Record, error) {
	for {
		o, err := s.api.Get(ctx, s.stepKey())
		switch {
		case errors.Is(err, objectapi.ErrNotFound):
			s.version, s.base = 0, recordID{}
			return ledger.Record{}, nil
		case err == nil:
			r, err := ledger.Decode(o.Value)
			if err == nil && r.Epoch > s.epoch {
				return r, errLost
			}
			s.version, s.base = o.Version, idOf(r)
			return r, err
		}
		if !clock.Sleep(ctx, storeRetry) {
			return ledger.Record{}, ctx.Err()
		}
	}
}

// write replaces the record that was read or written last. A lost answer is resolved
// by reading; any record but these two means that the decisions behind r are void.
func (s *store) write(ctx context.Context, r ledger.Record) error {
	value, err := ledger.Encode(r)
	if err != nil {
		return err
	}
	base := s.base
	for {
		version, err := s.api.Put(ctx, s.stepKey(), value, s.version)
		if err == nil {
			s.version, s.base = version, idOf(r)
			return nil
		}
		if !errors.Is(err, objectapi.ErrThrottled) {
			if _, err := s.load(ctx); err != nil {
				return err
			}
			switch s.base {
			case idOf(r):
				return nil
			case base:
			default:
				return errChanged
			}
		}
		if !clock.Sleep(ctx, storeRetry) {
			return ctx.Err()
		}
	}
}

// writePrompts keeps the prompts of a step that did not come from a prompt source. The
// error is that of the last write when ctx ends before one succeeds.
func (s *store) writePrompts(ctx context.Context, id promptsID, prompts []string) error {
	value, err := json.Marshal(prompts)
	if err != nil {
		return Error.Wrap(err)
	}
	for {
		_, failure := s.api.Put(ctx, s.promptsKey(id), value, 0)
		if failure == nil || errors.Is(failure, objectapi.ErrTooLarge) {
			return failure
		}
		if o, err := s.api.Get(ctx, s.promptsKey(id)); err == nil {
			if string(o.Value) != string(value) {
				return errOtherPrompts
			}
			return nil
		}
		if !clock.Sleep(ctx, storeRetry) {
			return failure
		}
	}
}

func (s *store) readPrompts(ctx context.Context, id promptsID) ([]string, error) {
	for {
		o, err := s.api.Get(ctx, s.promptsKey(id))
		if err == nil {
			var prompts []string
			return prompts, Error.Wrap(json.Unmarshal(o.Value, &prompts))
		}
		if errors.Is(err, objectapi.ErrNotFound) || !clock.Sleep(ctx, storeRetry) {
			return nil, Error.Wrap(err)
		}
	}
}

func (s *store) dropPrompts(ctx context.Context, id promptsID) {
	if o, err := s.api.Get(ctx, s.promptsKey(id)); err == nil {
		_ = s.api.Delete(ctx, s.promptsKey(id), o.Version)
	}
}

// errOtherPublisher: the deployment's versions are another trainer's.
var errOtherPublisher = errors.New("another trainer publishes to the deployment")

// publish raises a deployment's desired version. Versions of two trainers are never
// mixed: a trainer follows another one only with a higher version, once that one is no
// longer configured for the deployment (active).
func publish(ctx context.Context, api objectapi.API, d model.DeploymentID, want ledger.Desired, active func(model.TrainerID) bool) error {
	value, err := ledger.EncodeDesired(want)
	if err != nil {
		return err
	}
	key := ledger.DesiredPrefix + string(d)
	for {
		o, err := api.Get(ctx, key)
		if err != nil && !errors.Is(err, objectapi.ErrNotFound) {
			return Error.Wrap(err)
		}
		if err == nil {
			held, err := ledger.DecodeDesired(o.Value)
			if err != nil {
				return err
			}
			if foreign(held, want, active) {
				return Error.Wrap(errOtherPublisher)
			}
			if held.Version >= want.Version {
				return nil
			}
		}
		_, err = api.Put(ctx, key, value, o.Version)
		if err == nil || !errors.Is(err, objectapi.ErrConflict) {
			return Error.Wrap(err)
		}
	}
}

// foreign reports whether the version held is another trainer's and stays in force.
func foreign(held, want ledger.Desired, active func(model.TrainerID) bool) bool {
	if held.Trainer == "" || held.Trainer == want.Trainer {
		return false
	}
	return active(held.Trainer) || held.Version >= want.Version
}
