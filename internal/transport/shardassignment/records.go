package shardassignment

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"time"

	"oleanderfall.example/oleanderfall/internal/coordination/shards"
	"oleanderfall.example/oleanderfall/internal/protocol/objectapi"
)

func (s *Manager) listDue() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.view == nil {
		return false
	}
	age := time.Since(s.listedAt)
	return (s.recordsStale || s.table.HasOrphans()) && age >= s.listGap || age >= listInterval
}

// list reads the records of all required shards, with one List (and its further pages) per
// kind of shard.
func (s *Manager) list(ctx context.Context) {
	s.mu.Lock()
	s.recordsStale = false
	wanted := s.table.Wanted()
	s.mu.Unlock()
	found := map[string]objectapi.Object{}
	for _, prefix := range prefixes(wanted) {
		if err := s.listPrefix(ctx, prefix, found); err != nil {
			s.mu.Lock()
			s.listedAt, s.recordsStale = time.Now(), true
			s.mu.Unlock()
			s.opt.Log.Debug("Failed to read ownership records", "err", err)
			return
		}
	}
	s.applyRecords(ctx, wanted, found)
}

// prefixes returns the distinct kinds of the shards as key prefixes, such as "claims/".
func prefixes(ids []string) []string {
	var out []string
	seen := map[string]bool{}
	for _, id := range ids {
		kind, _, _ := strings.Cut(id, "/")
		if !seen[kind] {
			seen[kind] = true
			out = append(out, kind+"/")
		}
	}
	return out
}

func (s *Manager) listPrefix(ctx context.Context, prefix string, into map[string]objectapi.Object) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	after := ""
	for {
		page, err := s.opt.API.List(ctx, keyPrefix+prefix, after, listPageSize)
		if err != nil {
			return Error.Wrap(err)
		}
		for _, o := range page.Objects {
			into[strings.TrimPrefix(o.Key, keyPrefix)] = o
			after = o.Key
		}
		if !page.More || len(page.Objects) == 0 {
			return nil
		}
	}
}

func (s *Manager) applyRecords(ctx context.Context, wanted []string, found map[string]objectapi.Object) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.listedAt, s.recordsLoaded = now, true
	s.listGap = min(2*s.listGap, maxListGap)
	for _, id := range wanted {
		o, ok := found[id]
		var r shards.Record
		if ok && json.Unmarshal(o.Value, &r) != nil {
			s.opt.Log.Error("Failed to decode ownership record", "shard", id)
			continue
		}
		if o.Version > s.table.Version(id) {
			s.listGap = minListGap
		}
		s.table.SetRecord(now, id, r, o.Version)
		s.reconcile(ctx, id)
	}
}

func (s *Manager) acquire(ctx context.Context, acquisition shards.Acquisition) {
	value, err := json.Marshal(acquisition.Record)
	if err != nil {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	version, err := s.opt.API.Put(callCtx, keyPrefix+acquisition.ID, value, acquisition.Expect)
	if s.finishAcquire(ctx, acquisition, version, err) {
		s.release(ctx, Shard{ID: acquisition.ID, Epoch: acquisition.Record.Epoch})
	}
}

// finishAcquire processes the result of an acquisition write. It reports whether the shard
// must be released again because a planned stop began during the write.
func (s *Manager) finishAcquire(ctx context.Context, acquisition shards.Acquisition, version uint64, err error) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.recordsStale = true
		if !errors.Is(err, objectapi.ErrConflict) {
			s.opt.Log.Debug("Failed to acquire shard", "shard", acquisition.ID, "err", err)
		}
		return false
	}
	s.table.SetRecord(time.Now(), acquisition.ID, acquisition.Record, version)
	s.reconcile(ctx, acquisition.ID)
	return s.stopping
}

// release marks the record of the shard as released, unless there is a newer record.
func (s *Manager) release(ctx context.Context, shard Shard) {
	s.mu.Lock()
	r, ok := s.table.Record(shard.ID)
	version := s.table.Version(shard.ID)
	s.mu.Unlock()
	if !ok || r.Epoch != shard.Epoch || r.Host != s.opt.Host {
		return
	}
	r.Released = true
	value, err := json.Marshal(r)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	version, err = s.opt.API.Put(ctx, keyPrefix+shard.ID, value, version)
	if err != nil {
		s.opt.Log.Warn("Failed to release shard; another host acquires it once this host is dead or missing", "shard", shard.ID, "err", err)
		return
	}
	s.mu.Lock()
	s.table.SetRecord(time.Now(), shard.ID, r, version)
	s.mu.Unlock()
}
