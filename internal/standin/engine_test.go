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

func fastEngine(t *testing.T, opt EngineOptions) *Engine {
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

func readAll(t *testing.T, s *engineapi.Stream) (tokens []uint32, versions []uint64, err error) {
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

func TestEngineResumesWithTheSameTokens(t *testing.T) {
	e := fastEngine(t, EngineOptions{})
	client := engineapi.NewClient(http.DefaultClient)
	whole, err := client.Generate(t.Context(), e.Address(), engineapi.GenerateRequest{RequestID: "a", Prompt: "p"})
	if err != nil {
		t.Fatal(err)
	}
	tokens, _, err := readAll(t, whole)
	if err != nil || len(tokens) != AnswerLength("p", 0, 64, 0) {
		t.Fatalf("%d tokens: %v", len(tokens), err)
	}
	rest, err := client.Generate(t.Context(), e.Address(), engineapi.GenerateRequest{RequestID: "b", Prompt: "p", Offset: 5})
	if err != nil {
		t.Fatal(err)
	}
	resumed, _, err := readAll(t, rest)
	if err != nil || len(resumed) != len(tokens)-5 || resumed[0] != tokens[5] {
		t.Fatalf("resumed %d of %d tokens: %v", len(resumed), len(tokens), err)
	}
}

func TestSwapInTheMiddleShowsInChunksAndLog(t *testing.T) {
	e := fastEngine(t, EngineOptions{MedianTokens: 400})
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
	_, versions, err := readAll(t, s)
	if err != nil || versions[len(versions)-1] != 2 {
		t.Fatalf("last version %d: %v", versions[len(versions)-1], err)
	}
	spans := e.Runs()[0].Spans
	if len(spans) != 2 || spans[0].Version != 1 || spans[1].Version != 2 || spans[0].To != spans[1].From {
		t.Fatalf("logged spans %v", spans)
	}
}

func TestFencingEngineRefusesAnOldOrder(t *testing.T) {
	e := fastEngine(t, EngineOptions{Fencing: true})
	client := engineapi.NewClient(http.DefaultClient)
	if err := client.Order(t.Context(), e.Address(), engineapi.Order{Fence: 5, Role: "decode"}); err != nil {
		t.Fatal(err)
	}
	err := client.Order(t.Context(), e.Address(), engineapi.Order{Fence: 4, Version: 9})
	if !errors.Is(err, engineapi.ErrStaleFence) || e.Version() != 1 {
		t.Fatalf("old order: %v, version %d", err, e.Version())
	}
}

func TestCutStreamHasNoEndMark(t *testing.T) {
	e := fastEngine(t, EngineOptions{})
	e.SetFaults(Faults{CutAtByte: 200})
	client := engineapi.NewClient(http.DefaultClient)
	s, err := client.Generate(t.Context(), e.Address(), engineapi.GenerateRequest{RequestID: "a", Prompt: "p"})
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := readAll(t, s); err == nil {
		t.Fatal("a cut stream ended without an error")
	}
}

func TestCrashKeyCrashesAndANewIncarnationComesBack(t *testing.T) {
	p, err := NewPlain("127.0.0.1:0", PlainOptions{Name: "p"})
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	p.SetFaults(Faults{CrashOnKey: "poison"})
	client := engineapi.NewClient(&http.Client{Transport: &http.Transport{DisableKeepAlives: true}})
	if _, err := client.Call(t.Context(), p.Address(), engineapi.CallRequest{RequestID: "1", Call: "c", Body: []byte("poison")}); err == nil {
		t.Fatal("the crash answered")
	}
	for {
		st, err := client.Status(t.Context(), p.Address())
		if err == nil && st.Incarnation == 2 {
			return
		}
		if t.Context().Err() != nil {
			t.Fatal("no new incarnation")
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func TestStoreLosesAnswersNotEffects(t *testing.T) {
	s := NewObjectStore(ObjectStoreOptions{})
	s.SetFaults(Faults{LoseAnswers: 1, LoseKeyPrefix: "a/"})
	ctx := context.Background()
	if _, err := s.Put(ctx, "b/1", []byte("x"), 0); err != nil {
		t.Fatal(err)
	}
	if _, err := s.Put(ctx, "a/1", []byte("x"), 0); !objectapi.Unresolved(err) {
		t.Fatalf("lost answer: %v", err)
	}
	if o, err := s.Get(ctx, "a/1"); err != nil || string(o.Value) != "x" {
		t.Fatalf("object %+v: %v", o, err)
	}
	if _, err := s.Put(ctx, "a/1", []byte("y"), 0); !errors.Is(err, objectapi.ErrConflict) {
		t.Fatalf("second create: %v", err)
	}
}

func TestWatchBehindTheHistoryIsCompacted(t *testing.T) {
	s := NewObjectStore(ObjectStoreOptions{History: 2})
	ctx := context.Background()
	for _, key := range []string{"a", "b", "c", "d"} {
		if _, err := s.Put(ctx, key, nil, 0); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := s.Watch(ctx, "", 1); !errors.Is(err, objectapi.ErrCompacted) {
		t.Fatalf("old watch: %v", err)
	}
	w, err := s.Watch(ctx, "", 2)
	if err != nil {
		t.Fatal(err)
	}
	defer w.Close()
	if e, err := w.Next(ctx); err != nil || e.Key != "c" {
		t.Fatalf("event %+v: %v", e, err)
	}
}
