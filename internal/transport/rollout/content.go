package rollout

import (
	"sync"

	"oleanderfall.example/oleanderfall/internal/coordination/samples"
	"oleanderfall.example/oleanderfall/internal/protocol/trainerapi"
)

const tokenBytes = 4

// content holds the tokens of one attempt. The attempt's worker appends to it while the
// owner's event loop may read a prefix.
type content struct {
	mu        sync.Mutex
	requestID string
	attemptID samples.AttemptID
	// counted is set if the size is included in owner.heldBytes.
	counted  bool
	tokens   []uint32
	recorder *samples.Recorder
	score    float64
}

// resume returns the content of a new attempt that starts with the first n tokens of c.
func (c *content) resume(requestID string, n int) *content {
	c.mu.Lock()
	defer c.mu.Unlock()
	n = min(n, len(c.tokens))
	var spans []samples.Span
	for _, s := range c.recorder.Spans() {
		if s.From < n {
			s.To = min(s.To, n)
			spans = append(spans, s)
		}
	}
	return &content{
		requestID: requestID,
		tokens:    append([]uint32(nil), c.tokens[:n]...),
		recorder:  samples.NewRecorder(requestID, spans),
	}
}

func newContent(requestID string) *content {
	return &content{requestID: requestID, recorder: samples.NewRecorder(requestID, nil)}
}

// sample returns the content in the form that is sent to the trainer.
func (c *content) sample(step uint64, group, index int, prompt string) trainerapi.Sample {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := trainerapi.Sample{
		Step: step, Group: group, Index: index, Prompt: prompt, Tokens: c.tokens, Score: c.score,
	}
	for _, s := range c.recorder.Spans() {
		out.Spans = append(out.Spans, trainerapi.Span{From: s.From, To: s.To, Version: s.Version, RequestID: s.RequestID})
		out.RequestID = s.RequestID
	}
	return out
}

func (c *content) bytes() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return cap(c.tokens) * tokenBytes
}
