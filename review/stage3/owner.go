package main

import (
	"errors"
	"fmt"
	"math/rand"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	stepBudget = 13 * time.Second
	// firstLoss is when the owner of the batches loses power after they were submitted, backAfter how long it is dark, and
	// secondLoss when the host that has taken most of them over is removed.
	firstLoss  = 800 * time.Millisecond
	backAfter  = 1800 * time.Millisecond
	secondLoss = 3400 * time.Millisecond
	// stability is stability_window_ms, maxIdle the time at no server that the rule allows in steady state.
	stability, maxIdle = 4 * time.Second, 5 * time.Second
	rounds             = 6
	openBatches        = 32
	itemsPerBatch      = 2
	hostCount          = 40
	serverCount        = 18
	slotCount          = 8
)

// owners: the owner of open batches loses power and comes back; then the host that runs them is removed for good.
func owners(t *trial) (int, error) {
	f, err := newFleet(t.root, hostCount, rounds, true)
	if err != nil {
		return failed, err
	}
	defer f.close()
	log := newRunLog()
	for i := range serverCount {
		if err := f.addServer(&server{id: fmt.Sprintf("i-model%d", i), service: "models", model: "model-1", pieces: 180, gap: 50 * time.Millisecond, log: log}); err != nil {
			return failed, err
		}
	}
	f.configure(1, []map[string]any{{"name": "r-lots", "host": routeHost, "path_prefix": "/lots/", "kind": "rollout", "target_latency_ms": 400, "deadline_ms": 13000,
		"priority": 1, "service": "models", "max_attempts": 3, "item_ttl_s": 40}},
		[]map[string]any{{"name": "models", "health_path": "/health", "connection_limit": 140, "protocol": "h1", "tls": false,
			"engine": map[string]any{"slots": slotCount, "kv_cache_tokens": 76024, "models": []map[string]any{{"name": "model-1"}}}}})
	f.store.seen = func(c storeCall) {
		if c.kind == "batches" && c.method != http.MethodGet {
			t.record.add("%s: %s batches/%s", c.host, c.method, c.name)
		}
	}
	if err := f.startAll(); err != nil {
		return failed, err
	}
	time.Sleep(4 * time.Second)
	lost := 0
	for round := range rounds {
		n, err := ownersRound(t, f, log, round)
		if err != nil {
			return failed, err
		}
		lost += n
	}
	t.record.say("items at no server for over %v of steady state when their step ran out of time: %d", maxIdle, lost)
	if lost > 0 {
		return broken, nil
	}
	return held, nil
}

func ownersRound(t *trial, f *fleet, log *runLog, round int) (lost int, err error) {
	var batches []*batch
	accepted := make(chan error, openBatches)
	for i := range openBatches {
		b := newBatch(fmt.Sprintf("%08x%06x%02x", rand.Uint32(), round, i), "/lots/", itemsPerBatch)
		b.submitted = time.Now()
		batches = append(batches, b)
		go func() {
			status, _, err := call(f.anyFront(), http.MethodPost, "/lots/"+b.id, b.id, 4*time.Second, nil, mustJSON(b))
			if err == nil && status != http.StatusAccepted {
				err = fmt.Errorf("batch submission: status %d", status)
			}
			t.record.add("round %d: batch %s submitted: status %d", round, b.id, status)
			accepted <- err
		}()
	}
	for range openBatches {
		err = errors.Join(err, <-accepted)
	}
	if err != nil {
		return 0, err
	}
	began := time.Now()
	var readers sync.WaitGroup
	var mu sync.Mutex
	for _, b := range batches {
		readers.Add(1)
		done := make(chan struct{})
		go func() {
			defer readers.Done()
			defer close(done)
			for time.Since(b.submitted) < stepBudget && len(b.results) < len(b.Items) {
				address := f.anyFront()
				before := len(b.results)
				err := b.read(address)
				t.record.add("batch %s read at %s: %d new results, %v", b.id, f.nameOf(address), len(b.results)-before, err)
				time.Sleep(500 * time.Millisecond)
			}
			if len(b.results) == len(b.Items) {
				t.record.add("round %d: batch %s is complete after %d ms", round, b.id, time.Since(b.submitted).Milliseconds())
			}
			for range 4 {
				if status, _, err := call(f.anyFront(), http.MethodDelete, "/v1/lots/"+b.id, "", 4*time.Second, nil, nil); err == nil && status == http.StatusOK {
					break
				}
			}
		}()
		readers.Add(1)
		go func() {
			defer readers.Done()
			select {
			case <-done:
				return
			case <-time.After(time.Until(b.submitted.Add(stepBudget))):
			}
			n := judge(t, f, log, round, b)
			mu.Lock()
			lost += n
			mu.Unlock()
		}()
	}
	if t.trouble {
		time.Sleep(time.Until(began.Add(firstLoss)))
		first := f.byName(f.store.owner(batches[0].id))
		if first == nil {
			return 0, errors.New("the owner of a batch is not known")
		}
		first.signal(syscall.SIGKILL)
		first.wait()
		t.record.say("round %d: %s, which runs the batches, loses power", round, first.name)
		time.Sleep(backAfter)
		if err := f.start(first); err != nil {
			return 0, err
		}
		t.record.say("round %d: %s is back", round, first.name)
		time.Sleep(time.Until(began.Add(secondLoss)))
		taken := map[string]int{}
		most := ""
		for _, b := range batches {
			o := f.store.owner(b.id)
			t.record.add("batch %s belongs to %s", b.id, o)
			if taken[o]++; o != first.name && (most == "" || taken[o] > taken[most]) {
				most = o
			}
		}
		second := f.byName(most)
		if second == nil {
			return 0, errors.New("no batch was taken over")
		}
		f.removeHost(second)
		t.record.say("round %d: %s, which has taken %d of the batches over, is removed for good", round, second.name, taken[most])
	}
	readers.Wait()
	if t.trouble {
		if err := f.addHost(); err != nil {
			return 0, err
		}
		time.Sleep(3 * time.Second)
	}
	return lost, nil
}

// judge returns the number of items of a batch whose time is up that break the rule LOST.
func judge(t *trial, f *fleet, log *runLog, round int, b *batch) (lost int) {
	full := float64(log.running()) / (serverCount * slotCount)
	for _, i := range b.Items {
		since, ok := log.idle(i.ID)
		steady := f.steadySince(stability)
		if since.After(steady) {
			steady = since
		}
		if idle := time.Since(steady); ok && full < 0.5 && idle > maxIdle {
			lost++
			t.record.add("LOST: item %s of batch %s: at no server for %d ms, of these %d ms in steady state; servers %.0f%% full", i.ID, b.id,
				time.Since(since).Milliseconds(), idle.Milliseconds(), 100*full)
		}
	}
	t.record.add("round %d: the time of batch %s is up; %d items were at no server for over %v of steady state", round, b.id, lost, maxIdle)
	if lost > 0 {
		t.record.say("round %d: the time of batch %s is up while %d of its items have been at no server for over %v of steady state", round, b.id, lost, maxIdle)
	}
	return lost
}
