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

// hostList follows the platform's list: the hosts chosen for it read it often, the
// others seldom, as seeds for a rejoin.
type hostList struct {
	base    string
	http    *http.Client
	timeout time.Duration
	chosen  func() bool
	known   func(drains.Target) model.Incarnation
	learn   func(context.Context, ...items.Item) error
	seeds   func(context.Context, []string)
	log     *slog.Logger
	leaving map[drains.Target]bool
	read    time.Time
	failed  bool
}

// Run reads the list until ctx ends.
func (l *hostList) Run(ctx context.Context) {
	if l.base == "" {
		return
	}
	l.leaving = map[drains.Target]bool{}
	tick := time.NewTicker(hostListInterval)
	defer tick.Stop()
	for {
		if now := time.Now(); l.chosen() || now.Sub(l.read) >= hostListIdleInterval {
			l.read = now
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
	list, err := platformapi.ReadHostList(ctx, l.http, l.base)
	if failed := err != nil; failed != l.failed {
		l.failed = failed
		l.log.Info("Host list.", "answers", !failed)
	}
	if err != nil {
		return
	}
	var seeds []string
	for _, h := range list.Hosts {
		if h.Control != "" && !h.Leaving {
			seeds = append(seeds, h.Control)
		}
	}
	l.seeds(ctx, seeds)
	_ = l.learn(ctx, l.evidence(list.Hosts)...)
}

// evidence returns the drains that the list newly shows. The list lags, so that an
// entry which stays leaving says nothing about a later incarnation.
func (l *hostList) evidence(hosts []platformapi.ListedHost) []items.Item {
	now := map[drains.Target]bool{}
	var out []items.Item
	for _, h := range hosts {
		if !h.Leaving {
			continue
		}
		t := drains.Target{Endpoint: h.Endpoint}
		if h.Endpoint == "" {
			t = drains.Target{Host: h.Host}
		}
		now[t] = true
		if !l.leaving[t] {
			out = append(out, drains.EvidenceItem(t, l.known(t), model.DrainFromHostList))
		}
	}
	l.leaving = now
	return out
}
