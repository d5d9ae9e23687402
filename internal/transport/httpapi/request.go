// Package httpapi parses callers' HTTP requests and writes responses and errors in the
// format that docs/callers.md describes.
//
// Invariant: for any input, parsing returns a validated request or a *resultcode.Error
// whose outcome is NotRun. Every error response has a result code and an outcome.
package httpapi

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"oleanderfall.example/oleanderfall/internal/protocol/resultcode"
	"oleanderfall.example/oleanderfall/internal/state/model"
	"oleanderfall.example/oleanderfall/internal/transport/ingress"
)

// Request headers.
const (
	CallerHeader         = "Oleander-Caller"
	DeadlineHeader       = "Oleander-Deadline-Ms"
	IdempotencyKeyHeader = "Idempotency-Key"
	PriorityHeader       = "Oleander-Priority"
)

// Limits of a request.
const (
	// MaxBodyBytes bounds the body of a request.
	MaxBodyBytes = 1 << 20
	// MaxHeaderBytes bounds the headers of a request in total.
	MaxHeaderBytes = 16 << 10
	// MaxKeyBytes bounds the length of an idempotency key, a caller name and an adapter name.
	MaxKeyBytes = 256
	// MaxTokens bounds the requested number of output tokens.
	MaxTokens = 1 << 20
	// MaxTimeout bounds the timeout of a request. A longer timeout is reduced to it.
	MaxTimeout = 10 * time.Minute
)

// RequestHeaders holds the values of a request's headers.
type RequestHeaders struct {
	Caller model.CallerID
	// Timeout is the time from receipt after which the caller stops waiting, or 0 if the
	// header is absent.
	Timeout time.Duration
	// Key is the idempotency key, or empty if the header is absent.
	Key string
	// Priority is the requested priority. It is valid only if HasPriority is set.
	Priority    model.Priority
	HasPriority bool
}

var priorities = map[string]model.Priority{
	"training": model.PriorityTraining,
	"batch":    model.PriorityBatch,
	"live":     model.PriorityLive,
}

// ParseRequestHeaders parses the headers of a request. Every error is a *resultcode.Error: TooLarge if
// the caller name or the key exceeds MaxKeyBytes, else BadRequest.
func ParseRequestHeaders(h http.Header) (RequestHeaders, error) {
	out := RequestHeaders{Caller: model.CallerID(h.Get(CallerHeader)), Key: h.Get(IdempotencyKeyHeader)}
	if len(out.Caller) > MaxKeyBytes || len(out.Key) > MaxKeyBytes {
		return RequestHeaders{}, resultcode.New(resultcode.TooLarge, "The caller's name or the key is over %d bytes.", MaxKeyBytes)
	}
	if text := h.Get(DeadlineHeader); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms <= 0 {
			return RequestHeaders{}, resultcode.New(resultcode.BadRequest, "%s is not a positive number.", DeadlineHeader)
		}
		out.Timeout = MaxTimeout
		if ms < MaxTimeout.Milliseconds() {
			out.Timeout = time.Duration(ms) * time.Millisecond
		}
	}
	if text := h.Get(PriorityHeader); text != "" {
		p, ok := priorities[text]
		if !ok {
			return RequestHeaders{}, resultcode.New(resultcode.BadRequest, "%s is not live, batch or training.", PriorityHeader)
		}
		out.Priority, out.HasPriority = p, true
	}
	return out, nil
}

// ReadBody reads the complete body of a request. Every error is a *resultcode.Error:
// TooLarge if the body exceeds MaxBodyBytes, Overloaded if it arrives too slowly or there is no memory for it, else
// BadRequest.
func ReadBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBodyBytes))
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return nil, resultcode.New(resultcode.TooLarge, "The body is over %d bytes.", MaxBodyBytes)
	}
	if errors.Is(err, ingress.ErrNoRoom) || errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, resultcode.New(resultcode.Overloaded, "The body arrives too slowly, or other bodies take the memory for it.")
	}
	if err != nil {
		return nil, resultcode.New(resultcode.BadRequest, "The body could not be read.")
	}
	return body, nil
}

// GenerateRequest is the body of a request to a deployment for a stream of tokens. MaxTokens is 0
// if the caller did not set it.
type GenerateRequest struct {
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Seed      uint64 `json:"seed"`
	Adapter   string `json:"adapter"`
	// MinVersion is the oldest weight version that may generate the response.
	MinVersion model.WeightVersion `json:"min_version"`
}

// ParseGenerate parses and validates the body of a generate request. Every error is a
// *resultcode.Error: TooLarge if the adapter name exceeds MaxKeyBytes, else BadRequest.
func ParseGenerate(body []byte) (GenerateRequest, error) {
	var g GenerateRequest
	if err := json.Unmarshal(body, &g); err != nil {
		return GenerateRequest{}, resultcode.New(resultcode.BadRequest, "The body is not the JSON of a generate request.")
	}
	switch {
	case g.Prompt == "":
		return GenerateRequest{}, resultcode.New(resultcode.BadRequest, "The prompt is empty.")
	case g.MaxTokens < 0 || g.MaxTokens > MaxTokens:
		return GenerateRequest{}, resultcode.New(resultcode.BadRequest, "max_tokens is not in 0..%d.", MaxTokens)
	case len(g.Adapter) > MaxKeyBytes:
		return GenerateRequest{}, resultcode.New(resultcode.TooLarge, "The adapter's name is over %d bytes.", MaxKeyBytes)
	}
	return g, nil
}
