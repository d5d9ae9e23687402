package confgen

import (
	"oleanderfall.example/oleanderfall/internal/state/confstore"
	"oleanderfall.example/oleanderfall/internal/state/model"
)

// maxRootWrites bounds how often one commit sends its root.
const maxRootWrites = 3

// Request is a change that an operator asks for.
type Request struct {
	// Base is the generation that the change started from.
	Base model.Generation
	// Floor is the generation in force at the committing host. It is above the
	// root's only when the object API lost writes, and is then gone on from.
	Floor  model.Generation
	Change confstore.Change
	// Chunks is the number of content objects.
	Chunks int
}

// ActionKind says what the caller of a Commit does next.
type ActionKind int

// The actions.
const (
	// ReadRoot: read the root and answer with it.
	ReadRoot ActionKind = iota
	// PutContent: store chunk Action.Chunk of Action.Root's content.
	PutContent
	// PutRoot: write Action.Root when the root's version is Action.Expect.
	PutRoot
	// Finish: the commit ended with Action.Result.
	Finish
)

// Action is what a Commit wants done.
type Action struct {
	Kind   ActionKind
	Chunk  int
	Expect uint64
	Root   confstore.Root
	Result Result
}

// AnswerKind says how an action went.
type AnswerKind int

// The answers.
const (
	// Done: it took effect, or the root was read.
	Done AnswerKind = iota
	// Missing: there is no root yet.
	Missing
	// Conflict: the root's version was another one; nothing was written.
	Conflict
	// NotDone: it certainly took no effect.
	NotDone
	// Unclear: it may have taken effect.
	Unclear
)

// Answer is the outcome of an action; Root and Version are those read.
type Answer struct {
	Kind    AnswerKind
	Root    confstore.Root
	Version uint64
}

// ResultKind says how a commit ended.
type ResultKind int

// The results.
const (
	// Accepted: the change is generation Result.Generation.
	Accepted ResultKind = iota
	// Unchanged: the content is that of the present generation.
	Unchanged
	// Raced: Result.Other was accepted since the base; nothing was applied.
	Raced
	// Reused: the request id was used for other content; nothing was applied.
	Reused
	// Outage: storage did not answer; nothing was applied.
	Outage
	// Unknown: the change may or may not be applied.
	Unknown
)

// Result is a commit's end.
type Result struct {
	Kind       ResultKind
	Generation model.Generation
	Other      confstore.Change
}

// Commit carries one change from its request to its result.
type Commit struct {
	request    Request
	version    uint64
	next       confstore.Root
	stored     int
	rootWrites int
	// lost says that a root write's effect is open.
	lost bool
	// last is the action under way.
	last ActionKind
}

// NewCommit returns a commit and its first action.
func NewCommit(r Request) (*Commit, Action) {
	c := &Commit{request: r}
	return c, c.do(Action{Kind: ReadRoot})
}

func (c *Commit) do(a Action) Action {
	c.last = a.Kind
	return a
}

func (c *Commit) finish(r Result) Action { return c.do(Action{Kind: Finish, Result: r}) }

// Next takes the answer to the last action and returns the next one.
func (c *Commit) Next(a Answer) Action {
	switch c.last {
	case ReadRoot:
		return c.afterRead(a)
	case PutContent:
		return c.afterContent(a)
	}
	return c.afterRoot(a)
}

func (c *Commit) afterRead(a Answer) Action {
	if a.Kind != Done && a.Kind != Missing {
		return c.finish(c.failure())
	}
	if r, ended := Judge(a.Root, c.request); ended {
		return c.finish(r)
	}
	c.version = a.Version
	c.next = Successor(a.Root, c.request)
	return c.write()
}

// write stores the content that is missing and then the root.
func (c *Commit) write() Action {
	if c.stored < c.request.Chunks {
		return c.do(Action{Kind: PutContent, Chunk: c.stored, Root: c.next})
	}
	if c.rootWrites == maxRootWrites {
		return c.finish(c.failure())
	}
	c.rootWrites++
	return c.do(Action{Kind: PutRoot, Expect: c.version, Root: c.next})
}

func (c *Commit) afterContent(a Answer) Action {
	if a.Kind != Done {
		return c.finish(c.failure())
	}
	c.stored++
	return c.write()
}

func (c *Commit) afterRoot(a Answer) Action {
	switch a.Kind {
	case Done:
		return c.finish(Result{Kind: Accepted, Generation: c.next.Generation})
	case NotDone:
		return c.finish(c.failure())
	case Unclear:
		c.lost = true
	}
	return c.do(Action{Kind: ReadRoot})
}

// failure is the result when storage does not answer any more.
func (c *Commit) failure() Result {
	if c.lost {
		return Result{Kind: Unknown}
	}
	return Result{Kind: Outage}
}

// Judge compares a request with the present root and reports whether that already
// ends it.
func Judge(root confstore.Root, r Request) (Result, bool) {
	for _, change := range root.History {
		if change.RequestID != r.Change.RequestID {
			continue
		}
		if change.Digest != r.Change.Digest {
			return Result{Kind: Reused, Generation: change.Generation, Other: change}, true
		}
		return Result{Kind: Accepted, Generation: change.Generation}, true
	}
	newest := max(root.Generation, r.Floor)
	if r.Base != newest {
		return raced(root, r), true
	}
	if r.Base != 0 && newest == root.Generation && root.Digest == r.Change.Digest {
		return Result{Kind: Unchanged, Generation: root.Generation}, true
	}
	return Result{}, false
}

// raced names the latest other change. When the history does not reach back to the
// request's base, the request itself may have been accepted in between.
func raced(root confstore.Root, r Request) Result {
	out := Result{Kind: Raced, Generation: max(root.Generation, r.Floor)}
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

// Successor returns the root that accepts the request after root.
func Successor(root confstore.Root, r Request) confstore.Root {
	change := r.Change
	change.Generation = max(root.Generation, r.Floor) + 1
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
