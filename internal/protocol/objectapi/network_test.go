package objectapi_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/Shopify/toxiproxy/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"oleanderfall.example/oleanderfall/internal/protocol/objectapi"
	"oleanderfall.example/oleanderfall/internal/standin"
)

// newProxiedClient returns a client that is connected to the store through a fault-injecting
// proxy.
func newProxiedClient(t *testing.T, store *standin.ObjectStore) (*objectapi.Client, *toxiproxy.Proxy) {
	t.Helper()
	server := httptest.NewServer(store.Handler())
	t.Cleanup(server.Close)
	api := toxiproxy.NewServer(toxiproxy.NewMetricsContainer(prometheus.NewRegistry()), zerolog.Nop())
	proxy := toxiproxy.NewProxy(api, "store", "127.0.0.1:0", strings.TrimPrefix(server.URL, "http://"))
	if err := proxy.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(proxy.Stop)
	transport := &http.Transport{}
	t.Cleanup(transport.CloseIdleConnections)
	return objectapi.NewClient(
		objectapi.NewHTTPClient("http://"+proxy.Listen, &http.Client{Transport: transport}),
		objectapi.ClientOptions{Seed: 1, AttemptTimeout: 300 * time.Millisecond, WatchLifetime: 200 * time.Millisecond},
	), proxy
}

func addToxic(t *testing.T, p *toxiproxy.Proxy, json string) {
	t.Helper()
	if _, err := p.Toxics.AddToxicJson(strings.NewReader(json)); err != nil {
		t.Fatal(err)
	}
}

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("condition not reached within 20 s: %s", what)
		}
	}
}

// blackHole drops all data sent by the server and keeps the connection open.
const blackHole = `{"name":"hole","type":"timeout","stream":"downstream","attributes":{"timeout":0}}`

// A write reaches the store, but its answer is dropped, truncated or replaced by a connection
// reset. The Put must return the version that was written.
func TestPut_ResolvesAnswerLostInNetwork(t *testing.T) {
	store := newStore()
	c, proxy := newProxiedClient(t, store)
	first := mustPut(t, c, "k", "a", 0)
	for name, fault := range map[string]string{
		"dropped": blackHole,
		"cut":     `{"name":"hole","type":"limit_data","stream":"downstream","attributes":{"bytes":20}}`,
		"reset":   `{"name":"hole","type":"reset_peer","stream":"downstream","attributes":{"timeout":0}}`,
	} {
		addToxic(t, proxy, fault)
		writes := store.Calls().Writes
		type result struct {
			version uint64
			err     error
		}
		done := make(chan result, 1)
		go func() {
			version, err := c.Put(t.Context(), "k", []byte(name), first)
			done <- result{version, err}
		}()
		eventually(t, "the write at the store", func() bool { return store.Calls().Writes > writes })
		if err := proxy.Toxics.RemoveToxic(t.Context(), "hole"); err != nil {
			t.Fatal(err)
		}
		r := <-done
		o, err := store.Get(t.Context(), "k")
		if r.err != nil || err != nil || o.Version != r.version {
			t.Fatalf("%s: put returned version %d, %v; the store holds %d, %v", name, r.version, r.err, o.Version, err)
		}
		first = r.version
	}
}

// A watch whose connection no longer delivers data must be replaced after WatchLifetime;
// otherwise its changes would never arrive, and no error would show it.
func TestFollow_ReplacesWatchOnDeadConnection(t *testing.T) {
	store := newStore()
	c, proxy := newProxiedClient(t, store)
	m := &mirror{}
	done := make(chan error, 1)
	ctx := t.Context()
	go func() { done <- c.Follow(ctx, "p/", m) }()
	eventually(t, "the watch", func() bool { return store.Calls().OpenWatches == 1 })
	addToxic(t, proxy, blackHole)
	mustPut(t, newClient(store, 2), "p/1", "a", 0)
	if err := proxy.Toxics.RemoveToxic(ctx, "hole"); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the dropped change", func() bool { got, _ := m.snapshot(); return got == "map[p/1:a]" })
}
