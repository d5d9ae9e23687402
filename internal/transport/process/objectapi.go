package process

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"log/slog"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/fx"

	"oleanderfall.example/oleanderfall/internal/protocol/httpanswer"
	"oleanderfall.example/oleanderfall/internal/protocol/objectapi"
	"oleanderfall.example/oleanderfall/internal/protocol/settings"
	"oleanderfall.example/oleanderfall/internal/transport/logging"
)

// maxIdleObjectAPIConns bounds the idle connections to the object API.
const maxIdleObjectAPIConns = 8

// NewObjectAPI returns the object API client that the components of a program share. Its
// idle connections are closed when the application stops.
func NewObjectAPI(lc fx.Lifecycle, s *settings.LocalSettings, root *slog.Logger, reg *prometheus.Registry) *objectapi.Client {
	log := logging.Component(root, "objectapi")
	transport := httpanswer.NewTransport(&http.Transport{MaxIdleConnsPerHost: maxIdleObjectAPIConns})
	client := objectapi.NewClient(
		objectapi.NewHTTPClient(s.Platform.ObjectAPI, &http.Client{Transport: transport}),
		objectapi.ClientOptions{AttemptTimeout: s.Platform.Timeout, Seed: randomSeed(), Registerer: reg},
	)
	client.OnOutage(func(down bool) {
		if down {
			log.Warn("Object API unreachable")
			return
		}
		log.Info("Object API reachable again")
	})
	lc.Append(fx.Hook{OnStop: func(context.Context) error {
		transport.CloseIdleConnections()
		return nil
	}})
	return client
}

// randomSeed returns a seed that differs between processes.
func randomSeed() uint64 {
	var b [8]byte
	_, _ = crand.Read(b[:])
	return binary.BigEndian.Uint64(b[:])
}
