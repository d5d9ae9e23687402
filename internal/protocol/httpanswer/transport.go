package httpanswer

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
)

// Transport is an http.RoundTripper that returns only answers that keep to the protocol. It is safe for
// concurrent use.
type Transport struct {
	*http.Transport
}

// NewTransport returns a Transport that uses t, whose connections it wraps unless DialContext returns a Conn
// or a type that embeds one. t must not be used otherwise.
func NewTransport(t *http.Transport) *Transport {
	dial := t.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		if _, ok := conn.(answerConn); ok {
			return conn, nil
		}
		return NewConn(conn), nil
	}
	t.MaxResponseHeaderBytes = maxHeadBytes
	return &Transport{Transport: t}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	var conn answerConn
	trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		if got, ok := i.Conn.(answerConn); ok {
			conn = got
			got.await()
		}
	}}
	resp, err := t.Transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if conn != nil {
		if err := conn.answered(); err != nil {
			_ = resp.Body.Close()
			return nil, err
		}
	}
	if len(resp.TransferEncoding) > 0 {
		resp.Body = &chunkedBody{ReadCloser: resp.Body, resp: resp}
	}
	return resp, nil
}

// chunkedBody checks the trailers at the end of a body in chunks.
type chunkedBody struct {
	io.ReadCloser
	resp *http.Response
}

// Read implements io.Reader.
func (b *chunkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		for name := range b.resp.Trailer {
			if strings.IndexFunc(name, notInToken) >= 0 {
				return n, Error.New("trailer %q", name)
			}
		}
	}
	return n, err
}
