package ledger

import (
	"math/rand/v2"
	"reflect"
	"testing"
)

func fullStep(seed uint64) Record {
	rng := rand.New(rand.NewPCG(seed, 1))
	s := Step{Step: 7, Groups: 512, GroupSize: 8, MaxTokens: 100, Bound: 1, Digest: 9, PromptPrefix: "p"}
	var batch []uint16
	for _, g := range rng.Perm(s.Groups) {
		for i := range s.GroupSize {
			batch = append(batch, uint16(g*s.GroupSize+i))
		}
		if len(batch) >= 64 {
			s.Batches = append(s.Batches, batch)
			batch = nil
		}
	}
	return Record{Epoch: 3, Sequence: 65, TrainerVersion: 12, Steps: []Step{s}}
}

func TestAWholeStepOf4096SamplesIsKeptInAFewKilobytes(t *testing.T) {
	want := fullStep(1)
	b, err := Encode(want)
	if err != nil {
		t.Fatal(err)
	}
	if len(b) > 4<<10 {
		t.Fatalf("record takes %d bytes", len(b))
	}
	got, err := Decode(b)
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Fatalf("decoded another record: %v", err)
	}
}

func TestARecordWithASlotInTwoBatchesIsRefused(t *testing.T) {
	r := Record{Steps: []Step{{Groups: 2, GroupSize: 2, Batches: [][]uint16{{0, 1}, {1, 2}}}}}
	b, err := Encode(r)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Decode(b); err == nil {
		t.Fatal("the record was taken")
	}
}

func FuzzDecode(f *testing.F) {
	b, _ := Encode(fullStep(2))
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		r, err := Decode(b)
		if err != nil {
			return
		}
		again, err := Encode(r)
		if err != nil {
			t.Fatal(err)
		}
		if back, err := Decode(again); err != nil || !reflect.DeepEqual(back, r) {
			t.Fatalf("record changed on its way: %v", err)
		}
	})
}
