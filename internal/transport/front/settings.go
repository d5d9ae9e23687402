package front

import (
	"errors"
	"fmt"
	"net"
	"time"
)

// Settings are what a host's process is told at its start.
type Settings struct {
	// Host names this host; Zone is its availability zone.
	Host string
	Zone string
	// CallerAddress takes requests and batches, ReadyAddress readiness probes,
	// DirectoryAddress questions for addresses, PeerAddress heartbeats and calls of
	// other hosts. All are IP:PORT.
	CallerAddress    string
	ReadyAddress     string
	DirectoryAddress string
	PeerAddress      string
	// MetricsAddress serves /metrics; it is IP:PORT.
	MetricsAddress string
	// Seeds are the peer addresses of a few hosts, which may be out of date.
	Seeds        []string
	StoreAddress string
	// StoreReads and StoreWrites are the calls a second that all hosts share.
	StoreReads  float64
	StoreWrites float64
	MemoryBytes int64
	// GracePeriod is the time between the request to stop and the kill.
	GracePeriod time.Duration
	// Lease is how far apart two holders' orders to engines must be.
	Lease time.Duration
	// Retention is how long after its submission a batch can be read.
	Retention time.Duration
}

// Check names every setting that the process cannot run with.
func (s *Settings) Check() error {
	var found []error
	if s.Host == "" {
		found = append(found, errors.New("the host has no name"))
	}
	for _, a := range []struct{ name, value string }{
		{"callers", s.CallerAddress}, {"readiness", s.ReadyAddress}, {"directory", s.DirectoryAddress},
		{"hosts", s.PeerAddress}, {"the store", s.StoreAddress}, {"metrics", s.MetricsAddress},
	} {
		if _, _, err := net.SplitHostPort(a.value); err != nil {
			found = append(found, fmt.Errorf("address for %s: %w", a.name, err))
		}
	}
	for _, d := range []struct {
		name  string
		value time.Duration
	}{{"grace period", s.GracePeriod}, {"lease", s.Lease}, {"retention", s.Retention}} {
		if d.value <= 0 {
			found = append(found, fmt.Errorf("%s: must be above zero", d.name))
		}
	}
	return errors.Join(found...)
}
