// Package httpapi reads callers' requests and writes answers and refusals in the
// form that docs/callers.md describes.
//
// Invariant: whatever bytes a caller sends, reading yields a checked request or a
// *resultcode.Error that says not run; every refusal carries its result code and
// outcome.
package httpapi

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"oleanderfall.example/oleanderfall/internal/protocol/resultcode"
	"oleanderfall.example/oleanderfall/internal/state/model"
)

// The headers of a request.
const (
	CallerHeader         = "Oleander-Caller"
	DeadlineHeader       = "Oleander-Deadline-Ms"
	IdempotencyKeyHeader = "Idempotency-Key"
	PriorityHeader       = "Oleander-Priority"
)

// The limits of a request.
const (
	// MaxBodyBytes bounds a request's body.
	MaxBodyBytes = 1 << 20
	// MaxHeaderBytes bounds a request's headers.
	MaxHeaderBytes = 16 << 10
	// MaxKeyBytes bounds an idempotency key, a caller's name and an adapter's name.
	MaxKeyBytes = 256
	// MaxTokens bounds the answer asked for.
	MaxTokens = 1 << 20
	// MaxDeadline bounds the time a caller may give a request.
	MaxDeadline = 10 * time.Minute
)

// Meta is what a request's headers say.
type Meta struct {
	Caller model.CallerID
	// Timeout is the time the caller gives, 0 when it does not say.
	Timeout time.Duration
	Key     string
	// Priority is what the caller asks for; HasPriority says that it did.
	Priority    model.Priority
	HasPriority bool
}

var priorities = map[string]model.Priority{
	"training": model.PriorityTraining,
	"batch":    model.PriorityBatch,
	"live":     model.PriorityLive,
}

// ReadMeta reads the headers of a request.
func ReadMeta(h http.Header) (Meta, error) {
	m := Meta{Caller: model.CallerID(h.Get(CallerHeader)), Key: h.Get(IdempotencyKeyHeader)}
	if len(m.Caller) > MaxKeyBytes || len(m.Key) > MaxKeyBytes {
		return Meta{}, resultcode.New(resultcode.TooLarge, "The caller's name or the key is over %d bytes.", MaxKeyBytes)
	}
	if text := h.Get(DeadlineHeader); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms <= 0 {
			return Meta{}, resultcode.New(resultcode.BadRequest, "%s is not a positive number.", DeadlineHeader)
		}
		m.Timeout = MaxDeadline
		if ms < MaxDeadline.Milliseconds() {
			m.Timeout = time.Duration(ms) * time.Millisecond
		}
	}
	if text := h.Get(PriorityHeader); text != "" {
		p, ok := priorities[text]
		if !ok {
			return Meta{}, resultcode.New(resultcode.BadRequest, "%s is not live, batch or training.", PriorityHeader)
		}
		m.Priority, m.HasPriority = p, true
	}
	return m, nil
}

// ReadBody reads a request's whole body.
func ReadBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBodyBytes))
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return nil, resultcode.New(resultcode.TooLarge, "The body is over %d bytes.", MaxBodyBytes)
	}
	if err != nil {
		return nil, resultcode.New(resultcode.BadRequest, "The body could not be read.")
	}
	return body, nil
}

// Generate asks a deployment for a stream of tokens.
type Generate struct {
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Seed      uint64 `json:"seed"`
	Adapter   string `json:"adapter"`
	// MinVersion is the least weight version that may make the answer.
	MinVersion model.WeightVersion `json:"min_version"`
}

// ReadGenerate reads the body of a generate request.
func ReadGenerate(body []byte) (Generate, error) {
	var g Generate
	if err := json.Unmarshal(body, &g); err != nil {
		return Generate{}, resultcode.New(resultcode.BadRequest, "The body is not the JSON of a generate request.")
	}
	switch {
	case g.Prompt == "":
		return Generate{}, resultcode.New(resultcode.BadRequest, "The prompt is empty.")
	case g.MaxTokens < 0 || g.MaxTokens > MaxTokens:
		return Generate{}, resultcode.New(resultcode.BadRequest, "max_tokens is not in 0..%d.", MaxTokens)
	case len(g.Adapter) > MaxKeyBytes:
		return Generate{}, resultcode.New(resultcode.TooLarge, "The adapter's name is over %d bytes.", MaxKeyBytes)
	}
	return g, nil
}
