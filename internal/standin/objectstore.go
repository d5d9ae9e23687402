package standin

import (
	"context"
	"fmt"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"oleanderfall.example/oleanderfall/internal/protocol/objectapi"
)

// ObjectStoreOptions configures an ObjectStore.
type ObjectStoreOptions struct {
	// ReadsPerSecond and WritesPerSecond limit the call rates; 0 means unlimited. Lists and
	// new watches count as reads, deletes as writes.
	ReadsPerSecond  float64
	WritesPerSecond float64
	// Latency is added to each call.
	Latency time.Duration
	// History is the number of changes retained for watches; 0 means 4096.
	History int
}

// CallCounts counts the calls of an ObjectStore. Conflicts and Throttled count calls that are
// also counted as reads, writes or watches.
type CallCounts struct {
	Reads     int `json:"reads"`
	Writes    int `json:"writes"`
	Conflicts int `json:"conflicts"`
	Throttled int `json:"throttled"`
	Watches   int `json:"watches"`
	// OpenWatches is the number of currently open watches.
	OpenWatches int `json:"waiting"`
}

const defaultHistory = 4096

// ObjectStore is an in-memory implementation of objectapi.API. Handler serves it over
// HTTP.
type ObjectStore struct {
	faults  *faultSet
	opt     ObjectStoreOptions
	reads   *rate.Limiter
	writes  *rate.Limiter
	mu      sync.Mutex
	objects map[string]objectapi.Object
	history []objectapi.Event
	// compactedRevision is the highest revision that was removed from history.
	compactedRevision uint64
	revision          uint64
	// changed is closed and replaced when watchers must check for events.
	changed chan struct{}
	// watchEpoch is incremented to drop all running watches.
	watchEpoch int
	calls      CallCounts
}

var _ objectapi.API = (*ObjectStore)(nil)

// NewObjectStore returns an empty store.
func NewObjectStore(opt ObjectStoreOptions) *ObjectStore {
	if opt.History == 0 {
		opt.History = defaultHistory
	}
	return &ObjectStore{
		faults:  newFaultSet(),
		opt:     opt,
		reads:   newLimiter(opt.ReadsPerSecond),
		writes:  newLimiter(opt.WritesPerSecond),
		objects: map[string]objectapi.Object{},
		changed: make(chan struct{}),
	}
}

// newLimiter returns a rate limiter whose burst is the calls of a quarter of a second, plus
// one. A rate of 0 or less means unlimited.
func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), int(perSecond/4)+1)
}

// SetFaults replaces the faults. DropWatches takes effect immediately, once.
func (s *ObjectStore) SetFaults(f Faults) {
	if f.DropWatches {
		s.mu.Lock()
		s.watchEpoch++
		s.notifyWatchers()
		s.mu.Unlock()
		f.DropWatches = false
	}
	s.faults.set(f)
}

// Calls returns the counters.
func (s *ObjectStore) Calls() CallCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// notifyWatchers must be called with mu held.
func (s *ObjectStore) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// admit applies latency, faults and the rate limit to one call and increments count. It returns
// the error with which the call must fail, if any.
func (s *ObjectStore) admit(ctx context.Context, l *rate.Limiter, count *int) error {
	if err := sleep(ctx, s.opt.Latency); err != nil {
		return unavailable(err)
	}
	if err := s.faults.wait(ctx); err != nil {
		return unavailable(err)
	}
	f := s.faults.get()
	s.mu.Lock()
	defer s.mu.Unlock()
	*count++
	if f.Outage {
		return unavailable(fmt.Errorf("outage"))
	}
	if f.Refuse || !l.Allow() {
		s.calls.Throttled++
		return objectapi.ErrThrottled
	}
	return nil
}

func unavailable(err error) error { return fmt.Errorf("%w: %v", objectapi.ErrUnavailable, err) }

// Get implements objectapi.API.
func (s *ObjectStore) Get(ctx context.Context, key string) (objectapi.Object, error) {
	if err := s.admit(ctx, s.reads, &s.calls.Reads); err != nil {
		return objectapi.Object{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[key]
	if !ok {
		return objectapi.Object{}, objectapi.ErrNotFound
	}
	return o, nil
}

// Put implements objectapi.API.
func (s *ObjectStore) Put(ctx context.Context, key string, value []byte, expect uint64) (uint64, error) {
	if len(value) > objectapi.MaxValueBytes {
		return 0, objectapi.ErrTooLarge
	}
	if err := s.admit(ctx, s.writes, &s.calls.Writes); err != nil {
		return 0, err
	}
	version, err := s.write(objectapi.Event{Object: objectapi.Object{Key: key, Value: append([]byte(nil), value...)}}, expect)
	if err != nil {
		return 0, err
	}
	if s.faults.loseAnswer(key) {
		return 0, unavailable(fmt.Errorf("answer lost"))
	}
	return version, nil
}

// Delete implements objectapi.API.
func (s *ObjectStore) Delete(ctx context.Context, key string, expect uint64) error {
	if err := s.admit(ctx, s.writes, &s.calls.Writes); err != nil {
		return err
	}
	if expect == 0 {
		return objectapi.ErrConflict
	}
	_, err := s.write(objectapi.Event{Object: objectapi.Object{Key: key}, Deleted: true}, expect)
	if err == nil && s.faults.loseAnswer(key) {
		return unavailable(fmt.Errorf("answer lost"))
	}
	return err
}

// write applies a change if the object's version is expect, and returns the new revision.
func (s *ObjectStore) write(e objectapi.Event, expect uint64) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current, ok := s.objects[e.Key]
	if e.Deleted && !ok {
		return 0, objectapi.ErrNotFound
	}
	if current.Version != expect {
		s.calls.Conflicts++
		return 0, objectapi.ErrConflict
	}
	s.revision++
	e.Version = s.revision
	if e.Deleted {
		delete(s.objects, e.Key)
	} else {
		s.objects[e.Key] = e.Object
	}
	s.history = append(s.history, e)
	if len(s.history) > s.opt.History {
		s.compactedRevision = s.history[0].Version
		s.history = s.history[1:]
	}
	s.notifyWatchers()
	return s.revision, nil
}

// List implements objectapi.API.
func (s *ObjectStore) List(ctx context.Context, prefix, after string, limit int) (objectapi.Page, error) {
	if err := s.admit(ctx, s.reads, &s.calls.Reads); err != nil {
		return objectapi.Page{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	page := objectapi.Page{Revision: s.revision}
	for key, o := range s.objects {
		if strings.HasPrefix(key, prefix) && key > after {
			page.Objects = append(page.Objects, o)
		}
	}
	sort.Slice(page.Objects, func(i, j int) bool { return page.Objects[i].Key < page.Objects[j].Key })
	if limit > 0 && len(page.Objects) > limit {
		page.Objects = page.Objects[:limit]
		page.More = true
	}
	return page, nil
}

// Watch implements objectapi.API.
func (s *ObjectStore) Watch(ctx context.Context, prefix string, from uint64) (objectapi.Watcher, error) {
	if err := s.admit(ctx, s.reads, &s.calls.Watches); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if from < s.compactedRevision {
		return nil, objectapi.ErrCompacted
	}
	s.calls.OpenWatches++
	return &storeWatcher{store: s, prefix: prefix, lastRevision: from, epoch: s.watchEpoch}, nil
}

type storeWatcher struct {
	store        *ObjectStore
	prefix       string
	lastRevision uint64
	epoch        int
	once         sync.Once
}

// Next implements objectapi.Watcher.
func (w *storeWatcher) Next(ctx context.Context) (objectapi.Event, error) {
	for {
		e, found, changed, err := w.poll()
		if err != nil {
			w.Close()
			return objectapi.Event{}, err
		}
		if found {
			return e, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return objectapi.Event{}, unavailable(ctx.Err())
		}
	}
}

// poll returns the next event, or if there is none, a channel that is closed when there may
// be one.
func (w *storeWatcher) poll() (e objectapi.Event, found bool, changed chan struct{}, err error) {
	s := w.store
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.epoch != s.watchEpoch {
		return e, false, nil, unavailable(fmt.Errorf("watch dropped"))
	}
	if w.lastRevision < s.compactedRevision {
		return e, false, nil, objectapi.ErrCompacted
	}
	start := sort.Search(len(s.history), func(i int) bool { return s.history[i].Version > w.lastRevision })
	for _, e := range s.history[start:] {
		w.lastRevision = e.Version
		if strings.HasPrefix(e.Key, w.prefix) {
			return e, true, nil, nil
		}
	}
	return e, false, s.changed, nil
}

// Close implements objectapi.Watcher.
func (w *storeWatcher) Close() {
	w.once.Do(func() {
		w.store.mu.Lock()
		w.store.calls.OpenWatches--
		w.store.mu.Unlock()
	})
}

// Handler serves the object API over HTTP.
func (s *ObjectStore) Handler() http.Handler { return objectapi.NewHandler(s) }
