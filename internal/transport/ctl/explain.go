package ctl

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"text/tabwriter"
	"time"

	"oleanderfall.example/oleanderfall/internal/protocol/resultcode"
)

// maxExplainBytes limits how much of an explain response is read.
const maxExplainBytes = 1 << 20

type explainCommand struct {
	Admin []string `required:"" help:"Admin address of an entry or rollout program, HOST:PORT; repeat it to ask several." placeholder:"ADDRESS"`
	ID    string   `arg:"" help:"Id of a request as in its answer, or a sample as TRAINER.STEP.GROUP.INDEX."`
}

// explanation holds the fields of an explain response that the text output shows.
type explanation struct {
	RequestID string `json:"request_id"`
	Target    string `json:"target"`
	Caller    string `json:"caller"`
	Events    []struct {
		AfterMicros int64  `json:"after_us"`
		What        string `json:"what"`
		Endpoint    string `json:"endpoint"`
		Detail      string `json:"detail"`
	} `json:"events"`
}

var errUnknownID = errors.New("id not known to this program")

// Run queries the programs in turn until one knows the id. NotFound is returned only if
// every program answered that it does not know it.
func (c *explainCommand) Run(e *env) error {
	var failed []error
	for _, address := range c.Admin {
		response, err := c.fetch(e, address)
		if err == nil {
			return printExplanation(e, response)
		}
		if !errors.Is(err, errUnknownID) {
			failed = append(failed, fmt.Errorf("%s: %w", address, err))
		}
	}
	if len(failed) > 0 {
		return resultcode.New(resultcode.Unreachable, "some programs did not answer: %v", errors.Join(failed...))
	}
	return resultcode.New(resultcode.NotFound, "no program has a record of %s; each keeps only its latest records", c.ID)
}

func (c *explainCommand) fetch(e *env, address string) ([]byte, error) {
	req, err := http.NewRequestWithContext(e.ctx, http.MethodGet, "http://"+address+"/v1/explain/"+url.PathEscape(c.ID), nil)
	if err != nil {
		return nil, err
	}
	client := http.Client{Timeout: scrapeTimeout}
	resp, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	switch resp.StatusCode {
	case http.StatusOK:
		return io.ReadAll(io.LimitReader(resp.Body, maxExplainBytes))
	case http.StatusNotFound, http.StatusMisdirectedRequest, http.StatusBadRequest:
		// The program has no record of the id, the shard belongs to another host, or a
		// request id was sent to a rollout program or a sample id to an entry program.
		return nil, errUnknownID
	}
	return nil, fmt.Errorf("unexpected HTTP status %d", resp.StatusCode)
}

// printExplanation prints a table of events, or the indented JSON if --output is json or
// the response has no events.
func printExplanation(e *env, response []byte) error {
	var x explanation
	if e.Output == "json" || json.Unmarshal(response, &x) != nil || len(x.Events) == 0 {
		var indented bytes.Buffer
		if json.Indent(&indented, response, "", "  ") != nil {
			return resultcode.New(resultcode.Internal, "explain response is not valid JSON")
		}
		_, err := fmt.Fprintln(e.out, indented.String())
		return err
	}
	fmt.Fprintf(e.out, "request %s of %s to %s\n", x.RequestID, x.Caller, x.Target)
	table := tabwriter.NewWriter(e.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "AFTER\tWHAT\tENDPOINT\tDETAIL")
	for _, v := range x.Events {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\n", time.Duration(v.AfterMicros)*time.Microsecond, v.What, v.Endpoint, v.Detail)
	}
	return table.Flush()
}
