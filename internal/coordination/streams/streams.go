// Package streams joins the token chunks of one request's attempts into one
// answer.
//
// Invariant: the tokens passed on are exactly those at offsets 0, 1, 2, ... in
// order, each once, all of the present attempt; an answer is whole only when the
// engine said that it is done and the count agrees.
package streams

import (
	"errors"

	"oleanderfall.example/oleanderfall/internal/state/model"
)

// ErrGap: a chunk begins after the next offset.
var ErrGap = errors.New("chunk leaves a gap")

// ErrTotal: the engine's total is not the number of tokens received.
var ErrTotal = errors.New("total differs from the tokens received")

// Attempt numbers the attempts of one request, from 1.
type Attempt int

// Chunk is a run of tokens made under one weight version.
type Chunk struct {
	Offset  int
	Tokens  []uint32
	Version model.WeightVersion
	Done    bool
	Total   int
}

// Assembler holds the state of one answer.
type Assembler struct {
	attempt Attempt
	tokens  []uint32
	done    bool
}

// Begin starts an attempt and drops what still comes of those before. It returns
// the attempt's number, the offset to resume at and the tokens before it. The
// prefix is not to be changed.
func (a *Assembler) Begin() (Attempt, int, []uint32) {
	a.attempt++
	return a.attempt, len(a.tokens), a.tokens[:len(a.tokens):len(a.tokens)]
}

// Done reports whether the answer is whole.
func (a *Assembler) Done() bool { return a.done }

// Accept takes a chunk of an attempt and returns what is new in it. ok is false
// for a chunk that is to be dropped: of an earlier attempt, after the end, or with
// nothing new.
func (a *Assembler) Accept(attempt Attempt, c Chunk) (fresh Chunk, ok bool, err error) {
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
