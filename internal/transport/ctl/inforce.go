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
	// askTimeout bounds the question to one host, askAtOnce the hosts asked at a time.
	askTimeout = 2 * time.Second
	askAtOnce  = 16
)

// generationsOf returns what a status says each host has in force.
func generationsOf(s wire.StatusReply) map[model.HostID]model.Generation {
	known := map[model.HostID]model.Generation{s.Host: s.View.Generation}
	for _, h := range s.Hosts {
		known[h.Host] = max(known[h.Host], h.Generation)
	}
	return known
}

// hostsBehind lists the live hosts that are not known to have generation g, and
// counts all live hosts.
func hostsBehind(s wire.StatusReply, g model.Generation) (behind []model.HostID, hosts int) {
	known := generationsOf(s)
	live := map[model.HostID]bool{s.Host: true}
	for _, m := range s.View.Members {
		if m.State != model.HostDead {
			live[m.Host] = true
		}
	}
	for h := range live {
		if known[h] < g {
			behind = append(behind, h)
		}
	}
	slices.Sort(behind)
	return behind, len(live)
}

// askBehind asks the hosts that a status shows below generation g themselves, since
// the word of others may be old, and puts their answers into the status.
func (c *connection) askBehind(ctx context.Context, s *wire.StatusReply, g model.Generation) {
	behind, _ := hostsBehind(*s, g)
	var mu sync.Mutex
	var wait sync.WaitGroup
	slots := make(chan struct{}, askAtOnce)
	for _, m := range s.View.Members {
		if !slices.Contains(behind, m.Host) {
			continue
		}
		slots <- struct{}{}
		wait.Add(1)
		go func() {
			defer wait.Done()
			defer func() { <-slots }()
			bounded, cancel := context.WithTimeout(ctx, askTimeout)
			defer cancel()
			var reply wire.ConfigReply
			if c.mesh.Call(bounded, m.Control, wire.MethodConfig, wire.ConfigRequest{Head: true}, &reply) != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			s.Hosts = append(s.Hosts, wire.HostGeneration{Host: m.Host, Generation: reply.Generation})
		}()
	}
	wait.Wait()
}
