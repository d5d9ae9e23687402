package front

import (
	"bytes"
	"cmp"
	"compress/flate"
	"context"
	"io"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"oleanderfall.example/oleanderfall/internal/coordination/lapses"
	"oleanderfall.example/oleanderfall/internal/coordination/placement"
	"oleanderfall.example/oleanderfall/internal/coordination/presence"
	"oleanderfall.example/oleanderfall/internal/coordination/storereads"
	"oleanderfall.example/oleanderfall/internal/protocol/objectapi"
	"oleanderfall.example/oleanderfall/internal/state/catalog"
	"oleanderfall.example/oleanderfall/internal/transport/configproof"
)

// Decoder decodes the objects that other systems write to the store.
type Decoder interface {
	ConfigKey() string
	EndpointPrefix() string
	ModelPrefix() string
	StoreRemovalPrefix() string
	Config(value []byte) (*catalog.Config, error)
	Endpoint(key string, value []byte) (catalog.Endpoint, error)
	ModelVersion(key string, value []byte) (model string, version int, err error)
	// PromptPrefixes returns the leading parts of its prompt that the header of a sample names. They
	// are not stored with the sample: the digest of a batch would differ from that of other builds.
	PromptPrefixes(header map[string]string) []PromptPrefix
	// RemovalDone returns the status that confirms the removal of a store host.
	RemovalDone() any
}

const (
	// minFetchGain is how much newer a peer's last read must be for its state to be fetched.
	minFetchGain = 100 * time.Millisecond
	// defaultRefreshInterval is the interval at which endpoints refresh their entries if the
	// settings name none.
	defaultRefreshInterval = 1200 * time.Millisecond
	// fromStore stands for the store among the hosts from which state was fetched.
	fromStore = "store"
)

// feedState is the state that one host has read from the store for all hosts.
type feedState struct {
	// Config is the stored form of the configuration, compressed. It is empty if the
	// requesting host has the same generation.
	Config    []byte             `json:"config"`
	Endpoints []catalog.Endpoint `json:"endpoints"`
	// AgeMs is the time since the endpoints were read, in milliseconds. It is negative if
	// they have never been read.
	AgeMs int64 `json:"age_ms"`
	// Read names the read.
	Read storereads.ReadID `json:"read,omitempty"`
	// Revision is the store's revision at which the endpoints were listed.
	Revision uint64 `json:"revision,omitempty"`
	// ExactAge is presence.ExactAge of the last exact read of the endpoints that Endpoints include.
	ExactAge presence.ExactAge `json:"exact_age,omitempty"`
	// ExactRead names that read.
	ExactRead storereads.ReadID `json:"exact_read,omitempty"`
	// Missing are the IDs of Endpoints that the store no longer lists, but that may register again
	// after an outage.
	Missing []string `json:"missing,omitempty"`
	// RegisterMs is the time in which they may still do so, in milliseconds.
	RegisterMs int64 `json:"register_ms,omitempty"`
}

// feedDeps are the dependencies of a Feed.
type feedDeps struct {
	store *objectapi.Client
	// stale reads the store cheaply, but what it returns may be seconds old.
	stale      objectapi.API
	path       *StorePath
	decoder    Decoder
	catalog    *Catalog
	fleet      *Fleet
	peerClient *PeerClient
	announce   func()
	// rank returns this host's position among the hosts that may read the store. The host
	// at position zero reads first.
	rank func() int
	// isHub reports whether this host is a hub, as it is while it knows no peers. Only hubs
	// read the store.
	isHub func() bool
	// refreshInterval is the interval at which endpoints refresh their entries; zero is the default.
	refreshInterval time.Duration
	// configBound is the time within which a confirmed configuration must be in force; zero is the default.
	configBound time.Duration
	// proofs receives the reads of the configuration that are not stale, nil if nothing needs them.
	proofs *configproof.Prover
	log    *slog.Logger
}

// Feed keeps this host's configuration and endpoints in sync with the store. One host reads the
// store and the others fetch the result from it. A host reads the store itself if no host
// has read it recently.
type Feed struct {
	feedDeps

	mu sync.Mutex
	// endpointsReadAt and configReadAt are the boot times at which this or another host read
	// the known endpoints and configuration from the store. They are zero before the first
	// read. endpointsRead names the read of the endpoints, listings has the times of the recent ones.
	endpointsReadAt time.Duration
	configReadAt    time.Duration
	endpointsRead   storereads.ReadID
	listings        storereads.Reads
	// endpointsExact and configExact have the exact reads that the known state includes; see package storereads.
	endpointsExact, configExact storereads.Reads
	endpointsDigest             uint64
	// newestReadAt is the boot time of the newest read of the endpoints that any host has reported.
	newestReadAt time.Duration
	// endpointsRevision is the highest store revision of a known listing of the endpoints.
	endpointsRevision uint64
	// startedAt is the boot time at which this host started.
	startedAt time.Duration
	// lapses decides which endpoints stay in use without an entry, missing has those that do.
	lapses  *lapses.Tracker
	missing map[string]bool
	// invalidKeys are the keys of entries that are not valid endpoints. Each is logged once.
	invalidKeys map[string]bool
	fetching    bool
	schedule    storereads.Schedule
	// answers has the last encoded answers to peers.
	answers map[answerKey]keptAnswer
}

// NewFeed returns an empty feed.
func NewFeed(d feedDeps) *Feed {
	f := &Feed{feedDeps: d, startedAt: sinceBoot(), lapses: lapses.NewTracker(cmp.Or(d.refreshInterval, defaultRefreshInterval)),
		invalidKeys: map[string]bool{}, answers: map[answerKey]keptAnswer{}, schedule: storereads.New(d.configBound)}
	d.path.observe = f.observeStore
	return f
}

// observeStore records whether the store answered a call that was made at a boot time.
func (f *Feed) observeStore(madeAt time.Duration, answered bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !answered {
		f.lapses.Failed(madeAt)
		return
	}
	f.recordAnswer(sinceBoot())
}

// recordAnswer records that the store answered this or another host at a boot time. The caller holds the lock.
func (f *Feed) recordAnswer(at time.Duration) {
	if f.lapses.Answered(at) {
		f.log.Info("Store answers again; entries of endpoints may have expired", "age_ms", (sinceBoot() - at).Milliseconds())
	}
}

// applyConfig decodes a configuration and puts it in force if its generation is higher. from is
// the host from which it was fetched, or fromStore. It returns the generation of the configuration; ok is
// false if that could not be decoded.
func (f *Feed) applyConfig(value []byte, from string) (generation uint64, ok bool) {
	config, err := f.decoder.Config(value)
	if err != nil {
		f.log.Error("Failed to decode configuration; the previous one stays in force", "err", err)
		return 0, false
	}
	compressed, err := compress(value)
	if err != nil {
		f.log.Error("Failed to compress configuration for peers", "err", err)
	}
	if f.catalog.Apply(config, compressed) {
		f.log.Info("Configuration in force", "generation", config.Generation, "routes", len(config.Routes), "from", from)
		f.proofs.ConfigChanged()
		f.announce()
	}
	return config.Generation, true
}

// decodeEndpoints returns the valid endpoints among the objects. It logs each invalid
// object once.
func (f *Feed) decodeEndpoints(objects []objectapi.Object) []catalog.Endpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []catalog.Endpoint
	for _, o := range objects {
		e, err := f.decoder.Endpoint(o.Key, o.Value)
		if err != nil {
			if !f.invalidKeys[o.Key] {
				f.invalidKeys[o.Key] = true
				f.log.Warn("Invalid endpoint entry ignored", "key", o.Key, "err", err)
			}
			continue
		}
		out = append(out, e)
	}
	return out
}

// applyListing replaces the known endpoints by a listing that was requested from the store at a boot
// time. An endpoint whose entry may have expired because of an outage stays while it may register again.
func (f *Feed) applyListing(endpoints []catalog.Endpoint, requestedAt time.Duration) {
	read := storereads.Read{ID: storereads.NewReadID(), At: requestedAt}
	f.mu.Lock()
	f.listings.Include(read)
	f.recordAnswer(requestedAt)
	mayReturn, missingMayReturn := f.lapses.MayReturn(requestedAt, false), f.lapses.MayReturn(requestedAt, true)
	wasMissing := f.missing
	f.mu.Unlock()
	missing := map[string]bool{}
	if missingMayReturn {
		listed := idsOf(endpoints)
		for _, e := range f.fleet.Endpoints() {
			if !listed[e.ID] && (mayReturn || wasMissing[e.ID]) {
				endpoints = append(endpoints, e)
				missing[e.ID] = true
			}
		}
	}
	f.setMissing(missing, fromStore)
	f.replaceEndpoints(endpoints, read, fromStore)
}

// setMissing records which endpoints stay in use without an entry, according to the store or a peer.
func (f *Feed) setMissing(missing map[string]bool, from string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !maps.Equal(missing, f.missing) {
		f.log.Info("Endpoints without an entry stay in use", "endpoints", slices.Sorted(maps.Keys(missing)), "from", from)
	}
	f.missing = missing
}

func idsOf(endpoints []catalog.Endpoint) map[string]bool {
	ids := make(map[string]bool, len(endpoints))
	for i := range endpoints {
		ids[endpoints[i].ID] = true
	}
	return ids
}

// applyPeerState replaces the known endpoints by those of a peer. Of the endpoints that the store did not list to
// the peer, it takes those that it has in use itself, as long as they may register again: the peer may know
// of an outage that was none for other hosts. A host that has just started has no view of its own.
func (f *Feed) applyPeerState(state feedState, read storereads.Read, host string) {
	known := idsOf(f.fleet.Endpoints())
	f.mu.Lock()
	started, now := f.endpointsReadAt == 0, sinceBoot()
	if started && len(state.Missing) > 0 {
		f.lapses.Join(now + time.Duration(state.RegisterMs)*time.Millisecond)
	}
	mayReturn, missingMayReturn := f.lapses.MayReturn(now, false), f.lapses.MayReturn(now, true)
	wasMissing := f.missing
	f.mu.Unlock()
	missing := map[string]bool{}
	endpoints := slices.DeleteFunc(state.Endpoints, func(e catalog.Endpoint) bool {
		if !slices.Contains(state.Missing, e.ID) {
			return false
		}
		missing[e.ID] = (mayReturn || missingMayReturn && wasMissing[e.ID]) && (started || known[e.ID])
		return !missing[e.ID]
	})
	maps.DeleteFunc(missing, func(_ string, kept bool) bool { return !kept })
	f.setMissing(missing, host)
	f.replaceEndpoints(endpoints, read, host)
}

// replaceEndpoints replaces the content of the fleet by endpoints and announces a change. from
// is the host from which they were fetched, or fromStore. The host that read the store logs each
// change, the others one line with the numbers.
func (f *Feed) replaceEndpoints(endpoints []catalog.Endpoint, read storereads.Read, from string) {
	slices.SortFunc(endpoints, func(a, b catalog.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	digest := digestOf(endpoints)
	f.mu.Lock()
	f.recordRead(read)
	changed := digest != f.endpointsDigest
	f.endpointsDigest = digest
	f.mu.Unlock()
	if !changed {
		return
	}
	listed := idsOf(endpoints)
	putCount, removedCount := 0, 0
	observeSoftware := func(t *placement.Table) { t.ObserveSoftware(time.Now()) }
	f.fleet.WithTable(observeSoftware)
	defer f.fleet.WithTable(observeSoftware)
	for i := range endpoints {
		if f.putEndpoint(&endpoints[i], from) {
			putCount++
		}
	}
	var known []catalog.Endpoint
	f.fleet.WithTable(func(t *placement.Table) { known = t.All() })
	for _, e := range known {
		if !listed[e.ID] {
			f.fleet.WithTable(func(t *placement.Table) { t.Remove(e.ID) })
			removedCount++
			if from == fromStore {
				f.log.Info("Endpoint removed", "endpoint", e.ID)
			}
		}
	}
	if from != fromStore && putCount+removedCount > 0 {
		f.log.Info("Endpoints updated", "from", from, "added_or_changed", putCount, "removed", removedCount, "endpoints", len(endpoints))
	}
	f.announce()
}

// recordRead records the read of which the known endpoints are, unless a later one has confirmed them. The caller holds
// the lock.
func (f *Feed) recordRead(read storereads.Read) {
	if read.At > f.endpointsReadAt {
		f.endpointsReadAt, f.endpointsRead = read.At, read.ID
	}
}

// putEndpoint adds or updates an endpoint in the fleet. It reports whether the endpoint is a
// new instance or its draining state has changed.
func (f *Feed) putEndpoint(e *catalog.Endpoint, from string) bool {
	var before catalog.Endpoint
	var known bool
	f.fleet.WithTable(func(t *placement.Table) { before, known = t.Get(e.ID) })
	f.fleet.Put(*e)
	if known && before.SameInstance(e) && before.Draining == e.Draining {
		return false
	}
	if from == fromStore {
		f.log.Info("Endpoint added or changed", "endpoint", e.ID, "service", e.Service, "address", e.Address,
			"software", e.Software, "draining", e.Draining, "incarnation", e.Incarnation)
	}
	return true
}

// mayBeMissing reports whether endpoints may be missing from a listing that is requested now, or were
// until the last one, because of an outage.
func (f *Feed) mayBeMissing() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lapses.MayReturn(sinceBoot()-storereads.EndpointInterval, true)
}

// EndpointsReadAt returns the boot time of the last exact read of the endpoints, by this or another host, that the list
// in use includes: all that the store had confirmed before is in the list. A read by another host seems later than it was
// by the delay of its report.
func (f *Feed) EndpointsReadAt() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.endpointsExact.Latest().At
}

// listAge returns the age of the list of endpoints in use, and whether a peer has reported a newer one.
func (f *Feed) listAge() (age time.Duration, newerKnown bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return sinceBoot() - f.endpointsReadAt, f.newestReadAt > f.endpointsReadAt+minFetchGain
}

// digestOf returns a hash by which hosts compare their lists of endpoints.
func digestOf(endpoints []catalog.Endpoint) uint64 {
	b, err := canonicalEncoding.Marshal(endpoints)
	if err != nil {
		return 0 // cannot happen: the encoding of plain values does not fail
	}
	return xxhash.Sum64(b)
}

// ageMillis returns the time since a read at a boot time, in milliseconds. It is negative
// if there was no read.
func ageMillis(at time.Duration) int64 {
	if at == 0 {
		return -1
	}
	return (sinceBoot() - at).Milliseconds()
}

// bootTimeAtAge is the inverse of ageMillis.
func bootTimeAtAge(ageMs int64) time.Duration {
	if ageMs < 0 {
		return 0
	}
	return sinceBoot() - time.Duration(ageMs)*time.Millisecond
}

// reportOf returns the age and the name of the latest of some exact reads.
func reportOf(reads *storereads.Reads) (presence.ExactAge, storereads.ReadID) {
	read := reads.Latest()
	if read.At == 0 {
		return 0, 0
	}
	return presence.NewExactAge(sinceBoot() - read.At), read.ID
}

// reportedRead is the inverse of reportOf. It is zero if the age is unknown.
func reportedRead(a presence.ExactAge, id storereads.ReadID) storereads.Read {
	age, ok := a.Age()
	if !ok {
		return storereads.Read{}
	}
	return storereads.Read{ID: id, At: sinceBoot() - age}
}

// reportedEndpoints returns an exact read of the endpoints from a report, or at least that which an older build shows by
// the time of its last read of any kind: its exact reads are EndpointInterval apart.
func reportedEndpoints(a presence.ExactAge, id storereads.ReadID, readAt time.Duration) storereads.Read {
	if a == 0 {
		return storereads.Read{At: readAt - storereads.EndpointInterval}
	}
	return reportedRead(a, id)
}

// FillHeartbeat adds the digest and the age of this host's state to a heartbeat.
func (f *Feed) FillHeartbeat(h *presence.Heartbeat) {
	f.mu.Lock()
	defer f.mu.Unlock()
	h.EndpointsDigest, h.EndpointsAgeMs, h.ConfigAgeMs = f.endpointsDigest, ageMillis(f.endpointsReadAt), ageMillis(f.configReadAt)
	h.EndpointsRead = uint16(f.endpointsRead)
	var id storereads.ReadID
	h.EndpointsExactAge, id = reportOf(&f.endpointsExact)
	h.EndpointsExactRead = uint16(id)
	h.ConfigExactAge, id = reportOf(&f.configExact)
	h.ConfigExactRead = uint16(id)
}

// ReceiveHeartbeat compares a peer's state with the local one and fetches it in the
// background if it is newer.
func (f *Feed) ReceiveHeartbeat(ctx context.Context, h presence.Heartbeat) {
	read, configAt := storereads.Read{ID: storereads.ReadID(h.EndpointsRead), At: bootTimeAtAge(h.EndpointsAgeMs)}, bootTimeAtAge(h.ConfigAgeMs)
	generation := f.catalog.Generation()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listings.Report(read, false)
	read.At = f.listings.Time(read)
	endpointsAt := read.At
	f.recordAnswer(endpointsAt)
	f.newestReadAt = max(f.newestReadAt, endpointsAt)
	if h.Generation == generation {
		f.configReadAt = max(f.configReadAt, configAt)
	}
	f.configExact.Report(reportedRead(h.ConfigExactAge, storereads.ReadID(h.ConfigExactRead)), h.Generation == generation)
	f.endpointsExact.Report(reportedEndpoints(h.EndpointsExactAge, storereads.ReadID(h.EndpointsExactRead), endpointsAt),
		h.EndpointsDigest == f.endpointsDigest)
	newer := endpointsAt > f.endpointsReadAt+minFetchGain
	if newer && h.EndpointsDigest == f.endpointsDigest {
		f.recordRead(read)
		newer = false
	}
	if (newer || h.Generation > generation) && !f.fetching {
		f.fetching = true
		go f.fetch(ctx, h.Host)
	}
}

// fetch fetches a peer's configuration and endpoints and applies what is newer.
func (f *Feed) fetch(ctx context.Context, host string) {
	defer func() {
		f.mu.Lock()
		f.fetching = false
		f.mu.Unlock()
	}()
	state, err := f.peerClient.Feed(ctx, host, f.catalog.Generation())
	if err != nil {
		f.log.Warn("Failed to fetch configuration and endpoints from peer", "host", host, "err", err)
		return
	}
	if len(state.Config) > 0 {
		value, err := decompress(state.Config)
		if err != nil {
			f.log.Warn("Failed to decompress configuration from peer", "host", host, "err", err)
			return
		}
		f.applyConfig(value, host)
	}
	read := storereads.Read{ID: state.Read, At: bootTimeAtAge(state.AgeMs)}
	f.mu.Lock()
	read.At = f.listings.Time(read)
	f.endpointsRevision = max(f.endpointsRevision, state.Revision)
	newer := read.At > f.endpointsReadAt+minFetchGain
	f.recordAnswer(read.At)
	f.mu.Unlock()
	if newer {
		f.applyPeerState(state, read, host)
		f.mu.Lock()
		f.endpointsExact.Include(reportedEndpoints(state.ExactAge, state.ExactRead, read.At))
		f.mu.Unlock()
	}
}

// State returns this host's state for a peer. The configuration is left out if its
// generation is have, the one that the peer has.
func (f *Feed) State(have uint64) feedState {
	var s feedState
	if f.catalog.Generation() != have {
		s.Config = f.catalog.Compressed()
	}
	f.mu.Lock()
	s.AgeMs, s.Read, s.Revision = ageMillis(f.endpointsReadAt), f.endpointsRead, f.endpointsRevision
	s.ExactAge, s.ExactRead = reportOf(&f.endpointsExact)
	if s.Missing = slices.Sorted(maps.Keys(f.missing)); len(s.Missing) > 0 {
		s.RegisterMs = max(0, (f.lapses.RegisteredBy() - sinceBoot()).Milliseconds())
	}
	f.mu.Unlock()
	f.fleet.WithTable(func(t *placement.Table) { s.Endpoints = t.All() })
	return s
}

// compress compresses a configuration, since a change to one with a thousand routes is sent
// to all hosts at the same time.
func compress(value []byte) ([]byte, error) {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(value); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

func decompress(compressed []byte) ([]byte, error) {
	return io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(compressed)), objectapi.MaxValueBytes))
}
