// Package resultcode defines the numbered results that callers and operators receive.
//
// Invariant: a number never changes its meaning. docs/RESULT-CODES.md documents the table
// below; a test compares the two.
package resultcode

import (
	"fmt"
	"net/http"
)

// Outcome states what is known about the execution of a request.
type Outcome string

// The outcomes. NotRun is used only if it is certain that no endpoint has run or will run the
// request.
const (
	NotRun  Outcome = "not run"
	Ran     Outcome = "ran"
	Unknown Outcome = "unknown"
)

// Code is the number of a result.
type Code int

// The result codes. Their meanings are in the table below.
const (
	OK                   Code = 0
	BadRequest           Code = 10
	UnknownService       Code = 11
	UnknownCaller        Code = 12
	KeyRequired          Code = 13
	KeyReused            Code = 14
	TooLarge             Code = 15
	UnknownKey           Code = 16
	OverRate             Code = 20
	Overloaded           Code = 21
	DeadlineTooShort     Code = 22
	NoEndpoint           Code = 23
	Quarantined          Code = 24
	ClaimUnavailable     Code = 25
	Stopping             Code = 26
	RetryBudgetExhausted Code = 27
	EndpointFailed       Code = 30
	EndpointRefused      Code = 31
	AnswerLost           Code = 40
	DeadlineExceeded     Code = 41
	StreamBroken         Code = 42
	OutcomeUnknown       Code = 43
	InProgress           Code = 44
	ClaimUnknown         Code = 45
	BadConfiguration     Code = 50
	ConfigurationRaced   Code = 51
	StorageOutage        Code = 52
	StorageUnknown       Code = 53
	NotFound             Code = 54
	NotOwner             Code = 55
	StaleEpoch           Code = 56
	Unreachable          Code = 57
	ConfigurationStale   Code = 58
	StepConflict         Code = 60
	StepUnknown          Code = 61
	BatchNotReady        Code = 62
	TooStale             Code = 63
	PublisherConflict    Code = 64
	Internal             Code = 90
)

// Info describes a code.
type Info struct {
	Code    Code
	Name    string
	Outcome Outcome
	// HTTPStatus is the HTTP status code sent to a caller.
	HTTPStatus int
	// Retry reports whether the caller may resend the request unchanged.
	Retry bool
	// Help is the meaning of the code, as listed in docs/RESULT-CODES.md.
	Help string
}

var table = []Info{
	{OK, "ok", Ran, http.StatusOK, false, "The request ran and the answer is whole."},
	{BadRequest, "bad_request", NotRun, http.StatusBadRequest, false, "The request could not be read."},
	{UnknownService, "unknown_service", NotRun, http.StatusNotFound, false, "No service or deployment has this name."},
	{UnknownCaller, "unknown_caller", NotRun, http.StatusForbidden, false, "The caller is not in the configuration."},
	{KeyRequired, "key_required", NotRun, http.StatusBadRequest, false, "A non-idempotent call needs an idempotency key."},
	{KeyReused, "key_reused", NotRun, http.StatusConflict, false, "The idempotency key was used for different content; this content did not run."},
	{TooLarge, "too_large", NotRun, http.StatusRequestEntityTooLarge, false, "The request exceeds the size limit."},
	{UnknownKey, "unknown_key", NotRun, http.StatusUnauthorized, false, "The request has no key of a team that the configuration names."},
	{OverRate, "over_rate", NotRun, http.StatusTooManyRequests, true, "The caller is over its rate; see Retry-After."},
	{Overloaded, "overloaded", NotRun, http.StatusServiceUnavailable, true, "The limit of the service or deployment is reached; see Retry-After."},
	{DeadlineTooShort, "deadline_too_short", NotRun, http.StatusServiceUnavailable, true, "The request cannot end before its deadline and was not started."},
	{NoEndpoint, "no_endpoint", NotRun, http.StatusServiceUnavailable, true, "No endpoint can take the request now."},
	{Quarantined, "quarantined", NotRun, http.StatusUnprocessableEntity, false, "Requests like this one crashed endpoints; it is refused for a while."},
	{ClaimUnavailable, "claim_unavailable", NotRun, http.StatusServiceUnavailable, true, "The claim could not be recorded and nothing was dispatched."},
	{Stopping, "stopping", NotRun, http.StatusServiceUnavailable, true, "This entry host is stopping; ask for addresses again."},
	{RetryBudgetExhausted, "retry_budget_exhausted", NotRun, http.StatusServiceUnavailable, true, "Attempts failed before they started and the retry budget is spent."},
	{EndpointFailed, "endpoint_failed", Unknown, http.StatusBadGateway, false, "The endpoint failed while the request ran."},
	{EndpointRefused, "endpoint_refused", Ran, http.StatusBadGateway, false, "The endpoint answered with an error of its own."},
	{AnswerLost, "answer_lost", Ran, http.StatusGone, false, "The request ran; its answer is no longer held."},
	{DeadlineExceeded, "deadline_exceeded", Unknown, http.StatusGatewayTimeout, false, "The deadline passed after dispatch."},
	{StreamBroken, "stream_broken", Unknown, http.StatusBadGateway, false, "The stream ended early and could not be resumed."},
	{OutcomeUnknown, "outcome_unknown", Unknown, http.StatusBadGateway, false, "The request was claimed and may have run; it will not be run again."},
	{InProgress, "in_progress", Unknown, http.StatusConflict, true, "The request with this key is still running; ask again with the same key."},
	{ClaimUnknown, "claim_unknown", Unknown, http.StatusServiceUnavailable, true, "Whether this key was used before could not be found out; this sending did not run; ask again with the same key."},
	{BadConfiguration, "bad_configuration", NotRun, http.StatusBadRequest, false, "The configuration has errors; nothing was applied."},
	{ConfigurationRaced, "configuration_raced", NotRun, http.StatusConflict, false, "Another operator's change was accepted first; nothing was applied."},
	{StorageOutage, "storage_outage", NotRun, http.StatusServiceUnavailable, true, "The platform's object API does not answer; nothing was written."},
	{StorageUnknown, "storage_unknown", Unknown, http.StatusBadGateway, true, "A write's answer was lost and could not be resolved."},
	{NotFound, "not_found", NotRun, http.StatusNotFound, false, "The named object does not exist."},
	{NotOwner, "not_owner", NotRun, http.StatusMisdirectedRequest, true, "This host does not own the shard."},
	{StaleEpoch, "stale_epoch", NotRun, http.StatusConflict, true, "The shard has a newer owner."},
	{Unreachable, "unreachable", NotRun, http.StatusServiceUnavailable, true, "No control program can be reached; nothing was sent."},
	{ConfigurationStale, "configuration_stale", NotRun, http.StatusServiceUnavailable, true, "This host cannot show that its configuration is recent, so it admits no keys; see Retry-After."},
	{StepConflict, "step_conflict", NotRun, http.StatusConflict, false, "The trainer opened this step with other contents."},
	{StepUnknown, "step_unknown", NotRun, http.StatusNotFound, false, "The trainer has no such step open."},
	{BatchNotReady, "batch_not_ready", NotRun, http.StatusAccepted, true, "No batch is ready yet; ask again."},
	{TooStale, "too_stale", NotRun, http.StatusConflict, false, "The sample is over the staleness bound and was dropped."},
	{PublisherConflict, "publisher_conflict", NotRun, http.StatusConflict, false, "Another trainer's versions are in force at the deployment; nothing was published."},
	{Internal, "internal", Unknown, http.StatusInternalServerError, false, "A fault of this system; see the log."},
}

var byCode = func() map[Code]Info {
	m := make(map[Code]Info, len(table))
	for _, i := range table {
		m[i.Code] = i
	}
	return m
}()

// All returns the descriptions of all codes in ascending order of number. The caller must not
// modify the slice.
func All() []Info { return table }

// Info returns the description of c. For an unknown code it returns that of Internal.
func (c Code) Info() Info {
	if i, ok := byCode[c]; ok {
		return i
	}
	return byCode[Internal]
}

// String returns the number and the name of c, such as "10 bad_request".
func (c Code) String() string { return fmt.Sprintf("%d %s", int(c), c.Info().Name) }

// Error is an error with a result code.
type Error struct {
	Code Code
	// Detail describes the error in one short sentence for people.
	Detail string
	// RetryAfterMillis is the delay in milliseconds after which the client may retry, 0 if
	// it need not wait.
	RetryAfterMillis int64
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s", e.Code, e.Detail) }

// New returns an error with code c and a formatted detail.
func New(c Code, format string, args ...any) *Error {
	return &Error{Code: c, Detail: fmt.Sprintf(format, args...)}
}
