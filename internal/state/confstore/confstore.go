// Package confstore remembers the configuration in force on a host and describes
// what the object API keeps of the accepted generations.
//
// Invariant: the generation held never falls.
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
	// RequestID is the operator's call that made the generation.
	RequestID string `json:"request_id"`
	// AppliedUnixMillis is the committing host's clock, for people only.
	AppliedUnixMillis int64 `json:"applied_unix_ms"`
	// Digest is that of the canonical form, in hexadecimal.
	Digest string `json:"digest"`
}

// MaxHistory is the number of changes that a root remembers.
const MaxHistory = 64

// Root is the one object that says which generation is accepted. The zero value
// is a system without any.
type Root struct {
	Generation model.Generation `json:"generation"`
	Digest     string           `json:"digest"`
	// Chunks is the number of content objects of the generation.
	Chunks int `json:"chunks"`
	// History lists the accepted changes, the newest first.
	History []Change `json:"history"`
}

// Held is a whole, checked generation.
type Held struct {
	Generation model.Generation
	Digest     string
	// Packed is the compressed canonical form, as peers are sent it.
	Packed []byte
	Config *model.Config
}

// Store holds the generation in force. Its methods may be called from any goroutine.
type Store struct {
	mu   sync.RWMutex
	held Held
	root Root
}

// Current returns the generation in force; its number is 0 before the first.
func (s *Store) Current() Held {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.held
}

// Offer puts h in force when its generation is higher, and reports whether it did.
func (s *Store) Offer(h Held) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if h.Config == nil || h.Generation <= s.held.Generation {
		return false
	}
	s.held = h
	return true
}

// SawRoot remembers the newest root read, for the history it carries.
func (s *Store) SawRoot(r Root) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Generation > s.root.Generation {
		s.root = r
	}
}

// Root returns the newest root seen.
func (s *Store) Root() Root {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.root
}
