// Package engineapi is the interface of model engines and plain services: typed
// messages and a client that sends each call once.
//
// Invariant: what an endpoint is (its version, role, incarnation) is read from
// its reports and its token chunks, never from the orders it was given.
package engineapi

import "oleanderfall.example/oleanderfall/internal/state/model"

// GenerateRequest asks an engine for a stream of tokens.
type GenerateRequest struct {
	// RequestID identifies the attempt; cancel and KV export name it.
	RequestID string `json:"request_id"`
	Prompt    string `json:"prompt"`
	// MaxTokens bounds the answer's length.
	MaxTokens int            `json:"max_tokens"`
	Priority  model.Priority `json:"priority"`
	Adapter   string         `json:"adapter,omitempty"`
	// Offset resumes: the engine sends tokens from this index on.
	Offset int `json:"offset,omitempty"`
	// Prefix holds the tokens before Offset, so that another engine can resume.
	Prefix []uint32 `json:"prefix,omitempty"`
	// Seed makes sampling repeatable on engines that honour it.
	Seed uint64 `json:"seed,omitempty"`
}

// Chunk is one line of a token stream (newline-delimited JSON).
type Chunk struct {
	// Offset is the index of the first token of the chunk.
	Offset int      `json:"offset"`
	Tokens []uint32 `json:"tokens,omitempty"`
	// Version is the weight version that produced the tokens, 0 when not reported.
	Version model.WeightVersion `json:"version,omitempty"`
	// Done marks the last line; a stream without it was cut short.
	Done bool `json:"done,omitempty"`
	// Total is the number of tokens of the whole answer, set with Done.
	Total int `json:"total,omitempty"`
	// Error ends the stream with the engine's own error.
	Error string `json:"error,omitempty"`
}

// Load is an engine's load report. It is true as of AgeMillis ago.
type Load struct {
	Incarnation model.Incarnation   `json:"incarnation"`
	Running     int                 `json:"running"`
	Queued      int                 `json:"queued"`
	Slots       int                 `json:"slots"`
	TokensPerS  float64             `json:"tokens_per_s"`
	Version     model.WeightVersion `json:"version"`
	AgeMillis   int64               `json:"age_ms"`
}

// Status is what an endpoint says of itself now.
type Status struct {
	Incarnation model.Incarnation   `json:"incarnation"`
	Version     model.WeightVersion `json:"version"`
	Adapters    []string            `json:"adapters,omitempty"`
	Role        string              `json:"role,omitempty"`
	// Leaving says that the endpoint wants no new work.
	Leaving bool `json:"leaving"`
	// Loading says that a weight swap is under way.
	Loading bool `json:"loading"`
}

// Order tells an engine what to become. It names a target and is idempotent.
type Order struct {
	// Fence is the epoch of the shard that gives the order.
	Fence   model.Epoch         `json:"fence"`
	Version model.WeightVersion `json:"version,omitempty"`
	Adapter string              `json:"adapter,omitempty"`
	Role    string              `json:"role,omitempty"`
}

// CacheEvent is one change of an engine's prefix cache. Sequences have gaps.
type CacheEvent struct {
	Sequence uint64 `json:"seq"`
	Added    bool   `json:"added"`
	// PrefixHash is xxhash64 of the cached prompt prefix.
	PrefixHash uint64 `json:"prefix_hash"`
}

// CacheEvents is an answer to a poll of cache events.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
	Next   uint64       `json:"next"`
}

// CallRequest is a call of a plain service: the body goes as it is, the id in a header.
type CallRequest struct {
	RequestID string
	Call      string
	Body      []byte
}

// RequestIDHeader carries CallRequest.RequestID.
const RequestIDHeader = "X-Request-Id"

// IncarnationHeader carries an endpoint's incarnation in every answer.
const IncarnationHeader = "X-Incarnation"

// FenceHeader carries an order's fencing number.
const FenceHeader = "X-Fence"
