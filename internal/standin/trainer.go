package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"gopkg.in/ini.v1"

	"oleanderfall.example/oleanderfall/internal/protocol/trainerapi"
	"oleanderfall.example/oleanderfall/internal/state/model"
)

// TrainerOptions configures a Trainer. The keys of its INI section are the field names in
// snake_case. StartTrainer applies no defaults: the values in parentheses are those of a
// missing INI key.
type TrainerOptions struct {
	Name string
	// Rollouts are the addresses (host:port) of the rollout programs, in the order in which
	// they are tried. Rollouts must not be empty.
	Rollouts []string
	// Steps is the number of steps to train; 0 trains until Close.
	Steps int
	// Groups is the number of groups in a step (8), GroupSize the number of samples in a
	// group (4).
	Groups    int
	GroupSize int
	// MaxTokens limits the length of a sample; the trainer sends it when it opens a step.
	MaxTokens int
	// BatchMax is the maximum number of samples in one pull (64).
	BatchMax int
	// TrainTime is the time spent on each step after its last sample was received (50 ms).
	TrainTime time.Duration
	// VersionInterval is the interval at which new versions appear independently of the
	// steps, as in a training job in which other components update the weights; 0 makes one
	// after each step.
	VersionInterval time.Duration
	// Follows makes the trainer report its versions as not published. It then shares the
	// engines of a deployment whose weights another trainer publishes.
	Follows bool
}

func trainerOptions(name string, s *ini.Section) TrainerOptions {
	return TrainerOptions{
		Name:            name,
		Rollouts:        s.Key("rollouts").Strings(","),
		Steps:           s.Key("steps").MustInt(0),
		Groups:          s.Key("groups").MustInt(8),
		GroupSize:       s.Key("group_size").MustInt(4),
		MaxTokens:       s.Key("max_tokens").MustInt(0),
		BatchMax:        s.Key("batch_max").MustInt(64),
		TrainTime:       s.Key("train_time").MustDuration(50 * time.Millisecond),
		VersionInterval: s.Key("version_interval").MustDuration(0),
		Follows:         s.Key("follows").MustBool(false),
	}
}

// ReceivedSample describes one sample that the trainer received.
type ReceivedSample struct {
	Step      uint64              `json:"step"`
	Group     int                 `json:"group"`
	Index     int                 `json:"index"`
	RequestID string              `json:"request_id"`
	Spans     []trainerapi.Span   `json:"spans"`
	Version   model.WeightVersion `json:"version"`
	// Staleness is the trainer's version at receipt minus the version of the oldest span.
	Staleness int `json:"staleness"`
	Tokens    int `json:"tokens"`
}

// TrainerReport is what the trainer recorded; Judge checks it.
type TrainerReport struct {
	StepsDone int              `json:"steps_done"`
	Received  []ReceivedSample `json:"received"`
	// Wrong describes samples that were malformed, delivered twice or never delivered.
	Wrong []string `json:"wrong"`
	// IdleSeconds is the part of ElapsedSeconds that was spent waiting for samples.
	IdleSeconds    float64             `json:"idle_seconds"`
	ElapsedSeconds float64             `json:"elapsed_seconds"`
	Version        model.WeightVersion `json:"version"`
}

// Trainer simulates a trainer: it opens steps, pulls batches of samples and reports new
// weight versions.
type Trainer struct {
	opt    TrainerOptions
	faults *faultSet
	client *http.Client
	cancel context.CancelFunc
	done   chan struct{}
	// pullMu is held while a pull is in flight. The version does not change during a pull,
	// so that a sample has the same staleness at receipt as at delivery.
	pullMu sync.Mutex
	mu     sync.Mutex
	report TrainerReport
	seen   map[[3]int]bool // received samples by step, group and index
	start  time.Time
	// address is where the next call goes: the last owner that an answer named, or the next
	// rollout program to try.
	address string
}

// StartTrainer starts a trainer that runs until its steps are trained or Close is called.
func StartTrainer(opt TrainerOptions) *Trainer {
	ctx, cancel := context.WithCancel(context.Background())
	t := &Trainer{
		opt:    opt,
		faults: newFaultSet(),
		client: &http.Client{Timeout: 15 * time.Second},
		cancel: cancel,
		done:   make(chan struct{}),
		seen:   map[[3]int]bool{},
		start:  time.Now(),
	}
	t.report.Version = 1
	go t.run(ctx)
	return t
}

// SetFaults replaces the faults. Pause and DelayMillis act on the pulls; a trainer has no
// other faults.
func (t *Trainer) SetFaults(f Faults) { t.faults.set(f) }

// Done is closed when all steps are trained or Close has stopped the trainer.
func (t *Trainer) Done() <-chan struct{} { return t.done }

// Close stops the trainer without waiting for it.
func (t *Trainer) Close() { t.cancel() }

// Report returns a copy of the report so far.
func (t *Trainer) Report() TrainerReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.report
	r.Received = append([]ReceivedSample(nil), r.Received...)
	r.Wrong = append([]string(nil), r.Wrong...)
	if r.StepsDone < t.opt.Steps || t.opt.Steps == 0 {
		r.ElapsedSeconds = time.Since(t.start).Seconds()
	}
	return r
}

func (t *Trainer) version() model.WeightVersion {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.report.Version
}

func (t *Trainer) run(ctx context.Context) {
	defer close(t.done)
	t.reportVersion(ctx, 1)
	if t.opt.VersionInterval > 0 {
		go t.runVersionTimer(ctx)
	}
	for step := uint64(1); t.opt.Steps == 0 || step <= uint64(t.opt.Steps); step++ {
		t.trainStep(ctx, step)
		if ctx.Err() != nil {
			return
		}
	}
	t.mu.Lock()
	t.report.ElapsedSeconds = time.Since(t.start).Seconds()
	t.mu.Unlock()
}

// runVersionTimer makes a new version every VersionInterval.
func (t *Trainer) runVersionTimer(ctx context.Context) {
	for sleep(ctx, t.opt.VersionInterval) == nil {
		t.advanceVersion(ctx)
	}
}

func (t *Trainer) advanceVersion(ctx context.Context) {
	t.pullMu.Lock()
	t.mu.Lock()
	t.report.Version++
	v := t.report.Version
	t.mu.Unlock()
	t.pullMu.Unlock()
	t.reportVersion(ctx, v)
}

// reportVersion retries until the rollout program accepts the version or a newer one exists.
func (t *Trainer) reportVersion(ctx context.Context, v model.WeightVersion) {
	report := trainerapi.VersionReport{Version: v, Published: !t.opt.Follows}
	for ctx.Err() == nil && t.version() == v {
		if t.call(ctx, http.MethodPost, "/version", report, nil) == http.StatusOK {
			return
		}
		_ = sleep(ctx, retryDelay)
	}
}

const retryDelay = 50 * time.Millisecond

func (t *Trainer) trainStep(ctx context.Context, step uint64) {
	open := trainerapi.OpenStep{
		Step:         step,
		PromptSource: &trainerapi.PromptSource{Prefix: fmt.Sprintf("%s step %d prompt", t.opt.Name, step), Count: t.opt.Groups},
		GroupSize:    t.opt.GroupSize,
		MaxTokens:    t.opt.MaxTokens,
		Version:      t.version(),
	}
	idleSince := time.Now()
	for ctx.Err() == nil && t.call(ctx, http.MethodPost, "/steps", open, nil) != http.StatusOK {
		_ = sleep(ctx, retryDelay)
	}
	t.pullStep(ctx, open)
	t.mu.Lock()
	t.report.IdleSeconds += time.Since(idleSince).Seconds()
	t.report.StepsDone++
	t.mu.Unlock()
	_ = sleep(ctx, t.opt.TrainTime)
	if t.opt.VersionInterval == 0 {
		t.advanceVersion(ctx)
	}
}

func (t *Trainer) pullStep(ctx context.Context, open trainerapi.OpenStep) {
	cursor := uint64(0)
	for ctx.Err() == nil {
		if t.faults.wait(ctx) != nil {
			return
		}
		b, ok := t.pull(ctx, open, cursor)
		if !ok {
			_ = sleep(ctx, retryDelay)
			continue
		}
		cursor = b.Next
		if b.Done {
			return
		}
	}
}

// pull requests the batch at cursor and records it. It holds pullMu, so that the version does
// not change before the batch is recorded.
func (t *Trainer) pull(ctx context.Context, open trainerapi.OpenStep, cursor uint64) (trainerapi.Batch, bool) {
	t.pullMu.Lock()
	defer t.pullMu.Unlock()
	var b trainerapi.Batch
	path := fmt.Sprintf("/steps/%d/batches?cursor=%d&max=%d&version=%d&wait_ms=500", open.Step, cursor, t.opt.BatchMax, t.version())
	if t.call(ctx, http.MethodGet, path, nil, &b) != http.StatusOK {
		return b, false
	}
	t.recordBatch(open, b)
	return b, true
}

// recordBatch checks and records each sample of a batch, and checks the whole step after
// its last batch.
func (t *Trainer) recordBatch(open trainerapi.OpenStep, b trainerapi.Batch) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range b.Samples {
		slot := [3]int{int(s.Step), s.Group, s.Index}
		if t.seen[slot] {
			t.report.Wrong = append(t.report.Wrong, fmt.Sprintf("slot %v delivered again", slot))
		}
		t.seen[slot] = true
		if problem := checkSample(s); problem != "" {
			t.report.Wrong = append(t.report.Wrong, fmt.Sprintf("slot %v: %s", slot, problem))
		}
		t.report.Received = append(t.report.Received, ReceivedSample{
			Step: s.Step, Group: s.Group, Index: s.Index, RequestID: s.RequestID, Spans: s.Spans,
			Version:   t.report.Version,
			Staleness: int(t.report.Version) - int(s.OldestVersion()),
			Tokens:    len(s.Tokens),
		})
	}
	if b.Done {
		t.checkStepComplete(open)
	}
}

// checkStepComplete reports each slot of the step without a sample. It must be called with
// mu held.
func (t *Trainer) checkStepComplete(open trainerapi.OpenStep) {
	for g := range t.opt.Groups {
		for i := range t.opt.GroupSize {
			if !t.seen[[3]int{int(open.Step), g, i}] {
				t.report.Wrong = append(t.report.Wrong, fmt.Sprintf("step %d ended without slot %d/%d", open.Step, g, i))
			}
		}
	}
}

// checkSample returns what is malformed in a sample, or an empty string.
func checkSample(s trainerapi.Sample) string {
	if len(s.Tokens) == 0 {
		return "no tokens"
	}
	expectedFrom := 0
	for _, sp := range s.Spans {
		if sp.From != expectedFrom || sp.To <= sp.From || sp.Version == 0 {
			return fmt.Sprintf("bad spans %v", s.Spans)
		}
		expectedFrom = sp.To
	}
	if expectedFrom != len(s.Tokens) {
		return fmt.Sprintf("spans %v over %d tokens", s.Spans, len(s.Tokens))
	}
	return ""
}

// call sends one request to the current address and returns the HTTP status, or 0 if there
// was no valid answer. It sets the address of the next call to the owner that the
// answer names, or after a failure to the next rollout address.
func (t *Trainer) call(ctx context.Context, method, path string, in, out any) int {
	address := t.currentAddress()
	body, err := json.Marshal(in)
	if err != nil {
		return 0
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+"/v1/trainers/"+t.opt.Name+path, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	resp, err := t.client.Do(req)
	if err != nil {
		t.setAddress(t.addressAfter(address))
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	if owner := resp.Header.Get(trainerapi.OwnerHeader); owner != "" {
		t.setAddress(owner)
	} else if resp.StatusCode == http.StatusMisdirectedRequest {
		t.setAddress(t.addressAfter(address))
	}
	if resp.StatusCode == http.StatusOK && out != nil && json.NewDecoder(resp.Body).Decode(out) != nil {
		return 0
	}
	return resp.StatusCode
}

func (t *Trainer) currentAddress() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.address == "" {
		t.address = t.opt.Rollouts[0]
	}
	return t.address
}

func (t *Trainer) setAddress(address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.address = address
}

// addressAfter returns the rollout address that follows a failed one.
func (t *Trainer) addressAfter(address string) string {
	for i, a := range t.opt.Rollouts {
		if strings.EqualFold(a, address) {
			return t.opt.Rollouts[(i+1)%len(t.opt.Rollouts)]
		}
	}
	return t.opt.Rollouts[0]
}
