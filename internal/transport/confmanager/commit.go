package confmanager

import (
	"context"
	"encoding/json"
	"errors"

	"oleanderfall.example/oleanderfall/internal/coordination/confgen"
	"oleanderfall.example/oleanderfall/internal/protocol/objectapi"
	"oleanderfall.example/oleanderfall/internal/protocol/resultcode"
	"oleanderfall.example/oleanderfall/internal/state/confstore"
)

// committer performs the actions of one confgen.Commit.
type committer struct {
	storage storage
	chunks  [][]byte
	// root is the last root that this commit tried to write. If it was accepted, Apply
	// records its history.
	root confstore.Root
}

// run performs the commit and returns its result.
func (c *committer) run(ctx context.Context, request confgen.Request) confgen.Result {
	commit, action := confgen.NewCommit(request)
	for action.Kind != confgen.Finish {
		action = commit.Next(c.execute(ctx, action))
	}
	return action.Result
}

func (c *committer) execute(ctx context.Context, a confgen.Action) confgen.Answer {
	switch a.Kind {
	case confgen.ReadRoot:
		root, version, err := c.storage.readRoot(ctx)
		return confgen.Answer{Kind: answerKind(err), Root: root, Version: version}
	case confgen.PutContent:
		key := confgen.ContentKey(a.Root.Generation, a.Root.Digest, a.Chunk)
		return confgen.Answer{Kind: answerKind(c.storage.putChunk(ctx, key, c.chunks[a.Chunk]))}
	}
	// The only other action is PutRoot.
	value, err := json.Marshal(a.Root)
	if err != nil {
		return confgen.Answer{Kind: confgen.NotApplied}
	}
	_, err = c.storage.api.Put(ctx, confgen.RootKey, value, a.Expect)
	c.root = a.Root
	return confgen.Answer{Kind: answerKind(err)}
}

func answerKind(err error) confgen.AnswerKind {
	switch {
	case err == nil:
		return confgen.Done
	case errors.Is(err, objectapi.ErrConflict):
		return confgen.Conflict
	case objectapi.Unresolved(err):
		return confgen.Indeterminate
	}
	return confgen.NotApplied
}

// resultError returns the result code error of a commit, nil if its result is Accepted or
// Unchanged.
func resultError(r confgen.Result) error {
	switch r.Kind {
	case confgen.Raced:
		return resultcode.New(resultcode.ConfigurationRaced,
			"%s was accepted as generation %d (%s); fetch it, merge your change and apply again",
			describeChange(r.Other), r.Generation, appliedAt(r.Other))
	case confgen.RequestIDReused:
		return resultcode.New(resultcode.BadRequest, "the request id was used for generation %d with other content", r.Generation)
	case confgen.Outage:
		return resultcode.New(resultcode.StorageOutage, "the object API does not answer; nothing was applied")
	case confgen.Unknown:
		return resultcode.New(resultcode.StorageUnknown, "it is not known whether the change was accepted; ask for the history, or apply again with the same request id")
	}
	return nil
}
