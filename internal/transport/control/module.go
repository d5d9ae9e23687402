// Package control wires the components of oleander-control and composes the fleet view
// that the host's data-path programs follow.
//
// Invariant: a view is composed from one complete generation of the configuration and
// one snapshot of the gossip state, and its generation is never lower than that of the
// previous view.
package control

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"runtime"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/fx"

	"oleanderfall.example/oleanderfall/internal/protocol/engineapi"
	"oleanderfall.example/oleanderfall/internal/protocol/httpanswer"
	"oleanderfall.example/oleanderfall/internal/protocol/objectapi"
	"oleanderfall.example/oleanderfall/internal/protocol/settings"
	"oleanderfall.example/oleanderfall/internal/state/members"
	"oleanderfall.example/oleanderfall/internal/state/model"
	"oleanderfall.example/oleanderfall/internal/transport/confmanager"
	"oleanderfall.example/oleanderfall/internal/transport/gossip"
	"oleanderfall.example/oleanderfall/internal/transport/ingress"
	"oleanderfall.example/oleanderfall/internal/transport/logging"
	"oleanderfall.example/oleanderfall/internal/transport/observe"
	"oleanderfall.example/oleanderfall/internal/transport/process"
	"oleanderfall.example/oleanderfall/internal/transport/quicmesh"
	"oleanderfall.example/oleanderfall/internal/transport/tlsconf"
	"oleanderfall.example/oleanderfall/internal/transport/viewstream"
	"oleanderfall.example/oleanderfall/internal/transport/weightupdate"
)

// Module provides the components of the control program and starts them.
var Module = fx.Module("control",
	fx.Provide(process.NewObjectAPI, newIdentity, newGossip, newMesh, newHub, newService),
	confmanager.Module, weightupdate.Module,
	fx.Invoke(limitResources, serveAdmin, startMesh),
)

const (
	// memoryLimitBytes leaves room below the 32 MB allowed for a control program for
	// memory that the Go runtime does not count.
	memoryLimitBytes = 15 << 20
	gcPercent        = 50
	// maxThreads bounds the threads that run Go code concurrently. The program is idle
	// most of the time, and waking more threads costs more than it gains.
	maxThreads = 2
)

func limitResources() {
	runtime.GOMAXPROCS(min(maxThreads, runtime.GOMAXPROCS(0)))
	debug.SetMemoryLimit(memoryLimitBytes)
	debug.SetGCPercent(gcPercent)
}

const (
	firstTrimDelay = 10 * time.Second
	trimInterval   = time.Minute
)

// trimMemory periodically returns memory that was used during the start or a burst of
// updates to the operating system.
func trimMemory(ctx context.Context) {
	timer := time.NewTimer(firstTrimDelay)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			debug.FreeOSMemory()
			timer.Reset(trimInterval)
		case <-ctx.Done():
			return
		}
	}
}

// identity holds the incarnation and the random source of this process.
type identity struct {
	incarnation model.Incarnation
	random      func() uint64
}

func newIdentity() identity {
	var seed [16]byte
	_, _ = crand.Read(seed[:])
	r := rand.New(rand.NewPCG(binary.BigEndian.Uint64(seed[:8]), binary.BigEndian.Uint64(seed[8:])))
	return identity{incarnation: model.Incarnation(time.Now().UnixMilli()), random: r.Uint64}
}

// configRef breaks a dependency cycle: the configuration manager needs the mesh, the mesh
// needs gossip, and gossip needs the configuration manager. newService sets it.
type configRef struct{ manager *confmanager.Manager }

func newGossip(s *settings.LocalSettings, id identity, root *slog.Logger) (*gossip.Service, *configRef) {
	ref := &configRef{}
	return gossip.New(gossip.Options{
		Self: members.Record{
			Host: s.Host.ID, Zone: s.Host.Zone, Control: s.Control.Listen, Incarnation: id.incarnation,
			EntryNotReady: true, // until the entry program reports that it serves callers
		},
		Heartbeat:         s.Control.Heartbeat,
		Log:               logging.Component(root, "gossip"),
		Random:            id.random,
		Generation:        func() model.Generation { return ref.manager.Generation() },
		OnNewerGeneration: func(g model.Generation, address string) { ref.manager.NotifyGeneration(g, address) },
	}), ref
}

func newMesh(s *settings.LocalSettings, keys *tlsconf.Keys, g *gossip.Service, root *slog.Logger) (*quicmesh.Mesh, error) {
	mesh, err := quicmesh.New(quicmesh.Options{
		Listen:     s.Control.Listen,
		Server:     keys.Server(),
		Client:     keys.Client(),
		Log:        logging.Component(root, "mesh"),
		OnDatagram: g.OnDatagram,
	})
	if err != nil {
		return nil, err
	}
	g.Attach(mesh)
	return mesh, nil
}

func newHub(id identity) *viewstream.Hub { return viewstream.NewHub(uint64(id.incarnation)) }

type params struct {
	fx.In

	Settings  *settings.LocalSettings
	Root      *slog.Logger
	API       *objectapi.Client
	Conf      *confmanager.Manager
	ConfigRef *configRef
	Gossip    *gossip.Service
	Hub       *viewstream.Hub
}

func newService(p params) *service {
	p.ConfigRef.manager = p.Conf
	httpClient := &http.Client{Transport: httpanswer.NewTransport(&http.Transport{MaxIdleConnsPerHost: 1, ReadBufferSize: 2 << 10, WriteBufferSize: 2 << 10})}
	s := &service{
		settings: p.Settings,
		log:      logging.Component(p.Root, "control"),
		api:      p.API,
		conf:     p.Conf,
		gossip:   p.Gossip,
		hub:      p.Hub,
		started:  time.Now(),
		stopping: map[string]bool{},
		demands:  demandFilter{last: map[string]sentDemands{}},
	}
	s.observe = observe.New(observe.Options{Host: p.Settings.Host.ID, Client: engineapi.NewClient(httpClient), View: p.Hub.View, KnownLoad: s.knownLoad, PublishItems: p.Gossip.AddItems})
	s.drains = &operatorDrains{api: p.API, view: p.Hub.View, knownIncarnation: s.knownIncarnation, addItems: p.Gossip.AddItems, log: s.log}
	s.hostList = &hostList{
		baseURL: p.Settings.Platform.HostList, http: httpClient, timeout: p.Settings.Platform.Timeout,
		isFollower: s.isFollower, knownIncarnation: s.knownIncarnation, addItems: p.Gossip.AddItems, setSeeds: s.setListedAddresses, log: s.log,
	}
	p.Conf.SetMembers(func() []model.Member {
		if v := p.Hub.View(); v != nil {
			return v.Members
		}
		return nil
	})
	return s
}

// startMesh registers the handlers, then starts the mesh and the background loops. On
// stop it ends the loops before it closes the mesh.
func startMesh(lc fx.Lifecycle, mesh *quicmesh.Mesh, s *service) {
	s.register(mesh)
	lc.Append(fx.Hook{
		OnStart: func(ctx context.Context) error {
			if err := mesh.Start(); err != nil {
				return err
			}
			s.start()
			s.updateSeeds(ctx)
			s.log.Info("Control program started", "host", s.settings.Host.ID, "address", mesh.Address())
			return nil
		},
		OnStop: func(ctx context.Context) error {
			s.stop(ctx)
			mesh.Close()
			return nil
		},
	})
}

func serveAdmin(lc fx.Lifecycle, limiter *ingress.Limiter, s *settings.LocalSettings, reg *prometheus.Registry, h *process.Health, mesh *quicmesh.Mesh, control *service) {
	registerMetrics(reg, mesh, control)
	h.Add("configuration", func() error {
		if control.conf.Generation() == 0 {
			return errNoConfiguration
		}
		return nil
	})
	process.ServeAdmin(lc, limiter, s.Control.Admin, reg, h, nil)
}

func quarantineKey(fingerprint uint64) string { return strconv.FormatUint(fingerprint, 16) }
