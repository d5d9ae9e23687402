package ledger

import (
	"math/rand/v2"
	"reflect"
	"testing"
)

func fullStep(seed uint64) Record {
	rng := rand.New(rand.NewPCG(seed, 1))
	s := Step{Step: 7, Groups: 512, GroupSize: 8, MaxTokens: 100, StalenessBound: 1, Digest: 9, PromptPrefix: "p"}
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

// A trainer's record is rewritten with each batch, so the record of a complete step of 4096
// samples must stay within 4 KiB.
func TestEncode_LargeStep(t *testing.T) {
	want := fullStep(1)
	b, err := Encode(want)
	if err != nil {
		t.Fatal(err)
	}
	if len(b) > 4<<10 {
		t.Fatalf("encoded record has %d bytes, want at most 4096", len(b))
	}
	got, err := Decode(b)
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Fatalf("decoded record differs from the encoded one: %v", err)
	}
}

// A record that lists a slot in two batches would deliver a sample twice, so Decode must reject
// it.
func TestDecode_SlotInTwoBatches(t *testing.T) {
	r := Record{Steps: []Step{{Groups: 2, GroupSize: 2, Batches: [][]uint16{{0, 1}, {1, 2}}}}}
	b, err := Encode(r)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Decode(b); err == nil {
		t.Fatal("record with a slot in two batches was accepted")
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
			t.Fatalf("record changed in a round trip: %v", err)
		}
	})
}
