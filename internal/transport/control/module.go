// Package control wires the duties of oleander-control and composes the fleet view
// that the host's data-path programs follow.
//
// Invariant: a view is composed from a whole generation of the configuration and one
// state of the gossip duty, and never has a lower generation than the one before.
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
	"oleanderfall.example/oleanderfall/internal/protocol/objectapi"
	"oleanderfall.example/oleanderfall/internal/protocol/settings"
	"oleanderfall.example/oleanderfall/internal/state/members"
	"oleanderfall.example/oleanderfall/internal/state/model"
	"oleanderfall.example/oleanderfall/internal/transport/confduty"
	"oleanderfall.example/oleanderfall/internal/transport/feed"
	"oleanderfall.example/oleanderfall/internal/transport/gossip"
	"oleanderfall.example/oleanderfall/internal/transport/logging"
	"oleanderfall.example/oleanderfall/internal/transport/observe"
	"oleanderfall.example/oleanderfall/internal/transport/process"
	"oleanderfall.example/oleanderfall/internal/transport/quicmesh"
	"oleanderfall.example/oleanderfall/internal/transport/tlsconf"
	"oleanderfall.example/oleanderfall/internal/transport/weightwave"
)

// Module provides and starts the program's duties.
var Module = fx.Module("control",
	fx.Provide(process.NewObjectAPI, newIdentity, newGossip, newMesh, newHub, newDuty),
	confduty.Module, weightwave.Module,
	fx.Invoke(limitResources, serveAdmin, startMesh),
)

const (
	// memoryLimitBytes leaves room below the 32 MB of a control program for what the
	// runtime does not count.
	memoryLimitBytes = 15 << 20
	gcPercent        = 50
	// maxThreads bounds the threads that run Go code at once: the program is idle
	// most of the time, and waking more threads costs more than it gains.
	maxThreads = 2
)

func limitResources() {
	runtime.GOMAXPROCS(min(maxThreads, runtime.GOMAXPROCS(0)))
	debug.SetMemoryLimit(memoryLimitBytes)
	debug.SetGCPercent(gcPercent)
}

const (
	firstTrim    = 10 * time.Second
	trimInterval = time.Minute
)

// trimMemory gives memory that the start or a burst of news took back to the system.
func trimMemory(ctx context.Context) {
	timer := time.NewTimer(firstTrim)
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

// identity is this life of the control program.
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

// lateConf lets the gossip duty, which the mesh needs, reach the configuration duty,
// which needs the mesh.
type lateConf struct{ duty *confduty.Duty }

func newGossip(s *settings.Process, id identity, root *slog.Logger) (*gossip.Duty, *lateConf) {
	late := &lateConf{}
	return gossip.New(gossip.Options{
		Self: members.Record{
			Host: s.Host.ID, Zone: s.Host.Zone, Control: s.Control.Listen, Incarnation: id.incarnation,
		},
		Heartbeat:  s.Control.Heartbeat,
		Log:        logging.Part(root, "gossip"),
		Random:     id.random,
		Generation: func() model.Generation { return late.duty.Generation() },
		Heard:      func(g model.Generation, address string) { late.duty.Heard(g, address) },
	}), late
}

func newMesh(s *settings.Process, keys *tlsconf.Keys, g *gossip.Duty, root *slog.Logger) (*quicmesh.Mesh, error) {
	mesh, err := quicmesh.New(quicmesh.Options{
		Listen:     s.Control.Listen,
		Server:     keys.Server(),
		Client:     keys.Client(),
		Log:        logging.Part(root, "mesh"),
		OnDatagram: g.OnDatagram,
	})
	if err != nil {
		return nil, err
	}
	g.Attach(mesh)
	return mesh, nil
}

func newHub(id identity) *feed.Hub { return feed.NewHub(uint64(id.incarnation)) }

type params struct {
	fx.In

	Settings *settings.Process
	Root     *slog.Logger
	API      *objectapi.Client
	Conf     *confduty.Duty
	Late     *lateConf
	Gossip   *gossip.Duty
	Hub      *feed.Hub
}

func newDuty(p params) *duty {
	p.Late.duty = p.Conf
	plain := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, ReadBufferSize: 2 << 10, WriteBufferSize: 2 << 10}}
	d := &duty{
		settings: p.Settings,
		log:      logging.Part(p.Root, "control"),
		api:      p.API,
		conf:     p.Conf,
		gossip:   p.Gossip,
		hub:      p.Hub,
		started:  time.Now(),
		stopping: map[string]bool{},
		demands:  demandSpread{last: map[string]spreadDemand{}},
	}
	d.observe = observe.New(observe.Options{Host: p.Settings.Host.ID, Client: engineapi.NewClient(plain), View: p.Hub.View, Known: d.knownLoad, Learn: p.Gossip.Learn})
	d.drains = &operatorDrains{api: p.API, view: p.Hub.View, known: d.known, learn: p.Gossip.Learn, log: d.log}
	d.hosts = &hostList{
		base: p.Settings.Platform.HostList, http: plain, timeout: p.Settings.Platform.Timeout,
		chosen: d.isFollower, known: d.known, learn: p.Gossip.Learn, seeds: d.setListed, log: d.log,
	}
	p.Conf.SetMembers(func() []model.Member {
		if v := p.Hub.View(); v != nil {
			return v.Members
		}
		return nil
	})
	return d
}

// startMesh starts the duties after the handlers are registered and ends them before
// the mesh.
func startMesh(lc fx.Lifecycle, mesh *quicmesh.Mesh, d *duty) {
	d.register(mesh)
	lc.Append(fx.Hook{
		OnStart: func(ctx context.Context) error {
			if err := mesh.Start(); err != nil {
				return err
			}
			d.start()
			d.join(ctx)
			d.log.Info("Control program started.", "host", d.settings.Host.ID, "address", mesh.Address())
			return nil
		},
		OnStop: func(ctx context.Context) error {
			d.stop(ctx)
			mesh.Close()
			return nil
		},
	})
}

func serveAdmin(lc fx.Lifecycle, s *settings.Process, reg *prometheus.Registry, h *process.Health, mesh *quicmesh.Mesh, d *duty) {
	registerMetrics(reg, mesh, d)
	h.Add("configuration", func() error {
		if d.conf.Generation() == 0 {
			return errNoConfiguration
		}
		return nil
	})
	process.ServeAdmin(lc, s.Control.Admin, reg, h, nil)
}

func quarantineKey(fingerprint uint64) string { return strconv.FormatUint(fingerprint, 16) }
