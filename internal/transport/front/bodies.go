package front

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"oleanderfall.example/oleanderfall/internal/protocol/resultcode"
	"oleanderfall.example/oleanderfall/internal/transport/ingress"
)

const (
	// smallBodyBytes is the length up to which request bodies do not compete with large ones for memory.
	smallBodyBytes = 64 << 10
	// bodyStepBytes is the step in which memory is reserved for a body of unknown length.
	bodyStepBytes = 1 << 20
	// BatchBodyCopies is the number of copies of a batch's body that exist while it is accepted: the body, its
	// decoded form and the stored one.
	BatchBodyCopies = 3
	// bodyRetryAfter is the Retry-After of a refused body. A body of a few tens of megabytes is sent and answered
	// in about this time.
	bodyRetryAfter = time.Second
)

// Bodies reads the bodies of requests within the memory that a host has for them. It is safe for concurrent use.
type Bodies struct{ limiter *ingress.Limiter }

// NewBodies returns a reader of bodies whose memory the limiter owns.
func NewBodies(limiter *ingress.Limiter) *Bodies { return &Bodies{limiter: limiter} }

// ReadBody reads the body of the request whose context is given. length is negative if it is not known, and the given
// number of copies of the body will exist. release must be called once the body is no longer used. A body for which
// there is no room is refused with resultcode.Overloaded, before it is read if its length is known; so is one that
// arrives too slowly.
func (b *Bodies) ReadBody(ctx context.Context, r io.Reader, length, copies int64) (body []byte, release func(), err error) {
	account := b.limiter.Account(ctx)
	hold := func(n int64, large bool) error {
		if !account.Hold(n, large) {
			return errNoRoomForBody()
		}
		return nil
	}
	defer func() {
		if err != nil {
			account.Release()
		}
	}()
	if length >= 0 {
		if err := hold(length*copies, length > smallBodyBytes); err != nil {
			return nil, nil, err
		}
		body = make([]byte, length)
		if _, err := io.ReadFull(r, body); err != nil {
			return nil, nil, tooSlow(ctx, err)
		}
		return body, account.Release, nil
	}
	// The buffer doubles, and holds the old and the new copy while it does.
	copies = max(copies, 2)
	if err := hold(smallBodyBytes*copies, false); err != nil {
		return nil, nil, err
	}
	var buffer bytes.Buffer
	for step := int64(smallBodyBytes); ; step = bodyStepBytes {
		_, err := io.CopyN(&buffer, r, step)
		if errors.Is(err, io.EOF) {
			return buffer.Bytes(), account.Release, nil
		}
		if err != nil {
			return nil, nil, tooSlow(ctx, err)
		}
		if err := hold(bodyStepBytes*copies, true); err != nil {
			return nil, nil, err
		}
	}
}

// HoldDecoded reserves memory for what a body becomes when it is decoded. release must be called once that is no longer
// used. The error is resultcode.TooLarge if the host never has so much, else resultcode.Overloaded.
func (b *Bodies) HoldDecoded(ctx context.Context, n int64) (release func(), err error) {
	if limit := b.limiter.Limits().BodyMemory; n > limit {
		return nil, &resultcode.Error{Code: resultcode.TooLarge, Detail: fmt.Sprintf("the body would take %d bytes when it is decoded, limit %d", n, limit)}
	}
	account := b.limiter.Account(ctx)
	if !account.Hold(n, n > smallBodyBytes) {
		return nil, errNoRoomForBody()
	}
	return account.Release, nil
}

func errNoRoomForBody() error {
	return &resultcode.Error{Code: resultcode.Overloaded, Detail: "other bodies take this host's memory for them",
		RetryAfterMillis: bodyRetryAfter.Milliseconds()}
}

// tooSlow returns the error of a body that could not be read: resultcode.Overloaded if it did not arrive in time, or
// lost its memory to others while it did not.
func tooSlow(ctx context.Context, err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) && AbandonedByStop(ctx) == nil {
		return &resultcode.Error{Code: resultcode.Overloaded, Detail: "no more of the body has arrived"}
	}
	return err
}
