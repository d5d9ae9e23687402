package samples

import (
	"oleanderfall.example/oleanderfall/internal/state/model"
)

// Span is a range of tokens [From, To) made under one weight version.
type Span struct {
	From    int
	To      int
	Version model.WeightVersion
	// RequestID is the request that made the tokens.
	RequestID string
}

// Recorder notes which weight version made which tokens of one sample, from what the
// engine reported with the tokens.
type Recorder struct {
	requestID string
	spans     []Span
	next      int
}

// NewRecorder returns a recorder of the tokens that a request makes after the spans
// of a kept prefix.
func NewRecorder(requestID string, prefix []Span) *Recorder {
	r := &Recorder{requestID: requestID, spans: append([]Span(nil), prefix...)}
	if n := len(prefix); n > 0 {
		r.next = prefix[n-1].To
	}
	return r
}

// Add records count tokens from offset on, reported with version. An error means that
// the versions of the sample are in doubt: it must not be delivered.
func (r *Recorder) Add(offset, count int, version model.WeightVersion) error {
	if count == 0 {
		return nil
	}
	if version == 0 {
		return Error.New("tokens %d to %d came without a version", offset, offset+count)
	}
	if offset != r.next {
		return Error.New("tokens from %d came where %d was due", offset, r.next)
	}
	r.next += count
	if n := len(r.spans); n > 0 && r.spans[n-1].Version == version && r.spans[n-1].RequestID == r.requestID {
		r.spans[n-1].To = r.next
		return nil
	}
	r.spans = append(r.spans, Span{From: offset, To: r.next, Version: version, RequestID: r.requestID})
	return nil
}

// End checks that the answer of total tokens was recorded whole.
func (r *Recorder) End(total int) error {
	if total != r.next || total == 0 {
		return Error.New("recorded %d tokens of %d", r.next, total)
	}
	return nil
}

// Spans returns the spans so far.
func (r *Recorder) Spans() []Span { return r.spans }

// Tokens returns the number of tokens so far.
func (r *Recorder) Tokens() int { return r.next }

// Oldest returns the lowest version so far, 0 before the first token.
func (r *Recorder) Oldest() model.WeightVersion {
	oldest := model.WeightVersion(0)
	for i, s := range r.spans {
		if i == 0 || s.Version < oldest {
			oldest = s.Version
		}
	}
	return oldest
}
