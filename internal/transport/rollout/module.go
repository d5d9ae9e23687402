// Package rollout generates samples for trainers. It owns trainers' shards, runs attempts at
// the samples on the engines, has the samples scored and offers them in batches over HTTP.
//
// A step consists of groups of samples, one group per prompt. The place of one sample in a
// step is called its slot; slots of an engine are the requests that it runs concurrently.
//
// Invariant: only the owner's event loop accesses a trainer's machine. A batch is offered
// only after the object API has confirmed the record that holds it. A trainer's engines,
// scorer and pulls do not delay any other trainer.
package rollout

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/fx"

	"oleanderfall.example/oleanderfall/internal/protocol/objectapi"
	"oleanderfall.example/oleanderfall/internal/protocol/settings"
	"oleanderfall.example/oleanderfall/internal/state/model"
	"oleanderfall.example/oleanderfall/internal/transport/ingress"
	"oleanderfall.example/oleanderfall/internal/transport/logging"
	"oleanderfall.example/oleanderfall/internal/transport/process"
	"oleanderfall.example/oleanderfall/internal/transport/quicmesh"
	"oleanderfall.example/oleanderfall/internal/transport/tlsconf"
	"oleanderfall.example/oleanderfall/internal/transport/viewstream"
)

// Module provides and starts the components of the rollout program.
var Module = fx.Module("rollout",
	fx.Provide(process.NewObjectAPI, newMesh, newViewClient, newService),
	fx.Invoke(serve),
)

func newMesh(s *settings.LocalSettings, keys *tlsconf.Keys, root *slog.Logger) (*quicmesh.Mesh, error) {
	return quicmesh.New(quicmesh.Options{
		Listen: s.Rollout.Mesh,
		Server: keys.Server(),
		Client: keys.Client(),
		Log:    logging.Component(root, "mesh"),
	})
}

func newViewClient(s *settings.LocalSettings, mesh *quicmesh.Mesh, root *slog.Logger) *viewstream.Client {
	return viewstream.NewClient(mesh, s.Control.Listen, logging.Component(root, "feed"))
}

func newService(s *settings.LocalSettings, api *objectapi.Client, client *viewstream.Client, reg *prometheus.Registry, limiter *ingress.Limiter, root *slog.Logger) *Service {
	return NewService(Options{
		Host:        s.Host.ID,
		Zone:        s.Host.Zone,
		Incarnation: model.Incarnation(time.Now().UnixNano()),
		Listen:      s.Rollout.Listen,
		API:         api,
		View:        client.View,
		Metrics:     reg,
		Limiter:     limiter,
		Log:         logging.Component(root, "rollout"),
	})
}

type serveParams struct {
	fx.In
	Lifecycle  fx.Lifecycle
	Settings   *settings.LocalSettings
	Mesh       *quicmesh.Mesh
	ViewClient *viewstream.Client
	Service    *Service
	Registry   *prometheus.Registry
	Health     *process.Health
	Limiter    *ingress.Limiter
}

// serve registers the start and stop hooks. Stop hooks run in reverse order of registration.
func serve(p serveParams) {
	p.Health.Add("view", p.ViewClient.Ready)
	p.Lifecycle.Append(fx.StartStopHook(p.Mesh.Start, p.Mesh.Close))
	process.ServeAdmin(p.Lifecycle, p.Limiter, p.Settings.Rollout.Admin, p.Registry, p.Health, func(r *mux.Router) {
		r.HandleFunc("/v1/explain/{sample}", p.Service.ServeExplain).Methods(http.MethodGet)
	})
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	p.Lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			if err := p.Service.Start(); err != nil {
				return err
			}
			running.Go(func() { p.ViewClient.Run(ctx) })
			running.Go(func() { p.Service.Run(ctx) })
			return nil
		},
		OnStop: func(stop context.Context) error {
			err := p.Service.Release(stop)
			cancel()
			running.Wait()
			return err
		},
	})
}
