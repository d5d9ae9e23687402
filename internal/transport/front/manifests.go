package front

import (
	"context"
	"errors"
	"fmt"
	"time"

	"oleanderfall.example/oleanderfall/internal/coordination/batchowners"
	"oleanderfall.example/oleanderfall/internal/protocol/objectapi"
	"oleanderfall.example/oleanderfall/internal/state/batches"
)

// endMarkLifetime is how long the end of a batch is remembered of which this host knows nothing else. It exceeds the
// time in which the acceptance of the batch is confirmed.
const endMarkLifetime = 4 * storeWaitTimeout

// cacheManifest caches a manifest unless a newer version is cached. It returns the manifest with
// what this host knows of its age.
func (s *batchStore) cacheManifest(m storedManifest) storedManifest {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m.version > 0 {
		s.owners.Observe(m.forTracker())
	}
	m.cachedAt = time.Now()
	m.acceptedBy = s.now() - max(0, time.Duration(m.AgeMs)*time.Millisecond)
	old, ok := s.cache[m.ID]
	if ok && old.sameAcceptance(&m.Manifest) {
		// An end is final. A mark without a manifest may be that of an earlier batch with this ID, which was removed.
		m.Ended = m.Ended || old.Ended && (old.version > 0 || time.Since(old.cachedAt) <= endMarkLifetime)
		m.cachedAt, m.acceptedBy = old.cachedAt, min(old.acceptedBy, m.acceptedBy)
		if old.version >= m.version {
			old.acceptedBy = m.acceptedBy
			s.cache[m.ID] = old
			return m
		}
	}
	if !ok || old.version < m.version {
		s.cache[m.ID] = m
	}
	return m
}

// markEnded records in the cache that the store has the end of a batch, although this host has not read it.
func (s *batchStore) markEnded(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m, ok := s.cache[id]
	if !ok {
		m = storedManifest{Manifest: batches.Manifest{ID: id}, cachedAt: time.Now(), acceptedBy: s.now()}
	}
	m.Ended = true
	s.cache[id] = m
	s.owners.Ended(id)
}

// cached returns the newest manifest that this host has seen, with the host that probably runs the batch as its owner.
func (s *batchStore) cached(id string) (storedManifest, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m, ok := s.cache[id]
	if owner := s.owners.Owner(id); ok && owner != "" {
		m.Owner = owner
	}
	return m, ok
}

// withOwners calls run with what this host knows of the owners of batches, while holding the lock.
func (s *batchStore) withOwners(run func(t *batchowners.Tracker)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	run(s.owners)
}

// forTracker returns the part of a manifest that names the owner of the batch.
func (m *storedManifest) forTracker() batchowners.Manifest {
	return batchowners.Manifest{ID: m.ID, Owner: m.Owner, Version: m.version, Open: !m.Ended && !m.Removed}
}

// manifest reads a manifest from the store. It returns objectapi.ErrNotFound when no such
// batch exists.
func (s *batchStore) manifest(ctx context.Context, id string) (storedManifest, error) {
	return s.manifestFrom(ctx, s.api, id)
}

func (s *batchStore) manifestFrom(ctx context.Context, store reader, id string) (storedManifest, error) {
	o, err := store.Get(ctx, batches.ManifestKey(id))
	if err != nil {
		return storedManifest{}, err
	}
	return s.decodeManifest(o)
}

func (s *batchStore) decodeManifest(o objectapi.Object) (storedManifest, error) {
	m := storedManifest{version: o.Version}
	if err := batches.Decode(o.Value, &m.Manifest); err != nil {
		return storedManifest{}, err
	}
	return s.cacheManifest(m), nil
}

// putManifest writes a manifest if its stored version is still expect; zero creates it.
// It returns objectapi.ErrConflict otherwise.
func (s *batchStore) putManifest(ctx context.Context, m batches.Manifest, expect uint64) (storedManifest, error) {
	if expect != 0 {
		m.AgeMs = max(m.AgeMs, s.age(m.ID).Milliseconds())
	}
	value, err := batches.Encode(m)
	if err != nil {
		return storedManifest{}, err
	}
	began := time.Now()
	version, err := s.api.Put(ctx, batches.ManifestKey(m.ID), value, expect)
	if err != nil {
		return storedManifest{}, err
	}
	return s.cacheManifest(storedManifest{Manifest: m, version: version, writtenAt: began}), nil
}

// staleManifest reads a manifest that may be outdated.
func (s *batchStore) staleManifest(ctx context.Context, id string) (storedManifest, error) {
	ctx, cancel := context.WithTimeout(ctx, staleReadTimeout)
	defer cancel()
	return s.manifestFrom(ctx, s.stale, id)
}

// maxListedPerManifest is the number of known manifests for each one to read above which they
// are read one by one instead of by a listing of all.
const maxListedPerManifest = 64

// manifests reads the manifests of the given batches. The result lacks those that do not exist,
// and may have others.
func (s *batchStore) manifests(ctx context.Context, ids []string) (map[string]storedManifest, error) {
	return s.manifestsFrom(ctx, s.api, ids)
}

// staleManifests is manifests, but the result may be outdated.
func (s *batchStore) staleManifests(ctx context.Context, ids []string) (map[string]storedManifest, error) {
	ctx, cancel := context.WithTimeout(ctx, staleReadTimeout)
	defer cancel()
	return s.manifestsFrom(ctx, s.stale, ids)
}

func (s *batchStore) manifestsFrom(ctx context.Context, store reader, ids []string) (map[string]storedManifest, error) {
	out := map[string]storedManifest{}
	s.mu.Lock()
	known := len(s.cache)
	s.mu.Unlock()
	if len(ids) > 1 && known <= maxListedPerManifest*len(ids) {
		all, err := s.listManifestsFrom(ctx, store)
		for _, m := range all {
			out[m.ID] = m
		}
		return out, err
	}
	for _, id := range ids {
		m, err := s.manifestFrom(ctx, store, id)
		if errors.Is(err, objectapi.ErrNotFound) {
			continue
		}
		if err != nil {
			return nil, err
		}
		out[id] = m
	}
	return out, nil
}

// listManifests reads all manifests from the store, page by page.
func (s *batchStore) listManifests(ctx context.Context) ([]storedManifest, error) {
	return s.listManifestsFrom(ctx, s.api)
}

func (s *batchStore) listManifestsFrom(ctx context.Context, store reader) ([]storedManifest, error) {
	objects, _, err := listAll(ctx, store, batches.ManifestPrefix)
	if err != nil {
		return nil, err
	}
	out := make([]storedManifest, 0, len(objects))
	for _, o := range objects {
		m, err := s.decodeManifest(o)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", o.Key, err)
		}
		out = append(out, m)
	}
	return out, nil
}
