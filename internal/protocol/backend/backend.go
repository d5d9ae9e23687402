// Package backend holds the calls that a host makes to endpoints, as the routing,
// batch and weight duties need them. An adapter implements Client for a protocol.
//
// Invariant: an error of class NotRun is returned only when the endpoint certainly
// did not and will not run the request; any other error leaves that open.
package backend

import (
	"context"
	"errors"
	"net/http"
	"time"

	"oleanderfall.example/oleanderfall/internal/state/catalog"
)

// The conditions that callers of Client tell apart, with errors.Is.
var (
	// ErrNotRun: the endpoint did not run the request and never will.
	ErrNotRun = errors.New("not run")
	// ErrUnreachable: no connection was made. It comes with ErrNotRun.
	ErrUnreachable = errors.New("endpoint unreachable")
	// ErrReplaced: another incarnation or endpoint holds the address. It comes with
	// ErrNotRun.
	ErrReplaced = errors.New("another endpoint has the address")
	// ErrBroken: the connection ended, or carried bytes that are no whole answer to
	// this request. The request may have run.
	ErrBroken = errors.New("answer broken")
	// ErrFailed: the endpoint ran the request and answered with a failure.
	ErrFailed = errors.New("endpoint failed the request")
	// ErrInvalid: the endpoint says that the request can never succeed.
	ErrInvalid = errors.New("request can never succeed")
	// ErrConflict: an order met a different state than it expected.
	ErrConflict = errors.New("endpoint has another state")
	// ErrFenced: an order carried a lower fencing token than one already seen.
	ErrFenced = errors.New("fencing token too low")
)

// Request is a request for one endpoint.
type Request struct {
	Endpoint catalog.Endpoint
	ID       string
	Host     string
	Method   string
	// URI is the path and query as received.
	URI    string
	Header http.Header
	Body   []byte
	// Deadline is when the caller stops waiting.
	Deadline time.Time
}

// Answer is an endpoint's whole answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Signature is the endpoint's proof of the answer, empty when it gave none.
	Signature string
}

// Generate asks an engine for a sample.
type Generate struct {
	Request
	// ResumeAfter is the id of the last event received before, zero to start anew.
	ResumeAfter int
	// Urgency ranks the request at the engine, 0 to 9; 0 is the most urgent.
	Urgency int
}

// Event is one event of a sample's stream.
type Event struct {
	ID   int
	Data string
	// Version is the weight version under which the engine made the event.
	Version int
}

// Order tells an engine to load a version of a model's weights.
type Order struct {
	Endpoint catalog.Endpoint
	Model    string
	Version  int
	// KeepRunning lets samples in progress continue under the new version; otherwise
	// they finish first.
	KeepRunning bool
	Holder      string
	// FencingToken grows with each change of the holder.
	FencingToken uint64
	// ExpectOrders is the number of orders that the engine must have accepted so far.
	ExpectOrders int64
}

// OrderState is an engine's answer to an order.
type OrderState int

// The answers to an order.
const (
	// OrderAccepted: the order is being carried out.
	OrderAccepted OrderState = iota
	// OrderHolds: the engine already has the version.
	OrderHolds
)

// Report is what an engine says of itself; it may be some hundred milliseconds old.
type Report struct {
	// Incarnation is zero when the engine did not say it.
	Incarnation int64
	Versions    map[string]int
	// Orders counts the orders that this incarnation has accepted.
	Orders int64
}

// Client calls endpoints.
type Client interface {
	// Do sends a request and returns the whole answer, whatever its status.
	Do(ctx context.Context, r Request) (*Answer, error)
	// Generate streams a sample's events to emit, in order and without gaps, until
	// the sample is complete. An error of emit ends the stream and is returned.
	Generate(ctx context.Context, g Generate, emit func(Event) error) error
	// Stream forwards an event stream: head gets the status and header once, then
	// piece gets the bytes as they come.
	Stream(ctx context.Context, g Generate, head func(*Answer) error, piece func([]byte) error) error
	Order(ctx context.Context, o Order) (OrderState, error)
	// Reach returns nil when the endpoint's address takes a connection.
	Reach(ctx context.Context, e catalog.Endpoint) error
	// Observe reads an engine's own report.
	Observe(ctx context.Context, e catalog.Endpoint) (Report, error)
}
