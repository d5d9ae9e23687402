package standin

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"oleanderfall.example/oleanderfall/internal/protocol/engineapi"
	"oleanderfall.example/oleanderfall/internal/protocol/objectapi"
)

// newFastEngine starts an engine with intervals of 1 ms.
func newFastEngine(t *testing.T, opt EngineOptions) *Engine {
	t.Helper()
	opt.Name = "e"
	opt.TokenInterval = time.Millisecond
	opt.PrefillTime = time.Millisecond
	opt.SwapTime = time.Millisecond
	e, err := NewEngine("127.0.0.1:0", opt)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Close)
	return e
}

// readTokens reads a stream to its end and returns its tokens with their weight versions.
func readTokens(t *testing.T, s *engineapi.Stream) (tokens []uint32, versions []uint64, err error) {
	t.Helper()
	defer s.Close()
	for {
		c, err := s.Next()
		if err != nil || c.Done {
			return tokens, versions, err
		}
		for _, token := range c.Tokens {
			tokens = append(tokens, token)
			versions = append(versions, uint64(c.Version))
		}
	}
}

// A request with an offset yields the tokens of the uninterrupted answer from that offset on.
func TestEngine_ResumeYieldsSameTokens(t *testing.T) {
	e := newFastEngine(t, EngineOptions{})
	client := engineapi.NewClient(http.DefaultClient)
	full, err := client.Generate(t.Context(), e.Address(), engineapi.GenerateRequest{RequestID: "a", Prompt: "p"})
	if err != nil {
		t.Fatal(err)
	}
	tokens, _, err := readTokens(t, full)
	if err != nil || len(tokens) != AnswerLength("p", 0, 64, 0) {
		t.Fatalf("got %d tokens, error %v", len(tokens), err)
	}
	partial, err := client.Generate(t.Context(), e.Address(), engineapi.GenerateRequest{RequestID: "b", Prompt: "p", Offset: 5})
	if err != nil {
		t.Fatal(err)
	}
	resumed, _, err := readTokens(t, partial)
	if err != nil || len(resumed) != len(tokens)-5 || resumed[0] != tokens[5] {
		t.Fatalf("resumed at token 5: got %d tokens that should continue the answer of %d, error %v", len(resumed), len(tokens), err)
	}
}

// A weight swap during a generation changes the version in the chunks, and the log has two
// adjoining spans with the old and the new version.
func TestEngine_WeightSwapDuringGeneration(t *testing.T) {
	e := newFastEngine(t, EngineOptions{MedianTokens: 400})
	client := engineapi.NewClient(http.DefaultClient)
	s, err := client.Generate(t.Context(), e.Address(), engineapi.GenerateRequest{RequestID: "a", Prompt: "p"})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := s.Next(); err != nil {
		t.Fatal(err)
	}
	if err := client.Order(t.Context(), e.Address(), engineapi.Order{Fence: 1, Version: 2}); err != nil {
		t.Fatal(err)
	}
	_, versions, err := readTokens(t, s)
	if err != nil || versions[len(versions)-1] != 2 {
		t.Fatalf("got last version %d, error %v", versions[len(versions)-1], err)
	}
	spans := e.Runs()[0].Spans
	if len(spans) != 2 || spans[0].Version != 1 || spans[1].Version != 2 || spans[0].To != spans[1].From {
		t.Fatalf("got logged spans %v, want versions 1 and 2 without a gap", spans)
	}
}

// An engine with fencing refuses an order with a lower fencing token than the highest seen,
// and keeps its version.
func TestEngine_FencingRefusesStaleOrder(t *testing.T) {
	e := newFastEngine(t, EngineOptions{Fencing: true})
	client := engineapi.NewClient(http.DefaultClient)
	if err := client.Order(t.Context(), e.Address(), engineapi.Order{Fence: 5, Role: "decode"}); err != nil {
		t.Fatal(err)
	}
	err := client.Order(t.Context(), e.Address(), engineapi.Order{Fence: 4, Version: 9})
	if !errors.Is(err, engineapi.ErrStaleFence) || e.Version() != 1 {
		t.Fatalf("stale order: got error %v, version %d", err, e.Version())
	}
}

// A stream that was truncated (CutAtByte) ends with an error, so that a client cannot take
// it for a complete answer.
func TestEngine_TruncatedStreamFails(t *testing.T) {
	e := newFastEngine(t, EngineOptions{})
	e.SetFaults(Faults{CutAtByte: 200})
	client := engineapi.NewClient(http.DefaultClient)
	s, err := client.Generate(t.Context(), e.Address(), engineapi.GenerateRequest{RequestID: "a", Prompt: "p"})
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := readTokens(t, s); err == nil {
		t.Fatal("truncated stream ended without an error")
	}
}

// A request that matches CrashOnKey gets no answer, and the service comes back as a new
// incarnation.
func TestPlain_CrashOnKeyStartsNewIncarnation(t *testing.T) {
	p, err := NewPlainService("127.0.0.1:0", PlainServiceOptions{Name: "p"})
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	p.SetFaults(Faults{CrashOnKey: "poison"})
	client := engineapi.NewClient(&http.Client{Transport: &http.Transport{DisableKeepAlives: true}})
	if _, err := client.Call(t.Context(), p.Address(), engineapi.CallRequest{RequestID: "1", Call: "c", Body: []byte("poison")}); err == nil {
		t.Fatal("crashed service answered the call")
	}
	for {
		st, err := client.Status(t.Context(), p.Address())
		if err == nil && st.Incarnation == 2 {
			return
		}
		if t.Context().Err() != nil {
			t.Fatal("service did not start a new incarnation")
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// A write whose answer is lost returns an unresolved error but takes effect, so that a second
// creation conflicts. Keys without the prefix are not affected.
func TestObjectStore_LostAnswerKeepsWrite(t *testing.T) {
	s := NewObjectStore(ObjectStoreOptions{})
	s.SetFaults(Faults{LoseAnswers: 1, LoseKeyPrefix: "a/"})
	ctx := context.Background()
	if _, err := s.Put(ctx, "b/1", []byte("x"), 0); err != nil {
		t.Fatal(err)
	}
	if _, err := s.Put(ctx, "a/1", []byte("x"), 0); !objectapi.Unresolved(err) {
		t.Fatalf("put with lost answer: got %v, want an unresolved error", err)
	}
	if o, err := s.Get(ctx, "a/1"); err != nil || string(o.Value) != "x" {
		t.Fatalf("get after lost answer: got object %+v, error %v", o, err)
	}
	if _, err := s.Put(ctx, "a/1", []byte("y"), 0); !errors.Is(err, objectapi.ErrConflict) {
		t.Fatalf("second create: got %v, want a conflict", err)
	}
}

// A watch from a revision that the history no longer covers fails with ErrCompacted; a watch
// from the last compacted revision receives the oldest event in the history.
func TestObjectStore_WatchFromCompactedRevision(t *testing.T) {
	s := NewObjectStore(ObjectStoreOptions{History: 2})
	ctx := context.Background()
	for _, key := range []string{"a", "b", "c", "d"} {
		if _, err := s.Put(ctx, key, nil, 0); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := s.Watch(ctx, "", 1); !errors.Is(err, objectapi.ErrCompacted) {
		t.Fatalf("watch from a compacted revision: got %v, want ErrCompacted", err)
	}
	w, err := s.Watch(ctx, "", 2)
	if err != nil {
		t.Fatal(err)
	}
	defer w.Close()
	if e, err := w.Next(ctx); err != nil || e.Key != "c" {
		t.Fatalf("got event %+v, error %v", e, err)
	}
}
