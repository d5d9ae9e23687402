// Package platformapi defines the messages of the platform's host list and of the scorers,
// with clients that send each call once and never retry.
//
// Invariant: the host list may be out of date. It is used to find hosts to contact and as
// one source of evidence that a host is draining, never as proof that a host is live.
package platformapi

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/zeebo/errs"

	"oleanderfall.example/oleanderfall/internal/state/model"
)

// Error is the class of this package's errors.
var Error = errs.Class("platformapi")

// maxAnswerBytes limits the size of a host list or a scorer's answer.
const maxAnswerBytes = 4 << 20

// ListedHost is one host or endpoint server in the platform's host list.
type ListedHost struct {
	// Host is set for hosts of this system, Endpoint for endpoint servers.
	Host     model.HostID     `json:"host,omitempty"`
	Endpoint model.EndpointID `json:"endpoint,omitempty"`
	Zone     model.ZoneID     `json:"zone"`
	// Draining reports that the platform is draining the host or server.
	Draining bool `json:"leaving"`
	// Control is the UDP address of a host's control program.
	Control string `json:"control,omitempty"`
}

// HostList is the platform's answer to a request for the host list.
type HostList struct {
	Hosts []ListedHost `json:"hosts"`
}

// ReadHostList reads the host list from a base URL such as http://127.0.0.1:7001.
func ReadHostList(ctx context.Context, c *http.Client, base string) (HostList, error) {
	var out HostList
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, base+"/v1/hosts", nil)
	if err != nil {
		return out, Error.Wrap(err)
	}
	return out, roundTrip(c, req, &out)
}

// ScoreRequest requests the score of one sample from a scorer.
type ScoreRequest struct {
	SampleID string   `json:"sample_id"`
	Prompt   string   `json:"prompt"`
	Tokens   []uint32 `json:"tokens"`
}

// ScoreReply is the scorer's answer.
type ScoreReply struct {
	SampleID string  `json:"sample_id"`
	Score    float64 `json:"score"`
}

// Score requests a score from the scorer at address (host:port). Scoring is idempotent.
func Score(ctx context.Context, c *http.Client, address string, r ScoreRequest) (ScoreReply, error) {
	var out ScoreReply
	body, err := json.Marshal(r)
	if err != nil {
		return out, Error.Wrap(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/score", bytes.NewReader(body))
	if err != nil {
		return out, Error.Wrap(err)
	}
	return out, roundTrip(c, req, &out)
}

// roundTrip sends a request and decodes the JSON answer into out. Any status other than 200
// is an error.
func roundTrip(c *http.Client, req *http.Request, out any) error {
	resp, err := c.Do(req)
	if err != nil {
		return Error.Wrap(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return Error.New("unexpected HTTP status %d", resp.StatusCode)
	}
	return Error.Wrap(json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(out))
}
