package configproof

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"oleanderfall.example/oleanderfall/internal/protocol/resultcode"
)

// bound is the one of the operators' settings, keyWait a fifth of an objective of one second.
const (
	bound   = 5 * time.Second
	keyWait = 200 * time.Millisecond
)

var errCutOff = errors.New("cut off")

// testFleet is a fleet in simulated time. The first host reads the store for all, the first hubs hosts
// are hubs. The boot clocks of the hosts differ by days.
type testFleet struct {
	began      time.Time
	generation atomic.Uint64
	storeDown  atomic.Bool
	hosts      []*testHost
	// reads counts the reads of the store that hosts made for a refresh, asked the questions of hubs
	// to the first host.
	reads, asked atomic.Int64
	mu           sync.Mutex
	// link returns an error if a host doesn't reach another one.
	link func(from, to int) error
	// delay returns the time between a peer's answer and its arrival.
	delay func(from, to int) time.Duration
}

type testHost struct {
	*Prover
	id         int
	generation atomic.Uint64
}

func newTestFleet(hosts, hubs int) *testFleet {
	f := &testFleet{began: time.Now(),
		link: func(int, int) error { return nil }, delay: func(int, int) time.Duration { return 0 }}
	f.generation.Store(1)
	for id := range hosts {
		h := &testHost{id: id}
		h.generation.Store(1)
		f.hosts = append(f.hosts, h)
		h.Prover = New(Options{
			Bound: bound, Log: slog.New(slog.DiscardHandler),
			Now:     func() time.Duration { return time.Since(f.began) + time.Duration(id)*24*time.Hour },
			InForce: func() (uint64, bool) { return h.generation.Load(), true },
			Hub:     func() bool { return id < hubs }, Hosts: func() int { return hosts },
			Peers: func() []string { return f.peers(id, hubs) },
			Ask: func(_ context.Context, host string, refresh bool) ([]byte, error) {
				return f.ask(id, host, refresh)
			},
			FetchConfig: func(_ context.Context, host string) {
				h.generation.Store(max(h.generation.Load(), f.host(host).generation.Load()))
			},
			Read: func(context.Context) error { f.reads.Add(1); return f.read(h) },
		}, prometheus.NewRegistry())
	}
	return f
}

func (f *testFleet) host(name string) (h *testHost) {
	var id int
	if _, err := fmt.Sscan(name, &id); err != nil {
		panic(err)
	}
	return f.hosts[id]
}

// peers returns the hubs first, beginning with the reader for a hub and with another one for others.
func (f *testFleet) peers(id, hubs int) (out []string) {
	for i := range f.hosts {
		peer := i
		if i < hubs && id >= hubs {
			peer = (i + id) % hubs
		}
		if peer != id {
			out = append(out, fmt.Sprint(peer))
		}
	}
	return out
}

func (f *testFleet) ask(from int, host string, refresh bool) ([]byte, error) {
	h := f.host(host)
	f.mu.Lock()
	err, delay := f.link(from, h.id), f.delay(from, h.id)
	f.mu.Unlock()
	if err != nil {
		time.Sleep(askTimeout)
		return nil, err
	}
	if h.id == 0 && f.hosts[from].opt.Hub() {
		f.asked.Add(1)
	}
	target := "/"
	if refresh {
		target += "?refresh=1"
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, target, http.NoBody))
	time.Sleep(delay)
	return w.Body.Bytes(), nil
}

func (f *testFleet) read(h *testHost) error {
	if f.storeDown.Load() {
		time.Sleep(readTimeout)
		return errCutOff
	}
	sentAt := h.opt.Now()
	h.generation.Store(max(h.generation.Load(), f.generation.Load()))
	h.ObserveRead(sentAt, f.generation.Load())
	return nil
}

func (f *testFleet) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// run lets the first host read the store and every host check a request each 100 ms, for a duration. It
// returns the hosts that refused one.
func (f *testFleet) run(d time.Duration) (refused []int) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if time.Since(f.began)%time.Second == 0 && !f.storeDown.Load() {
			_ = f.read(f.hosts[0])
		}
		for _, h := range f.hosts {
			if h.Check(context.Background(), keyWait) != nil && !slices.Contains(refused, h.id) {
				refused = append(refused, h.id)
			}
		}
	}
	return refused
}

// simulate runs a test in simulated time, up to the end of its refreshes.
func simulate(t *testing.T, test func(t *testing.T)) {
	synctest.Test(t, func(t *testing.T) {
		test(t)
		time.Sleep(time.Minute)
	})
}

// While one host reads the store, no other host may be without a proof or read the store, whatever
// the size of the fleet, and the hubs must not ask the reader more often than twice a second each.
func TestProver_FlatCost(t *testing.T) {
	for _, hosts := range []int{30, 390} {
		simulate(t, func(t *testing.T) {
			const hubs = 6
			f := newTestFleet(hosts, hubs)
			if refused := f.run(20 * time.Second); len(refused) > 0 {
				t.Errorf("%d of %d hosts refused requests", len(refused), hosts)
			}
			if f.reads.Load() > 0 || f.asked.Load() > 20*2*hubs {
				t.Errorf("%d hosts: %d reads of the store, %d questions of hubs to the reader in 20 s", hosts, f.reads.Load(), f.asked.Load())
			}
		})
	}
}

// While the reader is slow, so that no proof is young, a hub that many hosts ask must not ask the reader
// for each of them, but as often as retryShare says.
func TestProver_SlowReader(t *testing.T) {
	simulate(t, func(t *testing.T) {
		f := newTestFleet(2, 2)
		_ = f.read(f.hosts[0])
		time.Sleep(bound / 4)
		const period, questions = time.Second, 100
		for range questions {
			f.hosts[1].awaitYoung(context.Background())
			time.Sleep(period / questions)
		}
		if most := int64(float64(period)/(retryShare*float64(bound))) + 1; f.asked.Load() > most {
			t.Errorf("the reader was asked %d times in %v, want at most %d", f.asked.Load(), period, most)
		}
	})
}

// A host that reaches neither the store nor hubs, only one other host, must still get proofs.
func TestProver_OnePeerSuffices(t *testing.T) {
	simulate(t, func(t *testing.T) {
		f := newTestFleet(12, 4)
		f.hosts[11].opt.Read = func(context.Context) error { return errCutOff }
		f.run(3 * time.Second)
		f.set(func() {
			f.link = func(from, to int) error {
				if from == 11 && to != 9 {
					return errCutOff
				}
				return nil
			}
		})
		if refused := f.run(time.Minute); len(refused) > 0 {
			t.Errorf("hosts %v refused requests", refused)
		}
	})
}

// With the store silent for all hosts, no host may admit requests after the bound, however the hosts
// ask each other, and all must admit them again when it is back.
func TestProver_StoreSilent(t *testing.T) {
	simulate(t, func(t *testing.T) {
		f := newTestFleet(40, 4)
		f.run(3 * time.Second)
		f.storeDown.Store(true)
		f.run(bound) // the last read was before
		for _, h := range f.hosts {
			err := h.Check(context.Background(), keyWait)
			var coded *resultcode.Error
			if !errors.As(err, &coded) || coded.Code != resultcode.ConfigurationStale || coded.RetryAfterMillis <= 0 {
				t.Fatalf("host %d answered %v after the bound", h.id, err)
			}
		}
		f.storeDown.Store(false)
		f.run(3 * time.Second)
		if refused := f.run(3 * time.Second); len(refused) > 0 {
			t.Errorf("hosts %v still refuse requests", refused)
		}
	})
}

// An answer that waited in the socket of a frozen host is no proof of what happened meanwhile.
func TestProver_FrozenWithAnswerInSocket(t *testing.T) {
	simulate(t, func(t *testing.T) {
		f := newTestFleet(2, 1)
		_ = f.read(f.hosts[0])
		f.delay = func(int, int) time.Duration { return 30 * time.Second }
		go func() { _ = f.hosts[1].Check(context.Background(), keyWait) }()
		time.Sleep(time.Second)
		f.generation.Store(2) // removes a key; no host reads it
		f.storeDown.Store(true)
		time.Sleep(29*time.Second + time.Millisecond)
		f.set(func() { f.link = func(int, int) error { return errCutOff } })
		if err := f.hosts[1].Check(context.Background(), keyWait); err == nil {
			t.Error("a request was admitted with an answer that is 30 s old")
		}
	})
}

// A host that just started gets a proof and the configuration that it names from a peer, and builds
// without proofs are passed over. Without any configuration it must not refuse keys as unknown.
func TestProver_NewHost(t *testing.T) {
	simulate(t, func(t *testing.T) {
		f := newTestFleet(3, 3)
		f.generation.Store(7)
		_ = f.read(f.hosts[0])
		host := f.hosts[2]
		host.opt.Peers = func() []string { return []string{"1", "0"} }
		ask := host.opt.Ask
		host.opt.Ask = func(ctx context.Context, peer string, refresh bool) ([]byte, error) {
			if peer == "1" {
				return nil, ErrUnsupported
			}
			return ask(ctx, peer, refresh)
		}
		if err := host.Check(context.Background(), keyWait); err != nil || host.generation.Load() != 7 {
			t.Errorf("generation %d in force, %v", host.generation.Load(), err)
		}
		host.generation.Store(0)
		var coded *resultcode.Error
		if err := host.Check(context.Background(), keyWait); !errors.As(err, &coded) || coded.Code != resultcode.StorageOutage {
			t.Errorf("without configuration: %v", err)
		}
	})
}

// A host that no peer answers, but that reaches the store, must not be without a proof while it goes on
// asking ever more peers.
func TestProver_StoreSufficesWithoutPeers(t *testing.T) {
	simulate(t, func(t *testing.T) {
		const cutOff = 99
		f := newTestFleet(100, 6)
		f.run(3 * time.Second)
		f.set(func() {
			f.link = func(from, _ int) error {
				if from == cutOff {
					return errCutOff
				}
				return nil
			}
		})
		if refused := f.run(time.Minute); len(refused) > 0 {
			t.Errorf("hosts %v refused requests", refused)
		}
	})
}

// A request must not be refused, or wait for a refresh, because the configuration of a known proof came
// into force just after the request had looked which one is.
func TestCheck_ConfigurationChangesMeanwhile(t *testing.T) {
	simulate(t, func(t *testing.T) {
		f := newTestFleet(1, 1)
		h := f.hosts[0]
		f.generation.Store(7)
		_ = f.read(h)
		h.generation.Store(6)
		first := true
		h.opt.InForce = func() (uint64, bool) {
			generation := h.generation.Load()
			if first {
				first = false
				h.generation.Store(7)
				h.ConfigChanged()
			}
			return generation, true
		}
		h.retryAt = h.opt.Now() + time.Second // no refresh may start
		if err := h.Check(context.Background(), keyWait); err != nil {
			t.Errorf("refused: %v", err)
		}
	})
}
