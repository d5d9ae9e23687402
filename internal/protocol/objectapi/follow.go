package objectapi

import (
	"context"
	"errors"
	"time"
)

// listPageSize is the number of objects requested per page.
const listPageSize = 500

// ChangeHandler receives the objects and changes that Follow reads. Its methods are called
// sequentially.
type ChangeHandler interface {
	// Reset replaces the handler's state with objects, which are all that exist under the
	// prefix.
	Reset(objects []Object)
	// Change delivers one change. The changes of a key are delivered in order.
	Change(e Event)
}

// Follow lists the objects under prefix and then watches them until ctx ends; it returns
// ctx's error. It resumes interrupted watches and lists again after the platform has
// compacted the revision, so that the handler's state converges to the stored objects.
func (c *Client) Follow(ctx context.Context, prefix string, h ChangeHandler) error {
	f := &follower{client: c, prefix: prefix, handler: h}
	failures := 0
	for ctx.Err() == nil {
		progressed, err := f.listAndWatch(ctx)
		if errors.Is(err, ErrCompacted) {
			f.listed = false
		}
		if progressed {
			failures = 0
		}
		if err != nil && ctx.Err() == nil {
			_ = c.clock.Sleep(ctx, c.backoffDelay(failures+1))
			failures++
		}
	}
	return ctx.Err()
}

// follower is the state of one Follow call.
type follower struct {
	client  *Client
	prefix  string
	handler ChangeHandler
	listed  bool
	// deliveredRevision is the revision up to which all changes have been delivered.
	deliveredRevision uint64
	// listedVersions holds the object versions of the last listing. Events that are not newer
	// are skipped.
	listedVersions map[string]uint64
}

// listAndWatch lists the objects if necessary and processes one watch until it ends. It
// reports whether it made progress.
func (f *follower) listAndWatch(ctx context.Context) (progressed bool, err error) {
	if !f.listed {
		if err := f.list(ctx); err != nil {
			return false, err
		}
		progressed = true
	}
	w, err := f.client.Watch(ctx, f.prefix, f.deliveredRevision)
	if err != nil {
		return progressed, err
	}
	defer w.Close()
	for {
		idleCtx, cancel := context.WithTimeout(ctx, f.client.jitter(f.client.opt.WatchLifetime))
		e, err := w.Next(idleCtx)
		expired := idleCtx.Err() != nil
		cancel()
		if err != nil && expired {
			return true, nil
		}
		if err != nil {
			return progressed, err
		}
		f.handleEvent(e)
		progressed = true
	}
}

func (f *follower) handleEvent(e Event) {
	f.deliveredRevision = max(f.deliveredRevision, e.Version)
	if e.Key == "" || e.Version <= f.listedVersions[e.Key] {
		return
	}
	f.handler.Change(e)
}

// list reads all pages. The watch starts at the first page's revision, so that a change made
// between the reads of two pages is never missed. It may be received twice: a second time
// after a later page that contains it, which listedVersions filters out.
func (f *follower) list(ctx context.Context) error {
	var objects []Object
	after := ""
	firstRevision := uint64(0)
	for {
		page, err := f.client.List(ctx, f.prefix, after, listPageSize)
		if err != nil {
			return err
		}
		if after == "" {
			firstRevision = page.Revision
		}
		objects = append(objects, page.Objects...)
		if !page.More || len(page.Objects) == 0 {
			break
		}
		after = page.Objects[len(page.Objects)-1].Key
	}
	f.deliveredRevision, f.listed = firstRevision, true
	f.listedVersions = make(map[string]uint64, len(objects))
	for _, o := range objects {
		f.listedVersions[o.Key] = o.Version
	}
	f.handler.Reset(objects)
	return nil
}

// jitter returns a random duration between 75 and 125 % of d.
func (c *Client) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.75 + c.rng.float64()/2))
}
