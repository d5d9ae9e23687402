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

// maxExplanation bounds the answer of an explain page.
const maxExplanation = 1 << 20

type explainCommand struct {
	Admin []string `required:"" help:"Admin address of an entry or rollout program, HOST:PORT; repeat it to ask several." placeholder:"ADDRESS"`
	ID    string   `arg:"" help:"Id of a request as in its answer, or a sample as TRAINER.STEP.GROUP.INDEX."`
}

// explanation is what the programs' pages have in common.
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

var errNotKnown = errors.New("not known there")

// Run asks each program in turn until one knows the id.
func (c *explainCommand) Run(e *env) error {
	var failed []error
	for _, address := range c.Admin {
		page, err := c.ask(e, address)
		if err == nil {
			return printExplanation(e, page)
		}
		if !errors.Is(err, errNotKnown) {
			failed = append(failed, fmt.Errorf("%s: %w", address, err))
		}
	}
	if len(failed) > 0 {
		return resultcode.New(resultcode.Unreachable, "not every program answers: %v", errors.Join(failed...))
	}
	return resultcode.New(resultcode.NotFound, "none of the programs remembers %s; each keeps its latest only", c.ID)
}

func (c *explainCommand) ask(e *env, address string) ([]byte, error) {
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
		return io.ReadAll(io.LimitReader(resp.Body, maxExplanation))
	case http.StatusNotFound, http.StatusMisdirectedRequest, http.StatusBadRequest:
		// Not remembered, another host's shard, or an id of the other kind.
		return nil, errNotKnown
	}
	return nil, fmt.Errorf("status %d", resp.StatusCode)
}

func printExplanation(e *env, page []byte) error {
	var x explanation
	if e.Output == "json" || json.Unmarshal(page, &x) != nil || len(x.Events) == 0 {
		var indented bytes.Buffer
		if json.Indent(&indented, page, "", "  ") != nil {
			return resultcode.New(resultcode.Internal, "the program's answer is not JSON")
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
