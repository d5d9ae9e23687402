package claimservice

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/Shopify/toxiproxy/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"oleanderfall.example/oleanderfall/internal/protocol/objectapi"
	"oleanderfall.example/oleanderfall/internal/protocol/resultcode"
	"oleanderfall.example/oleanderfall/internal/standin"
)

// proxiedStore serves a store over HTTP behind a proxy into which tests inject faults.
func proxiedStore(t *testing.T) (*toxiproxy.Proxy, func(*standin.ObjectStore) objectapi.API) {
	t.Helper()
	var upstream http.Handler
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { upstream.ServeHTTP(w, r) }))
	t.Cleanup(server.Close)
	api := toxiproxy.NewServer(toxiproxy.NewMetricsContainer(prometheus.NewRegistry()), zerolog.Nop())
	proxy := toxiproxy.NewProxy(api, "store", "127.0.0.1:0", strings.TrimPrefix(server.URL, "http://"))
	if err := proxy.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(proxy.Stop)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	t.Cleanup(client.CloseIdleConnections)
	return proxy, func(store *standin.ObjectStore) objectapi.API {
		upstream = store.Handler()
		return objectapi.NewHTTPClient("http://"+proxy.Listen, client)
	}
}

// The network first drops the store's responses and then resets its connections, while
// several hosts receive each key. No key may run twice.
func TestClaims_LostResponsesRunNothingTwice(t *testing.T) {
	proxy, wrap := proxiedStore(t)
	c := newCluster(t, clusterOptions{entries: 3, shards: 2, wrapStore: wrap})
	received := map[string][]result{}
	var mu sync.Mutex
	var all sync.WaitGroup
	const keys = 120
	for i := range keys {
		key := fmt.Sprint("k", i)
		for s := range 2 {
			all.Go(func() {
				time.Sleep(time.Duration(i) * 20 * time.Millisecond)
				r := c.send(c.entries[(i+s)%3], key, 700*time.Millisecond)
				mu.Lock()
				defer mu.Unlock()
				received[key] = append(received[key], r)
			})
		}
	}
	for _, toxic := range []string{
		`{"name":"t","type":"timeout","stream":"downstream","attributes":{"timeout":0}}`,
		`{"name":"t","type":"reset_peer","stream":"downstream","attributes":{"timeout":2}}`,
	} {
		time.Sleep(300 * time.Millisecond)
		if _, err := proxy.Toxics.AddToxicJson(strings.NewReader(toxic)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		if err := proxy.Toxics.RemoveToxic(t.Context(), "t"); err != nil {
			t.Fatal(err)
		}
	}
	all.Wait()
	unknown := 0
	for i := range keys {
		key := fmt.Sprint("k", i)
		for _, r := range received[key] {
			if r.outcome() == resultcode.Unknown {
				unknown++
			}
		}
		last := c.send(c.entries[i%3], key, sendTimeout)
		if last.code != resultcode.OK {
			t.Errorf("%s finally got %v", key, last.code)
		}
		received[key] = append(received[key], last)
	}
	c.checkResults(received)
	if unknown == 0 {
		t.Error("no request was affected by the injected network faults")
	}
}

// After a planned stop all outcomes are durable, the other host answers resends, and no goroutine
// is left.
func TestStop_SettlesAndReleasesShards(t *testing.T) {
	// The proxy library of an earlier test may leak a goroutine.
	before := goleak.IgnoreCurrent()
	c := newCluster(t, clusterOptions{entries: 2, shards: 2})
	stopped, other := c.entries[0], c.entries[1]
	for i := range 20 {
		claim, err := stopped.Begin(t.Context(), testKey(fmt.Sprint(i)), 7)
		if err != nil {
			t.Fatal(err)
		}
		stopped.Settle(t.Context(), claim, resultcode.Ran, Answer{Status: 200, Body: []byte("done")})
	}
	if err := stopped.Stop(t.Context()); err != nil {
		t.Fatal(err)
	}
	if unsettled, _ := stopped.attempts.size(); unsettled != 0 {
		t.Errorf("%d outcomes are not recorded", unsettled)
	}
	stopped.kill()
	for i := range 20 {
		got, err := other.Begin(t.Context(), testKey(fmt.Sprint(i)), 7)
		if err != nil || got.Verdict != VerdictAnswered || string(got.Answer.Body) != "done" {
			t.Errorf("key %d after the stop: verdict %v, %v", i, got.Verdict, err)
		}
	}
	other.kill()
	c.plain.Close()
	goleak.VerifyNone(t, before)
}

// A host that starts with a different configured number of shards uses the stored one.
func TestLayout_ShardCountIsFixed(t *testing.T) {
	c := newCluster(t, clusterOptions{entries: 1, shards: 2})
	c.send(c.entries[0], "k", sendTimeout)
	config := *c.view.Config
	config.System.ClaimShards = 5
	c.mu.Lock()
	view := *c.view
	view.Config = &config
	c.view = &view
	c.mu.Unlock()
	late := c.start("late", "127.0.0.1:0")
	c.updateView()
	c.waitFor("the late host knows the shard owners", func() bool { return late.Ready() == nil })
	if n := len(late.Shards()); n != 2 {
		t.Fatalf("the late host uses %d shards", n)
	}
	r := c.send(late, "k", sendTimeout)
	c.checkResults(map[string][]result{"k": {r}})
	if r.code != resultcode.OK {
		t.Errorf("got %v", r.code)
	}
}
