package engineapi

import (
	"context"
	"net/http/httptrace"
	"sync/atomic"
)

// connTrace records whether a request was given a connection. From then on its bytes may
// have left this process.
type connTrace struct {
	gotConn atomic.Bool
}

func (t *connTrace) attach(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { t.gotConn.Store(true) },
	})
}

func (t *connTrace) mayHaveSent() bool { return t.gotConn.Load() }
