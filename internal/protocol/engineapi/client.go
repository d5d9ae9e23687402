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

// ErrNotSent means that no byte of the request can have reached the endpoint.
var ErrNotSent = errors.New("request not sent")

// ErrStaleFence means that the endpoint has seen an order with a higher fencing token.
var ErrStaleFence = errors.New("stale fencing number")

// ErrDraining means that the endpoint refused the request because it is draining. The
// request did not run.
var ErrDraining = errors.New("endpoint is leaving")

// ErrBusy means that the endpoint refused the request because its queue is full. The
// request did not run.
var ErrBusy = errors.New("endpoint is busy")

// ErrAnswerTooLarge means that the endpoint ran the call but its answer exceeds the size
// limit.
var ErrAnswerTooLarge = errors.New("answer over the size limit")

const (
	// maxLineBytes limits a line of a token stream and a JSON report.
	maxLineBytes = 1 << 20
	// maxAnswerBytes limits the answer of a plain service and an exported KV cache.
	maxAnswerBytes = 8 << 20
)

// Client calls endpoints. It sends each call at most once and never retries.
type Client struct {
	http *http.Client
}

// NewClient returns a client that uses a copy of the given HTTP client. The copy does not
// follow redirects: the redirect target's answer is not the endpoint's, and following a
// redirect would send the call again.
func NewClient(c *http.Client) *Client {
	clone := *c
	clone.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Client{http: &clone}
}

// Stream is an open token stream. The caller must close it.
type Stream struct {
	body    io.ReadCloser
	scanner *bufio.Scanner
	// Incarnation is the engine's incarnation, 0 if not reported.
	Incarnation model.Incarnation
}

// Next returns the next chunk. If the body ends without another chunk, the error wraps
// io.ErrUnexpectedEOF. The caller must check Chunk.Error and Chunk.Done.
func (s *Stream) Next() (Chunk, error) {
	if !s.scanner.Scan() {
		if err := s.scanner.Err(); err != nil {
			return Chunk{}, Error.Wrap(err)
		}
		return Chunk{}, Error.Wrap(io.ErrUnexpectedEOF)
	}
	var c Chunk
	if err := json.Unmarshal(s.scanner.Bytes(), &c); err != nil {
		return Chunk{}, Error.Wrap(err)
	}
	return c, nil
}

// Close ends the stream. If it is not complete, the engine cancels the request.
func (s *Stream) Close() { _ = s.body.Close() }

// Generate opens a token stream at the engine at address (host:port).
func (c *Client) Generate(ctx context.Context, address string, r GenerateRequest) (*Stream, error) {
	body, err := json.Marshal(r)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	resp, err := c.post(ctx, address, "/v1/generate", body, map[string]string{RequestIDHeader: r.RequestID})
	if err != nil {
		return nil, err
	}
	scanner := bufio.NewScanner(resp.Body)
	scanner.Buffer(make([]byte, 0, 4<<10), maxLineBytes)
	return &Stream{body: resp.Body, scanner: scanner, Incarnation: incarnationOf(resp)}, nil
}

// Cancel cancels the request with this id at the engine if it is still running.
func (c *Client) Cancel(ctx context.Context, address, requestID string) error {
	resp, err := c.post(ctx, address, "/v1/cancel/"+requestID, nil, nil)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// Order sends the engine an order. ErrStaleFence means that the engine has an order from
// a newer owner.
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

// Status reads the endpoint's status report.
func (c *Client) Status(ctx context.Context, address string) (Status, error) {
	return getJSON[Status](ctx, c, address, "/v1/status")
}

// Load reads the engine's load report.
func (c *Client) Load(ctx context.Context, address string) (Load, error) {
	return getJSON[Load](ctx, c, address, "/v1/load")
}

// CacheEvents reads the cache events with sequence numbers from the given one on.
func (c *Client) CacheEvents(ctx context.Context, address string, from uint64) (CacheEvents, error) {
	return getJSON[CacheEvents](ctx, c, address, "/v1/cache-events?from="+strconv.FormatUint(from, 10))
}

// Answer is the complete answer of a plain service.
type Answer struct {
	Status int
	Body   []byte
	// Incarnation is the endpoint's incarnation, 0 if not reported.
	Incarnation model.Incarnation
}

// Call sends one call to a plain service and reads the complete answer. An answer of any
// HTTP status is returned unless the endpoint marked it as a refusal.
func (c *Client) Call(ctx context.Context, address string, r CallRequest) (Answer, error) {
	resp, err := c.do(ctx, address, "/v1/call/"+r.Call, r.Body, map[string]string{RequestIDHeader: r.RequestID})
	if err != nil {
		return Answer{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	if err := refusalError(resp); err != nil {
		return Answer{}, err
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err != nil {
		return Answer{}, Error.Wrap(err)
	}
	if len(body) == 0 && resp.StatusCode/100 == 2 && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		// The end of the connection ends such an answer, as it does when the service stops after the head.
		return Answer{}, Error.New("request may have run: the connection ended before the first byte of the body")
	}
	if len(body) > maxAnswerBytes {
		return Answer{Incarnation: incarnationOf(resp)}, Error.Wrap(ErrAnswerTooLarge)
	}
	return Answer{Status: resp.StatusCode, Body: body, Incarnation: incarnationOf(resp)}, nil
}

// ExportKV reads the KV cache of a running request as opaque bytes. A larger cache is
// truncated to maxAnswerBytes without an error.
func (c *Client) ExportKV(ctx context.Context, address, requestID string) ([]byte, error) {
	resp, err := c.get(ctx, address, "/v1/kv/"+requestID)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	return b, Error.Wrap(err)
}

// ImportKV sends an exported KV cache to another engine before the request is resumed
// there.
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
	return requireOK(resp)
}

func (c *Client) post(ctx context.Context, address, path string, body []byte, headers map[string]string) (*http.Response, error) {
	resp, err := c.do(ctx, address, path, body, headers)
	if err != nil {
		return nil, err
	}
	return requireOK(resp)
}

// requireOK returns the response if its status is 200. Otherwise it closes the body and
// returns an error.
func requireOK(resp *http.Response) (*http.Response, error) {
	if resp.StatusCode == http.StatusOK {
		return resp, nil
	}
	defer func() { _ = resp.Body.Close() }()
	if err := refusalError(resp); err != nil {
		return nil, err
	}
	return nil, Error.New("endpoint answered status %d", resp.StatusCode)
}

// RefusalHeader names the reason why an endpoint refused a request without running it:
// leaving (it is draining), busy or stale-fence.
const RefusalHeader = "X-Refused"

func incarnationOf(resp *http.Response) model.Incarnation {
	i, _ := strconv.ParseUint(resp.Header.Get(IncarnationHeader), 10, 64)
	return model.Incarnation(i)
}

// refusalError returns the error for the reason in RefusalHeader, nil if there is none.
func refusalError(resp *http.Response) error {
	switch resp.Header.Get(RefusalHeader) {
	case "leaving":
		return Error.Wrap(ErrDraining)
	case "busy":
		return Error.Wrap(ErrBusy)
	case "stale-fence":
		return Error.Wrap(ErrStaleFence)
	}
	return nil
}

// do sends a POST request once. An error wraps ErrNotSent if the request certainly did
// not reach the endpoint; after any other error the request may have run.
func (c *Client) do(ctx context.Context, address, path string, body []byte, headers map[string]string) (*http.Response, error) {
	trace := &connTrace{}
	req, err := http.NewRequestWithContext(trace.attach(ctx), http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, Error.Wrap(errors.Join(ErrNotSent, err))
	}
	// Without GetBody, net/http cannot resend the request when a reused connection fails.
	req.GetBody = nil
	if deadline, ok := ctx.Deadline(); ok {
		req.Header.Set(DeadlineHeader, strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	}
	for k, v := range headers {
		req.Header.Set(k, v)
	}
	resp, err := c.http.Do(req)
	if err != nil && !trace.mayHaveSent() {
		return nil, Error.Wrap(errors.Join(ErrNotSent, err))
	}
	if err != nil {
		return nil, Error.Wrap(fmt.Errorf("request may have run: %w", err))
	}
	return resp, nil
}

// DeadlineHeader carries the time left for the request in milliseconds.
const DeadlineHeader = "X-Deadline-Ms"
