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
)

func (d *service) register(mesh *quicmesh.Mesh) {
	d.hub.Register(mesh, d.report)
	mesh.Handle(wire.MethodStatus, func(ctx context.Context, _ string, _ []byte) (any, error) { return d.status(ctx), nil })
	mesh.Handle(wire.MethodDrain, func(ctx context.Context, _ string, b []byte) (any, error) {
		var r wire.DrainRequest
		if err := wire.Decode(b, &r); err != nil {
			return nil, resultcode.New(resultcode.BadRequest, "%v", err)
		}
		return wire.DrainReply{}, d.drains.Drain(ctx, r)
	})
}

// status returns this host's view without the configuration, the generations of all
// hosts, the endpoints' status and the shard holders.
func (d *service) status(ctx context.Context) wire.StatusReply {
	reply := wire.StatusReply{Host: d.settings.Host.ID}
	st := d.gossip.State()
	reply.Hosts = hostGenerations(st.Generations)
	if v := d.hub.View(); v != nil {
		reply.View = *v
		reply.View.Config = nil
		reply.Endpoints = endpointStatus(st, v)
	}
	reply.Shards = d.listShards(ctx)
	return reply
}

// listShards reads the holders of the shards from the object API. After an error or the
// timeout it returns what was read so far, because the rest of the status is still useful
// during an outage of the object API.
func (d *service) listShards(ctx context.Context) []wire.ShardStatus {
	const listPage = 500
	ctx, cancel := context.WithTimeout(ctx, statusReadTimeout)
	defer cancel()
	var out []wire.ShardStatus
	for after := ""; ; {
		page, err := d.api.List(ctx, shardassignment.KeyPrefix, after, listPage)
		if err != nil {
			return out
		}
		for _, o := range page.Objects {
			after = o.Key
			var r shards.Record
			if err := json.Unmarshal(o.Value, &r); err != nil {
				d.log.Warn("Shard record not decoded", "key", o.Key, "err", err)
				continue
			}
			status := wire.ShardStatus{Shard: strings.TrimPrefix(o.Key, shardassignment.KeyPrefix), Epoch: r.Epoch}
			if !r.Released {
				status.Holder = r.Host
			}
			out = append(out, status)
		}
		if !page.More || len(page.Objects) == 0 {
			return out
		}
	}
}

// report gossips the observations of a data-path program of this host.
func (d *service) report(r wire.Report) error {
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	list := append(reportItems(r), d.demands.items(time.Now(), r)...)
	if err := d.gossip.AddItems(ctx, list...); err != nil {
		return err
	}
	return d.setStopping(ctx, r.Program, r.Stopping)
}

// setStopping records whether a data-path program of this host is stopping, and
// announces the host as leaving while at least one is.
func (d *service) setStopping(ctx context.Context, program string, stopping bool) error {
	d.mu.Lock()
	wasLeaving := len(d.stopping) > 0
	if stopping {
		d.stopping[program] = true
	} else {
		delete(d.stopping, program)
	}
	leaving := len(d.stopping) > 0
	d.mu.Unlock()
	if leaving == wasLeaving {
		return nil
	}
	return d.gossip.SetLeaving(ctx, leaving)
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
