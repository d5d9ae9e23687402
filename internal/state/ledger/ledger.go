// Package ledger defines the objects that record a trainer's open steps and a deployment's
// desired weight version. A step's record lists which slots are in which batch, but not the
// samples themselves. A slot is the position of a sample in its step: slots 0 to GroupSize-1
// are those of the first group, and so on.
//
// Invariant: a slot is in at most one batch of its step, and batches are only appended. A
// record with a lower epoch never replaces one with a higher epoch.
package ledger

import (
	"encoding/binary"
	"encoding/json"

	"github.com/zeebo/errs"

	"oleanderfall.example/oleanderfall/internal/state/model"
)

// Error is the class of this package's errors.
var Error = errs.Class("ledger")

// MaxSlots is the maximum number of slots in a step.
const MaxSlots = 1 << 16

// Record is the value of the object "trainer/T/step" for trainer T.
type Record struct {
	// Epoch is the epoch of the shard owner that wrote the record.
	Epoch model.Epoch `json:"epoch"`
	// Sequence increases with each write. Together with Epoch it identifies the write.
	Sequence uint64 `json:"sequence"`
	// TrainerVersion is the highest weight version that the trainer has reported.
	TrainerVersion model.WeightVersion `json:"trainer_version"`
	// Steps lists the open steps in ascending order, at most two.
	Steps []Step `json:"steps"`
}

// Step is the record of one open step.
type Step struct {
	Step      uint64 `json:"step"`
	Groups    int    `json:"groups"`
	GroupSize int    `json:"group_size"`
	// MaxTokens is the maximum number of tokens in one sample.
	MaxTokens int `json:"max_tokens"`
	// SpareGroups is the number of groups that may be missing when the step ends.
	SpareGroups int `json:"spare,omitempty"`
	// StalenessBound is the staleness bound of the step, in weight versions.
	StalenessBound int `json:"bound"`
	// Digest identifies the content with which the step was opened.
	Digest uint64 `json:"digest"`
	// PromptPrefix generates the prompts "PREFIX 0" and so on. If it is empty, the
	// prompts are stored in a separate object.
	PromptPrefix string `json:"prompt_prefix,omitempty"`
	// Inline reports that the trainer sent the prompts with the step and that they are
	// stored in a separate object.
	Inline bool `json:"inline,omitempty"`
	// Batches lists the slots of each batch.
	Batches [][]uint16 `json:"-"`
}

// Slots returns the number of slots in the step.
func (s Step) Slots() int { return s.Groups * s.GroupSize }

// RequiredSlots returns the number of slots that must be in batches for the step to be complete.
func (s Step) RequiredSlots() int { return (s.Groups - s.SpareGroups) * s.GroupSize }

// stepJSON adds the batches, encoded as runs of consecutive slots. Each batch consists of the
// number of runs, then the first slot and the length of each run, as varints.
type stepJSON struct {
	plainStep
	Runs []byte `json:"runs,omitempty"`
}

// plainStep has the fields of Step without its JSON methods, which would call themselves.
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
		return Error.New("invalid step size: %d groups of %d samples", s.Groups, s.GroupSize)
	}
	batches, err := decodeBatches(j.Runs, s.Slots())
	s.Batches = batches
	return err
}

func encodeBatches(batches [][]uint16) []byte {
	var out []byte
	for _, batch := range batches {
		runs := consecutiveRuns(batch)
		out = binary.AppendUvarint(out, uint64(len(runs)))
		for _, r := range runs {
			out = binary.AppendUvarint(out, uint64(r.first))
			out = binary.AppendUvarint(out, uint64(r.count))
		}
	}
	return out
}

// run is a range of consecutive slots.
type run struct{ first, count int }

func consecutiveRuns(batch []uint16) []run {
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

// decodeBatches reverses encodeBatches. It fails if a slot is not below slots or is in two
// batches.
func decodeBatches(b []byte, slots int) ([][]uint16, error) {
	var out [][]uint16
	seen := make([]bool, slots)
	next := func() (int, error) {
		v, n := binary.Uvarint(b)
		if n <= 0 || v > MaxSlots {
			return 0, Error.New("batch runs contain an invalid or too large varint")
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

// Encode returns the stored form of r.
func Encode(r Record) ([]byte, error) {
	b, err := json.Marshal(r)
	return b, Error.Wrap(err)
}

// Decode decodes and validates the stored form of a record.
func Decode(b []byte) (Record, error) {
	var r Record
	err := json.Unmarshal(b, &r)
	return r, Error.Wrap(err)
}
