package front

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"oleanderfall.example/oleanderfall/internal/protocol/objectapi"
	"oleanderfall.example/oleanderfall/internal/protocol/resultcode"
)

// readHistory checks that what has been read of a batch at one host is read at the others.
type readHistory struct {
	t  *testing.T
	mu sync.Mutex
	// ids and readAt have, by position, the sample whose result was read, and when that was first.
	ids    []string
	readAt []time.Time
	// pages, empty and failed count the answers with results, without, and with an error.
	pages, empty, failed int
}

// known returns the number of positions that have been read.
func (h *readHistory) known() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.ids)
}

// add adds an answer of a host that has just arrived.
func (h *readHistory) add(host string, after int, page Page, err error) {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case isCode(err, resultcode.NotFound):
		h.t.Errorf("%s: the batch is not found", host)
	case err != nil:
		h.failed++
	case len(page.Results) > 0:
		h.pages++
	default:
		h.empty++
		if after < len(h.readAt) && now.Sub(h.readAt[after]) > settleTime {
			h.t.Errorf("%s: position %d is empty %v after it was read", host, after, now.Sub(h.readAt[after]))
		}
	}
	for i, r := range page.Results {
		if p := after + i; p == len(h.ids) {
			h.ids, h.readAt = append(h.ids, r.ID), append(h.readAt, now)
		} else if h.ids[p] != r.ID {
			h.t.Errorf("%s: position %d has %s, before %s", host, p, r.ID, h.ids[p])
		}
	}
}

// delayAnswer waits until the answer to a call about batches arrives.
func (s *hostStore) delayAnswer(ctx context.Context, key string) error {
	delay := s.answerDelay.Load()
	if delay == nil || !strings.HasPrefix(key, "batch") {
		return nil
	}
	select {
	case <-time.After((*delay)()):
		return nil
	case <-ctx.Done():
		return errors.Join(objectapi.ErrUnavailable, ctx.Err())
	}
}

// moveOwnership makes a host the owner of a batch without notice to the current one. It reports whether it
// has done so.
func (n *testNode) moveOwnership(id string) bool {
	m, err := n.Batches.store.manifest(background, id)
	if err != nil || m.Owner == n.Settings.Host {
		return false
	}
	next := m.Manifest
	next.Owner, next.Epoch = n.Settings.Host, next.Epoch+1
	_, err = n.Batches.store.putManifest(background, next, m.version)
	return err == nil
}

// A third of the answers of the store and of peers is late, some for longer than hosts wait for them, and
// the batch is taken from its owner without notice. No host may lack what was read a second before.
func TestResults_SameHistoryAtEveryHost(t *testing.T) {
	const (
		playTime       = 6 * time.Second
		maxAnswerDelay = 900 * time.Millisecond
		plays          = 3
	)
	for seed := range uint64(plays) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			w := newTestCluster(t)
			hosts := w.start("h1", "h2", "h3")
			w.engines.eventInterval = 20 * time.Millisecond
			var mu sync.Mutex
			rng := rand.New(rand.NewPCG(seed, 2))
			random := func(n int) int {
				mu.Lock()
				defer mu.Unlock()
				return rng.IntN(n)
			}
			delay := func() time.Duration {
				return time.Duration(random(3)/2) * time.Duration(random(int(maxAnswerDelay)))
			}
			b := batch("b1", 24, 0)
			for i := range b.Samples {
				b.Samples[i].Header["Events"] = strconv.Itoa(2 + 4*i)
			}
			if err := hosts[0].Batches.Submit(background, b); err != nil {
				t.Fatal(err)
			}
			for _, n := range hosts {
				n.store.answerDelay.Store(&delay)
				n.peerCalls.delay.Store(&delay)
			}
			h := &readHistory{t: t}
			ctx, cancel := context.WithTimeout(background, playTime)
			defer cancel()
			var all sync.WaitGroup
			for i := range 9 {
				n := hosts[i%len(hosts)]
				all.Go(func() {
					for ctx.Err() == nil {
						known := h.known()
						after := random(known + 1)
						if random(4) > 0 { // most callers read on
							after = max(0, known-random(4))
						}
						page, err := n.Batches.Results(background, b.ID, after, time.Duration(random(3))*200*time.Millisecond)
						h.add(n.Settings.Host, after, page, err)
						time.Sleep(time.Duration(random(60)) * time.Millisecond)
					}
				})
			}
			moves := 0
			if seed == plays-1 {
				all.Go(func() { // the trainer ends the batch before it is complete
					time.Sleep(playTime / 2)
					for ctx.Err() == nil && hosts[random(len(hosts))].Batches.End(background, b.ID) != nil {
						time.Sleep(10 * time.Millisecond)
					}
				})
			}
			for ctx.Err() == nil {
				time.Sleep(time.Duration(300+random(1500)) * time.Millisecond)
				if hosts[random(len(hosts))].moveOwnership(b.ID) {
					moves++
				}
			}
			all.Wait()
			t.Logf("%d pages with results, %d without, %d errors; %d positions, %d moves", h.pages, h.empty, h.failed, len(h.ids), moves)
		})
	}
}
