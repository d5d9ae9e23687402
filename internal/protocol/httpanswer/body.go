package httpanswer

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
)

const (
	// MaxBodyBytes bounds a body that is read into memory, and also all those together beyond the first
	// smallBodyBytes of each.
	MaxBodyBytes   = 16 << 20
	smallBodyBytes = 256 << 10
)

// Bodies reads the bodies of a client's answers into memory. Servers in trouble may send without end, on many
// connections at the same time. The zero value is ready for use.
type Bodies struct {
	// large is the memory that bodies take beyond smallBodyBytes each.
	large atomic.Int64
}

// Read reads the body of an answer to its end.
func (b *Bodies) Read(resp *http.Response) ([]byte, error) {
	if resp.ContentLength > MaxBodyBytes {
		return nil, Error.New("body of %d bytes, want at most %d", resp.ContentLength, MaxBodyBytes)
	}
	var body bytes.Buffer
	reserved := int64(0)
	defer func() { b.large.Add(-reserved) }()
	for {
		n, err := io.CopyN(&body, resp.Body, smallBodyBytes)
		switch {
		case errors.Is(err, io.EOF):
			return body.Bytes(), nil
		case err != nil:
			return nil, Error.New("body ended after %d bytes: %w", body.Len(), err)
		}
		reserved += n
		if b.large.Add(n) > MaxBodyBytes {
			return nil, Error.New("body of at least %d bytes: large bodies take more than %d bytes together", body.Len(), MaxBodyBytes)
		}
	}
}
