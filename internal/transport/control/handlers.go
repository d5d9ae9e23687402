package control

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"oleanderfall.example/oleanderfall/internal/coordination/drains"
	"oleanderfall.example/oleanderfall/internal/coordination/shards"
	"oleanderfall.example/oleanderfall/internal/protocol/resultcode"
	"oleanderfall.example/oleanderfall/internal/protocol/wire"
	"oleanderfall.example/oleanderfall/internal/state/items"
	"oleanderfall.example/oleanderfall/internal/state/model"
	"oleanderfall.example/oleanderfall/internal/transport/quicmesh"
	"oleanderfall.example/oleanderfall/internal/transport/shardassignment"
)

const (
	reportTimeout     = 2 * time.Second
	statusReadTimeout = 2 * time.Second
	// entryReportTimeout is the time without a report of the entry program, which reports
	// every second, after which it no longer counts as ready.
	entryReportTimeout = 3 * time.Second
)

func (s *service) register(mesh *quicmesh.Mesh) {
	s.hub.Register(mesh, s.report)
	mesh.Handle(wire.MethodStatus, func(ctx context.Context, _ string, _ []byte) (any, error) { return s.status(ctx), nil })
	mesh.Handle(wire.MethodDrain, func(ctx context.Context, _ string, b []byte) (any, error) {
		var r wire.DrainRequest
		if err := wire.Decode(b, &r); err != nil {
			return nil, resultcode.New(resultcode.BadRequest, "%v", err)
		}
		return wire.DrainReply{}, s.drains.Drain(ctx, r)
	})
}

// status returns this host's view, whose configuration is left out, and the generations of
// all hosts, the status of the endpoints and the shard owners.
func (s *service) status(ctx context.Context) wire.StatusReply {
	reply := wire.StatusReply{Host: s.settings.Host.ID}
	st := s.gossip.State()
	reply.Hosts = hostGenerations(st.Generations)
	if v := s.hub.View(); v != nil {
		reply.View = *v
		reply.View.Config = nil
		reply.Endpoints = endpointStatus(st, v)
	}
	reply.Shards = s.listShards(ctx)
	return reply
}

// listShards reads the owners of the shards from the object API. After an error or the
// timeout it returns what was read so far, because the rest of the status is still useful
// during an outage of the object API.
func (s *service) listShards(ctx context.Context) []wire.ShardStatus {
	const listPage = 500
	ctx, cancel := context.WithTimeout(ctx, statusReadTimeout)
	defer cancel()
	var out []wire.ShardStatus
	for after := ""; ; {
		page, err := s.api.List(ctx, shardassignment.KeyPrefix, after, listPage)
		if err != nil {
			return out
		}
		for _, o := range page.Objects {
			after = o.Key
			var r shards.Record
			if err := json.Unmarshal(o.Value, &r); err != nil {
				s.log.Warn("Failed to decode ownership record", "key", o.Key, "err", err)
				continue
			}
			status := wire.ShardStatus{Shard: strings.TrimPrefix(o.Key, shardassignment.KeyPrefix), Epoch: r.Epoch}
			if !r.Released {
				status.Owner = r.Host
			}
			out = append(out, status)
		}
		if !page.More || len(page.Objects) == 0 {
			return out
		}
	}
}

// report gossips the observations of a data-path program of this host, and records whether
// the program is stopping.
func (s *service) report(r wire.Report) error {
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	list := append(reportItems(r), s.demands.takeDueItems(time.Now(), r)...)
	if err := s.gossip.AddItems(ctx, list...); err != nil {
		return err
	}
	if r.Program == wire.EntryProgram {
		// Before setStopping: a restarted entry program ends the announced stop while it is not
		// ready yet.
		if err := s.setEntryReady(ctx, time.Now(), !r.NotReady); err != nil {
			return err
		}
	}
	return s.setStopping(ctx, r.Program, r.Stopping)
}

// setEntryReady records whether the entry program of this host serves callers, and announces
// a change.
func (s *service) setEntryReady(ctx context.Context, now time.Time, ready bool) error {
	s.mu.Lock()
	changed := s.entryReady != ready
	s.entryReady, s.entryReportedAt = ready, now
	s.mu.Unlock()
	if !changed {
		return nil
	}
	s.log.Info("Entry program readiness changed", "ready", ready)
	return s.gossip.SetEntryReady(ctx, ready)
}

// expireEntryReport announces the entry program as not ready if it no longer reports.
func (s *service) expireEntryReport(ctx context.Context, now time.Time) {
	s.mu.Lock()
	expired := s.entryReady && now.Sub(s.entryReportedAt) > entryReportTimeout
	s.mu.Unlock()
	if expired {
		_ = s.setEntryReady(ctx, now, false) // fails only while this program stops
	}
}

// setStopping records whether a data-path program of this host is stopping, and
// announces the host as leaving while at least one is.
func (s *service) setStopping(ctx context.Context, program string, stopping bool) error {
	s.mu.Lock()
	wasLeaving := len(s.stopping) > 0
	if stopping {
		s.stopping[program] = true
	} else {
		delete(s.stopping, program)
	}
	leaving := len(s.stopping) > 0
	s.mu.Unlock()
	if leaving == wasLeaving {
		return nil
	}
	return s.gossip.SetLeaving(ctx, leaving)
}

// reportItems converts a report's drains and quarantined requests to gossip items.
func reportItems(r wire.Report) []items.Item {
	var out []items.Item
	for _, e := range r.Drains {
		i := drains.EvidenceItem(drains.Target{Endpoint: e.Endpoint, Host: e.Host}, e.Incarnation, e.Source)
		i.AgeMillis = e.Age.Milliseconds()
		out = append(out, i)
	}
	for _, q := range r.Quarantine {
		out = append(out, quarantineItem(q))
	}
	return out
}

// quarantineItem returns the gossip item of a quarantined fingerprint. Its version makes
// an item with more crashes replace one with fewer, and at equal crashes one with more
// remaining time replace one with less.
func quarantineItem(q model.QuarantinedRequest) items.Item {
	const crashShift = 32
	remainingSeconds := uint64(q.Remaining / time.Second)
	return items.Item{
		Kind:    items.Quarantine,
		Key:     quarantineKey(q.Fingerprint),
		Version: uint64(q.Crashes)<<crashShift | min(remainingSeconds, 1<<crashShift-1),
		Quarantine: &items.QuarantineFact{
			Fingerprint: q.Fingerprint, Crashes: q.Crashes, RemainingMillis: q.Remaining.Milliseconds(),
		},
	}
}
