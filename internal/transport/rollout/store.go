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

// errOwnershipLost: the stored record has a higher epoch.
var errOwnershipLost = errors.New("shard has an owner with a higher epoch")

// errRecordChanged: an earlier owner wrote the record after it was read here. Decisions
// based on the old record must be discarded.
var errRecordChanged = errors.New("record was changed by an earlier owner after it was read")

// errPromptsConflict: the object for the opening's prompts holds other prompts with the same
// digest.
var errPromptsConflict = errors.New("stored prompts with the same digest differ")

const storeRetryDelay = 100 * time.Millisecond

// store reads and writes one trainer's objects. Its calls, except deletePrompts, are retried
// until the object API answers, the ownership is lost or ctx ends. load and write must not be
// called concurrently.
type store struct {
	api     objectapi.API
	trainer model.TrainerID
	epoch   model.Epoch
	version uint64
	// base identifies the record stored at version.
	base recordID
}

type recordID struct {
	epoch    model.Epoch
	sequence uint64
}

func recordIDOf(r ledger.Record) recordID { return recordID{epoch: r.Epoch, sequence: r.Sequence} }

func (s *store) recordKey() string { return "trainer/" + string(s.trainer) + "/step" }

// promptsID identifies the prompts of one opening. Openings with different contents have
// different objects, so that none overwrites the prompts of an open step.
type promptsID struct {
	step   uint64
	digest uint64
}

func (s *store) promptsKey(id promptsID) string {
	return "trainer/" + string(s.trainer) + "/prompts/" + itoa(id.step) + "-" + strconv.FormatUint(id.digest, 16)
}

// load reads the stored record. It returns the zero Record if there is none, and
// errOwnershipLost if a newer owner has written the record.
func (s *store) load(ctx context.Context) (ledger.Record, error) {
	for {
		o, err := s.api.Get(ctx, s.recordKey())
		switch {
		case errors.Is(err, objectapi.ErrNotFound):
			s.version, s.base = 0, recordID{}
			return ledger.Record{}, nil
		case err == nil:
			r, err := ledger.Decode(o.Value)
			if err == nil && r.Epoch > s.epoch {
				return r, errOwnershipLost
			}
			s.version, s.base = o.Version, recordIDOf(r)
			return r, err
		}
		if !clock.Sleep(ctx, storeRetryDelay) {
			return ledger.Record{}, ctx.Err()
		}
	}
}

// write replaces the record that was last read or written. If the response is lost, it
// reads the record to find out whether the write took effect. Any record other than the old
// one and r means that the decisions behind r must be discarded (errRecordChanged).
func (s *store) write(ctx context.Context, r ledger.Record) error {
	value, err := ledger.Encode(r)
	if err != nil {
		return err
	}
	base := s.base
	for {
		version, err := s.api.Put(ctx, s.recordKey(), value, s.version)
		if err == nil {
			s.version, s.base = version, recordIDOf(r)
			return nil
		}
		if !errors.Is(err, objectapi.ErrThrottled) {
			if _, err := s.load(ctx); err != nil {
				return err
			}
			switch s.base {
			case recordIDOf(r):
				return nil
			case base:
			default:
				return errRecordChanged
			}
		}
		if !clock.Sleep(ctx, storeRetryDelay) {
			return ctx.Err()
		}
	}
}

// writePrompts stores the prompts of a step without a prompt source. If ctx ends before a
// write succeeds, it returns the error of the last write.
func (s *store) writePrompts(ctx context.Context, id promptsID, prompts []string) error {
	value, err := json.Marshal(prompts)
	if err != nil {
		return Error.Wrap(err)
	}
	for {
		_, putErr := s.api.Put(ctx, s.promptsKey(id), value, 0)
		if putErr == nil || errors.Is(putErr, objectapi.ErrTooLarge) {
			return putErr
		}
		if o, err := s.api.Get(ctx, s.promptsKey(id)); err == nil {
			if string(o.Value) != string(value) {
				return errPromptsConflict
			}
			return nil
		}
		if !clock.Sleep(ctx, storeRetryDelay) {
			return putErr
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
		if errors.Is(err, objectapi.ErrNotFound) || !clock.Sleep(ctx, storeRetryDelay) {
			return nil, Error.Wrap(err)
		}
	}
}

// deletePrompts makes one attempt to delete the prompts. If it fails, the object stays.
func (s *store) deletePrompts(ctx context.Context, id promptsID) {
	if o, err := s.api.Get(ctx, s.promptsKey(id)); err == nil {
		_ = s.api.Delete(ctx, s.promptsKey(id), o.Version)
	}
}

// errPublisherConflict: the deployment's versions come from another trainer.
var errPublisherConflict = errors.New("deployment has versions of another trainer")

// publish raises a deployment's desired version; a lower or equal version has no effect.
// Versions of two trainers are never mixed: a trainer can replace another one only with a
// higher version, and only once the other is no longer configured for the deployment, as
// active reports.
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
			current, err := ledger.DecodeDesired(o.Value)
			if err != nil {
				return err
			}
			if blocksPublish(current, want, active) {
				return Error.Wrap(errPublisherConflict)
			}
			if current.Version >= want.Version {
				return nil
			}
		}
		_, err = api.Put(ctx, key, value, o.Version)
		if err == nil || !errors.Is(err, objectapi.ErrConflict) {
			return Error.Wrap(err)
		}
	}
}

// blocksPublish reports whether current belongs to another trainer and must not be replaced
// by want.
func blocksPublish(current, want ledger.Desired, active func(model.TrainerID) bool) bool {
	if current.Trainer == "" || current.Trainer == want.Trainer {
		return false
	}
	return active(current.Trainer) || current.Version >= want.Version
}
