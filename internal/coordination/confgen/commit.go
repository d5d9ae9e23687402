package confgen

import (
	"oleanderfall.example/oleanderfall/internal/state/confstore"
	"oleanderfall.example/oleanderfall/internal/state/model"
)

// maxRootWrites limits the attempts of one commit to write its root.
const maxRootWrites = 3

// Request is a configuration change requested by an operator.
type Request struct {
	// Base is the generation that the change is based on.
	Base model.Generation
	// LocalGeneration is the generation in force on the committing host. It is above the root's
	// generation only if the object API lost writes; the numbering then continues from
	// LocalGeneration.
	LocalGeneration model.Generation
	Change          confstore.Change
	// Chunks is the number of content objects.
	Chunks int
}

// ActionKind is the kind of operation that the caller of a Commit performs next.
type ActionKind int

// The actions.
const (
	// ReadRoot: read the root and return it in the Answer.
	ReadRoot ActionKind = iota
	// PutContent: store chunk Action.Chunk of the content of Action.Root.
	PutContent
	// PutRoot: write Action.Root if the stored root's version is Action.Expect.
	PutRoot
	// Finish: the commit is complete with Action.Result.
	Finish
)

// Action is the next operation of a Commit.
type Action struct {
	Kind   ActionKind
	Chunk  int
	Expect uint64
	Root   confstore.Root
	Result Result
}

// AnswerKind is the outcome of an action.
type AnswerKind int

// The answers.
const (
	// Done: the write took effect, or the root was read.
	Done AnswerKind = iota
	// Missing: there is no root yet.
	Missing
	// Conflict: the root had another version; nothing was written.
	Conflict
	// NotApplied: the action certainly had no effect.
	NotApplied
	// Indeterminate: the action may have taken effect.
	Indeterminate
)

// Answer is the outcome of an action. Root and Version are set after ReadRoot.
type Answer struct {
	Kind    AnswerKind
	Root    confstore.Root
	Version uint64
}

// ResultKind is the outcome of a commit.
type ResultKind int

// The results.
const (
	// Accepted: the change was accepted as generation Result.Generation.
	Accepted ResultKind = iota
	// Unchanged: the content equals that of the current generation.
	Unchanged
	// Raced: Result.Other was accepted after the base; nothing was applied.
	Raced
	// RequestIDReused: the request ID was already used for other content; nothing was applied.
	RequestIDReused
	// Outage: storage was not available; nothing was applied.
	Outage
	// Unknown: the change may or may not have been applied.
	Unknown
)

// Result is the outcome of a commit. For Raced, RequestIDReused and Unknown, Other is the
// accepted change that caused the result, if it is known.
type Result struct {
	Kind       ResultKind
	Generation model.Generation
	Other      confstore.Change
}

// Commit is the state machine of one change, from its request to its result. It does no
// I/O; the caller performs each Action and passes the Answer to Next.
type Commit struct {
	request Request
	// rootVersion is the version of the last root read, newRoot its successor that accepts the
	// request.
	rootVersion  uint64
	newRoot      confstore.Root
	chunksStored int
	rootWrites   int
	// rootWriteUnresolved reports that a root write may have taken effect.
	rootWriteUnresolved bool
	// lastAction is the kind of the action in progress.
	lastAction ActionKind
}

// NewCommit returns a commit and its first action.
func NewCommit(r Request) (*Commit, Action) {
	c := &Commit{request: r}
	return c, c.issue(Action{Kind: ReadRoot})
}

func (c *Commit) issue(a Action) Action {
	c.lastAction = a.Kind
	return a
}

func (c *Commit) finish(r Result) Action { return c.issue(Action{Kind: Finish, Result: r}) }

// Next processes the answer to the last action and returns the next action.
func (c *Commit) Next(a Answer) Action {
	switch c.lastAction {
	case ReadRoot:
		return c.afterReadRoot(a)
	case PutContent:
		return c.afterPutContent(a)
	}
	return c.afterPutRoot(a)
}

func (c *Commit) afterReadRoot(a Answer) Action {
	if a.Kind != Done && a.Kind != Missing {
		return c.finish(c.failureResult())
	}
	if r, decided := Evaluate(a.Root, c.request); decided {
		return c.finish(r)
	}
	c.rootVersion = a.Version
	c.newRoot = NextRoot(a.Root, c.request)
	return c.nextWrite()
}

// nextWrite returns the write of the next content chunk or, after the last, of the root.
func (c *Commit) nextWrite() Action {
	if c.chunksStored < c.request.Chunks {
		return c.issue(Action{Kind: PutContent, Chunk: c.chunksStored, Root: c.newRoot})
	}
	if c.rootWrites == maxRootWrites {
		return c.finish(c.failureResult())
	}
	c.rootWrites++
	return c.issue(Action{Kind: PutRoot, Expect: c.rootVersion, Root: c.newRoot})
}

func (c *Commit) afterPutContent(a Answer) Action {
	if a.Kind != Done {
		return c.finish(c.failureResult())
	}
	c.chunksStored++
	return c.nextWrite()
}

func (c *Commit) afterPutRoot(a Answer) Action {
	switch a.Kind {
	case Done:
		return c.finish(Result{Kind: Accepted, Generation: c.newRoot.Generation})
	case NotApplied:
		return c.finish(c.failureResult())
	case Indeterminate:
		c.rootWriteUnresolved = true
	}
	return c.issue(Action{Kind: ReadRoot})
}

// failureResult returns the result of a commit that is abandoned because storage is not
// available or because it reached maxRootWrites.
func (c *Commit) failureResult() Result {
	if c.rootWriteUnresolved {
		return Result{Kind: Unknown}
	}
	return Result{Kind: Outage}
}

// Evaluate compares a request with the current root. It returns true with the result if
// the root already decides the request.
func Evaluate(root confstore.Root, r Request) (Result, bool) {
	for _, change := range root.History {
		if change.RequestID != r.Change.RequestID {
			continue
		}
		if change.Digest != r.Change.Digest {
			return Result{Kind: RequestIDReused, Generation: change.Generation, Other: change}, true
		}
		return Result{Kind: Accepted, Generation: change.Generation}, true
	}
	newest := max(root.Generation, r.LocalGeneration)
	if r.Base != newest {
		return racedResult(root, r), true
	}
	if r.Base != 0 && newest == root.Generation && root.Digest == r.Change.Digest {
		return Result{Kind: Unchanged, Generation: root.Generation}, true
	}
	return Result{}, false
}

// racedResult returns Raced with the latest change. If the history does not reach back to
// the request's base, the request itself may have been accepted since, so the result is
// Unknown.
func racedResult(root confstore.Root, r Request) Result {
	out := Result{Kind: Raced, Generation: max(root.Generation, r.LocalGeneration)}
	if len(root.History) == 0 {
		return out
	}
	out.Other = root.History[0]
	oldest := root.History[len(root.History)-1].Generation
	if r.Base+1 < oldest {
		out.Kind = Unknown
	}
	return out
}

// NextRoot returns the successor of root that accepts the request.
func NextRoot(root confstore.Root, r Request) confstore.Root {
	change := r.Change
	change.Generation = max(root.Generation, r.LocalGeneration) + 1
	history := make([]confstore.Change, 0, confstore.MaxHistory)
	history = append(history, change)
	keep := min(len(root.History), confstore.MaxHistory-1)
	history = append(history, root.History[:keep]...)
	return confstore.Root{
		Generation: change.Generation,
		Digest:     change.Digest,
		Chunks:     r.Chunks,
		History:    history,
	}
}
