// Package engineapi defines the protocol of model engines and plain services: the message
// types and a client that sends each call at most once.
//
// Invariant: an endpoint's state (version, role, incarnation) is read from its reports and
// its token chunks, never inferred from the orders it was sent.
package engineapi

import "oleanderfall.example/oleanderfall/internal/state/model"

// GenerateRequest asks an engine for a stream of tokens.
type GenerateRequest struct {
	// RequestID identifies the attempt, also in Cancel and ExportKV.
	RequestID string `json:"request_id"`
	Prompt    string `json:"prompt"`
	// MaxTokens limits the length of the answer.
	MaxTokens int            `json:"max_tokens"`
	Priority  model.Priority `json:"priority"`
	Adapter   string         `json:"adapter,omitempty"`
	// Offset resumes a stream: the engine sends the tokens from this index on.
	Offset int `json:"offset,omitempty"`
	// Prefix holds the tokens before Offset, so that another engine can resume the stream.
	Prefix []uint32 `json:"prefix,omitempty"`
	// Seed makes sampling reproducible on engines that support it.
	Seed uint64 `json:"seed,omitempty"`
}

// Chunk is one line of a token stream (newline-delimited JSON).
type Chunk struct {
	// Offset is the index of the first token of the chunk.
	Offset int      `json:"offset"`
	Tokens []uint32 `json:"tokens,omitempty"`
	// Version is the weight version that produced the tokens, 0 if not reported.
	Version model.WeightVersion `json:"version,omitempty"`
	// Done marks the last chunk; a stream that ends without it was interrupted.
	Done bool `json:"done,omitempty"`
	// Total is the number of tokens in the complete answer, set with Done.
	Total int `json:"total,omitempty"`
	// Error is the engine's error; it ends the stream.
	Error string `json:"error,omitempty"`
}

// Load is an engine's load report. It describes the state AgeMillis before it was sent.
type Load struct {
	Incarnation model.Incarnation `json:"incarnation"`
	Running     int               `json:"running"`
	Queued      int               `json:"queued"`
	// Slots is the maximum number of running requests.
	Slots      int                 `json:"slots"`
	TokensPerS float64             `json:"tokens_per_s"`
	Version    model.WeightVersion `json:"version"`
	AgeMillis  int64               `json:"age_ms"`
}

// Status is an endpoint's report of its current state.
type Status struct {
	Incarnation model.Incarnation   `json:"incarnation"`
	Version     model.WeightVersion `json:"version"`
	Adapters    []string            `json:"adapters,omitempty"`
	Role        string              `json:"role,omitempty"`
	// Draining reports that the endpoint is draining and takes no new requests.
	Draining bool `json:"leaving"`
	// Loading reports that the engine is swapping weights.
	Loading bool `json:"loading"`
}

// Order tells an engine which version, adapter and role to take. It names the target state
// and is therefore idempotent.
type Order struct {
	// Fence is the fencing token: the epoch of the shard whose owner sends the order.
	Fence   model.Epoch         `json:"fence"`
	Version model.WeightVersion `json:"version,omitempty"`
	Adapter string              `json:"adapter,omitempty"`
	Role    string              `json:"role,omitempty"`
}

// CacheEvent is one change of an engine's prefix cache. Sequence numbers may have gaps.
type CacheEvent struct {
	Sequence uint64 `json:"seq"`
	Added    bool   `json:"added"`
	// PrefixHash is the xxHash64 of the cached prompt prefix.
	PrefixHash uint64 `json:"prefix_hash"`
}

// CacheEvents is the answer to a poll for cache events. The next poll starts at Next.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
	Next   uint64       `json:"next"`
}

// CallRequest is a call of a plain service. The body is sent unchanged, the id in
// RequestIDHeader.
type CallRequest struct {
	RequestID string
	Call      string
	Body      []byte
}

// RequestIDHeader carries the RequestID of a GenerateRequest or CallRequest.
const RequestIDHeader = "X-Request-Id"

// IncarnationHeader carries the endpoint's incarnation in every answer.
const IncarnationHeader = "X-Incarnation"

// FenceHeader carries an order's fencing token.
const FenceHeader = "X-Fence"
