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

func TestARecordChangedByAnEarlierOwnerIsNotOverwritten(t *testing.T) {
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
	if err := next.write(ctx, record(2, 1)); !errors.Is(err, errChanged) {
		t.Fatalf("got %v for a record decided on an old one", err)
	}
	if err := next.write(ctx, record(2, 1)); err != nil {
		t.Fatal(err)
	}
	if err := old.write(ctx, record(1, 3)); !errors.Is(err, errLost) {
		t.Fatalf("got %v for a write under an old epoch", err)
	}
}

func TestALostAnswerOfARecordsWriteIsResolvedByReading(t *testing.T) {
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
		t.Fatalf("%d writes for two records", n)
	}
}

func TestADesiredVersionOnlyRises(t *testing.T) {
	ctx := context.Background()
	objects := standin.NewObjectStore(standin.ObjectStoreOptions{})
	for _, v := range []model.WeightVersion{3, 2, 5} {
		if err := publish(ctx, objects, "d", ledger.Desired{Version: v, Trainer: "a"}, never); err != nil {
			t.Fatal(err)
		}
		o, err := objects.Get(ctx, ledger.DesiredPrefix+"d")
		if err != nil {
			t.Fatal(err)
		}
		if d, err := ledger.DecodeDesired(o.Value); err != nil || d.Version < 3 {
			t.Fatalf("got %v, %v after %d", d, err, v)
		}
	}
}

func never(model.TrainerID) bool { return false }

func TestTwoTrainersNeverMixVersionsOfOneDeployment(t *testing.T) {
	objects := standin.NewObjectStore(standin.ObjectStoreOptions{})
	put := func(trainer model.TrainerID, v model.WeightVersion, active bool) error {
		return publish(t.Context(), objects, "d", ledger.Desired{Version: v, Trainer: trainer}, func(model.TrainerID) bool { return active })
	}
	if err := put("a", 5, true); err != nil {
		t.Fatal(err)
	}
	for _, v := range []model.WeightVersion{3, 9} {
		if err := put("b", v, true); !errors.Is(err, errOtherPublisher) {
			t.Fatalf("version %d beside an active trainer: %v", v, err)
		}
	}
	if err := put("b", 5, false); !errors.Is(err, errOtherPublisher) {
		t.Fatalf("a version already used by the trainer before: %v", err)
	}
	if err := put("b", 6, false); err != nil {
		t.Fatalf("a higher version after the other trainer has gone: %v", err)
	}
}
