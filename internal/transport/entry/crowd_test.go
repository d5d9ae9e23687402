package entry

import (
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"oleanderfall.example/oleanderfall/internal/transport/ingress"
)

// Guards against idle connections that keep ordinary callers out.
func TestHTTPServer_IdleCrowd(t *testing.T) {
	const connections = 40
	registry := prometheus.NewRegistry()
	limiter := ingress.NewLimiter(ingress.Limits{Connections: connections}.Or(ingress.DefaultLimits(0, 0)), registry, slog.New(slog.DiscardHandler))
	h := NewHTTPServer(NewServer(Options{Host: "e1", Metrics: registry, Log: slog.New(slog.DiscardHandler)}), limiter)
	if err := h.Start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = h.http.Close() }()
	closed := make(chan int, 3*connections)
	for i := range 3 * connections {
		conn, err := net.Dial("tcp", h.Address())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		go func() {
			_, _ = conn.Read(make([]byte, 1))
			closed <- i
		}()
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 10 * time.Second}
	resp, err := client.Get(fmt.Sprintf("http://%s/v1/addresses", h.Address()))
	if err != nil {
		t.Fatalf("beside %d idle connections, limit %d: %v", 3*connections, connections, err)
	}
	_ = resp.Body.Close()
	for range 2 * connections {
		select {
		case <-closed:
		case <-time.After(10 * time.Second):
			t.Fatal("more connections are open than the limit allows")
		}
	}
}
