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

// CallerOptions describes a caller stand-in; the keys of its INI section are the
// snake_case names.
type CallerOptions struct {
	Name string
	// Entries are the addresses (host:port) to ask for addresses at first.
	Entries []string
	// Service and Calls are set for calls of a plain service, in turn.
	Service string
	Calls   []string
	// NonIdempotent are the calls sent with an idempotency key.
	NonIdempotent []string
	// Deployment is set for token streams.
	Deployment string
	// Rate is the number of requests begun a second, Count the number in all.
	Rate  float64
	Count int
	// Deadline bounds one sending (3 s).
	Deadline time.Duration
	// Sendings bounds how often one request is sent (4).
	Sendings int
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
		Sendings:      s.Key("sendings").MustInt(4),
	}
}

// Sent is one request of a caller, with all its sendings.
type Sent struct {
	// Body is unique over the caller's requests; endpoint logs hold it.
	Body          string `json:"body"`
	Call          string `json:"call,omitempty"`
	NonIdempotent bool   `json:"non_idempotent"`
	Answered      bool   `json:"answered"`
	// Wrong tells how an answer broke a rule, empty when none did.
	Wrong string `json:"wrong,omitempty"`
	// NotRun and Unknown count the refusals with these outcomes; Broken counts
	// sendings whose connection failed.
	NotRun  int `json:"not_run"`
	Unknown int `json:"unknown"`
	Broken  int `json:"broken"`
	// Refusal is the last refusal's text, with the time it came.
	Refusal string `json:"refusal,omitempty"`
	// Results counts the result codes got.
	Results map[string]int `json:"results,omitempty"`
	Millis  float64        `json:"ms"`
}

// Caller sends requests the way a careful client does: it keeps the addresses it was
// given for their lifetime, and sends an unanswered request again with the same key.
type Caller struct {
	opt       CallerOptions
	client    *http.Client
	cancel    context.CancelFunc
	done      chan struct{}
	mu        sync.Mutex
	sent      []Sent
	addresses []string
	until     time.Time
}

// StartCaller starts a caller.
func StartCaller(opt CallerOptions) *Caller {
	ctx, cancel := context.WithCancel(context.Background())
	setDefault(&opt.Deadline, 3*time.Second)
	setDefault(&opt.Sendings, 4)
	c := &Caller{
		opt:    opt,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
		cancel: cancel,
		done:   make(chan struct{}),
	}
	go c.run(ctx)
	return c
}

// SetFaults does nothing: callers have no faults.
func (c *Caller) SetFaults(Faults) {}

// Close ends the caller.
func (c *Caller) Close() { c.cancel() }

// Done is closed once every request ended.
func (c *Caller) Done() <-chan struct{} { return c.done }

// Sent returns the requests that ended so far.
func (c *Caller) Sent() []Sent {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Sent(nil), c.sent...)
}

func (c *Caller) run(ctx context.Context) {
	defer close(c.done)
	pace := rate.NewLimiter(rate.Limit(c.opt.Rate), 1)
	var running sync.WaitGroup
	for i := range c.opt.Count {
		if pace.Wait(ctx) != nil {
			break
		}
		running.Add(1)
		go func() {
			defer running.Done()
			c.request(ctx, i)
		}()
	}
	running.Wait()
}

func (c *Caller) request(ctx context.Context, i int) {
	s := Sent{Body: fmt.Sprintf("%s-%06d", c.opt.Name, i), Results: map[string]int{}}
	if len(c.opt.Calls) > 0 {
		s.Call = c.opt.Calls[i%len(c.opt.Calls)]
	}
	for _, n := range c.opt.NonIdempotent {
		s.NonIdempotent = s.NonIdempotent || n == s.Call
	}
	start := time.Now()
	for n := 0; n < c.opt.Sendings && !s.Answered && ctx.Err() == nil; n++ {
		wait := c.send(ctx, &s)
		if !s.Answered {
			_ = sleep(ctx, wait)
		}
	}
	s.Millis = float64(time.Since(start).Microseconds()) / 1000
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent = append(c.sent, s)
}

// send sends the request once and returns how long to wait before the next sending.
func (c *Caller) send(ctx context.Context, s *Sent) time.Duration {
	ctx, cancel := context.WithTimeout(ctx, c.opt.Deadline)
	defer cancel()
	address := c.pick(ctx)
	req, err := c.build(ctx, address, s)
	if err != nil {
		s.Wrong = err.Error()
		return 0
	}
	resp, err := c.client.Do(req)
	if err != nil {
		s.Broken++
		c.forget()
		return retryPause
	}
	defer func() { _ = resp.Body.Close() }()
	s.Results[resp.Header.Get("Oleander-Result")]++
	if resp.Header.Get("Oleander-Outcome") != "ran" || resp.StatusCode != http.StatusOK {
		c.refused(s, resp)
		return retryAfter(resp)
	}
	if c.opt.Deployment != "" {
		s.readStream(resp.Body)
	} else {
		s.readAnswer(resp.Body)
	}
	return retryPause
}

func (c *Caller) build(ctx context.Context, address string, s *Sent) (*http.Request, error) {
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
	req.Header.Set("Oleander-Deadline-Ms", strconv.FormatInt((c.opt.Deadline-answerMargin).Milliseconds(), 10))
	if s.NonIdempotent {
		req.Header.Set("Idempotency-Key", s.Body)
	}
	return req, nil
}

// answerMargin is the part of a deadline that a caller keeps for the way back.
const answerMargin = 200 * time.Millisecond

func (c *Caller) refused(s *Sent, resp *http.Response) {
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxLoggedBody))
	s.Refusal = time.Now().UTC().Format("15:04:05.000 ") + string(text)
	switch resp.Header.Get("Oleander-Outcome") {
	case "not run":
		s.NotRun++
	default:
		s.Unknown++
	}
}

func retryAfter(resp *http.Response) time.Duration {
	ms, err := strconv.Atoi(resp.Header.Get("Oleander-Retry-After-Ms"))
	if err != nil || ms <= 0 {
		return retryPause
	}
	return min(time.Duration(ms)*time.Millisecond, 2*time.Second)
}

func (s *Sent) readAnswer(body io.Reader) {
	got, err := io.ReadAll(io.LimitReader(body, maxRequestBytes))
	if err != nil {
		s.Broken++
		return
	}
	s.Answered = true
	if want := PlainAnswer(s.Call, s.Body); string(got) != want {
		s.Wrong = fmt.Sprintf("got %.80q, want %.80q", got, want)
	}
}

// readStream reads a token stream and checks each token; an answer without its end
// mark counts as broken.
func (s *Sent) readStream(body io.Reader) {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxRequestBytes)
	next := 0
	for lines.Scan() {
		var chunk engineapi.Chunk
		if json.Unmarshal(lines.Bytes(), &chunk) != nil || chunk.Error != "" {
			s.Unknown++
			return
		}
		if chunk.Offset != next {
			s.Wrong = fmt.Sprintf("chunk at %d, want %d", chunk.Offset, next)
		}
		for i, token := range chunk.Tokens {
			if token != TokenAt(s.Body, 0, next+i) || chunk.Version == 0 {
				s.Wrong = fmt.Sprintf("token %d is not this prompt's, or has no version", next+i)
			}
		}
		next += len(chunk.Tokens)
		if chunk.Done {
			s.Answered = true
			if chunk.Total != next {
				s.Wrong = fmt.Sprintf("%d tokens of %d", next, chunk.Total)
			}
			return
		}
	}
	s.Broken++
}

// pick returns an address to send to, asking for addresses when the answer is old.
func (c *Caller) pick(ctx context.Context) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().After(c.until) || len(c.addresses) == 0 {
		c.ask(ctx)
	}
	return c.addresses[rand.IntN(len(c.addresses))]
}

// ask is called with mu held.
func (c *Caller) ask(ctx context.Context) {
	for _, i := range rand.Perm(len(c.opt.Entries)) {
		if c.askOne(ctx, c.opt.Entries[i]) {
			return
		}
	}
	c.addresses = c.opt.Entries
}

func (c *Caller) askOne(ctx context.Context, entry string) bool {
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
	c.until = time.Now().Add(time.Duration(answer.LifetimeMS) * time.Millisecond)
	return true
}

// forget drops the kept addresses after a failed connection.
func (c *Caller) forget() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.until = time.Time{}
}
