// Package streams assembles the token chunks from the attempts of one request into one
// answer.
//
// Invariant: the tokens returned are exactly those at offsets 0, 1, 2, ... in order, each
// once, and each accepted from the attempt that was current at that time. An answer is
// complete only if the engine reported it done and the token count matches.
package streams

import (
	"errors"

	"oleanderfall.example/oleanderfall/internal/state/model"
)

// ErrGap is returned for a chunk that starts after the next expected offset.
var ErrGap = errors.New("chunk starts after the next expected token offset")

// ErrTotal is returned if the engine's total differs from the number of tokens received.
var ErrTotal = errors.New("total in the last chunk differs from the number of tokens received")

// AttemptNumber is the number of an attempt of one request, from 1.
type AttemptNumber int

// Chunk is a sequence of consecutive tokens generated with one weight version. Offset is
// that of its first token. Total is the number of tokens of the answer, set if Done.
type Chunk struct {
	Offset  int
	Tokens  []uint32
	Version model.WeightVersion
	Done    bool
	Total   int
}

// Assembler holds the state of one answer. The zero value is ready to use. It is not safe
// for concurrent use.
type Assembler struct {
	attempt AttemptNumber
	tokens  []uint32
	done    bool
}

// Begin starts a new attempt; later chunks of earlier attempts are dropped. It returns the
// attempt's number, the offset to resume at and the tokens before that offset. The caller
// must not modify these tokens.
func (a *Assembler) Begin() (AttemptNumber, int, []uint32) {
	a.attempt++
	return a.attempt, len(a.tokens), a.tokens[:len(a.tokens):len(a.tokens)]
}

// Done reports whether the answer is complete.
func (a *Assembler) Done() bool { return a.done }

// Accept adds a chunk of an attempt to the answer and returns the part of it that is new.
// ok is false if nothing was added: the chunk is from an earlier attempt, comes after the
// end of the answer, or has no new tokens. After ErrGap or ErrTotal the answer is unchanged;
// the caller may start another attempt with Begin.
func (a *Assembler) Accept(attempt AttemptNumber, c Chunk) (added Chunk, ok bool, err error) {
	if attempt != a.attempt || a.done {
		return Chunk{}, false, nil
	}
	if c.Offset > len(a.tokens) {
		return Chunk{}, false, ErrGap
	}
	if skip := len(a.tokens) - c.Offset; skip > 0 {
		c.Tokens = c.Tokens[min(skip, len(c.Tokens)):]
		c.Offset = len(a.tokens)
	}
	if c.Done && c.Total != len(a.tokens)+len(c.Tokens) {
		return Chunk{}, false, ErrTotal
	}
	a.tokens = append(a.tokens, c.Tokens...)
	a.done = c.Done
	return c, len(c.Tokens) > 0 || c.Done, nil
}
