package standin

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"
	"gopkg.in/ini.v1"

	"oleanderfall.example/oleanderfall/internal/protocol/engineapi"
)

// CallerOptions configures a Caller. The keys of its INI section are the field names in
// snake_case, except that MaxAttempts has the key sendings. The defaults in parentheses apply
// to missing keys; those of Deadline and MaxAttempts also apply to zero values.
type CallerOptions struct {
	Name string
	// Entries are the addresses (host:port) of the entry programs from which the caller
	// fetches the addresses to send to. It uses Entries itself when none of them answers.
	// Entries must not be empty.
	Entries []string
	// Service and Calls are set for a caller of a plain service. Its requests cycle through
	// Calls.
	Service string
	Calls   []string
	// NonIdempotent lists the calls that are sent with an idempotency key.
	NonIdempotent []string
	// Deployment is set for a caller that requests token streams.
	Deployment string
	// Rate is the number of requests started per second (10); it must be positive. Count is
	// the total number of requests (100).
	Rate  float64
	Count int
	// Deadline bounds one attempt of a request (3 s).
	Deadline time.Duration
	// MaxAttempts is the maximum number of times that one request is sent (4).
	MaxAttempts int
}

func callerOptions(name string, s *ini.Section) CallerOptions {
	return CallerOptions{
		Name:          name,
		Entries:       s.Key("entries").Strings(","),
		Service:       s.Key("service").String(),
		Calls:         s.Key("calls").Strings(","),
		NonIdempotent: s.Key("non_idempotent").Strings(","),
		Deployment:    s.Key("deployment").String(),
		Rate:          s.Key("rate").MustFloat64(10),
		Count:         s.Key("count").MustInt(100),
		Deadline:      s.Key("deadline").MustDuration(3 * time.Second),
		MaxAttempts:   s.Key("sendings").MustInt(4),
	}
}

// SentRequest describes one request of a caller with all its attempts.
type SentRequest struct {
	// Body is unique among the caller's requests. The endpoint's log contains it.
	Body          string `json:"body"`
	Call          string `json:"call,omitempty"`
	NonIdempotent bool   `json:"non_idempotent"`
	// Answered reports that a complete answer was received, whether correct or not.
	Answered bool `json:"answered"`
	// Wrong describes the error in the answer, or why the request could not be built; empty
	// if there is none.
	Wrong string `json:"wrong,omitempty"`
	// NotRun counts the attempts that were refused with the outcome "not run", Unknown those
	// that failed with another outcome or with an error in the stream, and BrokenConnections
	// those whose connection failed.
	NotRun            int `json:"not_run"`
	Unknown           int `json:"unknown"`
	BrokenConnections int `json:"broken"`
	// Refusal is the time of day (UTC) and the first 256 bytes of the last refusal.
	Refusal string `json:"refusal,omitempty"`
	// Results counts the answers received by result code.
	Results map[string]int `json:"results,omitempty"`
	// Millis is the time from the start of the first attempt to the end of the request.
	Millis float64 `json:"ms"`
}

// Caller simulates a well-behaved client. It caches the addresses that it received for
// their lifetime, and sends an unanswered request again with the same idempotency key.
type Caller struct {
	opt       CallerOptions
	client    *http.Client
	cancel    context.CancelFunc
	done      chan struct{}
	mu        sync.Mutex
	sent      []SentRequest
	addresses []string
	// addressesExpireAt is when addresses must be fetched again.
	addressesExpireAt time.Time
}

// StartCaller starts a caller that runs until all requests have ended or Close is called.
func StartCaller(opt CallerOptions) *Caller {
	ctx, cancel := context.WithCancel(context.Background())
	setDefault(&opt.Deadline, 3*time.Second)
	setDefault(&opt.MaxAttempts, 4)
	c := &Caller{
		opt:    opt,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
		cancel: cancel,
		done:   make(chan struct{}),
	}
	go c.run(ctx)
	return c
}

// SetFaults does nothing, because callers have no faults.
func (c *Caller) SetFaults(Faults) {}

// Close stops the caller without waiting for it.
func (c *Caller) Close() { c.cancel() }

// Done is closed when all requests have ended; after Close, when those in flight have.
func (c *Caller) Done() <-chan struct{} { return c.done }

// Sent returns a copy of the requests that have ended so far.
func (c *Caller) Sent() []SentRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]SentRequest(nil), c.sent...)
}

func (c *Caller) run(ctx context.Context) {
	defer close(c.done)
	limiter := rate.NewLimiter(rate.Limit(c.opt.Rate), 1)
	var running sync.WaitGroup
	for i := range c.opt.Count {
		if limiter.Wait(ctx) != nil {
			break
		}
		running.Add(1)
		go func() {
			defer running.Done()
			c.sendWithRetries(ctx, i)
		}()
	}
	running.Wait()
}

// sendWithRetries sends request i until it is answered, at most MaxAttempts times, and
// records it.
func (c *Caller) sendWithRetries(ctx context.Context, i int) {
	s := SentRequest{Body: fmt.Sprintf("%s-%06d", c.opt.Name, i), Results: map[string]int{}}
	if len(c.opt.Calls) > 0 {
		s.Call = c.opt.Calls[i%len(c.opt.Calls)]
	}
	for _, call := range c.opt.NonIdempotent {
		s.NonIdempotent = s.NonIdempotent || call == s.Call
	}
	start := time.Now()
	for attempt := 0; attempt < c.opt.MaxAttempts && !s.Answered && ctx.Err() == nil; attempt++ {
		wait := c.sendOnce(ctx, &s)
		if !s.Answered {
			_ = sleep(ctx, wait)
		}
	}
	s.Millis = float64(time.Since(start).Microseconds()) / 1000
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent = append(c.sent, s)
}

// sendOnce sends the request, records the outcome in s and returns how long to wait before
// the next attempt.
func (c *Caller) sendOnce(ctx context.Context, s *SentRequest) time.Duration {
	ctx, cancel := context.WithTimeout(ctx, c.opt.Deadline)
	defer cancel()
	address := c.pickAddress(ctx)
	req, err := c.newRequest(ctx, address, s)
	if err != nil {
		s.Wrong = err.Error()
		return 0
	}
	resp, err := c.client.Do(req)
	if err != nil {
		s.BrokenConnections++
		c.expireAddresses()
		return retryDelay
	}
	defer func() { _ = resp.Body.Close() }()
	s.Results[resp.Header.Get("Oleander-Result")]++
	if resp.Header.Get("Oleander-Outcome") != "ran" || resp.StatusCode != http.StatusOK {
		c.recordRefusal(s, resp)
		return retryAfter(resp)
	}
	if c.opt.Deployment != "" {
		s.readStream(resp.Body)
	} else {
		s.readAnswer(resp.Body)
	}
	return retryDelay
}

func (c *Caller) newRequest(ctx context.Context, address string, s *SentRequest) (*http.Request, error) {
	path, body := "/v1/services/"+c.opt.Service+"/"+s.Call, s.Body
	if c.opt.Deployment != "" {
		path = "/v1/deployments/" + c.opt.Deployment + "/generate"
		body = fmt.Sprintf(`{"prompt":%q,"max_tokens":400}`, s.Body)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Oleander-Caller", c.opt.Name)
	req.Header.Set("Oleander-Deadline-Ms", strconv.FormatInt((c.opt.Deadline-responseMargin).Milliseconds(), 10))
	if s.NonIdempotent {
		req.Header.Set("Idempotency-Key", s.Body)
	}
	return req, nil
}

// responseMargin is reserved for the transfer of the answer: the deadline in the request
// header is this much earlier than the caller's own.
const responseMargin = 200 * time.Millisecond

func (c *Caller) recordRefusal(s *SentRequest, resp *http.Response) {
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxLoggedBodyBytes))
	s.Refusal = time.Now().UTC().Format("15:04:05.000 ") + string(text)
	switch resp.Header.Get("Oleander-Outcome") {
	case "not run":
		s.NotRun++
	default:
		s.Unknown++
	}
}

// retryAfter returns the wait that the refusal asks for, at most 2 s.
func retryAfter(resp *http.Response) time.Duration {
	ms, err := strconv.Atoi(resp.Header.Get("Oleander-Retry-After-Ms"))
	if err != nil || ms <= 0 {
		return retryDelay
	}
	return min(time.Duration(ms)*time.Millisecond, 2*time.Second)
}

func (s *SentRequest) readAnswer(body io.Reader) {
	got, err := io.ReadAll(io.LimitReader(body, maxRequestBytes))
	if err != nil {
		s.BrokenConnections++
		return
	}
	s.Answered = true
	if want := PlainAnswer(s.Call, s.Body); string(got) != want {
		s.Wrong = fmt.Sprintf("got %.80q, want %.80q", got, want)
	}
}

// readStream reads a token stream and checks each token. A stream that ends without the
// chunk marked as done counts as a broken connection, a chunk with an error as an unknown
// outcome.
func (s *SentRequest) readStream(body io.Reader) {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxRequestBytes)
	expectedOffset := 0
	for lines.Scan() {
		var chunk engineapi.Chunk
		if json.Unmarshal(lines.Bytes(), &chunk) != nil || chunk.Error != "" {
			s.Unknown++
			return
		}
		if chunk.Offset != expectedOffset {
			s.Wrong = fmt.Sprintf("chunk at %d, want %d", chunk.Offset, expectedOffset)
		}
		for i, token := range chunk.Tokens {
			if token != TokenAt(s.Body, 0, expectedOffset+i) || chunk.Version == 0 {
				s.Wrong = fmt.Sprintf("token %d is not this prompt's, or has no version", expectedOffset+i)
			}
		}
		expectedOffset += len(chunk.Tokens)
		if chunk.Done {
			s.Answered = true
			if chunk.Total != expectedOffset {
				s.Wrong = fmt.Sprintf("%d tokens of %d", expectedOffset, chunk.Total)
			}
			return
		}
	}
	s.BrokenConnections++
}

// pickAddress returns a random one of the addresses, and fetches them first when they have
// expired.
func (c *Caller) pickAddress(ctx context.Context) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().After(c.addressesExpireAt) || len(c.addresses) == 0 {
		c.refreshAddresses(ctx)
	}
	return c.addresses[rand.IntN(len(c.addresses))]
}

// refreshAddresses fetches the addresses from the entries, in random order, until one
// answers. It must be called with mu held.
func (c *Caller) refreshAddresses(ctx context.Context) {
	for _, i := range rand.Perm(len(c.opt.Entries)) {
		if c.fetchAddresses(ctx, c.opt.Entries[i]) {
			return
		}
	}
	c.addresses = c.opt.Entries
}

// fetchAddresses fetches the addresses from one entry and reports whether it answered. It
// must be called with mu held.
func (c *Caller) fetchAddresses(ctx context.Context, entry string) bool {
	ctx, cancel := context.WithTimeout(ctx, 500*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+entry+"/v1/addresses", nil)
	if err != nil {
		return false
	}
	req.Header.Set("Oleander-Caller", c.opt.Name)
	resp, err := c.client.Do(req)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	var answer struct {
		Addresses  []string `json:"addresses"`
		LifetimeMS int64    `json:"lifetime_ms"`
	}
	if json.NewDecoder(resp.Body).Decode(&answer) != nil || len(answer.Addresses) == 0 {
		return false
	}
	c.addresses = answer.Addresses
	c.addressesExpireAt = time.Now().Add(time.Duration(answer.LifetimeMS) * time.Millisecond)
	return true
}

// expireAddresses makes the next attempt fetch the addresses again.
func (c *Caller) expireAddresses() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addressesExpireAt = time.Time{}
}
