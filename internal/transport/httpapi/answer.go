package httpapi

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"oleanderfall.example/oleanderfall/internal/protocol/engineapi"
	"oleanderfall.example/oleanderfall/internal/protocol/resultcode"
)

// Response headers.
const (
	ResultHeader       = "Oleander-Result"
	OutcomeHeader      = "Oleander-Outcome"
	RequestIDHeader    = "Oleander-Request-Id"
	RetryAfterHeader   = "Retry-After"
	RetryAfterMsHeader = "Oleander-Retry-After-Ms"
)

// Failure describes a request that ended without an answer. Its outcome may be less certain
// than that of the code, but not more certain.
type Failure struct {
	Code       resultcode.Code
	Outcome    resultcode.Outcome
	Detail     string
	RetryAfter time.Duration
}

// Error implements error.
func (f *Failure) Error() string { return f.Code.String() + ": " + f.Detail }

// NewFailure returns a failure with the outcome of its code.
func NewFailure(c resultcode.Code, detail string) *Failure {
	return &Failure{Code: c, Outcome: c.Info().Outcome, Detail: detail}
}

// WithUnknownOutcome returns a copy of f with the outcome Unknown.
func (f *Failure) WithUnknownOutcome() *Failure {
	out := *f
	out.Outcome = resultcode.Unknown
	return &out
}

// AsFailure converts an error to a failure. An error that wraps neither a *Failure nor a
// *resultcode.Error becomes resultcode.Internal.
func AsFailure(err error) *Failure {
	var f *Failure
	if errors.As(err, &f) {
		return f
	}
	var coded *resultcode.Error
	if errors.As(err, &coded) {
		out := NewFailure(coded.Code, coded.Detail)
		out.RetryAfter = time.Duration(coded.RetryAfterMillis) * time.Millisecond
		return out
	}
	return NewFailure(resultcode.Internal, "A fault of this system.")
}

// ErrorBody is the JSON form of a failure.
type ErrorBody struct {
	Code             int    `json:"code"`
	Name             string `json:"name"`
	Outcome          string `json:"outcome"`
	Detail           string `json:"detail"`
	RetryAfterMillis int64  `json:"retry_after_ms,omitempty"`
}

// Body returns the JSON form of f.
func (f *Failure) Body() ErrorBody {
	return ErrorBody{
		Code:             int(f.Code),
		Name:             f.Code.Info().Name,
		Outcome:          string(f.Outcome),
		Detail:           f.Detail,
		RetryAfterMillis: f.RetryAfter.Milliseconds(),
	}
}

// SetResultHeaders sets the headers for a result code, an outcome and, unless it is empty, a
// request ID.
func SetResultHeaders(h http.Header, c resultcode.Code, o resultcode.Outcome, requestID string) {
	h.Set(ResultHeader, strconv.Itoa(int(c)))
	h.Set(OutcomeHeader, string(o))
	if requestID != "" {
		h.Set(RequestIDHeader, requestID)
	}
}

// WriteFailure writes a complete error response, with the HTTP status of the code.
func WriteFailure(w http.ResponseWriter, f *Failure, requestID string) {
	SetResultHeaders(w.Header(), f.Code, f.Outcome, requestID)
	if f.RetryAfter > 0 {
		seconds := (f.RetryAfter + time.Second - 1) / time.Second
		w.Header().Set(RetryAfterHeader, strconv.FormatInt(int64(seconds), 10))
		w.Header().Set(RetryAfterMsHeader, strconv.FormatInt(f.RetryAfter.Milliseconds(), 10))
	}
	WriteJSON(w, f.Code.Info().HTTPStatus, f.Body())
}

// WriteJSON writes a response with a status and the JSON form of v.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// WriteAnswer writes the complete response of an endpoint. c is resultcode.OK or
// resultcode.EndpointRefused.
func WriteAnswer(w http.ResponseWriter, status int, body []byte, requestID string, c resultcode.Code) {
	SetResultHeaders(w.Header(), c, resultcode.Ran, requestID)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// streamErrorLine is the last line of a stream that failed.
type streamErrorLine struct {
	Error   string    `json:"error"`
	Failure ErrorBody `json:"failure"`
}

// StreamWriter writes a stream of chunks to a caller, as one JSON object per line.
type StreamWriter struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	encoder    *json.Encoder
	requestID  string
	started    bool
}

// NewStreamWriter returns a writer for a stream. It sends nothing before the first Write or Fail.
func NewStreamWriter(w http.ResponseWriter, requestID string) *StreamWriter {
	return &StreamWriter{w: w, controller: http.NewResponseController(w), encoder: json.NewEncoder(w), requestID: requestID}
}

// Started reports whether a chunk was written, after which the status can no longer change.
func (s *StreamWriter) Started() bool { return s.started }

// Write sends one chunk and flushes it. The first call also sends the status and the
// headers.
func (s *StreamWriter) Write(c engineapi.Chunk) error {
	if !s.started {
		s.started = true
		SetResultHeaders(s.w.Header(), resultcode.OK, resultcode.Ran, s.requestID)
		s.w.Header().Set("Content-Type", "application/x-ndjson")
		s.w.WriteHeader(http.StatusOK)
	}
	if err := s.encoder.Encode(c); err != nil {
		return err
	}
	return s.controller.Flush()
}

// Fail ends the stream with f. It writes an error response if no chunk was written, else an
// error as the last line of the stream.
func (s *StreamWriter) Fail(f *Failure) {
	if !s.started {
		WriteFailure(s.w, f, s.requestID)
		return
	}
	_ = s.encoder.Encode(streamErrorLine{Error: f.Code.Info().Name, Failure: f.Body()})
	_ = s.controller.Flush()
}
