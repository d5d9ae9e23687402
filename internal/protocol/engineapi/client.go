package engineapi

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/zeebo/errs"

	"oleanderfall.example/oleanderfall/internal/state/model"
)

// Error is the class of this package's errors.
var Error = errs.Class("engineapi")

// ErrNotSent: no byte of the request can have reached the endpoint.
var ErrNotSent = errors.New("request not sent")

// ErrStaleFence: the endpoint has seen a higher fencing number.
var ErrStaleFence = errors.New("stale fencing number")

// ErrLeaving: the endpoint refused the request because it is leaving; it did not run.
var ErrLeaving = errors.New("endpoint is leaving")

// ErrBusy: the endpoint refused the request because its queue is full; it did not run.
var ErrBusy = errors.New("endpoint is busy")

// ErrAnswerTooLarge: the endpoint ran the call and its answer is over the size limit.
var ErrAnswerTooLarge = errors.New("answer over the size limit")

const (
	maxLineBytes   = 1 << 20
	maxAnswerBytes = 8 << 20
)

// Client calls endpoints. It never repeats a call.
type Client struct {
	http *http.Client
}

// NewClient returns a client over a copy of the given HTTP client that follows no
// redirect: another page's answer is not the endpoint's, and following repeats calls.
func NewClient(c *http.Client) *Client {
	own := *c
	own.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Client{http: &own}
}

// Stream is a running token stream.
type Stream struct {
	body io.ReadCloser
	scan *bufio.Scanner
	// Incarnation is the engine's, 0 when it did not say.
	Incarnation model.Incarnation
}

// Next returns the next chunk. io.ErrUnexpectedEOF means the stream was cut short.
func (s *Stream) Next() (Chunk, error) {
	if !s.scan.Scan() {
		if err := s.scan.Err(); err != nil {
			return Chunk{}, Error.Wrap(err)
		}
		return Chunk{}, Error.Wrap(io.ErrUnexpectedEOF)
	}
	var c Chunk
	if err := json.Unmarshal(s.scan.Bytes(), &c); err != nil {
		return Chunk{}, Error.Wrap(err)
	}
	return c, nil
}

// Close ends the stream; an unfinished one is cancelled at the engine.
func (s *Stream) Close() { _ = s.body.Close() }

// Generate starts a token stream at the engine at address (host:port).
func (c *Client) Generate(ctx context.Context, address string, r GenerateRequest) (*Stream, error) {
	body, err := json.Marshal(r)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	resp, err := c.post(ctx, address, "/v1/generate", body, map[string]string{RequestIDHeader: r.RequestID})
	if err != nil {
		return nil, err
	}
	scan := bufio.NewScanner(resp.Body)
	scan.Buffer(make([]byte, 0, 4<<10), maxLineBytes)
	return &Stream{body: resp.Body, scan: scan, Incarnation: incarnationOf(resp)}, nil
}

// Cancel ends the request with this id at the engine, if it still runs.
func (c *Client) Cancel(ctx context.Context, address, requestID string) error {
	resp, err := c.post(ctx, address, "/v1/cancel/"+requestID, nil, nil)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// Order gives the engine an order. ErrStaleFence means that a newer owner exists.
func (c *Client) Order(ctx context.Context, address string, o Order) error {
	body, err := json.Marshal(o)
	if err != nil {
		return Error.Wrap(err)
	}
	resp, err := c.post(ctx, address, "/v1/orders", body, map[string]string{FenceHeader: strconv.FormatUint(uint64(o.Fence), 10)})
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// Status reads what the endpoint says of itself.
func (c *Client) Status(ctx context.Context, address string) (Status, error) {
	return getJSON[Status](ctx, c, address, "/v1/status")
}

// Load reads the engine's load report.
func (c *Client) Load(ctx context.Context, address string) (Load, error) {
	return getJSON[Load](ctx, c, address, "/v1/load")
}

// CacheEvents reads the cache events from a sequence number on.
func (c *Client) CacheEvents(ctx context.Context, address string, from uint64) (CacheEvents, error) {
	return getJSON[CacheEvents](ctx, c, address, "/v1/cache-events?from="+strconv.FormatUint(from, 10))
}

// Answer is a plain service's whole answer.
type Answer struct {
	Status int
	Body   []byte
	// Incarnation is the endpoint's, 0 when it did not say.
	Incarnation model.Incarnation
}

// Call runs one call of a plain service and reads the whole answer.
func (c *Client) Call(ctx context.Context, address string, r CallRequest) (Answer, error) {
	resp, err := c.do(ctx, address, "/v1/call/"+r.Call, r.Body, map[string]string{RequestIDHeader: r.RequestID})
	if err != nil {
		return Answer{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	if err := refusal(resp); err != nil {
		return Answer{}, err
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err != nil {
		return Answer{}, Error.Wrap(err)
	}
	if len(body) > maxAnswerBytes {
		return Answer{Incarnation: incarnationOf(resp)}, Error.Wrap(ErrAnswerTooLarge)
	}
	return Answer{Status: resp.StatusCode, Body: body, Incarnation: incarnationOf(resp)}, nil
}

// ExportKV reads the KV cache of a running request as opaque bytes.
func (c *Client) ExportKV(ctx context.Context, address, requestID string) ([]byte, error) {
	resp, err := c.get(ctx, address, "/v1/kv/"+requestID)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	return b, Error.Wrap(err)
}

// ImportKV hands an exported KV cache to another engine before a resume there.
func (c *Client) ImportKV(ctx context.Context, address, requestID string, kv []byte) error {
	resp, err := c.post(ctx, address, "/v1/kv/"+requestID, kv, nil)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

func getJSON[T any](ctx context.Context, c *Client, address, path string) (T, error) {
	var out T
	resp, err := c.get(ctx, address, path)
	if err != nil {
		return out, err
	}
	defer func() { _ = resp.Body.Close() }()
	err = json.NewDecoder(io.LimitReader(resp.Body, maxLineBytes)).Decode(&out)
	return out, Error.Wrap(err)
}

func (c *Client) get(ctx context.Context, address, path string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return onlyOK(resp)
}

func (c *Client) post(ctx context.Context, address, path string, body []byte, headers map[string]string) (*http.Response, error) {
	resp, err := c.do(ctx, address, path, body, headers)
	if err != nil {
		return nil, err
	}
	return onlyOK(resp)
}

func onlyOK(resp *http.Response) (*http.Response, error) {
	if resp.StatusCode == http.StatusOK {
		return resp, nil
	}
	defer func() { _ = resp.Body.Close() }()
	if err := refusal(resp); err != nil {
		return nil, err
	}
	return nil, Error.New("endpoint answered status %d", resp.StatusCode)
}

// RefusalHeader says why an endpoint refused a request that it did not run.
const RefusalHeader = "X-Refused"

func incarnationOf(resp *http.Response) model.Incarnation {
	i, _ := strconv.ParseUint(resp.Header.Get(IncarnationHeader), 10, 64)
	return model.Incarnation(i)
}

func refusal(resp *http.Response) error {
	switch resp.Header.Get(RefusalHeader) {
	case "leaving":
		return Error.Wrap(ErrLeaving)
	case "busy":
		return Error.Wrap(ErrBusy)
	case "stale-fence":
		return Error.Wrap(ErrStaleFence)
	}
	return nil
}

func (c *Client) do(ctx context.Context, address, path string, body []byte, headers map[string]string) (*http.Response, error) {
	sent := &sentTrace{}
	req, err := http.NewRequestWithContext(sent.context(ctx), http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, Error.Wrap(errors.Join(ErrNotSent, err))
	}
	// net/http repeats a request on a reused connection only when GetBody is set.
	req.GetBody = nil
	if deadline, ok := ctx.Deadline(); ok {
		req.Header.Set(DeadlineHeader, strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	}
	for k, v := range headers {
		req.Header.Set(k, v)
	}
	resp, err := c.http.Do(req)
	if err != nil && !sent.wrote() {
		return nil, Error.Wrap(errors.Join(ErrNotSent, err))
	}
	if err != nil {
		return nil, Error.Wrap(fmt.Errorf("request may have run: %w", err))
	}
	return resp, nil
}

// DeadlineHeader carries the milliseconds left for the request.
const DeadlineHeader = "X-Deadline-Ms"
