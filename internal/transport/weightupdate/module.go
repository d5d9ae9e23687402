package weightupdate

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/fx"

	"oleanderfall.example/oleanderfall/internal/protocol/engineapi"
	"oleanderfall.example/oleanderfall/internal/protocol/httpanswer"
	"oleanderfall.example/oleanderfall/internal/protocol/objectapi"
	"oleanderfall.example/oleanderfall/internal/protocol/settings"
	"oleanderfall.example/oleanderfall/internal/state/model"
	"oleanderfall.example/oleanderfall/internal/transport/logging"
	"oleanderfall.example/oleanderfall/internal/transport/viewstream"
)

// Module runs a Controller in the control program.
var Module = fx.Module("weightwave", fx.Invoke(start))

type params struct {
	fx.In
	Lifecycle fx.Lifecycle
	Settings  *settings.LocalSettings
	API       *objectapi.Client
	Hub       *viewstream.Hub
	Registry  *prometheus.Registry
	Root      *slog.Logger
}

func start(p params) {
	client := &http.Client{Transport: httpanswer.NewTransport(&http.Transport{MaxIdleConnsPerHost: 1, ReadBufferSize: 2 << 10, WriteBufferSize: 2 << 10})}
	controller := New(Options{
		Host:        p.Settings.Host.ID,
		Incarnation: model.Incarnation(time.Now().UnixNano()),
		Address:     p.Settings.Control.Listen,
		API:         p.API,
		Engines:     engineapi.NewClient(client),
		View:        p.Hub.View,
		Metrics:     p.Registry,
		Log:         logging.Component(p.Root, "weights"),
	})
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	p.Lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			running.Go(func() { controller.Run(ctx) })
			return nil
		},
		OnStop: func(stop context.Context) error {
			err := controller.Release(stop)
			cancel()
			running.Wait()
			client.CloseIdleConnections()
			return err
		},
	})
}
