package rollout

import (
	"context"
	"errors"
	"testing"

	"oleanderfall.example/oleanderfall/internal/standin"
	"oleanderfall.example/oleanderfall/internal/state/ledger"
	"oleanderfall.example/oleanderfall/internal/state/model"
)

func record(epoch model.Epoch, sequence uint64) ledger.Record {
	return ledger.Record{Epoch: epoch, Sequence: sequence}
}

// An earlier owner writes its record after the next owner has read it. The next owner's first
// write fails, because it is based on the old record; the earlier owner's writes then fail
// with errOwnershipLost.
func TestStoreWrite_ChangedByEarlierOwner(t *testing.T) {
	ctx := context.Background()
	objects := standin.NewObjectStore(standin.ObjectStoreOptions{})
	old := &store{api: objects, trainer: "t", epoch: 1}
	next := &store{api: objects, trainer: "t", epoch: 2}
	if err := old.write(ctx, record(1, 1)); err != nil {
		t.Fatal(err)
	}
	if _, err := next.load(ctx); err != nil {
		t.Fatal(err)
	}
	if err := old.write(ctx, record(1, 2)); err != nil {
		t.Fatal(err)
	}
	if err := next.write(ctx, record(2, 1)); !errors.Is(err, errRecordChanged) {
		t.Fatalf("write based on an old record: got %v, want errRecordChanged", err)
	}
	if err := next.write(ctx, record(2, 1)); err != nil {
		t.Fatal(err)
	}
	if err := old.write(ctx, record(1, 3)); !errors.Is(err, errOwnershipLost) {
		t.Fatalf("write under an old epoch: got %v, want errOwnershipLost", err)
	}
}

// If the response to a write is lost, the store reads the record and does not write again.
func TestStoreWrite_LostResponse(t *testing.T) {
	ctx := context.Background()
	objects := standin.NewObjectStore(standin.ObjectStoreOptions{})
	s := &store{api: objects, trainer: "t", epoch: 1}
	objects.SetFaults(standin.Faults{LoseAnswers: 1})
	if err := s.write(ctx, record(1, 1)); err != nil {
		t.Fatal(err)
	}
	if err := s.write(ctx, record(1, 2)); err != nil {
		t.Fatal(err)
	}
	if n := objects.Calls().Writes; n != 2 {
		t.Fatalf("got %d writes for two records", n)
	}
}

// Publishing a lower version leaves the desired version unchanged.
func TestPublish_NeverLowersVersion(t *testing.T) {
	ctx := context.Background()
	objects := standin.NewObjectStore(standin.ObjectStoreOptions{})
	for _, v := range []model.WeightVersion{3, 2, 5} {
		if err := publish(ctx, objects, "d", ledger.Desired{Version: v, Trainer: "a"}, noActiveTrainer); err != nil {
			t.Fatal(err)
		}
		o, err := objects.Get(ctx, ledger.DesiredPrefix+"d")
		if err != nil {
			t.Fatal(err)
		}
		if d, err := ledger.DecodeDesired(o.Value); err != nil || d.Version < 3 {
			t.Fatalf("got desired version %v, %v after publishing %d", d, err, v)
		}
	}
}

func noActiveTrainer(model.TrainerID) bool { return false }

// A second trainer can publish only after the first has left the deployment, and only a
// higher version: the same version number would denote different weights.
func TestPublish_TwoTrainers(t *testing.T) {
	objects := standin.NewObjectStore(standin.ObjectStoreOptions{})
	publishAs := func(trainer model.TrainerID, v model.WeightVersion, active bool) error {
		return publish(t.Context(), objects, "d", ledger.Desired{Version: v, Trainer: trainer}, func(model.TrainerID) bool { return active })
	}
	if err := publishAs("a", 5, true); err != nil {
		t.Fatal(err)
	}
	for _, v := range []model.WeightVersion{3, 9} {
		if err := publishAs("b", v, true); !errors.Is(err, errPublisherConflict) {
			t.Fatalf("publishing version %d beside an active trainer: got %v, want errPublisherConflict", v, err)
		}
	}
	if err := publishAs("b", 5, false); !errors.Is(err, errPublisherConflict) {
		t.Fatalf("publishing a version that the previous trainer used: got %v, want errPublisherConflict", err)
	}
	if err := publishAs("b", 6, false); err != nil {
		t.Fatalf("publishing a higher version after the other trainer left: %v", err)
	}
}
