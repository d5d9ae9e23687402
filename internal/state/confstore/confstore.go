// Package confstore holds the configuration that is in force on a host and defines the root
// object that records the accepted generations in the object API.
//
// Invariant: the generation in force never decreases.
package confstore

import (
	"sync"

	"oleanderfall.example/oleanderfall/internal/state/model"
)

// Change describes one accepted generation.
type Change struct {
	Generation model.Generation `json:"generation"`
	Operator   string           `json:"operator"`
	Note       string           `json:"note,omitempty"`
	// RequestID identifies the operator's request that created the generation.
	RequestID string `json:"request_id"`
	// AppliedUnixMillis is the time of the commit by the committing host's clock. It is
	// for display only.
	AppliedUnixMillis int64 `json:"applied_unix_ms"`
	// Digest is the digest of the canonical form, in hexadecimal.
	Digest string `json:"digest"`
}

// MaxHistory is the maximum number of changes in a root's history.
const MaxHistory = 64

// Root is the single object that records which generation is accepted. The zero value means
// that no generation has been accepted.
type Root struct {
	Generation model.Generation `json:"generation"`
	Digest     string           `json:"digest"`
	// Chunks is the number of objects that store the generation's content.
	Chunks int `json:"chunks"`
	// History lists the accepted changes, newest first.
	History []Change `json:"history"`
}

// Snapshot is a complete, validated generation.
type Snapshot struct {
	Generation model.Generation
	Digest     string
	// Packed is the compressed canonical form, in which peers receive it.
	Packed []byte
	Config *model.Config
}

// Store contains the generation in force. It is safe for concurrent use.
type Store struct {
	mu      sync.RWMutex
	current Snapshot
	root    Root
}

// Current returns the generation in force; its number is 0 if there is none yet.
func (s *Store) Current() Snapshot {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.current
}

// SetIfNewer puts next in force if it has a Config and its generation is higher than the
// current one. It reports whether it did.
func (s *Store) SetIfNewer(next Snapshot) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if next.Config == nil || next.Generation <= s.current.Generation {
		return false
	}
	s.current = next
	return true
}

// SetRootIfNewer stores r, for its history, if it is newer than the stored root.
func (s *Store) SetRootIfNewer(r Root) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Generation > s.root.Generation {
		s.root = r
	}
}

// Root returns the newest root passed to SetRootIfNewer.
func (s *Store) Root() Root {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.root
}
