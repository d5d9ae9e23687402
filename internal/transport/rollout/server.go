package rollout

import (
	"context"
	"encoding/json"
	"errors"
	"hash/fnv"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"oleanderfall.example/oleanderfall/internal/coordination/samples"
	"oleanderfall.example/oleanderfall/internal/protocol/objectapi"
	"oleanderfall.example/oleanderfall/internal/protocol/resultcode"
	"oleanderfall.example/oleanderfall/internal/protocol/trainerapi"
	"oleanderfall.example/oleanderfall/internal/state/ledger"
	"oleanderfall.example/oleanderfall/internal/state/model"
	"oleanderfall.example/oleanderfall/internal/transport/httpapi"
)

const (
	maxBodyBytes        = 4 << 20
	defaultPullWait     = 2 * time.Second
	maxPullWait         = 30 * time.Second
	defaultBatchSamples = 64
	maxBatchSamples     = 1024
	// openTimeout limits the wait for the prompts of an opened step to be written, and then
	// the wait for the reply to the opening. It also limits the wait for the reply to a version
	// report.
	openTimeout = 10 * time.Second
)

// routes returns the handler of the trainers' HTTP API.
func (s *Service) routes() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/trainers/{trainer}/steps", s.serveOpen).Methods(http.MethodPost)
	r.HandleFunc("/v1/trainers/{trainer}/steps/{step}/batches", s.servePull).Methods(http.MethodGet)
	r.HandleFunc("/v1/trainers/{trainer}/version", s.serveVersion).Methods(http.MethodPost)
	return r
}

// requireOwner returns the trainer's owner on this host. If there is none, it writes an
// error, with the address of the owning host if that is known, and returns nil.
func (s *Service) requireOwner(w http.ResponseWriter, r *http.Request) *owner {
	trainer := model.TrainerID(mux.Vars(r)["trainer"])
	view := s.opt.View()
	if view == nil || view.Config == nil {
		writeError(w, &resultcode.Error{Code: resultcode.NotOwner, Detail: "This host has no configuration yet.", RetryAfterMillis: 500})
		return nil
	}
	if _, known := view.Config.Trainers[trainer]; !known {
		writeError(w, resultcode.New(resultcode.NotFound, "No trainer has this name."))
		return nil
	}
	if o := s.localOwner(trainer); o != nil {
		return o
	}
	if found, ok := s.shardManager.Lookup(shardID(trainer)); ok && !found.Self {
		w.Header().Set(trainerapi.OwnerHeader, found.Address)
	}
	s.shardManager.ReportStale(shardID(trainer))
	writeError(w, &resultcode.Error{Code: resultcode.NotOwner, Detail: "Another host owns this trainer's shard.", RetryAfterMillis: 200})
	return nil
}

func writeError(w http.ResponseWriter, err error) {
	httpapi.WriteFailure(w, httpapi.AsFailure(err), "")
}

func (s *Service) serveOpen(w http.ResponseWriter, r *http.Request) {
	var open trainerapi.OpenStep
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(&open); err != nil {
		writeError(w, resultcode.New(resultcode.BadRequest, "The step could not be read."))
		return
	}
	o := s.requireOwner(w, r)
	if o == nil {
		return
	}
	trainer := s.opt.View().Config.Trainers[o.opt.Trainer]
	spec, err := newStepSpec(open, trainer)
	if err != nil {
		writeError(w, err)
		return
	}
	if spec.Inline {
		if err := storePrompts(r.Context(), o.store, spec, open.Prompts); err != nil {
			writeError(w, err)
			return
		}
	}
	reply := make(chan error, 1)
	o.enqueue(openRequest{spec: spec, prompts: open.Prompts, reply: reply})
	if err := awaitReply(r, o, reply); err != nil {
		writeError(w, err)
		return
	}
	httpapi.WriteJSON(w, http.StatusOK, struct{}{})
}

// storePrompts writes the prompts before the step is opened. If it fails, the step is not
// opened.
func storePrompts(ctx context.Context, s *store, spec samples.StepSpec, prompts []string) error {
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	err := s.writePrompts(ctx, promptsID{step: spec.Step, digest: spec.Digest}, prompts)
	switch {
	case err == nil:
		return nil
	case errors.Is(err, objectapi.ErrTooLarge):
		return resultcode.New(resultcode.TooLarge, "The prompts are larger than an object may be.")
	case errors.Is(err, errPromptsConflict):
		return resultcode.New(resultcode.StepConflict, "The step was opened with other contents.")
	case objectapi.Unresolved(err):
		return resultcode.New(resultcode.StorageUnknown, "The prompts may not be kept yet; send the same again.")
	}
	return resultcode.New(resultcode.StorageOutage, "The prompts are not kept; send the same again.")
}

// awaitReply waits for the reply of the event loop. After a timeout the request may still
// take effect.
func awaitReply(r *http.Request, o *owner, reply <-chan error) error {
	timer := time.NewTimer(openTimeout)
	defer timer.Stop()
	select {
	case err := <-reply:
		return err
	case <-o.ctx.Done():
		return resultcode.New(resultcode.NotOwner, "This host no longer owns the trainer's shard.")
	case <-timer.C:
		return resultcode.New(resultcode.StorageUnknown, "The object API does not answer; send the same again.")
	case <-r.Context().Done():
		return r.Context().Err()
	}
}

// newStepSpec validates an opening and applies the trainer's settings.
func newStepSpec(open trainerapi.OpenStep, t model.Trainer) (samples.StepSpec, error) {
	size := open.GroupSize
	if size == 0 {
		size = t.GroupSize
	}
	spec := samples.StepSpec{
		Step: open.Step, Groups: len(open.Prompts), GroupSize: size, Needed: open.NeededGroups, MaxTokens: open.MaxTokens,
		Bound: t.StalenessBound, Version: open.Version, Inline: len(open.Prompts) > 0,
	}
	if open.StalenessBound != nil {
		spec.Bound = max(0, min(spec.Bound, *open.StalenessBound))
	}
	if open.PromptSource != nil && !spec.Inline {
		spec.Groups, spec.PromptPrefix = open.PromptSource.Count, open.PromptSource.Prefix
	}
	if spec.Groups < 1 || size < 1 {
		return spec, resultcode.New(resultcode.BadRequest, "A step needs prompts or a prompt source.")
	}
	if maxSamples := min(t.StepSamples, ledger.MaxSlots); spec.Groups > maxSamples/size {
		return spec, resultcode.New(resultcode.TooLarge, "The step has more than %d samples.", maxSamples)
	}
	if spec.MaxTokens < 0 || spec.Needed < 0 || spec.Needed > spec.Groups {
		return spec, resultcode.New(resultcode.BadRequest, "max_tokens or needed_groups is out of range.")
	}
	spec.Digest = digest(open)
	return spec, nil
}

// digest identifies the contents of an opening as sent, except the trainer's current
// version. It does not depend on any setting, so that the same opening can be sent again
// after a settings change.
func digest(open trainerapi.OpenStep) uint64 {
	h := fnv.New64a()
	writeInt := func(n int) { _, _ = io.WriteString(h, strconv.Itoa(n)+"|") }
	writeString := func(s string) {
		writeInt(len(s))
		_, _ = io.WriteString(h, s)
	}
	writeInt(open.GroupSize)
	writeInt(open.NeededGroups)
	writeInt(open.MaxTokens)
	if open.StalenessBound != nil {
		writeString("bound")
		writeInt(*open.StalenessBound)
	}
	if open.PromptSource != nil {
		writeString("source")
		writeInt(open.PromptSource.Count)
		writeString(open.PromptSource.Prefix)
	}
	writeInt(len(open.Prompts))
	for _, p := range open.Prompts {
		writeString(p)
	}
	return h.Sum64()
}

func (s *Service) servePull(w http.ResponseWriter, r *http.Request) {
	step, err := strconv.ParseUint(mux.Vars(r)["step"], 10, 64)
	pull := samples.Pull{Step: step, Max: defaultBatchSamples}
	wait := defaultPullWait
	if err == nil {
		err = parsePull(r, &pull, &wait)
	}
	if err != nil {
		writeError(w, resultcode.New(resultcode.BadRequest, "The pull could not be read."))
		return
	}
	o := s.requireOwner(w, r)
	if o == nil {
		return
	}
	startedAt := time.Now()
	reply := make(chan pullReply, 1)
	o.enqueue(pullRequest{pull: pull, deadline: startedAt.Add(wait), cancelled: r.Context().Done(), reply: reply})
	select {
	case got := <-reply:
		o.opt.Metrics.idle.WithLabelValues(string(o.opt.Trainer)).Add(time.Since(startedAt).Seconds())
		if got.err != nil {
			writeError(w, got.err)
			return
		}
		httpapi.WriteJSON(w, http.StatusOK, got.batch)
	case <-o.ctx.Done():
		writeError(w, resultcode.New(resultcode.NotOwner, "This host no longer owns the trainer's shard."))
	case <-r.Context().Done():
	}
}

func parsePull(r *http.Request, p *samples.Pull, wait *time.Duration) error {
	q := r.URL.Query()
	var parseErrors []error
	parseUint := func(key string, dst *uint64) {
		if value := q.Get(key); value != "" {
			n, err := strconv.ParseUint(value, 10, 64)
			parseErrors = append(parseErrors, err)
			*dst = n
		}
	}
	maxSamples, millis, version := uint64(p.Max), uint64(wait.Milliseconds()), uint64(0)
	parseUint("cursor", &p.Cursor)
	parseUint("max", &maxSamples)
	parseUint("wait_ms", &millis)
	parseUint("version", &version)
	p.Max = int(min(maxSamples, maxBatchSamples))
	p.Version = model.WeightVersion(version)
	*wait = min(time.Duration(min(millis, uint64(maxPullWait.Milliseconds())))*time.Millisecond, maxPullWait)
	return errors.Join(parseErrors...)
}

func (s *Service) serveVersion(w http.ResponseWriter, r *http.Request) {
	var report trainerapi.VersionReport
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(&report); err != nil || report.Version == 0 {
		writeError(w, resultcode.New(resultcode.BadRequest, "The version could not be read."))
		return
	}
	o := s.requireOwner(w, r)
	if o == nil {
		return
	}
	reply := make(chan error, 1)
	o.enqueue(versionReported{version: report.Version, reply: reply})
	if err := awaitReply(r, o, reply); err != nil {
		writeError(w, err)
		return
	}
	if report.Published {
		trainers := s.opt.View().Config.Trainers
		deployment := trainers[o.opt.Trainer].Deployment
		active := func(id model.TrainerID) bool { return trainers[id].Deployment == deployment }
		err := publish(r.Context(), s.opt.API, deployment, ledger.Desired{Version: report.Version, Trainer: o.opt.Trainer}, active)
		if err != nil {
			writeError(w, publishError(err))
			return
		}
	}
	httpapi.WriteJSON(w, http.StatusOK, struct{}{})
}

func publishError(err error) error {
	if errors.Is(err, errPublisherConflict) {
		return resultcode.New(resultcode.PublisherConflict, "Another trainer's versions are in force at this deployment.")
	}
	if objectapi.Unresolved(err) {
		return resultcode.New(resultcode.StorageUnknown, "The version may not be published yet; send it again.")
	}
	return resultcode.New(resultcode.StorageOutage, "The version is not published yet; send it again.")
}

// ServeExplain handles GET /v1/explain/{sample}, where sample is TRAINER.STEP.GROUP.INDEX.
func (s *Service) ServeExplain(w http.ResponseWriter, r *http.Request) {
	parts := strings.Split(mux.Vars(r)["sample"], ".")
	if len(parts) < 4 {
		writeError(w, resultcode.New(resultcode.BadRequest, "A sample is named TRAINER.STEP.GROUP.INDEX."))
		return
	}
	n := len(parts)
	step, err1 := strconv.ParseUint(parts[n-3], 10, 64)
	group, err2 := strconv.Atoi(parts[n-2])
	index, err3 := strconv.Atoi(parts[n-1])
	if errors.Join(err1, err2, err3) != nil {
		writeError(w, resultcode.New(resultcode.BadRequest, "A sample is named TRAINER.STEP.GROUP.INDEX."))
		return
	}
	o := s.localOwner(model.TrainerID(strings.Join(parts[:n-3], ".")))
	if o == nil {
		writeError(w, resultcode.New(resultcode.NotOwner, "Another host owns this trainer's shard."))
		return
	}
	reply := make(chan samples.Explanation, 1)
	o.enqueue(explainRequest{step: step, group: group, index: index, reply: reply})
	select {
	case e, ok := <-reply:
		if !ok {
			writeError(w, resultcode.New(resultcode.NotFound, "The sample's step is not open."))
			return
		}
		httpapi.WriteJSON(w, http.StatusOK, e)
	case <-o.ctx.Done():
		writeError(w, resultcode.New(resultcode.NotOwner, "Another host owns this trainer's shard."))
	case <-r.Context().Done():
	}
}
