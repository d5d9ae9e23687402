package objectapi

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
)

// HTTPClient implements API over the platform's HTTP interface. It sends each call once;
// Client adds budgets, retries and the resolution of lost answers.
type HTTPClient struct {
	base string
	http *http.Client
}

// VersionHeader is the response header with an object's version.
const VersionHeader = "X-Object-Version"

// ExpectHeader is the request header with the expected version of a conditional write.
const ExpectHeader = "X-Expect-Version"

// maxPageBytes exceeds the length of a page of a listing. The platform's store has about 1 MB in one, and values are in
// base64.
const maxPageBytes = 16 << 20

// NewHTTPClient returns a client of the API at the URL base, such as http://127.0.0.1:7000.
// c must have no Timeout, because that would also end watches.
func NewHTTPClient(base string, c *http.Client) *HTTPClient {
	return &HTTPClient{base: base, http: c}
}

// Get implements API.
func (c *HTTPClient) Get(ctx context.Context, key string) (Object, error) {
	resp, err := c.send(ctx, http.MethodGet, c.objectURL(key), nil, 0, false)
	if err != nil {
		return Object{}, err
	}
	defer drainAndClose(resp.Body)
	value, err := io.ReadAll(io.LimitReader(resp.Body, MaxValueBytes+1))
	if err != nil {
		return Object{}, unavailable(err)
	}
	if len(value) > MaxValueBytes {
		return Object{}, Error.Wrap(ErrTooLarge)
	}
	version, err := strconv.ParseUint(resp.Header.Get(VersionHeader), 10, 64)
	if err != nil {
		return Object{}, unavailable(err)
	}
	return Object{Key: key, Value: value, Version: version}, nil
}

// Put implements API.
func (c *HTTPClient) Put(ctx context.Context, key string, value []byte, expect uint64) (uint64, error) {
	if len(value) > MaxValueBytes {
		return 0, Error.Wrap(ErrTooLarge)
	}
	resp, err := c.send(ctx, http.MethodPut, c.objectURL(key), value, expect, true)
	if err != nil {
		return 0, err
	}
	defer drainAndClose(resp.Body)
	version, err := strconv.ParseUint(resp.Header.Get(VersionHeader), 10, 64)
	if err != nil {
		return 0, unavailable(err)
	}
	return version, nil
}

// Delete implements API.
func (c *HTTPClient) Delete(ctx context.Context, key string, expect uint64) error {
	resp, err := c.send(ctx, http.MethodDelete, c.objectURL(key), nil, expect, true)
	if err != nil {
		return err
	}
	drainAndClose(resp.Body)
	return nil
}

// List implements API.
func (c *HTTPClient) List(ctx context.Context, prefix, after string, limit int) (Page, error) {
	q := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	resp, err := c.send(ctx, http.MethodGet, c.base+"/v1/list?"+q.Encode(), nil, 0, false)
	if err != nil {
		return Page{}, err
	}
	defer drainAndClose(resp.Body)
	var page Page
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxPageBytes)).Decode(&page); err != nil {
		return Page{}, unavailable(err)
	}
	return page, nil
}

// Watch implements API.
func (c *HTTPClient) Watch(ctx context.Context, prefix string, from uint64) (Watcher, error) {
	ctx, cancel := context.WithCancel(ctx)
	q := url.Values{"prefix": {prefix}, "from": {strconv.FormatUint(from, 10)}}
	resp, err := c.send(ctx, http.MethodGet, c.base+"/v1/watch?"+q.Encode(), nil, 0, false)
	if err != nil {
		cancel()
		return nil, err
	}
	return &httpWatcher{cancel: cancel, body: resp.Body, dec: json.NewDecoder(resp.Body)}, nil
}

func (c *HTTPClient) objectURL(key string) string {
	return c.base + "/v1/objects/" + (&url.URL{Path: key}).EscapedPath()
}

func (c *HTTPClient) send(ctx context.Context, method, target string, body []byte, expect uint64, conditional bool) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if conditional {
		req.Header.Set(ExpectHeader, strconv.FormatUint(expect, 10))
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, unavailable(err)
	}
	if resp.StatusCode == http.StatusOK {
		return resp, nil
	}
	defer drainAndClose(resp.Body)
	return nil, Error.Wrap(statusError(resp.StatusCode))
}

func statusError(status int) error {
	switch status {
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusPreconditionFailed:
		return ErrConflict
	case http.StatusTooManyRequests:
		return ErrThrottled
	case http.StatusLocked:
		return ErrRefused
	case http.StatusGone:
		return ErrCompacted
	case http.StatusRequestEntityTooLarge:
		return ErrTooLarge
	}
	return fmt.Errorf("%w: status %d", ErrUnavailable, status)
}

func unavailable(err error) error {
	return Error.Wrap(errors.Join(ErrUnavailable, err))
}

// drainAndClose reads the rest of a body, up to a limit, so that the connection can be
// reused, and closes it.
func drainAndClose(body io.ReadCloser) {
	_, _ = io.Copy(io.Discard, io.LimitReader(body, 64<<10))
	_ = body.Close()
}

type httpWatcher struct {
	cancel context.CancelFunc
	body   io.Closer
	dec    *json.Decoder
}

// Next implements Watcher. Cancelling ctx ends the watch.
func (w *httpWatcher) Next(ctx context.Context) (Event, error) {
	stop := context.AfterFunc(ctx, w.cancel)
	defer stop()
	var e Event
	if err := w.dec.Decode(&e); err != nil {
		w.Close()
		return Event{}, unavailable(err)
	}
	return e, nil
}

// Close implements Watcher.
func (w *httpWatcher) Close() {
	w.cancel()
	_ = w.body.Close()
}
