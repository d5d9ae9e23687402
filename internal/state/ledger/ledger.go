// Package ledger is the record a trainer keeps in the object API: which slots of its
// open steps are in which batch. Content is not part of it.
//
// Invariant: a slot is in at most one batch of its step, and batches are only
// appended; a record with a lower epoch never replaces one with a higher epoch.
package ledger

import (
	"encoding/binary"
	"encoding/json"

	"github.com/zeebo/errs"

	"oleanderfall.example/oleanderfall/internal/state/model"
)

// Error is the class of this package's errors.
var Error = errs.Class("ledger")

// MaxSlots is the most slots a step may have.
const MaxSlots = 1 << 16

// Record is the value of the object "trainer/T/step".
type Record struct {
	// Epoch is that of the shard's owner who wrote the record.
	Epoch model.Epoch `json:"epoch"`
	// Sequence grows with each write; with Epoch it identifies the write.
	Sequence uint64 `json:"sequence"`
	// TrainerVersion is the highest version the trainer told of.
	TrainerVersion model.WeightVersion `json:"trainer_version"`
	// Steps are the open steps in ascending order, two at most.
	Steps []Step `json:"steps"`
}

// Step is the record of one open step.
type Step struct {
	Step      uint64 `json:"step"`
	Groups    int    `json:"groups"`
	GroupSize int    `json:"group_size"`
	MaxTokens int    `json:"max_tokens"`
	// Spare is the number of groups that the step may end without.
	Spare int `json:"spare,omitempty"`
	Bound int `json:"bound"`
	// Digest identifies the contents the step was opened with.
	Digest uint64 `json:"digest"`
	// PromptPrefix makes the prompts "PREFIX 0" on; without it the prompts lie in
	// an object of their own.
	PromptPrefix string `json:"prompt_prefix,omitempty"`
	Inline       bool   `json:"inline,omitempty"`
	// Batches lists the slots of each batch.
	Batches [][]uint16 `json:"-"`
}

// Slots is the number of slots of the step.
func (s Step) Slots() int { return s.Groups * s.GroupSize }

// Needed is the number of slots after which the step is whole.
func (s Step) Needed() int { return (s.Groups - s.Spare) * s.GroupSize }

// stepJSON adds the batches as runs of consecutive slots: for each batch the number
// of runs, then first slot and length of each, as varints.
type stepJSON struct {
	plainStep
	Runs []byte `json:"runs,omitempty"`
}

type plainStep Step

// MarshalJSON implements json.Marshaler.
func (s Step) MarshalJSON() ([]byte, error) {
	return json.Marshal(stepJSON{plainStep: plainStep(s), Runs: encodeBatches(s.Batches)})
}

// UnmarshalJSON implements json.Unmarshaler.
func (s *Step) UnmarshalJSON(b []byte) error {
	var j stepJSON
	if err := json.Unmarshal(b, &j); err != nil {
		return err
	}
	*s = Step(j.plainStep)
	if s.Groups < 0 || s.GroupSize < 1 || s.Groups > MaxSlots || s.GroupSize > MaxSlots || s.Slots() > MaxSlots {
		return Error.New("step of %d groups of %d", s.Groups, s.GroupSize)
	}
	batches, err := decodeBatches(j.Runs, s.Slots())
	s.Batches = batches
	return err
}

func encodeBatches(batches [][]uint16) []byte {
	var out []byte
	for _, batch := range batches {
		runs := runsOf(batch)
		out = binary.AppendUvarint(out, uint64(len(runs)))
		for _, r := range runs {
			out = binary.AppendUvarint(out, uint64(r.first))
			out = binary.AppendUvarint(out, uint64(r.count))
		}
	}
	return out
}

type run struct{ first, count int }

func runsOf(batch []uint16) []run {
	var out []run
	for _, slot := range batch {
		if n := len(out); n > 0 && out[n-1].first+out[n-1].count == int(slot) {
			out[n-1].count++
			continue
		}
		out = append(out, run{first: int(slot), count: 1})
	}
	return out
}

func decodeBatches(b []byte, slots int) ([][]uint16, error) {
	var out [][]uint16
	seen := make([]bool, slots)
	next := func() (int, error) {
		v, n := binary.Uvarint(b)
		if n <= 0 || v > MaxSlots {
			return 0, Error.New("malformed batch index")
		}
		b = b[n:]
		return int(v), nil
	}
	for len(b) > 0 {
		batch, err := decodeBatch(next, seen)
		if err != nil {
			return nil, err
		}
		out = append(out, batch)
	}
	return out, nil
}

func decodeBatch(next func() (int, error), seen []bool) ([]uint16, error) {
	runs, err := next()
	if err != nil {
		return nil, err
	}
	var batch []uint16
	for range runs {
		first, err := next()
		if err != nil {
			return nil, err
		}
		count, err := next()
		if err != nil {
			return nil, err
		}
		for slot := first; slot < first+count; slot++ {
			if slot >= len(seen) || seen[slot] {
				return nil, Error.New("slot %d is out of range or in two batches", slot)
			}
			seen[slot] = true
			batch = append(batch, uint16(slot))
		}
	}
	return batch, nil
}

// Encode returns the record's stored form.
func Encode(r Record) ([]byte, error) {
	b, err := json.Marshal(r)
	return b, Error.Wrap(err)
}

// Decode reads the stored form and checks it.
func Decode(b []byte) (Record, error) {
	var r Record
	err := json.Unmarshal(b, &r)
	return r, Error.Wrap(err)
}
