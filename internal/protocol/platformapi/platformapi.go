// Package platformapi holds the messages of the platform's host list and of the
// services that score samples, with clients that send each call once.
//
// Invariant: the host list lags; it names hosts to try and is one witness of a
// leaving host, never proof that a host is alive.
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

const maxListBytes = 4 << 20

// ListedHost is one host or endpoint server in the platform's list.
type ListedHost struct {
	// Host is set for hosts of the system, Endpoint for endpoint servers.
	Host     model.HostID     `json:"host,omitempty"`
	Endpoint model.EndpointID `json:"endpoint,omitempty"`
	Zone     model.ZoneID     `json:"zone"`
	Leaving  bool             `json:"leaving"`
	// Control is the UDP address of a host's control program.
	Control string `json:"control,omitempty"`
}

// HostList is the platform's answer.
type HostList struct {
	Hosts []ListedHost `json:"hosts"`
}

// ReadHostList reads the list from base, such as http://127.0.0.1:7001.
func ReadHostList(ctx context.Context, c *http.Client, base string) (HostList, error) {
	var out HostList
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, base+"/v1/hosts", nil)
	if err != nil {
		return out, Error.Wrap(err)
	}
	return out, roundTrip(c, req, &out)
}

// ScoreRequest asks a scorer for the score of one sample.
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

// Score asks the scorer at address (host:port). Scoring is idempotent.
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

func roundTrip(c *http.Client, req *http.Request, out any) error {
	resp, err := c.Do(req)
	if err != nil {
		return Error.Wrap(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return Error.New("status %d", resp.StatusCode)
	}
	return Error.Wrap(json.NewDecoder(io.LimitReader(resp.Body, maxListBytes)).Decode(out))
}
