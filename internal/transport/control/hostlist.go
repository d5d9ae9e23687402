package control

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"oleanderfall.example/oleanderfall/internal/coordination/drains"
	"oleanderfall.example/oleanderfall/internal/protocol/platformapi"
	"oleanderfall.example/oleanderfall/internal/state/items"
	"oleanderfall.example/oleanderfall/internal/state/model"
)

const (
	hostListInterval     = time.Second
	hostListIdleInterval = 30 * time.Second
)

// hostList polls the platform's host list for drains and seed addresses. Followers poll
// it every hostListInterval; the other hosts poll it every hostListIdleInterval, to have
// seeds for a rejoin.
type hostList struct {
	baseURL string
	http    *http.Client
	timeout time.Duration
	// isFollower reports whether this host is a follower, which polls every hostListInterval.
	isFollower       func() bool
	knownIncarnation func(drains.Target) model.Incarnation
	addItems         func(context.Context, ...items.Item) error
	setSeeds         func(context.Context, []string)
	log              *slog.Logger
	draining         map[drains.Target]bool
	lastRead         time.Time
	failed           bool
}

// Run polls the list until ctx ends. It returns immediately if no host list is set.
func (l *hostList) Run(ctx context.Context) {
	if l.baseURL == "" {
		return
	}
	l.draining = map[drains.Target]bool{}
	tick := time.NewTicker(hostListInterval)
	defer tick.Stop()
	for {
		if now := time.Now(); l.isFollower() || now.Sub(l.lastRead) >= hostListIdleInterval {
			l.lastRead = now
			l.poll(ctx)
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

func (l *hostList) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, l.timeout)
	defer cancel()
	list, err := platformapi.ReadHostList(ctx, l.http, l.baseURL)
	if failed := err != nil; failed != l.failed {
		l.failed = failed
		l.log.Info("Host list availability changed", "answers", !failed)
	}
	if err != nil {
		return
	}
	var seeds []string
	for _, h := range list.Hosts {
		if h.Control != "" && !h.Draining {
			seeds = append(seeds, h.Control)
		}
	}
	l.setSeeds(ctx, seeds)
	_ = l.addItems(ctx, l.newDrains(list.Hosts)...)
}

// newDrains returns drain items for the entries that were not draining in the previous
// poll. The list lags behind, so an entry that stays draining is no evidence that a later
// incarnation is leaving too.
func (l *hostList) newDrains(hosts []platformapi.ListedHost) []items.Item {
	current := map[drains.Target]bool{}
	var out []items.Item
	for _, h := range hosts {
		if !h.Draining {
			continue
		}
		t := drains.Target{Endpoint: h.Endpoint}
		if h.Endpoint == "" {
			t = drains.Target{Host: h.Host}
		}
		current[t] = true
		if !l.draining[t] {
			out = append(out, drains.EvidenceItem(t, l.knownIncarnation(t), model.DrainFromHostList))
		}
	}
	l.draining = current
	return out
}
