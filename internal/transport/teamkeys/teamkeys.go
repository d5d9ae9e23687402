// Package teamkeys admits requests by the key of their team.
//
// Invariant: no key reaches a log line, a metric or an error of this package, and a refused request
// leaves nothing behind but counts.
package teamkeys

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/time/rate"

	"oleanderfall.example/oleanderfall/internal/coordination/teams"
	"oleanderfall.example/oleanderfall/internal/protocol/resultcode"
	"oleanderfall.example/oleanderfall/internal/state/catalog"
)

const (
	// refusalLogInterval is the least time between two log lines about refused requests, of which
	// there may be thousands a second.
	refusalLogInterval = 10 * time.Second
	// maxLoggedFaults bounds the faults of one configuration that are logged.
	maxLoggedFaults = 20
	// minRetryAfter is the minimum delay for a caller that was refused because the configuration
	// is not known or not confirmed. A random time of the same length is added.
	minRetryAfter = 130 * time.Millisecond
)

// The outcomes of checks in the metric.
const (
	outcomeAdmitted    = "admitted"
	outcomePublic      = "public"
	outcomeNoKey       = "no_key"
	outcomeMalformed   = "malformed"
	outcomeUnknown     = "unknown"
	outcomeUnconfirmed = "unconfirmed"
)

// Credential is the key that a request presents.
type Credential struct {
	key       string
	malformed bool
}

// Parse returns the credential in the values of a request's Authorization headers, each of the form
// "SCHEME KEY". Several headers are malformed, even equal ones: which of them counts would depend on
// the order in which proxies add them.
func Parse(authorization []string, scheme string) Credential {
	if len(authorization) == 0 {
		return Credential{}
	}
	got, key, _ := strings.Cut(authorization[0], " ")
	key = strings.Trim(key, " \t")
	if len(authorization) > 1 || !strings.EqualFold(got, scheme) || key == "" {
		return Credential{malformed: true}
	}
	return Credential{key: key}
}

// Admission says on whose behalf an admitted request runs.
type Admission struct {
	// Enforced is set if the configuration has teams. The request's credentials must then not
	// reach an endpoint.
	Enforced bool
	// Team is the team's name. It is empty if the configuration has no teams, and for a request on a
	// public route without a key.
	Team string
}

// Checker admits requests. It is safe for concurrent use.
type Checker struct {
	// Fresh returns nil if the configuration in force is confirmed recently enough to decide about
	// a key. Otherwise it may wait up to the given time for a confirmation. Its error says that the
	// request did not run. It is called for each request whose key decides about it, after the
	// request was read. If it is nil, a configuration never becomes too old.
	Fresh func(ctx context.Context, wait time.Duration) error

	config func() *catalog.Config
	log    *slog.Logger
	checks *prometheus.CounterVec

	// current is the index of the configuration that was last in force; mu serializes its updates.
	current atomic.Pointer[indexed]
	mu      sync.Mutex

	refused   atomic.Int64
	logRefuse rate.Sometimes
}

type indexed struct {
	config *catalog.Config
	index  *teams.Index
}

// New returns a checker. config returns the configuration in force, nil before the first one.
func New(config func() *catalog.Config, log *slog.Logger, reg prometheus.Registerer) *Checker {
	c := &Checker{config: config, log: log, logRefuse: rate.Sometimes{Interval: refusalLogInterval},
		checks: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "oleander_front_key_checks_total", Help: "Requests of deployments with teams, by the outcome of the check of their key.",
		}, []string{"outcome"})}
	reg.MustRegister(c.checks)
	return c
}

// indexOf returns the index of the configuration in force, nil if there is none. It is built once for each
// configuration.
func (c *Checker) indexOf() *indexed {
	if now := c.current.Load(); now != nil && now.config == c.config() {
		return now
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	config, now := c.config(), c.current.Load()
	if config == nil || now != nil && now.config == config {
		return now
	}
	next := &indexed{config: config, index: teams.NewIndex(config.Teams)}
	c.current.Store(next)
	if faults := next.index.Faults(); len(faults) > 0 {
		c.log.Warn("Teams of the configuration have faults", "generation", config.Generation, "count", len(faults),
			"faults", faults[:min(len(faults), maxLoggedFaults)])
	}
	if len(config.Teams) > 0 {
		c.log.Info("Keys in force", "generation", config.Generation, "teams", len(config.Teams), "keys", next.index.Keys())
	}
	return next
}

// Admit decides whether a request may run, after it was read. public is set for a route that serves
// requests without a key. wait bounds the wait for a confirmation of the configuration. The error has a result
// code, and says that the request did not run.
func (c *Checker) Admit(ctx context.Context, credential Credential, public bool, wait time.Duration) (Admission, error) {
	now := c.indexOf()
	if now == nil {
		return Admission{}, notKnown("no configuration is known yet")
	}
	if len(now.config.Teams) == 0 {
		return Admission{}, nil
	}
	_, known := now.index.Find(credential.key)
	switch {
	case public && !known:
		return c.admit(outcomePublic, "")
	case credential.malformed:
		return c.refuse(outcomeMalformed, "the Authorization header has not the form that is required, or occurs more than once")
	case credential.key == "":
		return c.refuse(outcomeNoKey, "the request has no key")
	}
	// An unknown key is refused only by a recent configuration as well: an older one may lack a key
	// that was added since.
	if c.Fresh != nil {
		if err := c.Fresh(ctx, wait); err != nil {
			c.checks.WithLabelValues(outcomeUnconfirmed).Inc()
			return Admission{}, withCode(err)
		}
		now = c.indexOf() // the confirmation may have brought a newer one
		if len(now.config.Teams) == 0 {
			return Admission{}, nil
		}
	}
	team, known := now.index.Find(credential.key)
	switch {
	case known:
		return c.admit(outcomeAdmitted, team.Name)
	case public:
		return c.admit(outcomePublic, "")
	}
	return c.refuse(outcomeUnknown, "the key is not known")
}

func (c *Checker) admit(outcome, team string) (Admission, error) {
	c.checks.WithLabelValues(outcome).Inc()
	return Admission{Enforced: true, Team: team}, nil
}

// refuse counts a refused request, and logs how many there were if the last such line is old enough.
func (c *Checker) refuse(outcome, detail string) (Admission, error) {
	c.checks.WithLabelValues(outcome).Inc()
	c.refused.Add(1)
	c.logRefuse.Do(func() {
		c.log.Info("Requests without a valid key refused", "count", c.refused.Swap(0), "last", outcome)
	})
	return Admission{}, &resultcode.Error{Code: resultcode.UnknownKey, Detail: detail}
}

// Urgency returns the urgency of a team's requests on a route. A team that the configuration in force lacks,
// and no team, have that of the route.
func (c *Checker) Urgency(team string, route *catalog.Route) int {
	if team == "" {
		return route.Urgency
	}
	if now := c.indexOf(); now != nil {
		return now.index.Urgency(team, route)
	}
	return route.Urgency
}

func notKnown(detail string) error {
	return &resultcode.Error{Code: resultcode.StorageOutage, Detail: detail,
		RetryAfterMillis: (minRetryAfter + rand.N(minRetryAfter)).Milliseconds()}
}

// withCode returns err if it has a result code, else an error that has one.
func withCode(err error) error {
	var coded *resultcode.Error
	if errors.As(err, &coded) {
		return err
	}
	return notKnown("the configuration in force is not confirmed: " + err.Error())
}
