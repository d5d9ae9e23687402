package entry

import (
	"testing"
	"time"

	"oleanderfall.example/oleanderfall/internal/standin"
	"oleanderfall.example/oleanderfall/internal/transport/httpapi"
)

// testMedian is the median number of tokens of an answer.
const testMedian = 16

// A stream arrives complete, and its chunks carry the weight version of the engine.
func TestStream_CompleteWithVersions(t *testing.T) {
	b := newTestEnv(t)
	b.newEngine(standin.EngineOptions{TokenInterval: time.Millisecond, MedianTokens: testMedian, Version: 7})
	b.apply(nil)
	g := b.generate(httpapi.GenerateRequest{Prompt: "p", Seed: 3})
	checkTokens(t, g, "p", 3, standin.AnswerLength("p", 3, testMedian, 0))
	for _, c := range g.chunks {
		if len(c.Tokens) > 0 && c.Version != 7 {
			t.Errorf("chunk at %d has version %d", c.Offset, c.Version)
		}
	}
}
