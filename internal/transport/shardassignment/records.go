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

func (m *Manager) listDue() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.view == nil {
		return false
	}
	age := time.Since(m.listedAt)
	return (m.recordsStale || m.table.ExpectsChanges()) && age >= m.listGap || age >= listInterval
}

// list reads the records of all configured shards, with one List (and its further pages) per
// kind of shard.
func (m *Manager) list(ctx context.Context) {
	m.mu.Lock()
	m.recordsStale = false
	configured := m.table.Configured()
	m.mu.Unlock()
	found := map[string]objectapi.Object{}
	for _, prefix := range prefixes(configured) {
		if err := m.listPrefix(ctx, prefix, found); err != nil {
			m.mu.Lock()
			m.listedAt, m.recordsStale = time.Now(), true
			m.mu.Unlock()
			m.opt.Log.Debug("Failed to read ownership records", "err", err)
			return
		}
	}
	m.applyRecords(ctx, configured, found)
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

func (m *Manager) listPrefix(ctx context.Context, prefix string, into map[string]objectapi.Object) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	after := ""
	for {
		page, err := m.opt.API.List(ctx, keyPrefix+prefix, after, listPageSize)
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

func (m *Manager) applyRecords(ctx context.Context, configured []string, found map[string]objectapi.Object) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	m.listedAt, m.recordsLoaded = now, true
	m.listGap = min(2*m.listGap, maxListGap)
	for _, id := range configured {
		o, ok := found[id]
		var r shards.Record
		if ok && json.Unmarshal(o.Value, &r) != nil {
			m.opt.Log.Error("Failed to decode ownership record", "shard", id)
			continue
		}
		if o.Version > m.table.Version(id) {
			m.listGap = minListGap
		}
		m.table.SetRecord(now, id, r, o.Version)
		m.reconcile(ctx, id)
	}
}

func (m *Manager) acquire(ctx context.Context, acquisition shards.Acquisition) {
	value, err := json.Marshal(acquisition.Record)
	if err != nil {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	version, err := m.opt.API.Put(callCtx, keyPrefix+acquisition.ID, value, acquisition.Expect)
	if m.finishAcquire(ctx, acquisition, version, err) {
		m.release(ctx, Shard{ID: acquisition.ID, Epoch: acquisition.Record.Epoch})
	}
}

// finishAcquire processes the result of an acquisition write. It reports whether the shard
// must be released again because a planned stop began during the write.
func (m *Manager) finishAcquire(ctx context.Context, acquisition shards.Acquisition, version uint64, err error) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err != nil {
		m.recordsStale = true
		if !errors.Is(err, objectapi.ErrConflict) {
			m.opt.Log.Debug("Failed to acquire shard", "shard", acquisition.ID, "err", err)
		}
		return false
	}
	m.table.SetRecord(time.Now(), acquisition.ID, acquisition.Record, version)
	m.reconcile(ctx, acquisition.ID)
	return m.stopping
}

// release marks the record of the shard as released, unless there is a newer record.
func (m *Manager) release(ctx context.Context, shard Shard) {
	m.mu.Lock()
	r, ok := m.table.Record(shard.ID)
	version := m.table.Version(shard.ID)
	m.mu.Unlock()
	if !ok || r.Epoch != shard.Epoch || r.Host != m.opt.Host {
		return
	}
	r.Released = true
	value, err := json.Marshal(r)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	version, err = m.opt.API.Put(ctx, keyPrefix+shard.ID, value, version)
	if err != nil {
		m.opt.Log.Warn("Failed to release shard; another host acquires it once this host is dead or missing", "shard", shard.ID, "err", err)
		return
	}
	m.mu.Lock()
	m.table.SetRecord(time.Now(), shard.ID, r, version)
	m.mu.Unlock()
}
