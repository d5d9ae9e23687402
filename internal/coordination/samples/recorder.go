package samples

import (
	"oleanderfall.example/oleanderfall/internal/state/model"
)

// Span is a range of tokens [From, To) generated under one weight version.
type Span struct {
	From    int
	To      int
	Version model.WeightVersion
	// RequestID identifies the request that generated the tokens.
	RequestID string
}

// Recorder records under which weight version each token of a sample was generated, as
// reported by the engine with the tokens.
type Recorder struct {
	requestID  string
	spans      []Span
	nextOffset int
}

// NewRecorder returns a recorder for the tokens that a request generates after a prefix
// with the given spans.
func NewRecorder(requestID string, prefix []Span) *Recorder {
	r := &Recorder{requestID: requestID, spans: append([]Span(nil), prefix...)}
	if n := len(prefix); n > 0 {
		r.nextOffset = prefix[n-1].To
	}
	return r
}

// Add records count tokens, starting at offset, that were reported with version. After an
// error the versions of the sample's tokens are uncertain, and it must not be delivered.
func (r *Recorder) Add(offset, count int, version model.WeightVersion) error {
	if count == 0 {
		return nil
	}
	if version == 0 {
		return Error.New("record tokens %d to %d: engine reported no weight version", offset, offset+count)
	}
	if offset != r.nextOffset {
		return Error.New("record tokens: received offset %d, expected %d", offset, r.nextOffset)
	}
	r.nextOffset += count
	if n := len(r.spans); n > 0 && r.spans[n-1].Version == version && r.spans[n-1].RequestID == r.requestID {
		r.spans[n-1].To = r.nextOffset
		return nil
	}
	r.spans = append(r.spans, Span{From: offset, To: r.nextOffset, Version: version, RequestID: r.requestID})
	return nil
}

// CheckComplete returns an error if the number of tokens recorded differs from total, the
// number of tokens of the answer, or is 0.
func (r *Recorder) CheckComplete(total int) error {
	if total != r.nextOffset || total == 0 {
		return Error.New("answer incomplete: recorded %d of %d tokens", r.nextOffset, total)
	}
	return nil
}

// Spans returns the spans recorded so far. The caller must not change them.
func (r *Recorder) Spans() []Span { return r.spans }

// Tokens returns the number of tokens recorded so far, the prefix included.
func (r *Recorder) Tokens() int { return r.nextOffset }

// Oldest returns the lowest version recorded so far, 0 before the first token.
func (r *Recorder) Oldest() model.WeightVersion {
	oldest := model.WeightVersion(0)
	for i, s := range r.spans {
		if i == 0 || s.Version < oldest {
			oldest = s.Version
		}
	}
	return oldest
}
