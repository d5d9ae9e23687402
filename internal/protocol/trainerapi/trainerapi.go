// Package trainerapi defines the protocol between trainers and the rollout program. A
// trainer opens steps, pulls batches of samples by cursor and reports its weight version.
//
//	POST /v1/trainers/T/steps                              OpenStep
//	GET  /v1/trainers/T/steps/S/batches?cursor=&max=&version=&wait_ms=   Batch
//	POST /v1/trainers/T/version                            VersionReport
//
// Invariant: within a step, a cursor always returns the same batch. A request for cursor N
// confirms that every batch below N was received.
package trainerapi

import "oleanderfall.example/oleanderfall/internal/state/model"

// OwnerHeader carries the address of the owning rollout host in a not_owner answer, if it
// is known.
const OwnerHeader = "Oleander-Owner"

// OpenStep opens a step. Opening a step again is idempotent if the contents are the same;
// otherwise it is refused with step_conflict.
type OpenStep struct {
	Step uint64 `json:"step"`
	// Prompts are the step's prompts, one per group. Alternatively, PromptSource generates
	// them.
	Prompts      []string      `json:"prompts,omitempty"`
	PromptSource *PromptSource `json:"prompt_source,omitempty"`
	// GroupSize is the number of samples per prompt; 0 uses the trainer's setting.
	GroupSize int `json:"group_size,omitempty"`
	MaxTokens int `json:"max_tokens"`
	// NeededGroups is the number of groups with which the step is complete; 0 means all.
	// The trainer's setting spare_groups limits how many groups it may complete without.
	NeededGroups int `json:"needed_groups,omitempty"`
	// Version is the trainer's weight version when it opens the step.
	Version model.WeightVersion `json:"version"`
	// StalenessBound, if set, is the staleness bound of the step in weight versions. A value
	// above the trainer's setting has no effect.
	StalenessBound *int `json:"staleness_bound,omitempty"`
}

// PromptSource generates Count prompts, "PREFIX 0" to "PREFIX Count-1".
type PromptSource struct {
	Prefix string `json:"prefix"`
	Count  int    `json:"count"`
}

// Span is a range of tokens [From, To) produced by one request with one weight version.
type Span struct {
	From    int                 `json:"from"`
	To      int                 `json:"to"`
	Version model.WeightVersion `json:"version"`
	// RequestID is the id of the request that produced the tokens, as in the endpoint's
	// log. A sample that was continued on another endpoint has spans of several requests.
	RequestID string `json:"request_id"`
}

// Sample is one generated answer to a prompt.
type Sample struct {
	Step uint64 `json:"step"`
	// Group is the index of the prompt in the step, Index that of the sample in the group.
	Group int `json:"group"`
	Index int `json:"index"`
	// RequestID is the id of the attempt that produced the last tokens, as in the
	// endpoint's log.
	RequestID string   `json:"request_id"`
	Prompt    string   `json:"prompt"`
	Tokens    []uint32 `json:"tokens"`
	Spans     []Span   `json:"spans"`
	// Score is the scorer's result, 0 if the trainer has no scorer.
	Score float64 `json:"score"`
}

// OldestVersion returns the lowest weight version among the spans, 0 if there are none.
func (s Sample) OldestVersion() model.WeightVersion {
	oldest := model.WeightVersion(0)
	for i, sp := range s.Spans {
		if i == 0 || sp.Version < oldest {
			oldest = sp.Version
		}
	}
	return oldest
}

// Batch is the answer to a request for a cursor.
type Batch struct {
	Step   uint64 `json:"step"`
	Cursor uint64 `json:"cursor"`
	// Next is the cursor to request once this batch is received.
	Next    uint64   `json:"next"`
	Samples []Sample `json:"samples"`
	// Done reports that the step is complete and that no batch follows this one.
	Done bool `json:"done"`
}

// VersionReport reports the trainer's current weight version.
type VersionReport struct {
	Version model.WeightVersion `json:"version"`
	// Published reports that the weights of Version are in the weight store.
	Published bool `json:"published"`
}
