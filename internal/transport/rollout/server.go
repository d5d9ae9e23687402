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
	maxOpenBytes = 4 << 20
	defaultWait  = 2 * time.Second
	maxWait      = 30 * time.Second
	defaultMax   = 64
	maxBatch     = 1024
	// openWait bounds the wait for the record that holds an opened step.
	openWait = 10 * time.Second
)

// routes serves the trainers.
func (s *Service) routes() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/trainers/{trainer}/steps", s.serveOpen).Methods(http.MethodPost)
	r.HandleFunc("/v1/trainers/{trainer}/steps/{step}/batches", s.servePull).Methods(http.MethodGet)
	r.HandleFunc("/v1/trainers/{trainer}/version", s.serveVersion).Methods(http.MethodPost)
	return r
}

// ownerOf returns the trainer's owner on this host, or answers who has it.
func (s *Service) ownerOf(w http.ResponseWriter, r *http.Request) *owner {
	trainer := model.TrainerID(mux.Vars(r)["trainer"])
	view := s.opt.View()
	if view == nil || view.Config == nil {
		fail(w, &resultcode.Error{Code: resultcode.NotOwner, Detail: "This host has no configuration yet.", RetryAfterMillis: 500})
		return nil
	}
	if _, known := view.Config.Trainers[trainer]; !known {
		fail(w, resultcode.New(resultcode.NotFound, "No trainer has this name."))
		return nil
	}
	if o := s.owned(trainer); o != nil {
		return o
	}
	if holder, ok := s.sharder.Lookup(shardOf(trainer)); ok && !holder.Self {
		w.Header().Set(trainerapi.OwnerHeader, holder.Address)
	}
	s.sharder.Stale(shardOf(trainer))
	fail(w, &resultcode.Error{Code: resultcode.NotOwner, Detail: "Another host owns this trainer's shard.", RetryAfterMillis: 200})
	return nil
}

func fail(w http.ResponseWriter, err error) { httpapi.WriteFailure(w, httpapi.FailureOf(err), "") }

func (s *Service) serveOpen(w http.ResponseWriter, r *http.Request) {
	var open trainerapi.OpenStep
	if err := json.NewDecoder(io.LimitReader(r.Body, maxOpenBytes)).Decode(&open); err != nil {
		fail(w, resultcode.New(resultcode.BadRequest, "The step could not be read."))
		return
	}
	o := s.ownerOf(w, r)
	if o == nil {
		return
	}
	trainer := s.opt.View().Config.Trainers[o.opt.Trainer]
	spec, err := specOf(open, trainer)
	if err != nil {
		fail(w, err)
		return
	}
	if spec.Inline {
		if err := keepPrompts(r.Context(), o.store, spec, open.Prompts); err != nil {
			fail(w, err)
			return
		}
	}
	reply := make(chan error, 1)
	o.tell(openRequest{spec: spec, prompts: open.Prompts, reply: reply})
	if err := await(r, o, reply); err != nil {
		fail(w, err)
		return
	}
	httpapi.WriteJSON(w, http.StatusOK, struct{}{})
}

// keepPrompts writes the prompts before the step is opened; nothing is open when it fails.
func keepPrompts(ctx context.Context, s *store, spec samples.StepSpec, prompts []string) error {
	ctx, cancel := context.WithTimeout(ctx, openWait)
	defer cancel()
	err := s.writePrompts(ctx, promptsID{step: spec.Step, digest: spec.Digest}, prompts)
	switch {
	case err == nil:
		return nil
	case errors.Is(err, objectapi.ErrTooLarge):
		return resultcode.New(resultcode.TooLarge, "The prompts are larger than an object may be.")
	case errors.Is(err, errOtherPrompts):
		return resultcode.New(resultcode.StepConflict, "The step was opened with other contents.")
	case objectapi.Unresolved(err):
		return resultcode.New(resultcode.StorageUnknown, "The prompts may not be kept yet; send the same again.")
	}
	return resultcode.New(resultcode.StorageOutage, "The prompts are not kept; send the same again.")
}

// await waits for the duty's answer; an unanswered opening may still take effect.
func await(r *http.Request, o *owner, reply <-chan error) error {
	timer := time.NewTimer(openWait)
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

// specOf checks an opening and fills in the trainer's settings.
func specOf(open trainerapi.OpenStep, t model.Trainer) (samples.StepSpec, error) {
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
	if most := min(t.StepSamples, ledger.MaxSlots); spec.Groups > most/size {
		return spec, resultcode.New(resultcode.TooLarge, "The step has more than %d samples.", most)
	}
	if spec.MaxTokens < 0 || spec.Needed < 0 || spec.Needed > spec.Groups {
		return spec, resultcode.New(resultcode.BadRequest, "max_tokens or needed_groups is out of range.")
	}
	spec.Digest = digest(open)
	return spec, nil
}

// digest identifies an opening as it was sent, but for the version of that moment. No
// setting is part of it, so that the same opening can be sent again after a change.
func digest(open trainerapi.OpenStep) uint64 {
	h := fnv.New64a()
	number := func(n int) { _, _ = io.WriteString(h, strconv.Itoa(n)+"|") }
	text := func(s string) {
		number(len(s))
		_, _ = io.WriteString(h, s)
	}
	number(open.GroupSize)
	number(open.NeededGroups)
	number(open.MaxTokens)
	if open.StalenessBound != nil {
		text("bound")
		number(*open.StalenessBound)
	}
	if open.PromptSource != nil {
		text("source")
		number(open.PromptSource.Count)
		text(open.PromptSource.Prefix)
	}
	number(len(open.Prompts))
	for _, p := range open.Prompts {
		text(p)
	}
	return h.Sum64()
}

func (s *Service) servePull(w http.ResponseWriter, r *http.Request) {
	step, err := strconv.ParseUint(mux.Vars(r)["step"], 10, 64)
	pull := samples.Pull{Step: step, Max: defaultMax}
	wait := defaultWait
	if err == nil {
		err = readPull(r, &pull, &wait)
	}
	if err != nil {
		fail(w, resultcode.New(resultcode.BadRequest, "The pull could not be read."))
		return
	}
	o := s.ownerOf(w, r)
	if o == nil {
		return
	}
	began := time.Now()
	reply := make(chan pullReply, 1)
	o.tell(pullRequest{pull: pull, deadline: began.Add(wait), gone: r.Context().Done(), reply: reply})
	select {
	case got := <-reply:
		o.opt.Metrics.idle.WithLabelValues(string(o.opt.Trainer)).Add(time.Since(began).Seconds())
		if got.err != nil {
			fail(w, got.err)
			return
		}
		httpapi.WriteJSON(w, http.StatusOK, got.batch)
	case <-o.ctx.Done():
		fail(w, resultcode.New(resultcode.NotOwner, "This host no longer owns the trainer's shard."))
	case <-r.Context().Done():
	}
}

func readPull(r *http.Request, p *samples.Pull, wait *time.Duration) error {
	q := r.URL.Query()
	var faults []error
	number := func(key string, into *uint64) {
		if text := q.Get(key); text != "" {
			n, err := strconv.ParseUint(text, 10, 64)
			faults = append(faults, err)
			*into = n
		}
	}
	most, millis, version := uint64(p.Max), uint64(wait.Milliseconds()), uint64(0)
	number("cursor", &p.Cursor)
	number("max", &most)
	number("wait_ms", &millis)
	number("version", &version)
	p.Max = int(min(most, maxBatch))
	p.Version = model.WeightVersion(version)
	*wait = min(time.Duration(min(millis, uint64(maxWait.Milliseconds())))*time.Millisecond, maxWait)
	return errors.Join(faults...)
}

func (s *Service) serveVersion(w http.ResponseWriter, r *http.Request) {
	var report trainerapi.VersionReport
	if err := json.NewDecoder(io.LimitReader(r.Body, maxOpenBytes)).Decode(&report); err != nil || report.Version == 0 {
		fail(w, resultcode.New(resultcode.BadRequest, "The version could not be read."))
		return
	}
	o := s.ownerOf(w, r)
	if o == nil {
		return
	}
	reply := make(chan error, 1)
	o.tell(versionTold{version: report.Version, reply: reply})
	if err := await(r, o, reply); err != nil {
		fail(w, err)
		return
	}
	if report.Published {
		trainers := s.opt.View().Config.Trainers
		deployment := trainers[o.opt.Trainer].Deployment
		active := func(id model.TrainerID) bool { return trainers[id].Deployment == deployment }
		err := publish(r.Context(), s.opt.API, deployment, ledger.Desired{Version: report.Version, Trainer: o.opt.Trainer}, active)
		if err != nil {
			fail(w, publishFailure(err))
			return
		}
	}
	httpapi.WriteJSON(w, http.StatusOK, struct{}{})
}

func publishFailure(err error) error {
	if errors.Is(err, errOtherPublisher) {
		return resultcode.New(resultcode.PublisherConflict, "Another trainer's versions are in force at this deployment.")
	}
	if objectapi.Unresolved(err) {
		return resultcode.New(resultcode.StorageUnknown, "The version may not be published yet; send it again.")
	}
	return resultcode.New(resultcode.StorageOutage, "The version is not published yet; send it again.")
}

// ServeExplain answers GET /v1/explain/{sample}, TRAINER.STEP.GROUP.INDEX.
func (s *Service) ServeExplain(w http.ResponseWriter, r *http.Request) {
	parts := strings.Split(mux.Vars(r)["sample"], ".")
	if len(parts) < 4 {
		fail(w, resultcode.New(resultcode.BadRequest, "A sample is named TRAINER.STEP.GROUP.INDEX."))
		return
	}
	n := len(parts)
	step, err1 := strconv.ParseUint(parts[n-3], 10, 64)
	group, err2 := strconv.Atoi(parts[n-2])
	index, err3 := strconv.Atoi(parts[n-1])
	if errors.Join(err1, err2, err3) != nil {
		fail(w, resultcode.New(resultcode.BadRequest, "A sample is named TRAINER.STEP.GROUP.INDEX."))
		return
	}
	o := s.owned(model.TrainerID(strings.Join(parts[:n-3], ".")))
	if o == nil {
		fail(w, resultcode.New(resultcode.NotOwner, "Another host owns this trainer's shard."))
		return
	}
	reply := make(chan samples.Explanation, 1)
	o.tell(explainRequest{step: step, group: group, index: index, reply: reply})
	select {
	case e, ok := <-reply:
		if !ok {
			fail(w, resultcode.New(resultcode.NotFound, "The sample's step is not open."))
			return
		}
		httpapi.WriteJSON(w, http.StatusOK, e)
	case <-o.ctx.Done():
		fail(w, resultcode.New(resultcode.NotOwner, "Another host owns this trainer's shard."))
	case <-r.Context().Done():
	}
}
