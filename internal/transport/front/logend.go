package front

import (
	"context"
	"errors"
	"fmt"
	"time"

	"oleanderfall.example/oleanderfall/internal/protocol/objectapi"
)

const (
	// maxEmptyPageAge is the maximum age of an empty page once its confirmation has been waited for. The
	// rest of the second within which all hosts must agree is left for the way of the answer.
	maxEmptyPageAge = 850 * time.Millisecond
	// emptyPageLifetime is the age at which an empty page may still arrive at the host that asked for it.
	emptyPageLifetime = 950 * time.Millisecond
	// maxEndConfirmations bounds the reads that a call waits for to confirm that a page is empty.
	maxEndConfirmations = 2
)

// errLogEndUnknown means that the log in the store may have entries that this host lacks.
var errLogEndUnknown = errors.New("the end of the batch's log was not confirmed in time")

// logEndRead is a read of the end of a batch's log.
type logEndRead struct {
	began time.Time
	// done is closed once the read has ended.
	done chan struct{}
	err  error
}

// joinEndRead returns the last read of the log's end if it began within sharedReadAge, else a new one that
// the caller must perform.
func (l *resultLog) joinEndRead(now time.Time) (r *logEndRead, perform bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.endRead != nil && now.Sub(l.endRead.began) <= sharedReadAge {
		return l.endRead, false
	}
	l.endRead = &logEndRead{began: now, done: make(chan struct{})}
	return l.endRead, true
}

// confirmLogEnd confirms that this host has all entries of a batch's log, as of at most sharedReadAge
// before the call, and adds those that it lacks. The manifests suffice while no other process can have
// appended an entry and no append of this one lacks its answer: then one read serves all batches.
func (s *Batches) confirmLogEnd(ctx context.Context, b *activeBatch) error {
	if b.results.ownedAlone(time.Now()) {
		return s.confirmOwnership(ctx, b)
	}
	r, perform := b.results.joinEndRead(time.Now())
	if perform {
		go func() {
			defer close(r.done)
			ctx, cancel := context.WithTimeout(s.base, storeWaitTimeout)
			defer cancel()
			r.err = b.readLogEnd(ctx)
		}()
	}
	select {
	case <-r.done:
		return r.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// readLogEnd reads the log in the store from the first entry on that this host lacks.
func (a *activeBatch) readLogEnd(ctx context.Context) error {
	for !a.results.final() {
		began := time.Now()
		number, _ := a.results.next()
		_, err := a.addStored(ctx, number)
		if errors.Is(err, objectapi.ErrNotFound) {
			a.results.setEndConfirmed(began)
			return nil
		}
		if err != nil {
			return fmt.Errorf("end of the log of batch %s: %w", a.manifest.ID, err)
		}
	}
	return nil
}

// confirmedPage confirms that this host has the whole log of the batch. It returns the results that
// arrive meanwhile, or an empty page once that is confirmed.
func (s *Batches) confirmedPage(ctx context.Context, b *activeBatch, after int) (logPage, error) {
	ctx, cancel := context.WithTimeout(ctx, storeWaitTimeout)
	defer cancel()
	for range maxEndConfirmations {
		page, err := s.pageOnceConfirmed(ctx, b, after)
		if err != nil || page.certain(time.Now(), maxEmptyPageAge) {
			return page, err
		}
	}
	return logPage{}, errLogEndUnknown
}

// pageOnceConfirmed returns results that arrive while the end of the log is confirmed, else the page after
// that.
func (s *Batches) pageOnceConfirmed(ctx context.Context, b *activeBatch, after int) (logPage, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	confirmed := make(chan error, 1)
	go func() {
		confirmed <- s.confirmLogEnd(ctx, b)
		cancel()
	}()
	if page := b.results.page(ctx, after, storeWaitTimeout); len(page.Results) > 0 {
		return page, nil
	}
	if err := <-confirmed; err != nil {
		return logPage{}, err
	}
	return b.results.page(ctx, after, 0), nil
}
