// Package trainerapi is the interface between trainers and the rollout program:
// steps, batches by cursor, versions.
//
//	POST /v1/trainers/T/steps                              OpenStep
//	GET  /v1/trainers/T/steps/S/batches?cursor=&max=&version=&wait_ms=   Batch
//	POST /v1/trainers/T/version                            VersionReport
//
// Invariant: the same cursor always gets the same batch of a step; asking for
// cursor N says that every batch below N was received.
package trainerapi

import "oleanderfall.example/oleanderfall/internal/state/model"

// OwnerHeader names the rollout address to use instead, in a not_owner answer.
const OwnerHeader = "Oleander-Owner"

// OpenStep opens a step. Opening the same step again with the same contents is
// idempotent; with other contents it is refused (step_conflict).
type OpenStep struct {
	Step uint64 `json:"step"`
	// Prompts are the step's prompts, one a group; or PromptSource makes them.
	Prompts      []string      `json:"prompts,omitempty"`
	PromptSource *PromptSource `json:"prompt_source,omitempty"`
	// GroupSize is the number of samples a prompt; 0 takes the trainer's setting.
	GroupSize int `json:"group_size,omitempty"`
	MaxTokens int `json:"max_tokens"`
	// NeededGroups is the number of groups after which the step is whole; 0 needs all.
	// The trainer's setting spare_groups bounds how many of the prompts may be spare.
	NeededGroups int `json:"needed_groups,omitempty"`
	// Version is the trainer's weight version as the step opens.
	Version model.WeightVersion `json:"version"`
	// StalenessBound overrides the trainer's setting when set; it may only lower it.
	StalenessBound *int `json:"staleness_bound,omitempty"`
}

// PromptSource makes Count prompts "PREFIX 0" to "PREFIX Count-1".
type PromptSource struct {
	Prefix string `json:"prefix"`
	Count  int    `json:"count"`
}

// Span is a range of tokens [From, To) made under one weight version.
type Span struct {
	From    int                 `json:"from"`
	To      int                 `json:"to"`
	Version model.WeightVersion `json:"version"`
	// RequestID is the request that made the tokens, as in the endpoint's log. A
	// sample that went on at another endpoint has spans of several requests.
	RequestID string `json:"request_id"`
}

// Sample is one answer to a prompt.
type Sample struct {
	Step  uint64 `json:"step"`
	Group int    `json:"group"`
	Index int    `json:"index"`
	// RequestID is the id of the attempt that made the last tokens, as in the
	// endpoint's log.
	RequestID string   `json:"request_id"`
	Prompt    string   `json:"prompt"`
	Tokens    []uint32 `json:"tokens"`
	Spans     []Span   `json:"spans"`
	Score     float64  `json:"score"`
}

// Oldest returns the lowest version among the spans.
func (s Sample) Oldest() model.WeightVersion {
	oldest := model.WeightVersion(0)
	for i, sp := range s.Spans {
		if i == 0 || sp.Version < oldest {
			oldest = sp.Version
		}
	}
	return oldest
}

// Batch is an answer to a pull.
type Batch struct {
	Step   uint64 `json:"step"`
	Cursor uint64 `json:"cursor"`
	// Next is the cursor to ask for once this batch is received.
	Next    uint64   `json:"next"`
	Samples []Sample `json:"samples"`
	// Done says that the step is whole: every slot is in a batch up to this one.
	Done bool `json:"done"`
}

// VersionReport tells of the trainer's present version.
type VersionReport struct {
	Version model.WeightVersion `json:"version"`
	// Published says that the weights of Version are in the weight store.
	Published bool `json:"published"`
}
