// Package batches holds the batches of samples that trainers submit: what a batch
// consists of, the manifest that makes it accepted, and its log of results.
//
// Invariant: a batch exists once its manifest was created. Log entry n is created
// only by a writer that has read entries 0 to n-1, and is never replaced, so that a
// result keeps its position and no sample is listed twice, whoever writes.
package batches

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("batches")

// Scoring is the request whose answer scores a finished sample.
type Scoring struct {
	ID   string `json:"id"`
	Host string `json:"host"`
	Path string `json:"path"`
	Body []byte `json:"body"`
}

// Sample is one item of a batch.
type Sample struct {
	ID     string            `json:"id"`
	Path   string            `json:"path"`
	Header map[string]string `json:"header"`
	Body   []byte            `json:"body"`
	Group  string            `json:"group"`
	// PromptTokens and MaxOutputTokens are what the caller stated, zero when unknown.
	PromptTokens    int `json:"prompt_tokens,omitempty"`
	MaxOutputTokens int `json:"max_output_tokens,omitempty"`
	// ExpectedTokens is the caller's guess of the output's length.
	ExpectedTokens int      `json:"expected_tokens,omitempty"`
	Scoring        *Scoring `json:"scoring,omitempty"`
}

// Batch is a step's samples as a trainer submitted them.
type Batch struct {
	ID    string `json:"id"`
	Host  string `json:"host"`
	Path  string `json:"path"`
	Step  int    `json:"step"`
	Model string `json:"model"`
	// MinVersion is the oldest weight version that may generate any of the tokens.
	MinVersion int `json:"min_version"`
	// DesiredGroups is the number of complete groups that the trainer waits for.
	DesiredGroups int      `json:"desired_groups"`
	Samples       []Sample `json:"samples"`
}

// Manifest is the object whose creation accepts a batch.
type Manifest struct {
	ID string `json:"id"`
	// Digest is that of the batch's content; a repeated submission has the same.
	Digest string `json:"digest"`
	// Parts is the number of objects that hold the content.
	Parts int `json:"parts"`
	// Total is the number of samples.
	Total int `json:"total"`
	// AcceptedUnixMs is the acceptor's time of day, in milliseconds.
	AcceptedUnixMs int64 `json:"accepted_unix_ms"`
	// Owner is the host that runs the batch; Epoch grows with each change of it.
	Owner string `json:"owner"`
	Epoch uint64 `json:"epoch"`
	// Ended says that the trainer wants no more results.
	Ended bool `json:"ended"`
}

// Accepted returns the time of acceptance.
func (m *Manifest) Accepted() time.Time { return time.UnixMilli(m.AcceptedUnixMs) }

// Outcome is how a sample ended.
type Outcome string

// The outcomes.
const (
	Completed Outcome = "completed"
	Abandoned Outcome = "abandoned"
)

// Result is a sample's listed result.
type Result struct {
	ID      string  `json:"id"`
	Outcome Outcome `json:"outcome"`
	// Text is the data of all events in order, separated by line feeds.
	Text string `json:"text"`
	// Versions are the weight versions that made an event of the text, ascending.
	Versions []int `json:"versions"`
	// Score is the signature of the scoring request's answer.
	Score string `json:"score"`
}

// Size approximates the result's size on the wire in bytes.
func (r *Result) Size() int { return len(r.Text) + len(r.ID) + len(r.Score) + resultOverheadBytes }

const resultOverheadBytes = 96

// LogEntry is one append to a batch's log.
type LogEntry struct {
	// First is the position of the first result.
	First   int      `json:"first"`
	Results []Result `json:"results"`
	// Sealed says that no entry follows: what is listed is final.
	Sealed bool `json:"sealed,omitempty"`
}

// The kinds of objects that hold batches.
const (
	manifestPrefix = "batches/"
	partPrefix     = "batchparts/"
	logPrefix      = "batchlogs/"
	partialsPrefix = "batchpartials/"
)

// ManifestPrefix is the prefix of all manifests' keys.
const ManifestPrefix = manifestPrefix

// ManifestKey is the key of a batch's manifest.
func ManifestKey(id string) string { return manifestPrefix + id }

// PartKey is the key of the nth part of a batch's content.
func PartKey(id, digest string, n int) string {
	return fmt.Sprintf("%s%s-%.12s-%d", partPrefix, id, digest, n)
}

// LogKey is the key of the nth entry of a batch's log.
func LogKey(id string, n int) string { return fmt.Sprintf("%s%s-%d", logPrefix, id, n) }

// PartialsKey is the key of what a batch's owner saved of its unfinished samples.
func PartialsKey(id string) string { return partialsPrefix + id }

// maxIDBytes bounds the ids that can be part of a key.
const maxIDBytes = 128

// ValidID reports whether id can name a batch or a sample.
func ValidID(id string) bool {
	if id == "" || len(id) > maxIDBytes {
		return false
	}
	for _, c := range id {
		switch {
		case c >= '0' && c <= '9', c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c == '-', c == '_', c == '.':
		default:
			return false
		}
	}
	return true
}

// Encode returns a value's stored form.
func Encode(v any) ([]byte, error) {
	b, err := json.Marshal(v)
	return b, Error.Wrap(err)
}

// Decode reads a stored value.
func Decode(b []byte, v any) error { return Error.Wrap(json.Unmarshal(b, v)) }
