package claimservice

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/fx"

	"oleanderfall.example/oleanderfall/internal/protocol/objectapi"
	"oleanderfall.example/oleanderfall/internal/protocol/settings"
	"oleanderfall.example/oleanderfall/internal/state/model"
	"oleanderfall.example/oleanderfall/internal/transport/logging"
	"oleanderfall.example/oleanderfall/internal/transport/quicmesh"
	"oleanderfall.example/oleanderfall/internal/transport/viewstream"
)

// Module provides the Service, also as Claims. The program must provide its mesh, view
// client, object API and settings. It calls Service.Stop in its planned stop, after it stops
// accepting requests and while its mesh is still open.
var Module = fx.Module("claimduty", fx.Provide(newService, func(s *Service) Claims { return s }))

type serviceParams struct {
	fx.In
	Lifecycle  fx.Lifecycle
	Settings   *settings.LocalSettings
	Mesh       *quicmesh.Mesh
	ViewClient *viewstream.Client
	API        objectapi.API
	Registry   *prometheus.Registry
	Root       *slog.Logger
}

func newService(p serviceParams) *Service {
	opt := Options{
		Mesh:        p.Mesh,
		API:         p.API,
		Host:        p.Settings.Host.ID,
		Incarnation: newIncarnation(),
		Address:     p.Settings.Entry.Mesh,
		View:        p.ViewClient.View,
		Log:         logging.Component(p.Root, "claims"),
		Registerer:  p.Registry,
	}
	if client, ok := p.API.(interface{ OutageFor() time.Duration }); ok {
		opt.Outage = client.OutageFor
	}
	s := New(opt)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	p.Lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			running.Go(func() { s.Run(ctx) })
			return nil
		},
		OnStop: func(context.Context) error {
			cancel()
			running.Wait()
			return nil
		},
	})
	return s
}

// newIncarnation returns a number that increases with each start of the process.
func newIncarnation() model.Incarnation { return model.Incarnation(time.Now().UnixNano()) }
