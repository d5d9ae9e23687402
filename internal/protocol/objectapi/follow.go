package objectapi

import (
	"context"
	"errors"
	"time"
)

// listPage is the number of objects asked for in one page.
const listPage = 500

// Handler receives what Follow sees, one call at a time.
type Handler interface {
	// Reset hands over all objects under the prefix; what is not listed is gone.
	Reset(objects []Object)
	// Change hands over one change, in order for each key.
	Change(e Event)
}

// Follow lists the objects under prefix and then watches them until ctx ends. It
// resumes after a drop and lists again when the platform forgot the revision, so
// that no change is missed for good.
func (c *Client) Follow(ctx context.Context, prefix string, h Handler) error {
	f := &follower{client: c, prefix: prefix, handler: h}
	failures := 0
	for ctx.Err() == nil {
		progressed, err := f.round(ctx)
		if errors.Is(err, ErrCompacted) {
			f.listed = false
		}
		if progressed {
			failures = 0
		}
		if err != nil && ctx.Err() == nil {
			_ = c.clock.Sleep(ctx, c.delay(failures+1))
			failures++
		}
	}
	return ctx.Err()
}

// follower is the state of one Follow.
type follower struct {
	client  *Client
	prefix  string
	handler Handler
	listed  bool
	// last is the revision up to which everything was handed over.
	last uint64
	// versions are those of the last listing; older events on these keys are skipped.
	versions map[string]uint64
}

// round lists when it must and serves one watch to its end.
func (f *follower) round(ctx context.Context) (progressed bool, err error) {
	if !f.listed {
		if err := f.list(ctx); err != nil {
			return false, err
		}
		progressed = true
	}
	w, err := f.client.Watch(ctx, f.prefix, f.last)
	if err != nil {
		return progressed, err
	}
	defer w.Close()
	for {
		idle, cancel := context.WithTimeout(ctx, f.client.jittered(f.client.opt.WatchLifetime))
		e, err := w.Next(idle)
		expired := idle.Err() != nil
		cancel()
		if err != nil && expired {
			return true, nil
		}
		if err != nil {
			return progressed, err
		}
		f.change(e)
		progressed = true
	}
}

func (f *follower) change(e Event) {
	f.last = max(f.last, e.Version)
	if e.Key == "" || e.Version <= f.versions[e.Key] {
		return
	}
	f.handler.Change(e)
}

// list reads all pages. The watch starts at the first page's revision: a change
// between two pages may be seen twice but is never missed.
func (f *follower) list(ctx context.Context) error {
	var objects []Object
	after := ""
	first := uint64(0)
	for {
		page, err := f.client.List(ctx, f.prefix, after, listPage)
		if err != nil {
			return err
		}
		if after == "" {
			first = page.Revision
		}
		objects = append(objects, page.Objects...)
		if !page.More || len(page.Objects) == 0 {
			break
		}
		after = page.Objects[len(page.Objects)-1].Key
	}
	f.last, f.listed = first, true
	f.versions = make(map[string]uint64, len(objects))
	for _, o := range objects {
		f.versions[o.Key] = o.Version
	}
	f.handler.Reset(objects)
	return nil
}

// jittered spreads d over 75 to 125 %.
func (c *Client) jittered(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.75 + c.random.float64()/2))
}
