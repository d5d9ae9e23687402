package usage

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"oleanderfall.example/oleanderfall/internal/coordination/usage"
	"oleanderfall.example/oleanderfall/internal/protocol/objectapi"
	"oleanderfall.example/oleanderfall/internal/protocol/operatorapi"
	"oleanderfall.example/oleanderfall/internal/transport/duties"
)

const (
	// reportPrefix is the key prefix of the decided reports, collectedKey the object with the counts
	// of undecided windows.
	reportPrefix = "usage/"
	collectedKey = "usagecounts/collected"
	// checkInterval is the time between checks for windows to decide and reports to send.
	checkInterval = 100 * time.Millisecond
	// collectPeriod is how long a new holder, or one that was paused, collects before it decides: the
	// hosts send every second, to the holder that heartbeats name.
	collectPeriod = 2 * time.Second
	// pauseThreshold is the time between two checks from which this process counts as paused.
	pauseThreshold = time.Second
	// storeCallTimeout bounds a call to the store, storePause the time between two failing ones.
	storeCallTimeout = 2500 * time.Millisecond
	storePause       = 500 * time.Millisecond
	// maxBacklog is the number of windows up to the current one that are decided and reported, if
	// all hosts were stopped or the store or the API were down for longer. The older ones are given up.
	maxBacklog = 720
	// keptReports is the number of decided reports that stay in the store. A write that is executed
	// late must not create the report of a window again.
	keptReports = 24
	// maxSending is the number of reports that are sent at the same time.
	maxSending = 4
	// firstCallTimeout bounds the first call of a report. Each further one has twice the time up to
	// maxCallTimeout, so that a slow API is waited for. The pause after a failure grows likewise.
	firstCallTimeout = 2 * time.Second
	maxCallTimeout   = 16 * time.Second
	firstRetryPause  = 300 * time.Millisecond
	maxRetryPause    = 3 * time.Second
	// maxRefusals is the number of refusals for a reason other than load or the token after which a
	// report is given up.
	maxRefusals = 3
)

// storedReport is the stored content of a decided report.
type storedReport struct {
	Window int64        `json:"window"`
	Counts usage.Counts `json:"counts"`
}

// collected is the stored content of the counts of undecided windows. The reports of Unsent are not
// confirmed by the API.
type collected struct {
	State  usage.State `cbor:"1,keyasint"`
	Unsent []int64     `cbor:"2,keyasint,omitempty"`
}

// pendingReport is a decided report that the API has not confirmed.
type pendingReport struct {
	counts   usage.Counts
	attempts int
	refusals int
	sending  bool
}

// reporting is the state of the host that holds the duties lease. The mutex of the service guards it.
type reporting struct {
	collector *usage.Collector
	began     time.Duration
	// loaded is set once the state of the former holder has been read.
	loaded bool
	// decideFrom is the earliest time for a decision, lastCheck that of the last check.
	decideFrom time.Duration
	lastCheck  time.Duration
	// changed is set if the collected counts differ from the stored ones, whose version is
	// savedVersion; it is unknown unless versionKnown is set.
	changed      bool
	versionKnown bool
	savedVersion uint64
	savedAt      time.Duration
	// storeFrom is the earliest time for a call to the store after a failure.
	storeFrom time.Duration
	// unsent are the decided reports to send, stored the versions of the reports in the store.
	unsent map[int64]*pendingReport
	stored map[int64]uint64
	// sending counts the calls in progress, failures those that failed in a row; the next one is
	// allowed from sendFrom.
	sending  int
	failures int
	sendFrom time.Duration
}

// settled reports whether the hosts have had time to send the times of their clocks.
func (r *reporting) settled(now time.Duration) bool { return now-r.began >= collectPeriod }

// Report collects the counts of all hosts, decides windows and sends reports until ctx ends. It is a
// duty of duties.Lease.
func (s *Service) Report(ctx context.Context) {
	r := s.beginReporting()
	defer s.endReporting(r)
	var both sync.WaitGroup
	// Reports are also sent while the store is slow.
	for _, step := range []func(context.Context, *reporting){s.checkStore, s.sendReports} {
		both.Go(func() {
			ticker := time.NewTicker(checkInterval)
			defer ticker.Stop()
			for {
				select {
				case <-ctx.Done():
					return
				case <-ticker.C:
					step(ctx, r)
				}
			}
		})
	}
	both.Wait()
}

func (s *Service) beginReporting() *reporting {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	r := &reporting{collector: usage.NewCollector(s.windows, s.Due), began: now, lastCheck: now, decideFrom: now + collectPeriod,
		unsent: map[int64]*pendingReport{}, stored: map[int64]uint64{}}
	s.reporting, s.sent = r, map[int64]usage.Counts{}
	return r
}

func (s *Service) endReporting(r *reporting) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reporting == r {
		s.reporting = nil
	}
	s.metrics.unsent.Set(0)
}

// checkStore loads the state of the former holder, or decides windows that are due and saves the
// collected counts.
func (s *Service) checkStore(ctx context.Context, r *reporting) {
	s.mu.Lock()
	now := s.now()
	// Before the hosts have sent the times of their clocks, the current window may be a wrong one.
	due, save := now >= r.storeFrom && r.settled(now), r.changed && now-r.savedAt >= usage.SaveInterval && s.Lease.Confirmed(now)
	s.mu.Unlock()
	if !due {
		return
	}
	storeCtx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	var err error
	if !r.loaded {
		err = s.load(storeCtx, r)
	} else if err = s.decideDue(storeCtx, r); err == nil && save {
		if err = s.save(storeCtx, r); err == nil {
			err = s.removeOld(storeCtx, r)
		}
	}
	if err == nil || ctx.Err() != nil {
		return
	}
	s.Log.Warn("Failed to read or write usage counts or reports", "err", err)
	s.mu.Lock()
	r.storeFrom, r.versionKnown = s.now()+storePause, false
	s.mu.Unlock()
}

// load reads what former holders collected and decided.
func (s *Service) load(ctx context.Context, r *reporting) error {
	reports, err := s.listReports(ctx, r)
	if err != nil {
		return err
	}
	c, version, err := s.readCollected(ctx)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	decided := c.State.Decided
	for w := range reports {
		decided = max(decided, w)
	}
	current := s.windows.Index(now + s.clock.Offset())
	switch oldest := current - maxBacklog; {
	case decided == 0: // the first holder ever
		decided = s.windows.Index(s.started+s.clock.Offset()) - 1
	case decided < oldest:
		s.Log.Error("Usage of windows is not reported; they are too old", "first", decided+1, "last", oldest)
		decided = oldest
	}
	for w, counts := range reports {
		if w > current-maxBacklog && (w > c.State.Decided || slices.Contains(c.Unsent, w)) {
			r.unsent[w] = &pendingReport{counts: counts}
		}
	}
	r.collector.SetDecided(decided)
	r.collector.Restore(c.State)
	s.setDecided(decided)
	r.savedVersion, r.versionKnown, r.changed, r.loaded = version, true, true, true
	s.Log.Info("Collecting usage counts", "decided", decided, "unsent", len(r.unsent), "counts_found", len(c.State.Reports))
	return nil
}

// listReports returns the counts of the stored reports by window.
func (s *Service) listReports(ctx context.Context, r *reporting) (map[int64]usage.Counts, error) {
	out := map[int64]usage.Counts{}
	for after := ""; ; {
		page, err := s.Store.List(ctx, reportPrefix, after, 0)
		if err != nil {
			return nil, err
		}
		for _, o := range page.Objects {
			after = o.Key
			w, err := strconv.ParseInt(strings.TrimPrefix(o.Key, reportPrefix), 10, 64)
			if err != nil {
				continue // not written by this program
			}
			var report storedReport
			if err := json.Unmarshal(o.Value, &report); err != nil {
				return nil, err
			}
			out[w], r.stored[w] = report.Counts, o.Version
		}
		if !page.More || len(page.Objects) == 0 {
			return out, nil
		}
	}
}

// readCollected reads the collected counts. They are empty and have version 0 if there are none.
func (s *Service) readCollected(ctx context.Context) (c collected, version uint64, err error) {
	o, err := s.Store.Get(ctx, collectedKey)
	switch {
	case errors.Is(err, objectapi.ErrNotFound):
		return collected{}, 0, nil
	case err != nil:
		return collected{}, 0, err
	}
	return c, o.Version, cbor.Unmarshal(o.Value, &c)
}

// decideDue decides the windows that are due. It decides nothing while the lease is not confirmed:
// another holder may collect the counts then.
func (s *Service) decideDue(ctx context.Context, r *reporting) error {
	for {
		s.mu.Lock()
		now := s.now()
		unix := now + s.clock.Offset()
		r.collector.Check(unix, s.liveness)
		window, due := r.collector.Due(unix, s.liveness)
		paused := now-r.lastCheck > pauseThreshold
		due = due && !paused && now >= r.decideFrom && s.Lease.Confirmed(now)
		if due {
			s.mergeOwn(now)
		}
		counts := r.collector.Sum(window)
		s.mu.Unlock()
		if !due {
			return nil
		}
		if err := s.decide(ctx, r, window, counts); err != nil {
			return err
		}
	}
}

// liveness reports whether a host is alive, also this one; see usage.Liveness.
func (s *Service) liveness(host string) (alive bool, silent time.Duration) {
	if host == s.Host {
		return true, 0
	}
	return s.Liveness(host)
}

// decide stores the report of a window, unless another holder has stored one before: then that one is
// sent.
func (s *Service) decide(ctx context.Context, r *reporting, window int64, counts usage.Counts) error {
	key := reportPrefix + strconv.FormatInt(window, 10)
	value, err := json.Marshal(storedReport{Window: window, Counts: counts})
	if err != nil {
		return err
	}
	by := "own"
	version, err := s.Store.Put(ctx, key, value, 0)
	if errors.Is(err, objectapi.ErrConflict) {
		by = "found"
		o, getErr := s.Store.Get(ctx, key)
		if getErr != nil {
			return getErr
		}
		var found storedReport
		version, counts, err = o.Version, nil, json.Unmarshal(o.Value, &found)
		counts = found.Counts
	}
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	r.stored[window] = version
	r.unsent[window] = &pendingReport{counts: counts}
	if old := window - maxBacklog; r.unsent[old] != nil {
		delete(r.unsent, old)
		s.Log.Error("Usage of window given up; the operator's API did not confirm it in time", "window", old)
	}
	r.collector.SetDecided(window)
	r.changed = true
	s.setDecided(window)
	s.metrics.decided.WithLabelValues(by).Inc()
	s.Log.Info("Usage of window decided", "window", window, "counts", counts, "by", by,
		"after_ms", (s.now() + s.clock.Offset() - s.windows.End(window)).Milliseconds())
	return nil
}

// save stores the collected counts. If another holder has stored some, it merges them first.
func (s *Service) save(ctx context.Context, r *reporting) error {
	if !r.versionKnown {
		c, version, err := s.readCollected(ctx)
		if err != nil {
			return err
		}
		s.mu.Lock()
		r.collector.Restore(c.State)
		r.savedVersion, r.versionKnown = version, true
		s.mu.Unlock()
	}
	s.mu.Lock()
	now := s.now()
	c := collected{State: r.collector.State(now + s.clock.Offset()), Unsent: slices.Sorted(maps.Keys(r.unsent))}
	r.changed, r.savedAt = false, now
	s.mu.Unlock()
	value, err := cbor.Marshal(c)
	if err == nil {
		var version uint64
		if version, err = s.Store.Put(ctx, collectedKey, value, r.savedVersion); err == nil {
			r.savedVersion = version
			return nil
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	r.changed = true
	return err
}

// removeOld removes a report that is sent and old.
func (s *Service) removeOld(ctx context.Context, r *reporting) error {
	s.mu.Lock()
	oldest, version := int64(0), uint64(0)
	for w, v := range r.stored {
		if _, unsent := r.unsent[w]; !unsent && w <= r.collector.Decided()-keptReports && (oldest == 0 || w < oldest) {
			oldest, version = w, v
		}
	}
	s.mu.Unlock()
	if oldest == 0 {
		return nil
	}
	err := s.Store.Delete(ctx, reportPrefix+strconv.FormatInt(oldest, 10), version)
	if err == nil || errors.Is(err, objectapi.ErrNotFound) || errors.Is(err, objectapi.ErrConflict) {
		s.mu.Lock()
		delete(r.stored, oldest)
		s.mu.Unlock()
		return nil
	}
	return err
}

// sendReports starts the calls that are due: first the reports that can still be on time, the oldest
// of them first, and then the newest of the late ones.
func (s *Service) sendReports(ctx context.Context, r *reporting) {
	now := s.now()
	creds, ok := s.Lease.Credentials(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	if now-r.lastCheck > pauseThreshold {
		r.decideFrom = now + collectPeriod
	}
	r.lastCheck = now
	s.metrics.unsent.Set(float64(len(r.unsent)))
	if !ok {
		return
	}
	unix := now + s.clock.Offset()
	late := func(w int64) bool { return unix > s.windows.End(w)+s.Due }
	order := slices.SortedFunc(maps.Keys(r.unsent), func(a, b int64) int {
		switch {
		case late(a) && late(b):
			return int(b - a)
		case late(a):
			return 1
		case late(b):
			return -1
		}
		return int(a - b)
	})
	for _, w := range order {
		p := r.unsent[w]
		// While the API fails, one report is sent again at a time, but each is sent once as soon as it
		// is decided: the API may execute calls that it does not answer.
		first := p.attempts == 0 && !late(w)
		if p.sending || !first && (now < r.sendFrom || r.failures > 0 && r.sending > 0) {
			continue
		}
		if r.sending >= maxSending {
			return
		}
		p.sending = true
		p.attempts++
		r.sending++
		go s.sendReport(ctx, r, w, p, creds)
	}
}

// sendReport sends the report of a window once.
func (s *Service) sendReport(ctx context.Context, r *reporting, window int64, p *pendingReport, creds operatorapi.Credentials) {
	callCtx, cancel := context.WithTimeout(ctx, min(firstCallTimeout<<min(p.attempts-1, 8), maxCallTimeout))
	err := s.Calls.ReportUsage(callCtx, creds, operatorapi.Usage{Window: window, Counts: p.counts})
	cancel()
	s.mu.Lock()
	defer s.mu.Unlock()
	p.sending = false
	r.sending--
	if errors.Is(err, duties.ErrNotHolding) {
		p.attempts-- // it was not sent
		return
	}
	if ctx.Err() != nil {
		return
	}
	s.metrics.reports.WithLabelValues(outcome(err)).Inc()
	now := s.now()
	delay := now + s.clock.Offset() - s.windows.End(window)
	if err == nil {
		r.failures = 0
		r.changed = true
		delete(r.unsent, window)
		s.metrics.delay.Observe(delay.Seconds())
		s.Log.Info("Usage of window reported", "window", window, "attempts", p.attempts, "after_ms", delay.Milliseconds(),
			"late", delay > s.Due, "fencing_token", creds.Token)
		return
	}
	if outcome(err) == "refused" {
		if p.refusals++; p.refusals >= maxRefusals {
			delete(r.unsent, window)
			r.changed = true
			s.Log.Error("Usage of window given up; the operator's API refuses the report", "window", window, "err", err)
		}
	}
	r.failures++
	r.sendFrom = now + min(firstRetryPause<<min(r.failures-1, 8), maxRetryPause)
}
