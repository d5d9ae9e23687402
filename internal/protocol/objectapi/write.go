package objectapi

import (
	"context"
	"errors"

	"oleanderfall.example/oleanderfall/internal/coordination/objcall"
)

// write is one conditional change with what is needed to send it again as it is.
type write struct {
	key    string
	expect uint64
	stamp  objcall.Stamp
	kind   string
	send   func(context.Context) (uint64, error)
	judge  func(objcall.Found) (objcall.Verdict, uint64)
}

// Put implements API.
func (c *Client) Put(ctx context.Context, key string, value []byte, expect uint64) (uint64, error) {
	if len(value) > MaxPayloadBytes {
		return 0, Error.Wrap(ErrTooLarge)
	}
	ctx, cancel := context.WithTimeout(ctx, c.opt.CallTimeout)
	defer cancel()
	stamp := objcall.Stamp{Writer: c.writer, Sequence: c.counter.Add(1)}
	history, err := c.nextHistory(ctx, key, expect, stamp)
	if err != nil {
		return 0, err
	}
	sealed, err := seal(value, history)
	if err != nil {
		return 0, err
	}
	version, err := c.settle(ctx, write{
		key:    key,
		expect: expect,
		stamp:  stamp,
		kind:   "put",
		send:   func(ctx context.Context) (uint64, error) { return c.api.Put(ctx, key, sealed, expect) },
		judge:  func(f objcall.Found) (objcall.Verdict, uint64) { return objcall.ResolvePut(stamp, expect, f) },
	})
	if err == nil {
		c.known.put(key, version, history)
	}
	return version, err
}

// Delete implements API. After a lost answer nil says that the version is gone.
func (c *Client) Delete(ctx context.Context, key string, expect uint64) error {
	ctx, cancel := context.WithTimeout(ctx, c.opt.CallTimeout)
	defer cancel()
	_, err := c.settle(ctx, write{
		key:    key,
		expect: expect,
		kind:   "delete",
		send:   func(ctx context.Context) (uint64, error) { return 0, c.api.Delete(ctx, key, expect) },
		judge: func(f objcall.Found) (objcall.Verdict, uint64) {
			return objcall.ResolveDelete(expect, f), 0
		},
	})
	if err == nil {
		c.known.drop(key)
	}
	return err
}

// nextHistory returns the history of the version to be written, reading the one
// to be replaced when it is not known.
func (c *Client) nextHistory(ctx context.Context, key string, expect uint64, stamp objcall.Stamp) (objcall.History, error) {
	if expect == 0 {
		return objcall.Created(stamp), nil
	}
	present, ok := c.known.get(key, expect)
	if !ok {
		o, err := c.Get(ctx, key)
		if errors.Is(err, ErrNotFound) || err == nil && o.Version != expect {
			return objcall.History{}, Error.Wrap(ErrConflict)
		}
		if err != nil {
			return objcall.History{}, notSent(err)
		}
		present, _ = c.known.get(key, expect)
	}
	return present.Next(expect, stamp), nil
}

// notSent turns the failure of a read before a write into one that says for
// certain that nothing was written.
func notSent(err error) error {
	return Error.Wrap(errors.Join(ErrThrottled, errors.New(err.Error())))
}

// settle sends a write until its effect is known, and resolves lost answers.
func (c *Client) settle(ctx context.Context, w write) (uint64, error) {
	lost := false
	for n := 0; ; n++ {
		version, err := c.sendOnce(ctx, w)
		switch {
		case err == nil:
			return version, nil
		case errors.Is(err, ErrThrottled), errors.Is(err, ErrRefused):
		case !Unresolved(err) && !lost:
			return 0, err
		default:
			lost = true
			verdict, made := c.resolve(ctx, w)
			c.metrics.resolved.WithLabelValues(verdict.String()).Inc()
			switch verdict {
			case objcall.Applied:
				return made, nil
			case objcall.Refused:
				return 0, Error.Wrap(ErrConflict)
			case objcall.Undetermined:
				return 0, stillOpen(err)
			}
		}
		if !c.backoff(ctx, n) {
			return 0, c.giveUp(lost, err)
		}
	}
}

func (c *Client) giveUp(lost bool, err error) error {
	if lost {
		return stillOpen(err)
	}
	return err
}

// stillOpen is the error of a write whose effect was not found out. The last
// sending's error is kept as text only: a conflict of that one settles nothing.
func stillOpen(err error) error { return unavailable(errors.New(err.Error())) }

func (c *Client) sendOnce(ctx context.Context, w write) (version uint64, err error) {
	err = c.attempt(ctx, w.kind, c.writes, c.opt.AttemptTimeout, func(ctx context.Context) (err error) {
		version, err = w.send(ctx)
		return err
	})
	return version, err
}

// resolve reads the object and judges the write by it.
func (c *Client) resolve(ctx context.Context, w write) (objcall.Verdict, uint64) {
	for n := 0; ; n++ {
		var found objcall.Found
		err := c.attempt(ctx, "resolve", c.reads, c.opt.AttemptTimeout, func(ctx context.Context) error {
			o, history, err := c.getOnce(ctx, w.key)
			found = objcall.Found{Present: err == nil, Version: o.Version, History: history}
			return err
		})
		if err == nil || errors.Is(err, ErrNotFound) {
			return w.judge(found)
		}
		if !c.backoff(ctx, n) {
			return objcall.Undetermined, 0
		}
	}
}
