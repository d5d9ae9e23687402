package front

import (
	"context"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"oleanderfall.example/oleanderfall/internal/protocol/backend"
	"oleanderfall.example/oleanderfall/internal/standin"
	"oleanderfall.example/oleanderfall/internal/state/catalog"
)

// unevenEngines is a backend.Client whose engines stream events at intervals of their own.
type unevenEngines struct {
	*fakeEngines
	intervals map[string]time.Duration
	mu        sync.Mutex
	// running is the number of streams at each engine. toSlow counts the streams that came to an
	// engine although they would have ended sooner at one with a free slot.
	running map[string]int
	toSlow  int
}

const unevenSlots = 8

func (e *unevenEngines) Stream(_ context.Context, g backend.GenerateRequest, head func(*backend.Answer) error, chunk func([]byte) error) error {
	e.mu.Lock()
	interval := e.intervals[g.Endpoint.ID]
	for id, other := range e.intervals {
		if other < interval && e.running[id] < unevenSlots {
			e.toSlow++
			break
		}
	}
	e.running[g.Endpoint.ID]++
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		e.running[g.Endpoint.ID]--
		e.mu.Unlock()
	}()
	if err := head(&backend.Answer{Status: http.StatusOK}); err != nil {
		return err
	}
	for i := range 20 {
		time.Sleep(interval)
		if err := chunk([]byte("id: " + strconv.Itoa(i+1) + "\ndata: x\n\n")); err != nil {
			return err
		}
	}
	return nil
}

// Callers' streams must go to the engines at which they end first. A third of the engines is 2 to 5
// times slower; from the time on at which a stream has ended everywhere, none of them may get a
// stream while another one has a free slot. Without measurements of streams, a seventh of them goes
// to the slow engines.
func TestStream_UnevenEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engines := &unevenEngines{fakeEngines: &fakeEngines{}, intervals: map[string]time.Duration{}, running: map[string]int{}}
		n := NewNode(Params{Settings: Settings{Host: "h1", Zone: "a"}, Store: &hostStore{ObjectStore: standin.NewObjectStore(standin.ObjectStoreOptions{})},
			Endpoints: engines, Decoder: testDecoder{}, Handlers: testHandlers{}, Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Registry: prometheus.NewRegistry()})
		for i, factor := range []time.Duration{1, 1, 2, 1, 1, 3, 1, 1, 4, 1, 1, 5} {
			id := "e" + strconv.Itoa(i)
			engines.intervals[id] = factor * 20 * time.Millisecond
			n.Forwarder.fleet.Put(catalog.Endpoint{ID: id, Service: "engines", Zone: "a", Slots: unevenSlots})
		}
		route := &catalog.Route{Name: "streams", Kind: catalog.KindStreaming, MaxAttempts: 1, Objective: time.Second, Targets: []catalog.Target{{Service: "engines", Weight: 1}}}
		random, streams := rand.New(rand.NewPCG(1, 1)), 0
		send := func(d time.Duration) {
			for end := time.Now().Add(d); time.Now().Before(end); {
				time.Sleep(time.Duration(random.ExpFloat64() * float64(15*time.Millisecond)))
				streams++
				in := &Inbound{ID: strconv.Itoa(streams), Host: "h", Method: http.MethodPost, URI: "/s", Path: "/s", Budget: 10 * time.Second}
				go func() {
					if err := n.Forwarder.Stream(background, route, in, discardedStream{}); err != nil {
						t.Errorf("stream %s: %v", in.ID, err)
					}
				}()
			}
		}
		send(2 * time.Second)
		streams = 0
		engines.mu.Lock()
		engines.toSlow = 0
		engines.mu.Unlock()
		send(4 * time.Second) // less than slowMeasurementTTL, after which slow engines are tried again
		time.Sleep(5 * time.Second)
		if engines.toSlow > 0 {
			t.Errorf("%d of %d streams went to slow engines while faster ones had free slots", engines.toSlow, streams)
		}
	})
}

// The time between events must not depend on how the bytes of a stream are cut, and a caller that
// reads slowly must not make the endpoint slow.
func TestEventPace(t *testing.T) {
	const stream = "id: 1\r\ndata: x\r\n\r\nid: 2\ndata: x\n\n\nid: 3\ndata: x\n\nid: 4\ndata: x\n\nid: 5\n"
	for size := 1; size <= len(stream); size++ {
		var p eventPace
		events := 0
		for rest := stream; rest != ""; rest = rest[min(size, len(rest)):] {
			events += p.ended([]byte(rest[:min(size, len(rest))]))
		}
		if events != 4 {
			t.Errorf("%d events in parts of %d bytes, want 4", events, size)
		}
	}
	for _, c := range []struct{ writing, want time.Duration }{{0, 50 * time.Millisecond}, {100 * time.Millisecond, 0}} {
		var p eventPace
		var got time.Duration
		for i := range serviceTimeEvents + 1 {
			got = p.add(time.Unix(0, 0).Add(time.Duration(i)*50*time.Millisecond), []byte("data: x\n\n"))
			p.writing += c.writing / serviceTimeEvents
		}
		if got != c.want {
			t.Errorf("%v spent on writing: %v for an event, want %v", c.writing, got, c.want)
		}
	}
}

// The time for an event must not be mixed with the times of whole answers: the average of an endpoint
// would depend on which of them came last.
func TestServesAnswers(t *testing.T) {
	for kind, want := range map[catalog.RouteKind]bool{catalog.KindStreaming: false, catalog.KindRollout: false, catalog.KindSafe: true, catalog.KindUnsafe: true} {
		config := &catalog.Config{Routes: []catalog.Route{{Kind: kind, Targets: []catalog.Target{{Service: "s", Weight: 1}}}}}
		if got := servesAnswers(config, "s"); got != want || servesAnswers(config, "other") {
			t.Errorf("a service of a route of kind %d serves answers: %v, want %v", kind, got, want)
		}
	}
}
