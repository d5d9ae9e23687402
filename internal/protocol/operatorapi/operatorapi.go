// Package operatorapi defines the calls to the operator's API that one host at a time makes for
// all hosts. An adapter implements Client.
//
// Invariant: each call carries the credentials of the duties lease, so that the operator can tell
// the calls of a former holder from those of the current one.
package operatorapi

import (
	"context"
	"errors"
)

// The kinds of errors that a Client returns, for use with errors.Is.
var (
	// ErrSuperseded means that the API has seen a higher fencing token, and for a count of
	// endpoints that it may also have none to offer there now.
	ErrSuperseded = errors.New("refused: a higher fencing token was seen, or nothing is available")
	// ErrTooMany means that the limit on calls is reached. Nothing was done.
	ErrTooMany = errors.New("too many calls to the operator's API")
	// ErrUnavailable means that the API did not take the call. Nothing was done.
	ErrUnavailable = errors.New("operator's API unavailable")
	// ErrUnconfirmed means that there was no answer. The call may take effect seconds later, after
	// newer ones.
	ErrUnconfirmed = errors.New("operator's API did not answer")
)

// Credentials identify the holder of the duties lease.
type Credentials struct {
	Holder string
	// Token is the fencing token, which increases with each change of the holder.
	Token uint64
}

// Usage is the number of requests of each team that began to run in a window.
type Usage struct {
	Window int64
	Counts map[string]int64
}

// EndpointCount orders the number of a service's endpoints of one kind in a zone.
type EndpointCount struct {
	Service string
	Zone    string
	Count   int
	Spot    bool
}

// Client calls the operator's API once for each call of a method.
type Client interface {
	ReportUsage(ctx context.Context, c Credentials, u Usage) error
	SetEndpointCount(ctx context.Context, c Credentials, n EndpointCount) error
}
