package front

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"oleanderfall.example/oleanderfall/internal/coordination/batchowners"
	"oleanderfall.example/oleanderfall/internal/coordination/batchrun"
	"oleanderfall.example/oleanderfall/internal/protocol/objectapi"
	"oleanderfall.example/oleanderfall/internal/state/batches"
)

// maxPartBytes bounds a part of a batch's content and an entry of its log. The text
// encoding in the store adds a third, and the result must stay under the store's limit
// for a value.
const maxPartBytes = 640 << 10

// batchStore reads and writes the store objects of batches: manifests, content parts,
// result logs and saved partial samples.
type batchStore struct {
	api *objectapi.Client
	// stale reads the store cheaply, but what it returns may be seconds old.
	stale objectapi.API
	// cache holds the newest manifest seen of each batch. Entries may be stale: they show
	// which host to ask first, but a missing one does not mean that no batch exists.
	mu    sync.Mutex
	cache map[string]storedManifest
	// owners has what this host knows of the owners of batches. mu guards it.
	owners *batchowners.Tracker
	// now returns the boot time.
	now func() time.Duration
}

// storedManifest is a manifest with its version in the store. Version zero means that it is
// known only from a heartbeat.
type storedManifest struct {
	batches.Manifest
	version uint64
	// writtenAt is when the write of this version began, if this host wrote it.
	writtenAt time.Time
	// cachedAt is when the batch was first cached.
	cachedAt time.Time
	// acceptedBy is the boot time of this host by which the batch had been accepted.
	acceptedBy time.Duration
}

// newBatchStore returns the access of a host to the stored batches.
func newBatchStore(host string, api *objectapi.Client, stale objectapi.API) *batchStore {
	return &batchStore{api: api, stale: stale, cache: map[string]storedManifest{}, owners: batchowners.NewTracker(host), now: sinceBoot}
}

// canonicalEncoding encodes equal content to equal bytes, so that digests can be compared.
var canonicalEncoding = func() cbor.EncMode {
	mode, err := cbor.CanonicalEncOptions().EncMode()
	if err != nil {
		panic(err) // unreachable: the options are the library's own
	}
	return mode
}()

// encodeBatch returns a batch's stored encoding and its SHA-256 digest in hex.
func encodeBatch(b *batches.Batch) (content []byte, digest string, err error) {
	if content, err = canonicalEncoding.Marshal(b); err != nil {
		return nil, "", batches.Error.Wrap(err)
	}
	sum := sha256.Sum256(content)
	return content, hex.EncodeToString(sum[:]), nil
}

// putContent writes a batch's content in parts and returns their number. Part keys
// contain the content's digest, so a part that already exists is identical.
func (s *batchStore) putContent(ctx context.Context, id, digest string, content []byte) (parts int, err error) {
	for at := 0; at < len(content) || parts == 0; at += maxPartBytes {
		part := content[at:min(at+maxPartBytes, len(content))]
		_, err := s.api.Put(ctx, batches.PartKey(id, digest, parts), part, 0)
		if err != nil && !errors.Is(err, objectapi.ErrConflict) {
			return 0, err
		}
		parts++
	}
	return parts, nil
}

// content reads and decodes a batch's content.
func (s *batchStore) content(ctx context.Context, m *batches.Manifest) (*batches.Batch, error) {
	var content []byte
	slow := false
	for n := 0; n < m.Parts; {
		o, err := s.part(ctx, batches.PartKey(m.ID, m.Digest, n), slow)
		switch {
		case objectapi.Unresolved(err) && !slow && ctx.Err() == nil:
			slow = true
		case err != nil:
			return nil, fmt.Errorf("part %d: %w", n, err)
		default:
			content = append(content, o.Value...)
			n++
		}
	}
	var b batches.Batch
	if err := decoding.Unmarshal(content, &b); err != nil {
		return nil, batches.Error.Wrap(err)
	}
	return &b, nil
}

// part reads a part of a batch's content. Parts never change, so if reads are slow, a stale one that has more time
// than the attempts of others comes first.
func (s *batchStore) part(ctx context.Context, key string, slow bool) (objectapi.Object, error) {
	if slow {
		staleCtx, cancel := context.WithTimeout(ctx, slowReadTimeout)
		defer cancel()
		if o, err := s.stale.Get(staleCtx, key); err == nil {
			return o, nil
		}
	}
	return s.api.Get(ctx, key)
}

// entry reads the nth entry of a batch's log, from zero. It returns
// objectapi.ErrNotFound past the end.
func (s *batchStore) entry(ctx context.Context, id string, n int) (batches.LogEntry, error) {
	return s.entryFrom(ctx, s.api, id, n)
}

func (s *batchStore) entryFrom(ctx context.Context, store reader, id string, n int) (batches.LogEntry, error) {
	o, err := store.Get(ctx, batches.LogKey(id, n))
	if err != nil {
		return batches.LogEntry{}, err
	}
	var e batches.LogEntry
	if err := decoding.Unmarshal(o.Value, &e); err != nil {
		return batches.LogEntry{}, batches.Error.Wrap(err)
	}
	return e, nil
}

// entries reads all entries of a batch's log. It lists them: a page of the listing has about as
// many bytes as a whole log, so this takes one or two calls instead of one for each entry. The
// result is not nil, which says that the batch has run before.
func (s *batchStore) entries(ctx context.Context, id string) ([]batches.LogEntry, error) {
	found := map[int]batches.LogEntry{}
	for after, more := batches.BatchLogPrefix(id), true; more; {
		page, err := s.api.List(ctx, batches.LogPrefix, after, 0)
		if err != nil {
			return nil, err
		}
		more = page.More && len(page.Objects) > 0
		for _, o := range page.Objects {
			if after = o.Key; !strings.HasPrefix(after, batches.BatchLogPrefix(id)) {
				more = false // the entries of other batches follow
				break
			}
			n, ok := batches.LogEntryNumber(id, after)
			if !ok {
				continue // an entry of a batch whose ID begins with this one's
			}
			var e batches.LogEntry
			if err := decoding.Unmarshal(o.Value, &e); err != nil {
				return nil, batches.Error.Wrap(err)
			}
			found[n] = e
		}
	}
	// The keys do not sort by number, and an entry may be appended between two pages: only
	// entries without a gap before them are known to be all there were.
	out := make([]batches.LogEntry, 0, len(found))
	for e, ok := found[0]; ok; e, ok = found[len(out)] {
		out = append(out, e)
	}
	return out, nil
}

// append creates the nth entry of a batch's log. It returns objectapi.ErrConflict when
// the entry already exists.
func (s *batchStore) append(ctx context.Context, id string, n int, e batches.LogEntry) error {
	value, err := cbor.Marshal(e)
	if err != nil {
		return batches.Error.Wrap(err)
	}
	_, err = s.api.Put(ctx, batches.LogKey(id, n), value, 0)
	return err
}

// savedSample is the stored text of a sample whose result is not in the batch's log.
type savedSample struct {
	ID      string           `json:"id"`
	Partial batchrun.Partial `json:"partial"`
	// Complete says that Partial is the whole output, of which only the score or the write to
	// the log is missing.
	Complete bool `json:"complete,omitempty"`
	// AgeMs is the age of the batch in milliseconds, in an entry that has nothing else.
	AgeMs int64 `json:"age_ms,omitempty"`
}

// savePartials replaces a batch's saved partial samples and its age if their stored version is still
// expect, and returns the new version.
func (s *batchStore) savePartials(ctx context.Context, id string, samples []savedSample, expect uint64) (uint64, error) {
	value, err := cbor.Marshal(withAge(samples, s.age(id)))
	if err != nil {
		return 0, batches.Error.Wrap(err)
	}
	return s.api.Put(ctx, batches.PartialsKey(id), value, expect)
}

// partials reads a batch's saved partial samples and their version. It returns none and
// version zero when nothing is saved. It also records the saved age of the batch.
func (s *batchStore) partials(ctx context.Context, id string) ([]savedSample, uint64, error) {
	o, err := s.api.Get(ctx, batches.PartialsKey(id))
	if errors.Is(err, objectapi.ErrNotFound) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	var out []savedSample
	if err := decoding.Unmarshal(o.Value, &out); err != nil {
		return nil, 0, batches.Error.Wrap(err)
	}
	out, age := cutAge(out)
	s.observeAge(id, age)
	return out, o.Version, nil
}

// remove deletes all objects of an ended batch. It first marks the manifest as removed, which
// removes the batch for readers: a batch whose log is partly deleted would show fewer results
// than before. The manifest is deleted last, so that a removal that was interrupted is
// continued.
func (s *batchStore) remove(ctx context.Context, m storedManifest) error {
	if !m.Removed {
		marked := m.Manifest
		marked.Removed = true
		var err error
		if m, err = s.putManifest(ctx, marked, m.version); err != nil {
			return err
		}
	}
	keys := []string{batches.PartialsKey(m.ID)}
	for n := range m.Parts {
		keys = append(keys, batches.PartKey(m.ID, m.Digest, n))
	}
	for _, key := range keys {
		if _, err := s.removeObject(ctx, key); err != nil {
			return err
		}
	}
	if err := s.removeLog(ctx, m.ID); err != nil {
		return err
	}
	if err := s.api.Delete(ctx, batches.ManifestKey(m.ID), m.version); err != nil {
		return err
	}
	s.forget(m.ID)
	return nil
}

// removeLog deletes the log of a batch from its last entry on, so that an interrupted removal
// leaves no gap at which the next one would stop.
func (s *batchStore) removeLog(ctx context.Context, id string) error {
	count := 0
	for {
		_, err := s.api.Get(ctx, batches.LogKey(id, count))
		if errors.Is(err, objectapi.ErrNotFound) {
			break
		}
		if err != nil {
			return err
		}
		count++
	}
	for n := count - 1; n >= 0; n-- {
		if _, err := s.removeObject(ctx, batches.LogKey(id, n)); err != nil {
			return err
		}
	}
	return nil
}

// forget drops what is cached about a batch.
func (s *batchStore) forget(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.cache, id)
	s.owners.Forget(id)
}

// forgetOld drops what is cached about batches that were first seen before a time and that a listing
// lacks: the age of the others is still needed. What is needed again is read again.
func (s *batchStore) forgetOld(before time.Time, listed []storedManifest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	keep := make(map[string]bool, len(listed))
	for _, m := range listed {
		keep[m.ID] = true
	}
	for id, m := range s.cache {
		if m.cachedAt.Before(before) && !keep[id] {
			delete(s.cache, id)
			s.owners.Forget(id)
		}
	}
}

// removeObject deletes an object at its current version and reports whether it existed.
func (s *batchStore) removeObject(ctx context.Context, key string) (found bool, err error) {
	o, err := s.api.Get(ctx, key)
	if errors.Is(err, objectapi.ErrNotFound) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	return true, s.api.Delete(ctx, key, o.Version)
}
