// Package catalog holds what a host knows of the deployment: the configuration in
// force, with its routes and services, and the endpoints that serve them.
//
// Invariant: a configuration is replaced only by one with a higher generation, and
// an endpoint is told apart from its successors by its incarnation.
package catalog

import (
	"strings"
	"time"
)

// Kind says what may be repeated of a route's requests.
type Kind int

// The kinds of routes.
const (
	// KindUnsafe requests run at most once for each attempt of a caller.
	KindUnsafe Kind = iota
	// KindSafe requests may run more than once.
	KindSafe
	// KindStreaming requests are answered by a series of events.
	KindStreaming
	// KindRollout routes take batches of samples for trainers.
	KindRollout
)

// Target is a service that a route sends a share of its requests to.
type Target struct {
	Service string
	// Weight is the share, relative to the sum of the route's weights.
	Weight int
}

// Route selects requests by host and path prefix and says how they are served.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       Kind
	// Resumable streams may be continued at another endpoint.
	Resumable bool
	// SingleVersion samples must be generated under exactly one weight version.
	SingleVersion bool
	// Timeout bounds a request as the operator wants it; zero is no bound.
	Timeout time.Duration
	// Objective is the latency within which an answer has its full value.
	Objective time.Duration
	// ResultsDue is how long after its submission a batch's results are of full value.
	ResultsDue time.Duration
	// SampleTTL is how long after its submission a sample of a batch must be tried.
	SampleTTL time.Duration
	// Priority is the route's rank; zero is the most urgent.
	Priority int
	// MaxAttempts bounds the endpoints that one attempt of a caller may be sent to.
	MaxAttempts int
	Targets     []Target
}

// Serves reports whether the route sends requests to service.
func (r *Route) Serves(service string) bool {
	for _, t := range r.Targets {
		if t.Service == service {
			return true
		}
	}
	return false
}

// Pick returns the target service for a random number.
func (r *Route) Pick(random uint64) string {
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
	at := int(random % uint64(total))
	for _, t := range r.Targets {
		at -= max(t.Weight, 0)
		if at < 0 {
			return t.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}

// Service is a set of endpoints that serve the same requests.
type Service struct {
	Name       string
	HealthPath string
	// ConnectionLimit is the number of connections that an endpoint takes from all
	// hosts together.
	ConnectionLimit int
	// Models are those that the service's engines generate with.
	Models []string
}

// Limits bound what a caller may send.
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
}

// Match returns the route with the longest prefix of path among those of host.
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

// Endpoint is one server as it last reported itself.
type Endpoint struct {
	ID      string
	Service string
	// Address is IP:PORT.
	Address string
	Zone    string
	Slots   int
	// Draining endpoints get no new work.
	Draining bool
	// Versions are the weight versions of the models that the endpoint serves.
	Versions map[string]int
	// Incarnation is the time of the endpoint's start in Unix milliseconds, zero when
	// it was not reported.
	Incarnation int64
}

// Same reports whether two reports are of one incarnation at one address.
func (e *Endpoint) Same(other *Endpoint) bool {
	return e.ID == other.ID && e.Incarnation == other.Incarnation && e.Address == other.Address && e.Service == other.Service
}
