package ctl

import (
	"context"
	"slices"
	"sync"
	"time"

	"oleanderfall.example/oleanderfall/internal/protocol/wire"
	"oleanderfall.example/oleanderfall/internal/state/model"
)

const (
	// hostQueryTimeout limits the query of one host.
	hostQueryTimeout = 2 * time.Second
	// maxHostQueries limits the hosts queried concurrently.
	maxHostQueries = 16
)

// generationsOf returns the generation that each host has in force according to s.
func generationsOf(s wire.StatusReply) map[model.HostID]model.Generation {
	known := map[model.HostID]model.Generation{s.Host: s.View.Generation}
	for _, h := range s.Hosts {
		known[h.Host] = max(known[h.Host], h.Generation)
	}
	return known
}

// laggingHosts returns, sorted, the live hosts that are not known to have generation g
// or a later one in force, and the number of all live hosts.
func laggingHosts(s wire.StatusReply, g model.Generation) (lagging []model.HostID, hosts int) {
	known := generationsOf(s)
	live := map[model.HostID]bool{s.Host: true}
	for _, m := range s.View.Members {
		if m.State != model.HostDead {
			live[m.Host] = true
		}
	}
	for h := range live {
		if known[h] < g {
			lagging = append(lagging, h)
		}
	}
	slices.Sort(lagging)
	return lagging, len(live)
}

// queryLaggingHosts queries the hosts that s shows below generation g directly, since the
// replying host may have outdated reports of them, and appends their replies to s.Hosts.
// Hosts that do not reply are left as they are.
func (c *connection) queryLaggingHosts(ctx context.Context, s *wire.StatusReply, g model.Generation) {
	lagging, _ := laggingHosts(*s, g)
	var mu sync.Mutex
	var wait sync.WaitGroup
	slots := make(chan struct{}, maxHostQueries)
	for _, m := range s.View.Members {
		if !slices.Contains(lagging, m.Host) {
			continue
		}
		slots <- struct{}{}
		wait.Add(1)
		go func() {
			defer wait.Done()
			defer func() { <-slots }()
			queryCtx, cancel := context.WithTimeout(ctx, hostQueryTimeout)
			defer cancel()
			var reply wire.ConfigReply
			if c.mesh.Call(queryCtx, m.Control, wire.MethodConfig, wire.ConfigRequest{Head: true}, &reply) != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			s.Hosts = append(s.Hosts, wire.HostGeneration{Host: m.Host, Generation: reply.Generation})
		}()
	}
	wait.Wait()
}
