package front

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"slices"
	"testing"
	"time"

	"oleanderfall.example/oleanderfall/internal/coordination/placement"
	"oleanderfall.example/oleanderfall/internal/coordination/presence"
	"oleanderfall.example/oleanderfall/internal/coordination/prompts"
	"oleanderfall.example/oleanderfall/internal/protocol/backend"
	"oleanderfall.example/oleanderfall/internal/state/catalog"
)

// streamClient is a backend.Client with a stream of its own.
type streamClient struct {
	backend.Client
	stream func(head func(*backend.Answer) error, chunk func([]byte) error) error
}

func (c streamClient) Stream(_ context.Context, _ backend.GenerateRequest, head func(*backend.Answer) error, chunk func([]byte) error) error {
	return c.stream(head, chunk)
}

type discardedStream struct{}

func (discardedStream) WriteHead(*backend.Answer) error { return nil }
func (discardedStream) WriteChunk([]byte) error         { return nil }

func unreadTokens(f *Fleet) (n int) {
	f.WithTable(func(t *placement.Table) { n = t.UnreadTokens() })
	return n
}

// A stream's prompt must count as unread from sending to the first bytes of the answer, and no longer
// after a stream that failed before; else the engine would stay empty.
func TestStream_UnreadPrompt(t *testing.T) {
	w := newTestCluster(t)
	n := w.start("h1")[0]
	w.waitUntil("the endpoints are known", func() bool { return len(n.feed.State(0).Endpoints) == 4 })
	route := &catalog.Route{Name: "streams", Kind: catalog.KindStreaming, MaxAttempts: 1, Objective: time.Nanosecond, Targets: []catalog.Target{{Service: "engines", Weight: 1}}}
	for name, c := range map[string]struct {
		failure   error
		tokens    int
		wantFirst int
	}{
		"answered":      {nil, 40_000, 40_000},
		"failed":        {errors.Join(backend.ErrNotRun, backend.ErrUnreachable), 40_000, 40_000},
		"without count": {nil, 0, 0},
	} {
		fleet := n.Forwarder.fleet
		n.Forwarder.client = streamClient{n.endpoints, func(head func(*backend.Answer) error, chunk func([]byte) error) error {
			if got := unreadTokens(fleet); got != c.wantFirst {
				t.Errorf("%s: %d tokens unread before the first event, want %d", name, got, c.wantFirst)
			}
			if c.failure != nil {
				return c.failure
			}
			if err := errors.Join(head(&backend.Answer{Status: http.StatusOK}), chunk([]byte("x"))); err != nil {
				return err
			}
			if got := unreadTokens(fleet); got != 0 {
				t.Errorf("%s: %d tokens unread after the first event", name, got)
			}
			return nil
		}}
		in := &Inbound{ID: name, Host: "h", Method: http.MethodPost, URI: "/s", Path: "/s", PromptTokens: c.tokens}
		if err := n.Forwarder.Stream(background, route, in, discardedStream{}); (err == nil) != (c.failure == nil) {
			t.Errorf("%s: %v", name, err)
		}
		if got := unreadTokens(fleet); got != 0 {
			t.Errorf("%s: %d tokens unread at the end", name, got)
		}
	}
}

// A batch must have the digest that former builds compute: it may be submitted again to a host of
// another build, which would take it for another batch. The digest is that of build d5f05de.
func TestBatch_DigestOfFormerBuilds(t *testing.T) {
	b := batch("b1", 1, 2)
	b.Samples[0].PromptTokens, b.Samples[0].Header["Prefix"] = 40_000, "system"
	_, got, err := encodeBatch(b)
	if want := "1c10ec8b89856e8dc7a9ed0264c6257a04badede6fa86d27d4b060f6e0683c4e"; err != nil || got != want {
		t.Errorf("digest %s, %v, want %s", got, err, want)
	}
}

// The samples of a group have one prompt, which an engine reads once; after a run of a batch with
// samples that crash at first, nothing must count as unread.
func TestBatch_UnreadPrompts(t *testing.T) {
	w := newTestCluster(t)
	w.engines.crashes = 1
	n := w.start("h1")[0]
	b := batch("b1", 3, 4)
	for i := range b.Samples {
		b.Samples[i].PromptTokens, b.Samples[i].Header["Prefix"] = 40_000, "system"
	}
	a := &activeBatch{batch: b, parent: n.Batches}
	p, q := a.samplePrompt(&b.Samples[0], 0), a.samplePrompt(&b.Samples[1], 7)
	if q.Tokens != 40_007 || !slices.Equal(p.Prefixes, q.Prefixes) || len(p.Prefixes) != 2 || p.Prefixes[0].Tokens != 1000 || p.Prefixes[1].Tokens != 40_000 {
		t.Errorf("prompts of one group: %+v, %+v", p, q)
	}
	if err := n.Batches.Submit(background, b); err != nil {
		t.Fatal(err)
	}
	w.checkResults(b, w.readAll(n, "b1"))
	if got := unreadTokens(n.Forwarder.fleet); got != 0 {
		t.Errorf("%d tokens unread at the end", got)
	}
}

// A host that gets the totals of all hosts from its hub must not count its own prompts twice, and
// must drop what it knew from others before and once the hub reports nothing.
func TestRecordLoads_UnreadPromptsFromSummary(t *testing.T) {
	m := &Membership{fleet: NewFleet("a"), reportedUnread: map[uint32]prompts.Queue{placement.EndpointKey("e1"): {Tokens: 30_000, Requests: 1}}}
	m.fleet.Put(catalog.Endpoint{ID: "e1", Service: "s", Slots: 4})
	m.fleet.Put(catalog.Endpoint{ID: "e2", Service: "s", Slots: 4})
	m.fleet.WithTable(func(table *placement.Table) {
		table.SetPeerQueues(time.Now(), "h3", map[uint32]prompts.Queue{placement.EndpointKey("e2"): {Tokens: 9_000, Requests: 1}})
	})
	for _, c := range []struct{ unread, want map[uint32]prompts.Queue }{
		{map[uint32]prompts.Queue{placement.EndpointKey("e1"): {Tokens: 70_000, Requests: 3}}, map[uint32]prompts.Queue{placement.EndpointKey("e1"): {Tokens: 40_000, Requests: 2}}},
		{map[uint32]prompts.Queue{placement.EndpointKey("e1"): {Tokens: 30_000, Requests: 1}}, nil},
		{nil, nil},
	} {
		m.recordLoads(time.Now(), presence.Heartbeat{Member: presence.Member{Host: "hub"}, Kind: presence.KindSummary, Unread: c.unread}, false, true)
		m.fleet.WithTable(func(table *placement.Table) {
			if got := table.SumQueues(time.Now(), func(string) bool { return true }); !maps.Equal(got, c.want) {
				t.Errorf("unread prompts of other hosts = %v, want %v", got, c.want)
			}
		})
	}
}

// Builds that do not know the unread prompts must read the rest of a heartbeat, a heartbeat of such
// a build must be read, and a full heartbeat must keep its loads: they matter for all requests.
func TestHeartbeat_UnreadPromptsOptional(t *testing.T) {
	h := presence.Heartbeat{Member: presence.Member{Host: "h1"}, Loads: map[uint32]uint16{7: 3}, Unread: map[uint32]prompts.Queue{}}
	for i := range uint32(16) {
		h.Unread[1<<31+i] = prompts.Queue{Tokens: 1 << 20, Requests: 300, NanosPerToken: 5000}
	}
	raw, _, err := encodeHeartbeat(h)
	var former struct {
		Host  string            `cbor:"1,keyasint"`
		Loads map[uint32]uint16 `cbor:"12,keyasint"`
	}
	if err := errors.Join(err, decoding.Unmarshal(raw, &former)); err != nil || former.Host != "h1" || former.Loads[7] != 3 {
		t.Errorf("a former build reads %+v, %v", former, err)
	}
	var got presence.Heartbeat
	if err := decoding.Unmarshal(raw, &got); err != nil || !maps.Equal(got.Unread, h.Unread) {
		t.Errorf("read %v, %v", got.Unread, err)
	}
	for i := range uint32(190) {
		h.Loads[1<<30+i] = 1
	}
	raw, _, err = encodeHeartbeat(h)
	got = presence.Heartbeat{}
	if err := errors.Join(err, decoding.Unmarshal(raw, &got)); err != nil || len(raw) > maxHeartbeatBytes || len(got.Loads) != 191 || got.Unread != nil {
		t.Errorf("full heartbeat: %d bytes, %d loads, unread prompts %v, %v", len(raw), len(got.Loads), got.Unread, err)
	}
}

// In a large fleet, where most hosts hear from two hubs only, every host must count an unread prompt
// once, and none after it was read.
func TestLargeFleet_UnreadPrompts(t *testing.T) {
	w := newTestCluster(t)
	nodes := w.startLarge(10)
	_, others := roles(nodes)
	fleet := others[0].Forwarder.fleet
	var endpoint catalog.Endpoint
	fleet.WithTable(func(table *placement.Table) { endpoint, _ = table.Get("e0") })
	counted := func(want uint32) func() bool {
		return func() bool {
			for _, n := range nodes {
				got := uint32(0)
				n.Forwarder.fleet.WithTable(func(table *placement.Table) {
					got = table.SumQueues(time.Now(), func(string) bool { return true })[placement.EndpointKey("e0")].Tokens
				})
				if got != want {
					return false
				}
			}
			return true
		}
	}
	reading := fleet.BeginReading(endpoint, prompts.Prompt{Tokens: 40_000})
	w.waitUntil("every host counts the prompt once", counted(40_000))
	fleet.PromptRead(reading)
	w.waitUntil("no host counts the prompt", counted(0))
}

// A sample that leaves a slow endpoint free must still cause a request for permits of the endpoint that
// it waits for. Without it the sample waits until another request asks, or until it no longer waits.
func TestPickUnless_RejectedWantsPermits(t *testing.T) {
	f := NewFleet("a")
	limited, slow := catalog.Endpoint{ID: "e1", Service: "s", Zone: "a", Slots: 4}, catalog.Endpoint{ID: "e2", Service: "s", Zone: "a", Slots: 4}
	f.Put(limited)
	f.Put(slow)
	f.WithTable(func(table *placement.Table) {
		table.RecordServiceTime(time.Now(), "e1", 30*time.Millisecond)
		table.RecordServiceTime(time.Now(), "e2", 150*time.Millisecond)
		table.RecordLimit(time.Now(), limited, 5)
	})
	_, ok, rejected := f.PickUnless(placement.Query{Service: "s", FreeSlot: true}, func(_ *placement.Table, _ time.Time, e catalog.Endpoint) bool { return e.ID == "e2" })
	if ok || !rejected {
		t.Fatalf("selected %v, rejected %v, want only the slow endpoint to be free", ok, rejected)
	}
	select {
	case <-f.permitsWanted:
	default:
		t.Error("no permits are requested")
	}
}
