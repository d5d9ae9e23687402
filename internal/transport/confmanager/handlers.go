package confmanager

import (
	"context"
	"fmt"
	"time"

	"oleanderfall.example/oleanderfall/internal/coordination/confgen"
	"oleanderfall.example/oleanderfall/internal/protocol/resultcode"
	"oleanderfall.example/oleanderfall/internal/protocol/settings"
	"oleanderfall.example/oleanderfall/internal/protocol/wire"
	"oleanderfall.example/oleanderfall/internal/state/confstore"
	"oleanderfall.example/oleanderfall/internal/state/model"
)

const (
	maxOperatorBytes  = 64
	maxNoteBytes      = 256
	maxRequestIDBytes = 64
)

func describeChange(c confstore.Change) string {
	if c.Operator == "" {
		return "another change"
	}
	if c.Note == "" {
		return "a change by " + c.Operator
	}
	return fmt.Sprintf("the change %q by %s", c.Note, c.Operator)
}

func appliedAt(c confstore.Change) string {
	return time.UnixMilli(c.AppliedUnixMillis).UTC().Format(time.RFC3339)
}

// handleApply handles wire.MethodApply: it validates the request and commits the change.
func (m *Manager) handleApply(ctx context.Context, _ string, b []byte) (any, error) {
	var r wire.ApplyRequest
	if err := wire.Decode(b, &r); err != nil {
		return nil, resultcode.New(resultcode.BadRequest, "%v", err)
	}
	if err := validateApply(r); err != nil {
		return nil, err
	}
	g, err := m.Apply(ctx, r)
	if err != nil {
		return nil, err
	}
	return wire.ApplyReply{Generation: g}, nil
}

func validateApply(r wire.ApplyRequest) error {
	switch {
	case r.Operator == "" || len(r.Operator) > maxOperatorBytes:
		return resultcode.New(resultcode.BadRequest, "a change names its operator in 1 to %d bytes", maxOperatorBytes)
	case r.RequestID == "" || len(r.RequestID) > maxRequestIDBytes:
		return resultcode.New(resultcode.BadRequest, "a change has a request id of 1 to %d bytes", maxRequestIDBytes)
	case len(r.Note) > maxNoteBytes:
		return resultcode.New(resultcode.BadRequest, "a note has at most %d bytes", maxNoteBytes)
	}
	return nil
}

// Apply commits a change as the generation after its base and returns that generation. If
// the content equals that of the current generation, it returns the current generation.
// Errors are of type *resultcode.Error.
func (m *Manager) Apply(ctx context.Context, r wire.ApplyRequest) (model.Generation, error) {
	config, err := settings.DecodeNewConfig(r.Config)
	if err != nil {
		return 0, resultcode.New(resultcode.BadConfiguration, "%v", err)
	}
	packed, err := settings.Pack(r.Config)
	if err != nil {
		return 0, resultcode.New(resultcode.Internal, "%v", err)
	}
	digest := settings.Digest(r.Config)
	c := &committer{storage: m.storage, chunks: split(packed)}
	result := c.run(ctx, confgen.Request{
		Base:            r.Base,
		LocalGeneration: m.Generation(),
		Chunks:          len(c.chunks),
		Change: confstore.Change{
			Operator:          r.Operator,
			Note:              r.Note,
			RequestID:         r.RequestID,
			AppliedUnixMillis: m.now().UnixMilli(),
			Digest:            digest,
		},
	})
	m.metrics.commits.WithLabelValues(resultLabel(result.Kind)).Inc()
	if err := resultError(result); err != nil {
		m.log.Warn("Configuration change not accepted", "operator", r.Operator, "request", r.RequestID, "err", err)
		return 0, err
	}
	m.log.Info("Configuration change accepted", "generation", result.Generation, "operator", r.Operator, "request", r.RequestID)
	m.putInForce(confstore.Snapshot{Generation: result.Generation, Digest: digest, Packed: packed, Config: config}, "operator")
	if c.root.Generation == result.Generation {
		m.store.SetRootIfNewer(c.root)
	}
	return result.Generation, nil
}

// handleConfig handles wire.MethodConfig: it returns the history, or the generation in force
// or another retained one.
func (m *Manager) handleConfig(ctx context.Context, _ string, b []byte) (any, error) {
	var r wire.ConfigRequest
	if err := wire.Decode(b, &r); err != nil {
		return nil, resultcode.New(resultcode.BadRequest, "%v", err)
	}
	if r.List {
		return m.history(ctx), nil
	}
	if r.Head {
		snapshot := m.store.Current()
		return wire.ConfigReply{Generation: snapshot.Generation, Digest: snapshot.Digest}, nil
	}
	snapshot, err := m.findGeneration(ctx, r.Generation)
	if err != nil {
		return nil, err
	}
	reply := wire.ConfigReply{Generation: snapshot.Generation, Digest: snapshot.Digest}
	if r.Packed {
		reply.Packed = snapshot.Packed
		return reply, nil
	}
	reply.Config, err = settings.Unpack(snapshot.Packed, snapshot.Digest)
	if err != nil {
		return nil, resultcode.New(resultcode.Internal, "%v", err)
	}
	return reply, nil
}

// history returns the accepted changes, read from the object API or, during an outage,
// from the root last seen by this host.
func (m *Manager) history(ctx context.Context) wire.ConfigReply {
	if root, _, err := m.storage.readRoot(ctx); err == nil {
		m.store.SetRootIfNewer(root)
	}
	root := m.store.Root()
	reply := wire.ConfigReply{Generation: m.store.Current().Generation, Digest: m.store.Current().Digest}
	for _, c := range root.History {
		reply.History = append(reply.History, wire.Change{
			Generation:        c.Generation,
			Operator:          c.Operator,
			Note:              c.Note,
			AppliedUnixMillis: c.AppliedUnixMillis,
			Digest:            c.Digest,
		})
	}
	return reply
}

// findGeneration returns generation g if its content is still stored; 0 means the
// generation in force.
func (m *Manager) findGeneration(ctx context.Context, g model.Generation) (confstore.Snapshot, error) {
	current := m.store.Current()
	if g == 0 || g == current.Generation {
		if current.Generation == 0 {
			return confstore.Snapshot{}, resultcode.New(resultcode.NotFound, "no configuration has been applied")
		}
		return current, nil
	}
	root, _, err := m.storage.readRoot(ctx)
	if err != nil {
		return confstore.Snapshot{}, resultcode.New(resultcode.StorageOutage, "%v", err)
	}
	for _, c := range root.History {
		if c.Generation == g {
			return m.readRetained(ctx, c)
		}
	}
	return confstore.Snapshot{}, resultcode.New(resultcode.NotFound, "generation %d is not in the history", g)
}

func (m *Manager) readRetained(ctx context.Context, c confstore.Change) (confstore.Snapshot, error) {
	snapshot, err := m.storage.readAllChunks(ctx, c.Generation, c.Digest)
	if err != nil {
		return snapshot, resultcode.New(resultcode.NotFound, "the content of generation %d cannot be read: %v", c.Generation, err)
	}
	return snapshot, nil
}
