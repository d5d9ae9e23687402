package front

import (
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"oleanderfall.example/oleanderfall/internal/coordination/batchowners"
	"oleanderfall.example/oleanderfall/internal/coordination/batchrun"
	"oleanderfall.example/oleanderfall/internal/coordination/placement"
	"oleanderfall.example/oleanderfall/internal/coordination/presence"
	"oleanderfall.example/oleanderfall/internal/coordination/upgrades"
	"oleanderfall.example/oleanderfall/internal/protocol/objectapi"
	"oleanderfall.example/oleanderfall/internal/protocol/resultcode"
	"oleanderfall.example/oleanderfall/internal/state/batches"
	"oleanderfall.example/oleanderfall/internal/state/catalog"
)

const (
	// storeWaitTimeout bounds the store calls made while a caller waits.
	storeWaitTimeout = 2500 * time.Millisecond
	// maxSubmitTime is the longest time that a submission takes: the call to the owner, and then the
	// writes of this host.
	maxSubmitTime = peerCallTimeout + submitWait + storeWaitTimeout
	// slotsPerOwner is the number of slots of engines for which one host runs the batches. A
	// host of a fifth of a core handles the events of as many samples.
	slotsPerOwner = 512
	// batchTask is the task name for the succession order of the hosts that run batches.
	batchTask = "batch owners"
	// maxOwnersAsked bounds the hosts that are asked for a batch whose owner is not known,
	// before its manifest is read from the store.
	maxOwnersAsked = 4
)

// Batches answers calls about any host's batches and runs the batches that this host
// owns. Its methods are safe for concurrent use.
type Batches struct {
	settings Settings
	stop     *hostStop
	store    *batchStore
	// outage returns the duration of the current store outage, or zero if there is none.
	outage     func() time.Duration
	peers      *Peers
	peerClient *PeerClient
	catalog    *Catalog
	runner     *runnerDeps
	groups     *recentGroups
	// candidate returns this host as a candidate for a task.
	candidate func() presence.Candidate
	// announce sends a heartbeat immediately, so that peers learn which batches this
	// host runs.
	announce func()
	log      *slog.Logger

	mu     sync.Mutex
	active map[string]*activeBatch
	// work is the work of the batches that this host has recently started to run.
	work upgrades.Demand
	// endedLogs has result logs of batches that this host has run or whose log it was asked for
	// after their end, so that most later reads need no call to the store.
	endedLogs *logCache
	// ownershipRead is the last read that was started to confirm the ownership of batches.
	ownershipRead *ownershipRead
	// loads are the running loads of logs by batch, loadSlots limits how many read from the store.
	loads     map[string]*logLoad
	loadSlots chan struct{}
	// contentSlots limits the loads of contents that read from the store.
	contentSlots chan struct{}
	bodies       *Bodies
	// contents are the running and the latest loads of batches' contents.
	contents contentLoads
	// startedAt is when this host started.
	startedAt time.Time
	// takingOver has the ids of batches whose takeover is in progress.
	takingOver map[string]bool
	// takeoverSlots limits the takeovers that run at the same time.
	takeoverSlots chan struct{}
	// removing is true while expired batches are removed.
	removing atomic.Bool
	// stopping is true once the host drains and starts no more batches.
	stopping bool
	// base is the context of the process; it outlives single batches.
	base    context.Context
	running sync.WaitGroup
}

// Submit accepts a batch. It is idempotent: submitting the same content under the same
// id again succeeds, and other content returns resultcode.StepConflict. The result code
// of the error says whether it is certain that no sample of the batch will run.
//
// Few hosts run the batches of all models: their open connections to the engines serve all
// samples, and they know the loads that they cause without a delay. If the host that is to run
// a batch does not accept it in time, this one does.
func (s *Batches) Submit(ctx context.Context, b *batches.Batch) error {
	var route *catalog.Route
	if config := s.catalog.Config(); config != nil {
		route = config.Match(b.Host, b.Path)
	}
	began := time.Now()
	if route != nil && !s.stop.mayFinish(began, route, began.Add(maxSubmitTime), true) {
		return errCannotFinish()
	}
	err := s.submit(ctx, b)
	if err == nil && route != nil {
		s.stop.record(route.Name, time.Since(began))
	}
	return err
}

func (s *Batches) submit(ctx context.Context, b *batches.Batch) error {
	content, digest, err := encodeBatch(b)
	if err != nil {
		return codedError(resultcode.Internal, err.Error())
	}
	if m, ok := s.store.cached(b.ID); ok && m.Digest != "" {
		return checkDigest(&m.Manifest, digest)
	}
	ctx, cancel := s.untilHostStops(ctx)
	defer cancel()
	owner, stopping := s.ownerFor(b.Model), s.draining()
	if owner == s.settings.Host {
		if stopping {
			return codedError(resultcode.Stopping, "this host is stopping")
		}
		return s.accept(ctx, b, content, digest)
	}
	forwardErr := s.peerClient.Submit(ctx, owner, content)
	if forwardErr == nil || isCode(forwardErr, resultcode.StepConflict) {
		return forwardErr
	}
	if stopping {
		err = codedError(resultcode.Stopping, "this host is stopping, and the owner did not accept the batch")
	} else {
		s.log.Warn("Failed to forward batch to its owner; accepting it here", "batch", b.ID, "owner", owner, "err", forwardErr)
		err = s.accept(ctx, b, content, digest)
	}
	var coded *resultcode.Error
	if errors.As(err, &coded) && coded.Code.Info().Outcome == resultcode.NotRun && !errors.Is(forwardErr, errPeerUnreachable) {
		// The owner may still accept the batch, so no answer may say that it does not run.
		return codedError(resultcode.StorageUnknown, err.Error()+"; the owner may have accepted the batch: "+forwardErr.Error())
	}
	return err
}

// untilHostStops returns a context for writes that a cancelled call must not interrupt, since they may
// already have taken effect. It ends when a stopping host abandons its requests: the caller then gets
// the answer that the outcome is unknown.
func (s *Batches) untilHostStops(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	unwatch := context.AfterFunc(s.stop.serving, cancel)
	return ctx, func() { unwatch(); cancel() }
}

// ownerFor returns the host that is to run a model's batches.
func (s *Batches) ownerFor(model string) string {
	return cmp.Or(s.owners(model)[model], s.settings.Host)
}

// owners returns the host that is to run the batches of each model of the fleet and of the
// given ones.
func (s *Batches) owners(models ...string) map[string]string {
	slots := 0
	s.runner.fleet.WithTable(func(t *placement.Table) {
		models = append(models, t.Models()...)
		slots = t.ModelSlots()
	})
	hosts := (slots + slotsPerOwner - 1) / slotsPerOwner
	candidates := append(s.peers.Candidates(), s.candidate())
	for i := range candidates {
		// A host that the store turns away keeps its batches and their connections: its calls
		// go through a peer.
		candidates[i].StoreReachable = true
	}
	return presence.Assign(batchTask, models, hosts, candidates)
}

// currentOwners returns up to maxOwnersAsked hosts that run the batches of a model now.
func (s *Batches) currentOwners() []string {
	out := s.allOwners()
	return out[:min(len(out), maxOwnersAsked)]
}

// allOwners returns the hosts that run the batches of all models now.
func (s *Batches) allOwners() []string {
	return slices.Compact(slices.Sorted(maps.Values(s.owners())))
}

// submitEncoded accepts a batch that another host forwards.
func (s *Batches) submitEncoded(ctx context.Context, content []byte) error {
	var b batches.Batch
	if err := decoding.Unmarshal(content, &b); err != nil {
		return codedError(resultcode.BadRequest, err.Error())
	}
	if s.draining() {
		return codedError(resultcode.Stopping, "this host is stopping")
	}
	sum := sha256.Sum256(content)
	digest := hex.EncodeToString(sum[:])
	if m, ok := s.store.cached(b.ID); ok && m.Digest != "" {
		return checkDigest(&m.Manifest, digest)
	}
	return s.accept(context.WithoutCancel(ctx), &b, content, digest)
}

// accept writes a batch to the store and runs it at this host.
func (s *Batches) accept(ctx context.Context, b *batches.Batch, content []byte, digest string) error {
	if s.outage() > storeWaitTimeout {
		return codedError(resultcode.StorageOutage, "the store does not answer")
	}
	ctx, cancel := context.WithTimeout(ctx, storeWaitTimeout)
	defer cancel()
	parts, err := s.store.putContent(ctx, b.ID, digest, content)
	if err != nil {
		return codedError(resultcode.StorageOutage, err.Error())
	}
	m, err := s.store.putManifest(ctx, batches.Manifest{
		ID: b.ID, Digest: digest, Parts: parts, Total: len(b.Samples),
		AcceptedUnixMs: time.Now().UnixMilli(), Owner: s.settings.Host, Epoch: 1, Team: b.Team,
	}, 0)
	switch {
	case err == nil:
		s.log.Info("Accepted batch", "batch", b.ID, "step", b.Step, "model", b.Model,
			"min_version", b.MinVersion, "samples", len(b.Samples), "desired_groups", b.DesiredGroups, "team", b.Team)
		carried := s.groups.carried(b)
		s.notifyGroups(s.base, b)
		s.start(m, b, carried, nil)
		s.announce()
		return nil
	case errors.Is(err, objectapi.ErrConflict):
		existing, err := s.store.manifest(ctx, b.ID)
		if err != nil {
			return codedError(resultcode.StorageUnknown, err.Error())
		}
		return checkDigest(&existing.Manifest, digest)
	case objectapi.Unresolved(err):
		s.log.Warn("Store did not confirm manifest write; batch may have been accepted", "batch", b.ID, "err", err)
		return codedError(resultcode.StorageUnknown, err.Error())
	}
	return codedError(resultcode.StorageOutage, err.Error())
}

// isCode reports whether err has a result code.
func isCode(err error, code resultcode.Code) bool {
	var coded *resultcode.Error
	return errors.As(err, &coded) && coded.Code == code
}

// checkDigest returns resultcode.StepConflict unless digest is that of the accepted content.
func checkDigest(m *batches.Manifest, digest string) error {
	if m.Digest != digest {
		return codedError(resultcode.StepConflict, "the batch was submitted with other content")
	}
	return nil
}

func (s *Batches) draining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopping
}

// activeByID returns the batch if this host runs it, else nil.
func (s *Batches) activeByID(id string) *activeBatch {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.active[id]
}

// readManifest reads the manifest from the store and maps errors to result codes.
func (s *Batches) readManifest(ctx context.Context, id string) (storedManifest, error) {
	if !batches.ValidID(id) {
		return storedManifest{}, codedError(resultcode.NotFound, "no batch can have this id")
	}
	m, err := s.store.manifest(ctx, id)
	if errors.Is(err, objectapi.ErrNotFound) || err == nil && m.Removed {
		return m, errNoSuchBatch()
	}
	if err != nil {
		return m, codedError(resultcode.StorageOutage, err.Error())
	}
	return m, nil
}

// RecentWork returns the work of the batches that this host has recently started to run, in
// expected tokens by upgrades.ModelKey.
func (s *Batches) RecentWork() map[uint32]uint32 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.work.Recent(time.Now())
}

// start runs a batch at this host. entries are the existing log entries; nil means that
// the batch was just accepted and has not run before. carried are the groups carried
// over from earlier batches.
func (s *Batches) start(m storedManifest, b *batches.Batch, carried map[string]bool, entries []batches.LogEntry) {
	s.mu.Lock()
	if _, ok := s.active[m.ID]; ok || s.stopping {
		s.mu.Unlock()
		return
	}
	if known, ok := s.store.cached(m.ID); ok && known.Ended && known.sameAcceptance(&m.Manifest) {
		s.mu.Unlock()
		s.log.Info("Did not start batch that the trainer has ended", "batch", m.ID)
		return
	}
	active := newActiveBatch(m, b, carried, entries, s)
	active.results.setOwnershipConfirmed(m.writtenAt)
	s.active[m.ID] = active
	s.work.Add(time.Now(), b.Model, batchrun.ExpectedTokens(b))
	s.running.Add(1)
	base := s.base
	s.mu.Unlock()
	go func() {
		defer s.running.Done()
		active.runUntilDone(base)
		if active.results.full() {
			// Nothing is left to run. A batch whose trainer never ends it would be loaded again and again.
			s.store.withOwners(func(t *batchowners.Tracker) { t.Ended(m.ID) })
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.active, m.ID)
		s.endedLogs.add(m.ID, active.results)
	}()
}
