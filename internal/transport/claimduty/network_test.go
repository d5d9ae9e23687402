package claimduty

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

// proxiedStore serves a store over HTTP behind a proxy that a test can disturb.
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

// The platform's answers are swallowed, then its connections reset, while keys are
// sent at several hosts.
func TestNetworkThatSwallowsAnswersRunsNothingTwice(t *testing.T) {
	proxy, over := proxiedStore(t)
	c := newCluster(t, clusterOptions{entries: 3, shards: 2, over: over})
	told := map[string][]result{}
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
				told[key] = append(told[key], r)
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
		for _, r := range told[key] {
			if r.outcome() == resultcode.Unknown {
				unknown++
			}
		}
		last := c.send(c.entries[i%3], key, long)
		if last.code != resultcode.OK {
			t.Errorf("%s ends with %v", key, last.code)
		}
		told[key] = append(told[key], last)
	}
	c.judge(told)
	if unknown == 0 {
		t.Error("the disturbance reached no sending and proves nothing")
	}
}

func TestPlannedStopRecordsEndsHandsShardsOverAndLeavesNothingBehind(t *testing.T) {
	// The proxy library of an earlier test may leave a goroutine of its own behind.
	before := goleak.IgnoreCurrent()
	c := newCluster(t, clusterOptions{entries: 2, shards: 2})
	stopped, other := c.entries[0], c.entries[1]
	for i := range 20 {
		ticket, err := stopped.Begin(t.Context(), testKey(fmt.Sprint(i)), 7)
		if err != nil {
			t.Fatal(err)
		}
		stopped.Settle(t.Context(), ticket, resultcode.Ran, Answer{Status: 200, Body: []byte("done")})
	}
	if err := stopped.Stop(t.Context()); err != nil {
		t.Fatal(err)
	}
	if live, _ := stopped.attempts.size(); live != 0 {
		t.Errorf("%d ends are not recorded", live)
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

func TestNumberOfShardsStaysAsFirstFixed(t *testing.T) {
	c := newCluster(t, clusterOptions{entries: 1, shards: 2})
	c.send(c.entries[0], "k", long)
	config := *c.view.Config
	config.System.ClaimShards = 5
	c.mu.Lock()
	view := *c.view
	view.Config = &config
	c.view = &view
	c.mu.Unlock()
	late := c.start("late", "127.0.0.1:0")
	c.refresh()
	c.await("the late host knows the shards", func() bool { return late.Ready() == nil })
	if n := len(late.Shards()); n != 2 {
		t.Fatalf("the late host counts %d shards", n)
	}
	r := c.send(late, "k", long)
	c.judge(map[string][]result{"k": {r}})
	if r.code != resultcode.OK {
		t.Errorf("told %v", r.code)
	}
}
