package front

import (
	"context"
	"errors"
	"slices"
	"time"

	"oleanderfall.example/oleanderfall/internal/protocol/objectapi"
	"oleanderfall.example/oleanderfall/internal/state/batches"
)

const (
	// hostListInterval is the time between listings of the host records, which find hosts
	// that are unknown to all peers.
	hostListInterval = 10 * time.Second
	// hostListRetryDelay replaces hostListInterval after a failed call to the store, and while
	// this host knows no peers.
	hostListRetryDelay = time.Second
	// discoveryDelay is how long a new process waits for answers of its seeds before it lists
	// the host records. registrationDelay is how long a host must have been a hub before it
	// writes its record: right after their start all hosts regard themselves as hubs.
	discoveryDelay    = 500 * time.Millisecond
	registrationDelay = 2 * time.Second
	// hostPrefix is the key prefix of the host records.
	hostPrefix = "hosts/"
	// hostListTask is the task name for the succession order of the hosts that list the host
	// records.
	hostListTask = "hosts"
)

// hostRecord is the stored object in which a hub publishes its address.
type hostRecord struct {
	PeerAddress string `json:"peer_address"`
}

// discover lists the host records while this host knows no peers, and periodically at one
// host. It registers this host in the store if it is a hub or knows no peers.
func (m *Membership) discover(ctx context.Context) {
	registered := false
	hubSince := time.Time{}
	listedAt := time.Now()
	pause := discoveryDelay
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		pause = hostListRetryDelay
		alone := m.peers.Count() == 0
		if !m.peers.IsHub() {
			hubSince = time.Time{}
		} else if hubSince.IsZero() {
			hubSince = time.Now()
		}
		if !registered && (alone || !hubSince.IsZero() && time.Since(hubSince) > registrationDelay) {
			registered = m.registerHost(ctx)
		}
		if alone || time.Since(listedAt) > hostListInterval && m.rank(hostListTask) == 0 {
			if m.listHosts(ctx) {
				listedAt = time.Now()
			}
		}
	}
}

// registerHost writes this host's record to the store unless it is already there. It reports
// whether the record is up to date.
func (m *Membership) registerHost(ctx context.Context) bool {
	value, err := batches.Encode(hostRecord{PeerAddress: m.settings.PeerAddress})
	if err != nil {
		m.log.Error("Failed to encode own host record", "err", err)
		return false
	}
	key := hostPrefix + m.settings.Host
	current, err := m.store.Get(ctx, key)
	switch {
	case err == nil && string(current.Value) == string(value):
		return true
	case err != nil && !errors.Is(err, objectapi.ErrNotFound):
		m.log.Warn("Failed to read own host record", "err", err)
		return false
	}
	if _, err := m.store.Put(ctx, key, value, current.Version); err != nil {
		m.log.Warn("Failed to write own host record", "err", err)
		return false
	}
	return true
}

// listHosts reads the host records, adds them to the seeds and requests replies from all of
// them. It reports whether the records could be read.
func (m *Membership) listHosts(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	page, err := m.stale.List(ctx, hostPrefix, "", 0)
	if err != nil {
		m.log.Warn("Failed to list host records", "err", err)
		return false
	}
	var found []string
	for _, o := range page.Objects {
		var r hostRecord
		if err := batches.Decode(o.Value, &r); err != nil || r.PeerAddress == "" {
			m.log.Warn("Invalid host record ignored", "key", o.Key, "err", err)
			continue
		}
		found = append(found, r.PeerAddress)
	}
	if len(found) > 0 {
		seeds := append(slices.Clone(m.settings.Seeds), found...)
		m.seeds.Store(&seeds)
	}
	m.peers.mu.Lock()
	known := m.peers.table.Addresses()
	m.peers.mu.Unlock()
	found = slices.DeleteFunc(found, func(a string) bool { return slices.Contains(known, a) })
	m.requestReplies(time.Now(), found)
	return true
}
