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

// The headers of an answer.
const (
	ResultHeader       = "Oleander-Result"
	OutcomeHeader      = "Oleander-Outcome"
	RequestIDHeader    = "Oleander-Request-Id"
	RetryAfterHeader   = "Retry-After"
	RetryAfterMsHeader = "Oleander-Retry-After-Ms"
)

// Failure is how a request ended without an answer. The outcome may be less
// certain than the code's own, never more.
type Failure struct {
	Code       resultcode.Code
	Outcome    resultcode.Outcome
	Detail     string
	RetryAfter time.Duration
}

// Error implements error.
func (f *Failure) Error() string { return f.Code.String() + ": " + f.Detail }

// Fail returns a failure with the code's own outcome.
func Fail(c resultcode.Code, detail string) *Failure {
	return &Failure{Code: c, Outcome: c.Info().Outcome, Detail: detail}
}

// Uncertain returns f with the outcome unknown.
func (f *Failure) Uncertain() *Failure {
	out := *f
	out.Outcome = resultcode.Unknown
	return &out
}

// FailureOf turns any error into a failure; one without a code is Internal.
func FailureOf(err error) *Failure {
	var f *Failure
	if errors.As(err, &f) {
		return f
	}
	var coded *resultcode.Error
	if errors.As(err, &coded) {
		out := Fail(coded.Code, coded.Detail)
		out.RetryAfter = time.Duration(coded.RetryAfterMillis) * time.Millisecond
		return out
	}
	return Fail(resultcode.Internal, "A fault of this system.")
}

// ErrorBody is the JSON of a failure.
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

// SetResult sets the headers of a result.
func SetResult(h http.Header, c resultcode.Code, o resultcode.Outcome, requestID string) {
	h.Set(ResultHeader, strconv.Itoa(int(c)))
	h.Set(OutcomeHeader, string(o))
	if requestID != "" {
		h.Set(RequestIDHeader, requestID)
	}
}

// WriteFailure writes a whole refusal or failure.
func WriteFailure(w http.ResponseWriter, f *Failure, requestID string) {
	SetResult(w.Header(), f.Code, f.Outcome, requestID)
	if f.RetryAfter > 0 {
		seconds := (f.RetryAfter + time.Second - 1) / time.Second
		w.Header().Set(RetryAfterHeader, strconv.FormatInt(int64(seconds), 10))
		w.Header().Set(RetryAfterMsHeader, strconv.FormatInt(f.RetryAfter.Milliseconds(), 10))
	}
	WriteJSON(w, f.Code.Info().HTTPStatus, f.Body())
}

// WriteJSON writes v with a status.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// WriteAnswer writes an endpoint's whole answer; c is OK or EndpointRefused.
func WriteAnswer(w http.ResponseWriter, status int, body []byte, requestID string, c resultcode.Code) {
	SetResult(w.Header(), c, resultcode.Ran, requestID)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// lastLine is the line that ends a broken stream.
type lastLine struct {
	Error   string    `json:"error"`
	Failure ErrorBody `json:"failure"`
}

// Lines writes the chunks of a stream, one JSON object a line.
type Lines struct {
	w         http.ResponseWriter
	control   *http.ResponseController
	lines     *json.Encoder
	requestID string
	started   bool
}

// NewLines returns a writer of chunks; nothing is sent before the first.
func NewLines(w http.ResponseWriter, requestID string) *Lines {
	return &Lines{w: w, control: http.NewResponseController(w), lines: json.NewEncoder(w), requestID: requestID}
}

// Started reports whether anything was sent.
func (l *Lines) Started() bool { return l.started }

// Write sends one chunk.
func (l *Lines) Write(c engineapi.Chunk) error {
	if !l.started {
		l.started = true
		SetResult(l.w.Header(), resultcode.OK, resultcode.Ran, l.requestID)
		l.w.Header().Set("Content-Type", "application/x-ndjson")
		l.w.WriteHeader(http.StatusOK)
	}
	if err := l.lines.Encode(c); err != nil {
		return err
	}
	return l.control.Flush()
}

// Fail ends the stream with f: as a whole refusal when nothing was sent, or as an
// explicit last line.
func (l *Lines) Fail(f *Failure) {
	if !l.started {
		WriteFailure(l.w, f, l.requestID)
		return
	}
	_ = l.lines.Encode(lastLine{Error: f.Code.Info().Name, Failure: f.Body()})
	_ = l.control.Flush()
}
