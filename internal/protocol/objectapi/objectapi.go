// Package objectapi defines the platform's object API, a key-value store with versioned
// values, conditional updates, lists and watches. It contains clients of the API and an HTTP
// handler that serves it.
//
// Invariant: Put and Delete return nil only if the platform confirmed the write, and
// ErrConflict or ErrThrottled only if the write certainly had no effect. After an error for
// which Unresolved returns true, the effect is unknown.
package objectapi

import (
	"context"
	"errors"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("objectapi")

// MaxValueBytes is the size of the largest value that the platform accepts.
const MaxValueBytes = 1 << 20

// The errors that API calls return; compare with errors.Is.
var (
	// ErrNotFound: no object exists under the key.
	ErrNotFound = errors.New("object not found")
	// ErrConflict: the expected version is not the current one; nothing was written.
	ErrConflict = errors.New("version conflict")
	// ErrThrottled: the call exceeded a rate limit of the platform or of this process;
	// nothing was written.
	ErrThrottled = errors.New("throttled")
	// ErrRefused: the platform currently does not serve this host; nothing was written.
	ErrRefused = errors.New("refused by the object API")
	// ErrUnavailable: no usable answer was received; a write may have taken effect.
	ErrUnavailable = errors.New("object API unavailable")
	// ErrCompacted: the start revision of the watch has been compacted; list again.
	ErrCompacted = errors.New("revision compacted")
	// ErrTooLarge: the value exceeds the size limit; nothing was written.
	ErrTooLarge = errors.New("value too large")
)

// Unresolved reports whether a write that returned err may have taken effect.
func Unresolved(err error) bool {
	if err == nil {
		return false
	}
	for _, definite := range []error{ErrNotFound, ErrConflict, ErrThrottled, ErrRefused, ErrCompacted, ErrTooLarge} {
		if errors.Is(err, definite) {
			return false
		}
	}
	return true
}

// Object is a value stored under a key. Version is the platform's revision of the last write
// to the key, so it increases with every write.
type Object struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"version"`
}

// Page is one page of a List, ordered by key.
type Page struct {
	Objects []Object `json:"objects"`
	// More reports whether keys after the last one remain.
	More bool `json:"more"`
	// Revision is the platform's revision at which the page was read. A watch from it
	// delivers every later change.
	Revision uint64 `json:"revision"`
}

// Event is one change delivered by a watch. An event without a key is a bookmark: all
// changes up to its version have been delivered.
type Event struct {
	Object
	// Deleted reports that the key was removed. Value is then empty and Version is the
	// revision of the removal.
	Deleted bool `json:"deleted,omitempty"`
}

// Watcher delivers the changes under a prefix in order of revision. The caller of API.Watch
// must close it.
type Watcher interface {
	// Next blocks until the next event. After an error the watch has ended.
	Next(ctx context.Context) (Event, error)
	// Close ends the watch. Further calls have no effect.
	Close()
}

// API is the part of the platform's object API that the system uses.
type API interface {
	// Get returns the object under key, or ErrNotFound if there is none.
	Get(ctx context.Context, key string) (Object, error)
	// Put writes value if the key's version equals expect; 0 means that the key must not
	// exist. It returns the new version.
	Put(ctx context.Context, key string, value []byte, expect uint64) (uint64, error)
	// Delete removes the key if its version equals expect.
	Delete(ctx context.Context, key string, expect uint64) error
	// List returns up to limit objects under prefix whose keys sort after the key after.
	List(ctx context.Context, prefix, after string, limit int) (Page, error)
	// Watch delivers the changes under prefix with a revision greater than from. If the
	// platform no longer has all of them, Watch or the watcher's Next fails with
	// ErrCompacted.
	Watch(ctx context.Context, prefix string, from uint64) (Watcher, error)
}
