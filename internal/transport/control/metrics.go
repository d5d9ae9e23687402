package control

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/zeebo/errs"

	"oleanderfall.example/oleanderfall/internal/state/members"
	"oleanderfall.example/oleanderfall/internal/state/model"
	"oleanderfall.example/oleanderfall/internal/transport/quicmesh"
)

// Error is the class of this package's errors.
var Error = errs.Class("control")

var errNoConfiguration = Error.New("no configuration is in force")

func registerMetrics(reg *prometheus.Registry, mesh *quicmesh.Mesh, s *service) {
	gauge := func(name, help string, f func() float64) {
		reg.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: "oleander", Subsystem: "control", Name: name, Help: help}, f))
	}
	counter := func(name, help string, f func() float64) {
		reg.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Namespace: "oleander", Subsystem: "control", Name: name, Help: help}, f))
	}
	counter("mesh_sent_bytes_total", "Bytes sent to other processes, IP and UDP headers included.", func() float64 { return float64(mesh.Traffic().BytesSent) })
	counter("mesh_received_bytes_total", "Bytes received from other processes, IP and UDP headers included.", func() float64 { return float64(mesh.Traffic().BytesReceived) })
	counter("mesh_sent_packets_total", "Packets sent to other processes.", func() float64 { return float64(mesh.Traffic().PacketsSent) })
	counter("mesh_received_packets_total", "Packets received from other processes.", func() float64 { return float64(mesh.Traffic().PacketsReceived) })
	gauge("mesh_connections", "Connections to other processes.", func() float64 { return float64(mesh.Traffic().Connections) })
	gauge("overlay_links", "Hosts that news goes to.", func() float64 { return float64(s.gossip.State().Links) })
	gauge("observed_endpoints", "Endpoints that this host asks for their load.", func() float64 { return float64(s.observe.Targets()) })
	gauge("drains_in_force", "Drains in force.", func() float64 { return float64(len(currentView(s).Drains)) })
	gauge("generation", "Generation in force.", func() float64 { return float64(s.conf.Generation()) })
	for name, state := range map[string]members.State{"alive": members.Alive, "suspect": members.Suspect, "dead": members.Dead} {
		reg.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: "oleander", Subsystem: "control", Name: "hosts", Help: "Hosts by state.",
			ConstLabels: prometheus.Labels{"state": name},
		}, func() float64 { return float64(countHosts(s, state)) }))
	}
	counter("suspicions_total", "Suspicions of other hosts heard or raised here.", func() float64 { return float64(s.gossip.Suspicions()) })
}

func currentView(s *service) *model.FleetView {
	if v := s.hub.View(); v != nil {
		return v
	}
	return &model.FleetView{}
}

func countHosts(s *service, state members.State) int {
	n := 0
	for _, r := range s.gossip.State().Records {
		if r.State == state {
			n++
		}
	}
	return n
}
