package front

import (
	"errors"
	"fmt"
	"net"
	"time"

	"oleanderfall.example/oleanderfall/internal/transport/ingress"
)

// Settings configures a host's process.
type Settings struct {
	// Host is the name of this host, Zone its availability zone.
	Host string
	Zone string
	// CallerAddress serves requests and batches, ReadyAddress readiness probes,
	// DirectoryAddress the list of host addresses, PeerAddress heartbeats and calls from
	// other hosts. All have the form IP:PORT.
	CallerAddress    string
	ReadyAddress     string
	DirectoryAddress string
	PeerAddress      string
	// MetricsAddress serves /metrics, in the form IP:PORT.
	MetricsAddress string
	// Seeds are the peer addresses of a few hosts. They may be outdated.
	Seeds []string
	// StoreAddress is the address of the platform's object store, in the form IP:PORT.
	StoreAddress string
	// StoreReads and StoreWrites are the limits on store calls per second, shared by all
	// hosts.
	StoreReads  float64
	StoreWrites float64
	// MemoryBytes is the memory of the host, Descriptors the number of file descriptors of its process. Either is
	// zero if it is not set.
	MemoryBytes int64
	Descriptors int64
	// Ingress has the limits on what clients hold, zero for those that follow from MemoryBytes and Descriptors.
	Ingress ingress.Limits
	// Capacity is the host's share of processor time, in cores; zero is unknown.
	Capacity float64
	// FirstStart is set if the fleet has never run before, so that nothing is stored.
	FirstStart bool
	// FullMeshHosts is the number of hosts up to which each sends heartbeats to all others;
	// zero is the default.
	FullMeshHosts int
	// RefreshInterval is the interval at which endpoints refresh their entries in the store; zero is
	// the default.
	RefreshInterval time.Duration
	// GracePeriod is the time between the platform's stop signal and its kill signal.
	GracePeriod time.Duration
	// Lease is the minimum time between the last order that one holder of the weights
	// lease sends to engines and the first order of the next holder.
	Lease time.Duration
	// Retention is how long a batch can be read after its submission.
	Retention time.Duration
	// ConfigBound is the time after the confirmation of a configuration within which it must be in force at all hosts;
	// zero is the default.
	ConfigBound time.Duration
	// RevocationBound is the time after the confirmation of a configuration from which no key that
	// it took away may be admitted; zero is no bound.
	RevocationBound time.Duration
	// OperatorAPI is the API through which one host reports usage and orders endpoints.
	OperatorAPI OperatorAPI
	// FencingRequired is set if endpoints and the operator's API refuse calls with a lower fencing
	// token than they have seen.
	FencingRequired bool
	// UsageWindow is the length of the time windows of which usage is reported, UsageDue the time
	// after its end at which a window's report is due, and UsageTolerance its allowed relative error.
	UsageWindow    time.Duration
	UsageDue       time.Duration
	UsageTolerance float64
}

// OperatorAPI configures the calls to the operator's API.
type OperatorAPI struct {
	// Address has the form IP:PORT. It is empty if there is no such API.
	Address string
	// CallsPerSecond is the limit on calls, shared by all hosts; zero is no limit.
	CallsPerSecond float64
	// ReportsUsage and ScalesServices say which duties this system has.
	ReportsUsage   bool
	ScalesServices bool
}

// Check checks the host name, the addresses and the durations. It returns an error that lists
// every invalid one, or nil. Seeds are not checked.
func (s *Settings) Check() error {
	var errs []error
	if s.Host == "" {
		errs = append(errs, errors.New("host name is missing"))
	}
	for _, a := range []struct{ name, value string }{
		{"callers", s.CallerAddress}, {"readiness", s.ReadyAddress}, {"directory", s.DirectoryAddress},
		{"hosts", s.PeerAddress}, {"the store", s.StoreAddress}, {"metrics", s.MetricsAddress},
	} {
		if _, _, err := net.SplitHostPort(a.value); err != nil {
			errs = append(errs, fmt.Errorf("address for %s: %w", a.name, err))
		}
	}
	for _, d := range []struct {
		name  string
		value time.Duration
	}{{"grace period", s.GracePeriod}, {"lease", s.Lease}, {"retention", s.Retention}} {
		if d.value <= 0 {
			errs = append(errs, fmt.Errorf("%s: must be positive", d.name))
		}
	}
	return errors.Join(errs...)
}
