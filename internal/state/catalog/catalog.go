// Package catalog defines the configuration in force, with its routes and services, and the
// endpoints that serve them, for the program oleanderfall. The other programs use the
// configuration in package model instead.
//
// Invariant: a configuration is replaced only by one with a higher generation, and an endpoint
// is distinguished from its successors by its incarnation.
package catalog

import (
	"strings"
	"time"
)

// RouteKind determines whether a route's requests may be repeated and how they are answered.
type RouteKind int

// The route kinds.
const (
	// KindUnsafe requests run at most once. A caller's retry is a new request.
	KindUnsafe RouteKind = iota
	// KindSafe requests may run more than once.
	KindSafe
	// KindStreaming requests are answered with a stream of events.
	KindStreaming
	// KindRollout routes accept batches of samples from trainers.
	KindRollout
)

// Target is a service that receives a share of a route's requests.
type Target struct {
	Service string
	// Weight is the target's share, relative to the sum of the route's weights.
	Weight int
}

// Route selects requests by host and path prefix and defines how they are served.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       RouteKind
	// Resumable reports whether a stream may be continued at another endpoint.
	Resumable bool
	// SingleVersion requires that a sample is generated under exactly one weight version.
	SingleVersion bool
	// Timeout is the operator's limit on the duration of a request; zero means no limit.
	Timeout time.Duration
	// Objective is the latency up to which an answer has its full value.
	Objective time.Duration
	// ResultsObjective is the time after a batch's submission up to which its results have their
	// full value.
	ResultsObjective time.Duration
	// SampleTTL is the time after a batch's submission during which its samples must be
	// attempted. Unfinished samples are then abandoned.
	SampleTTL time.Duration
	// Urgency is the priority of the route's requests; zero is the most urgent, unlike in
	// model.Priority, where a larger value is served first.
	Urgency int
	// MaxAttempts is the maximum number of times that a request is sent to endpoints. For a
	// sample of a batch it is the number of failures after which the sample is abandoned. A
	// caller's retry is a new request.
	MaxAttempts int
	Targets     []Target
	// Public routes serve requests without a key. It has no effect in a configuration without
	// teams.
	Public bool
}

// Serves reports whether service is a target of the route.
func (r *Route) Serves(service string) bool {
	for _, t := range r.Targets {
		if t.Service == service {
			return true
		}
	}
	return false
}

// PickService returns a target service, selected by weight with a uniformly random number. If all
// weights are zero it returns the first target, and without targets an empty string.
func (r *Route) PickService(random uint64) string {
	total := 0
	for _, t := range r.Targets {
		total += max(t.Weight, 0)
	}
	if total == 0 {
		if len(r.Targets) == 0 {
			return ""
		}
		return r.Targets[0].Service
	}
	offset := int(random % uint64(total))
	for _, t := range r.Targets {
		offset -= max(t.Weight, 0)
		if offset < 0 {
			return t.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}

// Service is a set of endpoints that serve the same requests.
type Service struct {
	Name       string
	HealthPath string
	// ConnectionLimit is the maximum number of connections that an endpoint accepts from
	// all hosts together.
	ConnectionLimit int
	// Models lists the models of the service's engines.
	Models []string
	// Scaling bounds the number of endpoints that this system orders for the service. It is nil
	// if others decide the number.
	Scaling *Scaling
}

// Scaling bounds the number of a service's endpoints in each availability zone.
type Scaling struct {
	// Min and Max hold for each zone, and for spot and other endpoints together.
	Min, Max int
	// BootTime is the time from an order to the first request that a new endpoint serves.
	BootTime time.Duration
	// SpotPrice is the price of a spot endpoint relative to that of another endpoint of its zone.
	SpotPrice float64
	// ZonePrices is the price of an endpoint per second, by zone.
	ZonePrices map[string]float64
}

// Team is a group of callers that share keys.
type Team struct {
	Name string
	Keys []string
	// Urgency is the priority of the team's requests; it takes precedence over that of the route.
	// It is nil if the team has none.
	Urgency *int
}

// Limits bounds the requests that a caller may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Config is one accepted configuration.
type Config struct {
	Generation uint64
	Routes     []Route
	Services   []Service
	Limits     Limits
	// Teams is empty if requests need no keys.
	Teams []Team
}

// Match returns the route of host with the longest prefix of path, nil if there is none.
func (c *Config) Match(host, path string) *Route {
	var best *Route
	for i := range c.Routes {
		r := &c.Routes[i]
		if r.Host != host || !strings.HasPrefix(path, r.PathPrefix) {
			continue
		}
		if best == nil || len(r.PathPrefix) > len(best.PathPrefix) {
			best = r
		}
	}
	return best
}

// Endpoint is the last reported state of a server.
type Endpoint struct {
	ID      string
	Service string
	// Address has the form IP:PORT.
	Address string
	Zone    string
	Slots   int
	// Draining reports that the endpoint must receive no new requests.
	Draining bool
	// Versions maps each model that the endpoint serves to its weight version.
	Versions map[string]int
	// Software is the version of the endpoint's software, which is independent of the weight
	// versions. A stream can be continued only at the version that began it.
	Software string
	// Incarnation is the endpoint's start time in Unix milliseconds, zero if it was not
	// reported.
	Incarnation int64
	// Spot endpoints cost less, and the platform may take back all of a zone at once.
	Spot bool `json:",omitempty"`
}

// SameInstance reports whether e and other have the same ID, incarnation, address and service.
func (e *Endpoint) SameInstance(other *Endpoint) bool {
	return e.ID == other.ID && e.Incarnation == other.Incarnation && e.Address == other.Address && e.Service == other.Service
}
