package engineapi

import (
	"context"
	"net/http/httptrace"
	"sync/atomic"
)

// sentTrace notes whether a connection was handed to a request: from then on its
// bytes may have left this process.
type sentTrace struct {
	gotConn atomic.Bool
}

func (t *sentTrace) context(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { t.gotConn.Store(true) },
	})
}

func (t *sentTrace) wrote() bool { return t.gotConn.Load() }
