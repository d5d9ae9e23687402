package front

import (
	"context"
	"sync"

	"github.com/cespare/xxhash/v2"

	"oleanderfall.example/oleanderfall/internal/coordination/presence"
	"oleanderfall.example/oleanderfall/internal/state/batches"
)

// maxRecentGroups bounds the number of remembered groups. It covers the groups of several
// tens of training steps.
const maxRecentGroups = 4096

// recentGroups remembers the hashed groups of earlier batches of all hosts. A group that
// is submitted again was left unfinished by an earlier batch; its trainer waits for it
// first.
type recentGroups struct {
	mu    sync.Mutex
	known map[uint64]bool
	order []uint64
}

func newRecentGroups() *recentGroups { return &recentGroups{known: map[uint64]bool{}} }

// add remembers groups and evicts the oldest beyond maxRecentGroups.
func (g *recentGroups) add(hashes []uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, h := range hashes {
		if g.known[h] {
			continue
		}
		g.known[h] = true
		g.order = append(g.order, h)
	}
	for len(g.order) > maxRecentGroups {
		delete(g.known, g.order[0])
		g.order = g.order[1:]
	}
}

// carried returns the groups of a batch that are carried over from an earlier one.
func (g *recentGroups) carried(b *batches.Batch) map[string]bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := map[string]bool{}
	for i := range b.Samples {
		if g.known[xxhash.Sum64String(b.Samples[i].Group)] {
			out[b.Samples[i].Group] = true
		}
	}
	return out
}

// groupHashes returns the distinct hashes of a batch's groups, the form sent to peers.
func groupHashes(b *batches.Batch) []uint64 {
	seen := map[uint64]bool{}
	var out []uint64
	for i := range b.Samples {
		h := xxhash.Sum64String(b.Samples[i].Group)
		if !seen[h] {
			seen[h] = true
			out = append(out, h)
		}
	}
	return out
}

// groupCopies is the number of hosts that receive the groups of a batch.
const groupCopies = 3

// notifyGroups adds a batch's groups at this host and sends them to the hosts that run the
// next batches if this one is lost. A host that misses them only ranks the samples of a later
// batch less well.
func (s *Batches) notifyGroups(ctx context.Context, b *batches.Batch) {
	hashes := groupHashes(b)
	s.groups.add(hashes)
	next := presence.SuccessionOrder(batchTask, s.peers.Candidates())
	for _, host := range next[:min(len(next), groupCopies)] {
		go func() {
			if err := s.peerClient.SendGroups(ctx, host, hashes); err != nil {
				s.log.Debug("Failed to send batch groups to peer", "batch", b.ID, "host", host, "err", err)
			}
		}()
	}
}
