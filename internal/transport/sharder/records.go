package sharder

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"time"

	"oleanderfall.example/oleanderfall/internal/coordination/shards"
	"oleanderfall.example/oleanderfall/internal/protocol/objectapi"
)

func (s *Sharder) listDue() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.view == nil {
		return false
	}
	age := time.Since(s.listed)
	return (s.stale || s.table.HasOrphans()) && age >= s.gap || age >= listEvery
}

// list reads the records of all wanted shards, one List a duty.
func (s *Sharder) list(ctx context.Context) {
	s.mu.Lock()
	s.stale = false
	wanted := s.table.Wanted()
	s.mu.Unlock()
	found := map[string]objectapi.Object{}
	for _, prefix := range prefixes(wanted) {
		if err := s.listPrefix(ctx, prefix, found); err != nil {
			s.mu.Lock()
			s.listed, s.stale = time.Now(), true
			s.mu.Unlock()
			s.opt.Log.Debug("Ownership records not read.", "err", err)
			return
		}
	}
	s.takeIn(ctx, wanted, found)
}

// prefixes returns the distinct duties of the shards, such as "claims/".
func prefixes(ids []string) []string {
	var out []string
	seen := map[string]bool{}
	for _, id := range ids {
		duty, _, _ := strings.Cut(id, "/")
		if !seen[duty] {
			seen[duty] = true
			out = append(out, duty+"/")
		}
	}
	return out
}

func (s *Sharder) listPrefix(ctx context.Context, prefix string, into map[string]objectapi.Object) error {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	after := ""
	for {
		page, err := s.opt.API.List(ctx, keyPrefix+prefix, after, listPage)
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

func (s *Sharder) takeIn(ctx context.Context, wanted []string, found map[string]objectapi.Object) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.listed, s.ready = now, true
	s.gap = min(2*s.gap, listGapMax)
	for _, id := range wanted {
		o, ok := found[id]
		var r shards.Record
		if ok && json.Unmarshal(o.Value, &r) != nil {
			s.opt.Log.Error("Ownership record not readable.", "shard", id)
			continue
		}
		if o.Version > s.table.Version(id) {
			s.gap = listGap
		}
		s.table.SetRecord(now, id, r, o.Version)
		s.reconcile(ctx, id)
	}
}

func (s *Sharder) take(ctx context.Context, take shards.Acquisition) {
	value, err := json.Marshal(take.Record)
	if err != nil {
		return
	}
	bounded, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	version, err := s.opt.API.Put(bounded, keyPrefix+take.ID, value, take.Expect)
	if s.taken(ctx, take, version, err) {
		s.release(ctx, Shard{ID: take.ID, Epoch: take.Record.Epoch})
	}
}

// taken takes in the end of a write. It reports whether the shard came too late, in
// a planned stop, and is to be handed on.
func (s *Sharder) taken(ctx context.Context, take shards.Acquisition, version uint64, err error) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.stale = true
		if !errors.Is(err, objectapi.ErrConflict) {
			s.opt.Log.Debug("Shard not taken.", "shard", take.ID, "err", err)
		}
		return false
	}
	s.table.SetRecord(time.Now(), take.ID, take.Record, version)
	s.reconcile(ctx, take.ID)
	return s.stopping
}

// release writes that the shard is free, unless it has a newer record.
func (s *Sharder) release(ctx context.Context, shard Shard) {
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
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	version, err = s.opt.API.Put(ctx, keyPrefix+shard.ID, value, version)
	if err != nil {
		s.opt.Log.Warn("Shard not handed over; it is taken when this host has gone.", "shard", shard.ID, "err", err)
		return
	}
	s.mu.Lock()
	s.table.SetRecord(time.Now(), shard.ID, r, version)
	s.mu.Unlock()
}
