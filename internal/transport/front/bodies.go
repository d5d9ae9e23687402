package front

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"time"

	"oleanderfall.example/oleanderfall/internal/protocol/resultcode"
	"oleanderfall.example/oleanderfall/internal/transport/ingress"
)

const (
	// smallBodyBytes is the length up to which request bodies do not compete with large ones for memory.
	smallBodyBytes = 64 << 10
	// bodyStepBytes is the step in which memory is reserved for a body of unknown length.
	bodyStepBytes = 1 << 20
	// firstPartBytes is room for most bodies.
	firstPartBytes = 4 << 10
	// BatchBodyCopies is the number of copies of a batch's body that exist while it is accepted: the body, its
	// decoded form and the stored one.
	BatchBodyCopies = 3
	// bodyRetryAfter is the Retry-After of a refused body. A body of a few tens of megabytes is sent and answered
	// in about this time.
	bodyRetryAfter = time.Second
)

// firstParts are the parts in which the small beginning of a body of unknown length is read.
var firstParts = []int{firstPartBytes, smallBodyBytes - firstPartBytes}

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
	// The parts are joined at the end, so that two copies exist for a moment.
	copies = max(copies, 2)
	var parts [][]byte
	for {
		step := bodyStepBytes
		if len(parts) < len(firstParts) {
			step = firstParts[len(parts)]
		}
		if err := hold(int64(step)*copies, len(parts) >= len(firstParts)); err != nil {
			return nil, nil, err
		}
		part := make([]byte, step)
		n, err := readPart(r, part)
		parts = append(parts, part[:n])
		switch {
		case errors.Is(err, io.EOF) && len(parts) == 1:
			return parts[0], account.Release, nil
		case errors.Is(err, io.EOF):
			return slices.Concat(parts...), account.Release, nil
		case err != nil:
			return nil, nil, tooSlow(ctx, err)
		}
	}
}

// readPart reads until a part is full. Unlike io.ReadFull it does not change an error: a body that is cut short ends with
// io.ErrUnexpectedEOF.
func readPart(r io.Reader, part []byte) (n int, err error) {
	for n < len(part) && err == nil {
		var m int
		m, err = r.Read(part[n:])
		n += m
	}
	return n, err
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
	if (errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, ingress.ErrNoRoom)) && AbandonedByStop(ctx) == nil {
		return &resultcode.Error{Code: resultcode.Overloaded, Detail: "no more of the body has arrived"}
	}
	return err
}
