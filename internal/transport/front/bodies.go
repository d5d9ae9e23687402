package front

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"oleanderfall.example/oleanderfall/internal/protocol/resultcode"
)

const (
	// smallBodyBytes is the length up to which request bodies are not counted.
	smallBodyBytes = 64 << 10
	// bodyStepBytes is the step in which memory is reserved for a body of unknown length.
	bodyStepBytes = 1 << 20
	// bodyMemoryShare is the share of a host's memory for large request bodies, defaultBodyMemoryBytes the limit
	// if the memory is not known. The collector, the sockets and everything else need the rest.
	bodyMemoryShare        = 0.25
	defaultBodyMemoryBytes = 64 << 20
	// BatchBodyCopies is the number of copies of a batch's body that exist while it is accepted: the body, its
	// decoded form and the stored one.
	BatchBodyCopies = 3
	// bodyRetryAfter is the Retry-After of a refused body. A body of a few tens of megabytes is sent and answered
	// in about this time.
	bodyRetryAfter = time.Second
	// bodySilence is how long a large body may be without progress, for it takes memory from others.
	bodySilence = 10 * time.Second
)

// Bodies bounds the memory that the bodies of large requests take at a host together. Each request may stay within
// the operator's limit while all of them do not fit into memory. It is safe for concurrent use.
type Bodies struct {
	limit int64
	mu    sync.Mutex
	used  int64
}

// NewBodies returns the bound for a host with the given memory in bytes, or zero if that is not known.
func NewBodies(memoryBytes int64) *Bodies {
	limit := int64(bodyMemoryShare * float64(memoryBytes))
	if limit <= 0 {
		limit = defaultBodyMemoryBytes
	}
	return &Bodies{limit: limit}
}

// reserve reserves n bytes more for a body that has reserved some. A body that is alone always gets them.
func (b *Bodies) reserve(n, reserved int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.used > reserved && b.used+n > b.limit {
		return false
	}
	b.used += n
	return true
}

func (b *Bodies) release(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= n
}

// ReadBody reads a request body of the given length, negative if it is not known, of which the given number of
// copies will exist. release must be called once the body is no longer used. A body for which there is no room
// is refused with resultcode.Overloaded, before it is read if its length is known.
func (b *Bodies) ReadBody(r io.Reader, length, copies int64) (body []byte, release func(), err error) {
	reserved := int64(0)
	grow := func(n int64) error {
		if !b.reserve(n, reserved) {
			return &resultcode.Error{Code: resultcode.Overloaded, Detail: "large bodies take this host's memory for them",
				RetryAfterMillis: bodyRetryAfter.Milliseconds()}
		}
		reserved += n
		return nil
	}
	defer func() {
		if err != nil {
			b.release(reserved)
		}
	}()
	if length >= 0 {
		if length > smallBodyBytes {
			if err := grow(length * copies); err != nil {
				return nil, nil, err
			}
		}
		body = make([]byte, length)
		if _, err := io.ReadFull(r, body); err != nil {
			return nil, nil, err
		}
		return body, func() { b.release(reserved) }, nil
	}
	// The buffer doubles, and holds the old and the new copy while it does.
	var buffer bytes.Buffer
	for step := int64(smallBodyBytes); ; step = bodyStepBytes {
		_, err := io.CopyN(&buffer, r, step)
		if errors.Is(err, io.EOF) {
			return buffer.Bytes(), func() { b.release(reserved) }, nil
		}
		if err != nil {
			return nil, nil, err
		}
		if err := grow(bodyStepBytes * max(copies, 2)); err != nil {
			return nil, nil, err
		}
	}
}

// WatchBody returns a reader of a request's body that fails with resultcode.Overloaded after bodySilence without
// progress, unless the body is small. end must be called when the body is read.
func WatchBody(body io.Reader, w http.ResponseWriter, r *http.Request) (watched io.Reader, end func()) {
	if r.ContentLength >= 0 && r.ContentLength <= smallBodyBytes {
		return body, func() {}
	}
	b := &arrivingBody{body: body, request: r, conn: http.NewResponseController(w)}
	// Without a deadline the connection is read to notice that the caller leaves.
	return b, func() { b.setDeadline(time.Time{}) }
}

// arrivingBody is the reader that WatchBody returns.
type arrivingBody struct {
	body    io.Reader
	request *http.Request
	conn    *http.ResponseController
}

// Read implements io.Reader.
func (b *arrivingBody) Read(p []byte) (int, error) {
	b.setDeadline(time.Now().Add(bodySilence))
	n, err := b.body.Read(p)
	if errors.Is(err, os.ErrDeadlineExceeded) && AbandonedByStop(b.request.Context()) == nil {
		err = &resultcode.Error{Code: resultcode.Overloaded, Detail: "no more of the body has arrived"}
	}
	return n, err
}

// setDeadline sets the deadline of reads, unless the request has ended: then reads must end at once.
func (b *arrivingBody) setDeadline(t time.Time) {
	_ = b.conn.SetReadDeadline(t) // if it fails, the connection is closed already
	if b.request.Context().Err() != nil {
		_ = b.conn.SetReadDeadline(time.Now())
	}
}
