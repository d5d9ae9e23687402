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

// Module provides the Duty, also as Claims. The program must provide its mesh, feed
// client, object API and settings. It calls Duty.Stop in its planned stop, after it stops
// accepting requests and while its mesh is still open.
var Module = fx.Module("claimduty", fx.Provide(newDuty, func(d *Service) Claims { return d }))

type dutyParams struct {
	fx.In
	Lifecycle fx.Lifecycle
	Settings  *settings.Process
	Mesh      *quicmesh.Mesh
	Feed      *viewstream.Client
	API       objectapi.API
	Registry  *prometheus.Registry
	Root      *slog.Logger
}

func newDuty(p dutyParams) *Service {
	opt := Options{
		Mesh:        p.Mesh,
		API:         p.API,
		Host:        p.Settings.Host.ID,
		Incarnation: newIncarnation(),
		Address:     p.Settings.Entry.Mesh,
		View:        p.Feed.View,
		Log:         logging.Component(p.Root, "claims"),
		Registerer:  p.Registry,
	}
	if client, ok := p.API.(interface{ OutageFor() time.Duration }); ok {
		opt.Outage = client.OutageFor
	}
	d := New(opt)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	p.Lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			running.Go(func() { d.Run(ctx) })
			return nil
		},
		OnStop: func(context.Context) error {
			cancel()
			running.Wait()
			return nil
		},
	})
	return d
}

// newIncarnation returns a number that increases with each start of the process.
func newIncarnation() model.Incarnation { return model.Incarnation(time.Now().UnixNano()) }
