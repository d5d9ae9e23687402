// Package objectapi is the client of the platform's object API: versioned values
// under keys, conditional updates, lists and watches.
//
// Invariant: a Put or Delete returns nil only when the platform confirmed it, and
// ErrConflict or ErrThrottled only when it certainly did not take effect. Any
// other error of a write leaves its effect open; see Unresolved.
package objectapi

import (
	"context"
	"errors"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("objectapi")

// MaxValueBytes is the largest value the platform takes.
const MaxValueBytes = 1 << 20

// The conditions a caller of API tells apart, with errors.Is.
var (
	// ErrNotFound: the key holds no object.
	ErrNotFound = errors.New("object not found")
	// ErrConflict: the expected version was not the present one; nothing was written.
	ErrConflict = errors.New("version conflict")
	// ErrThrottled: the platform refused the call for its rate; nothing was written.
	ErrThrottled = errors.New("throttled")
	// ErrRefused: the platform does not serve this host now; nothing was written.
	ErrRefused = errors.New("refused by the object API")
	// ErrUnavailable: no answer; a write may have taken effect.
	ErrUnavailable = errors.New("object API unavailable")
	// ErrCompacted: the watch's starting revision is no longer kept; list again.
	ErrCompacted = errors.New("revision compacted")
	// ErrTooLarge: the value is over MaxValueBytes; nothing was written.
	ErrTooLarge = errors.New("value too large")
)

// Unresolved reports whether err leaves open if a write took effect.
func Unresolved(err error) bool {
	if err == nil {
		return false
	}
	for _, sure := range []error{ErrNotFound, ErrConflict, ErrThrottled, ErrRefused, ErrCompacted, ErrTooLarge} {
		if errors.Is(err, sure) {
			return false
		}
	}
	return true
}

// Object is a value under a key. Version grows with every write of the key and is
// the platform's revision at that write.
type Object struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"version"`
}

// Page is one answer of List, ordered by key.
type Page struct {
	Objects []Object `json:"objects"`
	// More says that keys after the last one remain.
	More bool `json:"more"`
	// Revision is the platform's revision when the page was read; a watch from it
	// misses nothing that the page does not show.
	Revision uint64 `json:"revision"`
}

// Event is one change seen by a watch. An event without a key is a bookmark: all
// changes up to its version were delivered.
type Event struct {
	Object
	// Deleted says the key was removed; Value is empty.
	Deleted bool `json:"deleted,omitempty"`
}

// Watcher delivers the changes under a prefix in order of revision.
type Watcher interface {
	// Next blocks for the next event. After an error the watch is over.
	Next(ctx context.Context) (Event, error)
	Close()
}

// API is the platform's object API as the system uses it.
type API interface {
	Get(ctx context.Context, key string) (Object, error)
	// Put writes value when the key's version equals expect; 0 means that the key
	// must not exist. It returns the new version.
	Put(ctx context.Context, key string, value []byte, expect uint64) (uint64, error)
	Delete(ctx context.Context, key string, expect uint64) error
	// List returns up to limit objects under prefix with keys above after.
	List(ctx context.Context, prefix, after string, limit int) (Page, error)
	// Watch delivers changes under prefix with a revision above from.
	Watch(ctx context.Context, prefix string, from uint64) (Watcher, error)
}
