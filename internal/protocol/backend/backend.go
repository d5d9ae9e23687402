// Package backend defines the calls that a host makes to endpoints for routing, batches
// and weight updates. An adapter implements Client for a specific protocol. An endpoint that
// generates samples from a model is also called an engine.
//
// Invariant: an error wraps ErrNotRun only if the endpoint certainly did not and will not
// run the request. After any other error the request may have run.
package backend

import (
	"context"
	"errors"
	"net/http"
	"time"

	"oleanderfall.example/oleanderfall/internal/state/catalog"
)

// The kinds of errors that a Client returns, for use with errors.Is. An error may be of
// several kinds or of none.
var (
	// ErrNotRun means that the endpoint did not run the request and never will.
	ErrNotRun = errors.New("not run")
	// ErrUnreachable means that no connection was made. For a request it comes with
	// ErrNotRun.
	ErrUnreachable = errors.New("endpoint unreachable")
	// ErrReplaced means that another incarnation or endpoint has the address. It comes
	// with ErrNotRun.
	ErrReplaced = errors.New("another endpoint has the address")
	// ErrIncompleteAnswer means that the connection ended early or that the data received is not a
	// complete answer to this request. The request may have run.
	ErrIncompleteAnswer = errors.New("answer broken")
	// ErrPathLost means that the way to the endpoint was lost: the links of this host, or the peer
	// through which the request went. It says nothing about the endpoint.
	ErrPathLost = errors.New("the way to the endpoint was lost")
	// ErrFailed means that the endpoint ran the request and answered with a failure.
	ErrFailed = errors.New("endpoint failed the request")
	// ErrInvalidRequest means that the endpoint answered that the request can never succeed.
	ErrInvalidRequest = errors.New("request can never succeed")
	// ErrConflict means that the engine was not in the state that the order expected; see
	// Order.ExpectOrders.
	ErrConflict = errors.New("endpoint has another state")
	// ErrFenced means that the engine has seen an order with a higher fencing token.
	ErrFenced = errors.New("fencing token too low")
)

// Request is a request for one endpoint.
type Request struct {
	Endpoint catalog.Endpoint
	ID       string
	// Host is the value of the HTTP Host header, as received from the caller.
	Host   string
	Method string
	// URI is the path and query as received from the caller.
	URI    string
	Header http.Header
	Body   []byte
	// Deadline is the time at which the caller stops waiting.
	Deadline time.Time
	// Repeatable allows the endpoint to run the request more than once.
	Repeatable bool
	// Team is the name of the team on whose behalf the request is sent, empty for none.
	Team string
}

// Answer is an endpoint's answer: complete, or only the status and header at the start of a
// stream.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Signature is the endpoint's signature of the answer, empty if it sent none.
	Signature string
}

// Notice is what an answer says about its endpoint.
type Notice struct {
	// Leaving reports that the endpoint is about to exit.
	Leaving bool
	// Limited reports that the endpoint names a limit for the requests of all hosts together:
	// LimitPerSecond, in requests per second.
	Limited        bool
	LimitPerSecond float64
	// Unlimited reports that the answer is a success and names no limit. Other answers without
	// a limit say nothing about it.
	Unlimited bool
	// SentAt is when the request was sent.
	SentAt time.Time
}

// GenerateRequest is a request that is answered with an event stream: for a sample of a batch,
// or from a caller.
type GenerateRequest struct {
	Request
	// ResumeAfter is the id of the last event already received, 0 to start from the
	// beginning.
	ResumeAfter int
	// Urgency is the request's priority at the engine, from 0 (most urgent) to 9.
	Urgency int
}

// Event is one event of a sample's stream.
type Event struct {
	ID   int
	Data string
	// Version is the weight version with which the engine produced the event.
	Version int
}

// Order tells an engine to load a version of a model's weights.
type Order struct {
	Endpoint catalog.Endpoint
	Model    string
	Version  int
	// KeepRunning lets samples in progress continue with the new version. Otherwise they
	// complete before the engine switches.
	KeepRunning bool
	// Holder is the host that holds the weights lease.
	Holder string
	// FencingToken increases with each change of the holder.
	FencingToken uint64
	// ExpectOrders is the number of orders that the engine must have accepted before this
	// one, else the order fails with ErrConflict.
	ExpectOrders int64
}

// OrderResult is an engine's answer to an order.
type OrderResult int

// The answers to an order.
const (
	// OrderAccepted means that the engine is loading the version.
	OrderAccepted OrderResult = iota
	// OrderAlreadyApplied means that the engine already has the version.
	OrderAlreadyApplied
)

// Report is an engine's report of its state. It may be some hundred milliseconds old.
type Report struct {
	// Incarnation is 0 if the engine did not report it.
	Incarnation int64
	// Versions maps each model to the version that the engine has loaded.
	Versions map[string]int
	// Orders is the number of orders that this incarnation has accepted.
	Orders int64
}

// Client calls endpoints. Callers classify its errors with the variables above.
type Client interface {
	// Do sends a request and returns the complete answer, whatever its status.
	Do(ctx context.Context, r Request) (*Answer, error)
	// Generate passes a sample's events to emit, in order and without gaps, until the
	// sample is complete. An error from emit ends the stream and is returned.
	Generate(ctx context.Context, g GenerateRequest, emit func(Event) error) error
	// Stream forwards an event stream. It calls writeHead once with the status and header,
	// then writeChunk with the bytes as they arrive. An error from either ends the stream
	// and is returned.
	Stream(ctx context.Context, g GenerateRequest, writeHead func(*Answer) error, writeChunk func([]byte) error) error
	// Order sends an engine an order to load a version.
	Order(ctx context.Context, o Order) (OrderResult, error)
	// CheckConnection returns nil if a connection to the endpoint's address can be opened.
	CheckConnection(ctx context.Context, e catalog.Endpoint) error
	// OnNotice registers the function that is called with the endpoint and the notice of each
	// answer, also of a refusal: before the answer is returned, and from several goroutines. It
	// must be called before the first request.
	OnNotice(f func(catalog.Endpoint, Notice))
	// ReadReport reads an engine's report of its state.
	ReadReport(ctx context.Context, e catalog.Endpoint) (Report, error)
}
