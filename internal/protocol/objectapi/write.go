package objectapi

import (
	"context"
	"errors"

	"oleanderfall.example/oleanderfall/internal/coordination/objcall"
)

// write is one conditional write. It can be resent unchanged.
type write struct {
	key    string
	expect uint64
	// stamp identifies the write, unset for a delete.
	stamp objcall.Stamp
	// kind is the kind of call in the metrics.
	kind string
	send func(context.Context) (uint64, error)
	// evaluate returns the effect of the write as shown by a later read, and its version if
	// it was applied.
	evaluate func(objcall.Found) (objcall.Verdict, uint64)
}

// Put implements API.
func (c *Client) Put(ctx context.Context, key string, value []byte, expect uint64) (uint64, error) {
	if len(value) > MaxPayloadBytes {
		return 0, Error.Wrap(ErrTooLarge)
	}
	ctx, cancel := context.WithTimeout(ctx, c.opt.CallTimeout)
	defer cancel()
	stamp := objcall.Stamp{Writer: c.writerID, Sequence: c.writeSequence.Add(1)}
	history, err := c.nextHistory(ctx, key, expect, stamp)
	if err != nil {
		return 0, err
	}
	encoded, err := encodeEnvelope(value, history)
	if err != nil {
		return 0, err
	}
	version, err := c.executeWrite(ctx, write{
		key:      key,
		expect:   expect,
		stamp:    stamp,
		kind:     "put",
		send:     func(ctx context.Context) (uint64, error) { return c.api.Put(ctx, key, encoded, expect) },
		evaluate: func(f objcall.Found) (objcall.Verdict, uint64) { return objcall.ResolvePut(stamp, expect, f) },
	})
	if err == nil {
		c.histories.put(key, version, history)
	}
	return version, err
}

// Delete implements API. After a lost answer, nil means that the version no longer exists.
func (c *Client) Delete(ctx context.Context, key string, expect uint64) error {
	ctx, cancel := context.WithTimeout(ctx, c.opt.CallTimeout)
	defer cancel()
	_, err := c.executeWrite(ctx, write{
		key:    key,
		expect: expect,
		kind:   "delete",
		send:   func(ctx context.Context) (uint64, error) { return 0, c.api.Delete(ctx, key, expect) },
		evaluate: func(f objcall.Found) (objcall.Verdict, uint64) {
			return objcall.ResolveDelete(expect, f), 0
		},
	})
	if err == nil {
		c.histories.remove(key)
	}
	return err
}

// nextHistory returns the history of the version to be written. It reads the object if the
// history of the version to be replaced is not cached.
func (c *Client) nextHistory(ctx context.Context, key string, expect uint64, stamp objcall.Stamp) (objcall.History, error) {
	if expect == 0 {
		return objcall.Created(stamp), nil
	}
	current, ok := c.histories.get(key, expect)
	if !ok {
		o, err := c.Get(ctx, key)
		if errors.Is(err, ErrNotFound) || err == nil && o.Version != expect {
			return objcall.History{}, Error.Wrap(ErrConflict)
		}
		if err != nil {
			return objcall.History{}, notSentError(err)
		}
		current, _ = c.histories.get(key, expect)
	}
	return current.Next(expect, stamp), nil
}

// notSentError converts the error of a read that preceded a write. Nothing was written, so
// the result wraps ErrThrottled, for which Unresolved returns false. The read's error is kept
// as text only, because it may wrap ErrUnavailable.
func notSentError(err error) error {
	return Error.Wrap(errors.Join(ErrThrottled, errors.New(err.Error())))
}

// executeWrite sends a write until its effect is known or no further attempt may be made.
// After a lost answer it reads the object to determine whether the write took effect, also if
// a later attempt returns a definite error, which says nothing about the earlier ones.
func (c *Client) executeWrite(ctx context.Context, w write) (uint64, error) {
	answerLost := false
	for n := 0; ; n++ {
		version, err := c.sendOnce(ctx, w)
		switch {
		case err == nil:
			return version, nil
		case errors.Is(err, ErrThrottled), errors.Is(err, ErrRefused):
		case !Unresolved(err) && !answerLost:
			return 0, err
		default:
			answerLost = true
			verdict, appliedVersion := c.resolveLostAnswer(ctx, w)
			c.metrics.lostAnswers.WithLabelValues(verdict.String()).Inc()
			switch verdict {
			case objcall.Applied:
				return appliedVersion, nil
			case objcall.Refused:
				return 0, Error.Wrap(ErrConflict)
			case objcall.Undetermined:
				return 0, unresolvedError(err)
			}
		}
		if !c.backoff(ctx, n) {
			return 0, c.finalError(answerLost, err)
		}
	}
}

// finalError returns the error of a write whose last attempt failed with err.
func (c *Client) finalError(answerLost bool, err error) error {
	if answerLost {
		return unresolvedError(err)
	}
	return err
}

// unresolvedError returns the error of a write whose effect stays unknown. The error of the
// last attempt is kept as text only, because a conflict of that attempt does not show
// whether an earlier one took effect.
func unresolvedError(err error) error { return unavailable(errors.New(err.Error())) }

func (c *Client) sendOnce(ctx context.Context, w write) (version uint64, err error) {
	err = c.attempt(ctx, w.kind, c.writes, c.opt.AttemptTimeout, func(ctx context.Context) (err error) {
		version, err = w.send(ctx)
		return err
	})
	return version, err
}

// resolveLostAnswer reads the object and derives from it whether the write took effect.
func (c *Client) resolveLostAnswer(ctx context.Context, w write) (objcall.Verdict, uint64) {
	for n := 0; ; n++ {
		var found objcall.Found
		err := c.attempt(ctx, "resolve", c.reads, c.opt.AttemptTimeout, func(ctx context.Context) error {
			o, history, err := c.getOnce(ctx, w.key)
			found = objcall.Found{Present: err == nil, Version: o.Version, History: history}
			return err
		})
		if err == nil || errors.Is(err, ErrNotFound) {
			return w.evaluate(found)
		}
		if !c.backoff(ctx, n) {
			return objcall.Undetermined, 0
		}
	}
}
