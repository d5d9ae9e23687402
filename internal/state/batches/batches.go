// Package batches defines the stored form of the batches of samples that trainers submit: a
// batch's content, the manifest whose creation accepts it, and its log of results.
//
// Invariant: a batch exists once its manifest has been created. Log entry n is created only by
// a writer that has read entries 0 to n-1, and it is never replaced. Results therefore keep
// their position, and no sample is listed twice, even if the writer changes.
package batches

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("batches")

// Scoring is the request whose answer scores a completed sample.
type Scoring struct {
	ID   string `json:"id"`
	Host string `json:"host"`
	Path string `json:"path"`
	Body []byte `json:"body"`
}

// Sample is the request for one sample of a batch.
type Sample struct {
	ID     string            `json:"id"`
	Path   string            `json:"path"`
	Header map[string]string `json:"header"`
	Body   []byte            `json:"body"`
	// Group names the group of the sample. A sample without a group given by the trainer is
	// a group of its own.
	Group string `json:"group"`
	// PromptTokens and MaxOutputTokens are the caller's values, zero if unknown.
	PromptTokens    int `json:"prompt_tokens,omitempty"`
	MaxOutputTokens int `json:"max_output_tokens,omitempty"`
	// ExpectedTokens is the caller's estimate of the output length.
	ExpectedTokens int      `json:"expected_tokens,omitempty"`
	Scoring        *Scoring `json:"scoring,omitempty"`
}

// Batch contains the samples of a step as submitted by a trainer.
type Batch struct {
	ID    string `json:"id"`
	Host  string `json:"host"`
	Path  string `json:"path"`
	Step  int    `json:"step"`
	Model string `json:"model"`
	// MinVersion is the oldest weight version that may generate tokens of the batch.
	MinVersion int `json:"min_version"`
	// DesiredGroups is the number of complete groups for which the trainer waits.
	DesiredGroups int      `json:"desired_groups"`
	Samples       []Sample `json:"samples"`
	// Team is the name of the team to which the batch belongs, empty for none. It is part of the
	// content, so that another team's submission of the same batch is a conflict.
	Team string `json:"team,omitempty"`
}

// Manifest is the object whose creation accepts a batch.
type Manifest struct {
	ID string `json:"id"`
	// Digest is the digest of the batch's content. A repeated submission has the same
	// digest.
	Digest string `json:"digest"`
	// Parts is the number of objects that store the content.
	Parts int `json:"parts"`
	// Total is the number of samples.
	Total int `json:"total"`
	// AcceptedUnixMs is the time of acceptance by the accepting host's clock, in Unix
	// milliseconds. Clocks differ and step, so it is only logged. Builds that do not know AgeMs
	// rely on it.
	AcceptedUnixMs int64 `json:"accepted_unix_ms"`
	// AgeMs is how long ago, in milliseconds, the batch had been accepted at least when this
	// manifest was written.
	AgeMs int64 `json:"age_ms,omitempty"`
	// Owner is the host that runs the batch. Epoch increases with each change of owner.
	Owner string `json:"owner"`
	Epoch uint64 `json:"epoch"`
	// Ended reports that the trainer has ended the batch and needs no more results.
	Ended bool `json:"ended"`
	// Removed reports that the batch has expired and that its objects are being deleted.
	Removed bool `json:"removed,omitempty"`
	// Team is that of the content. Calls about the batch are checked with it.
	Team string `json:"team,omitempty"`
}

// Accepted returns the time of acceptance.
func (m *Manifest) Accepted() time.Time { return time.UnixMilli(m.AcceptedUnixMs) }

// Outcome is the outcome of a sample.
type Outcome string

// The outcomes.
const (
	Completed Outcome = "completed"
	Abandoned Outcome = "abandoned"
)

// Result is the result of a sample in the batch's log.
type Result struct {
	ID      string  `json:"id"`
	Outcome Outcome `json:"outcome"`
	// Text is the data of all events in order, separated by newlines.
	Text string `json:"text"`
	// Versions lists the weight versions that generated the events of the text, ascending.
	Versions []int `json:"versions"`
	// Score is the signature in the scoring request's answer.
	Score string `json:"score"`
}

// Size returns an estimate of the result's encoded size in bytes.
func (r *Result) Size() int { return len(r.Text) + len(r.ID) + len(r.Score) + resultOverheadBytes }

// resultOverheadBytes is the estimated size of a result's other fields.
const resultOverheadBytes = 96

// LogEntry is one entry of a batch's log.
type LogEntry struct {
	// First is the position of the entry's first result in the batch.
	First   int      `json:"first"`
	Results []Result `json:"results"`
	// Sealed reports that no entry follows, so that the listed results are final.
	Sealed bool `json:"sealed,omitempty"`
}

// The key prefixes of the objects that store batches.
const (
	manifestPrefix = "batches/"
	partPrefix     = "batchparts/"
	logPrefix      = "batchlogs/"
	partialsPrefix = "batchpartials/"
)

// ManifestPrefix is the key prefix of all manifests.
const ManifestPrefix = manifestPrefix

// ManifestKey returns the key of a batch's manifest.
func ManifestKey(id string) string { return manifestPrefix + id }

// PartKey returns the key of part n of a batch's content.
func PartKey(id, digest string, n int) string {
	return fmt.Sprintf("%s%s-%.12s-%d", partPrefix, id, digest, n)
}

// LogKey returns the key of entry n of a batch's log.
func LogKey(id string, n int) string { return fmt.Sprintf("%s%s-%d", logPrefix, id, n) }

// PartPrefix is the key prefix of the parts of all batches' contents.
const PartPrefix = partPrefix

// LogPrefix is the key prefix of all entries of all batches' logs.
const LogPrefix = logPrefix

// BatchLogPrefix returns the key prefix of the entries of a batch's log. A batch whose ID begins
// with this one's may have keys with the same prefix; LogEntryNumber tells them apart.
func BatchLogPrefix(id string) string { return logPrefix + id + "-" }

// LogEntryNumber returns the number of the entry of a batch's log that has this key. ok is
// false if it is the key of another object.
func LogEntryNumber(id, key string) (n int, ok bool) {
	number, ok := strings.CutPrefix(key, BatchLogPrefix(id))
	if !ok {
		return 0, false
	}
	n, err := strconv.Atoi(number)
	return n, err == nil && n >= 0
}

// PartialsKey returns the key of the object in which a batch's owner saves the progress of
// unfinished samples.
func PartialsKey(id string) string { return partialsPrefix + id }

// maxIDBytes bounds the IDs that may be part of a key.
const maxIDBytes = 128

// ValidID reports whether id is valid as the ID of a batch or a sample.
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

// Encode returns the stored form of v.
func Encode(v any) ([]byte, error) {
	b, err := json.Marshal(v)
	return b, Error.Wrap(err)
}

// Decode decodes a stored value into v.
func Decode(b []byte, v any) error { return Error.Wrap(json.Unmarshal(b, v)) }
