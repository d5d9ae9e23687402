// Package storereads schedules the reads of the store by which all hosts learn of changes. The reader, which ranks
// first, reads for all hosts; the next hosts by rank read when the last read is too old, because the reader is lost,
// frozen, cut off, or gets no answers.
//
// Invariant: the age of the state counts from exact reads, which return all that the store confirmed before they were
// sent. A stale read may return what is seconds old. It may bring a change sooner, but says nothing of the age.
package storereads

import (
	"time"

	"oleanderfall.example/oleanderfall/internal/coordination/presence"
)

const (
	// Interval is the time between reads by the reader. Endpoints that drain must stop receiving new work within
	// seconds. A watch is not sufficient for that, because it may deliver no events for seconds after the store has
	// dropped its history.
	Interval = 450 * time.Millisecond
	// EndpointInterval is the time between its exact reads of the endpoints. The reads between them are stale ones,
	// which usually are current and cost the store a tenth.
	EndpointInterval = 2 * Interval
	// CheckInterval is the interval at which a host checks whether it should read.
	CheckInterval = 50 * time.Millisecond
	// DefaultBound is the time within which a confirmed configuration must be in force if the settings name none.
	DefaultBound = 2 * time.Second
	// MaxReaders is the number of first-ranked hosts that may read the store, so that the bound holds if all but the
	// last of them are lost at once. When the store returns after an outage, the state is old at every host, and
	// hundreds must not read at once.
	MaxReaders = 6

	// maxConfigInterval bounds the time between exact reads of the configuration where the bound would allow more.
	maxConfigInterval = 4 * Interval
	// rankDelay is the time between the reads of two hosts that follow each other by rank, so that the later one
	// usually learns of the read of the earlier one.
	rankDelay = 25 * time.Millisecond
	// readTime is the time of an exact read.
	readTime = 150 * time.Millisecond
	// spreadTime is the time until all hosts have fetched what one has read: the next heartbeat, which in a fleet with
	// hubs may be a periodic one, and the call.
	spreadTime = presence.Interval + 100*time.Millisecond
	// announceTime is the time until the next reader knows of an exact read, which the reader announces at once.
	announceTime = 200 * time.Millisecond
	// minConfigAge is the least age from which the next host reads. The bound does not hold if it leaves less.
	minConfigAge = Interval + announceTime
)

// Schedule says when a host reads.
type Schedule struct {
	// ConfigInterval is the time between exact reads of the configuration by the reader.
	ConfigInterval time.Duration
	// maxConfigAge and maxEndpointAge are the ages from which the host at rank zero would read, if it were not the
	// reader.
	maxConfigAge, maxEndpointAge time.Duration
}

// New returns the schedule by which a confirmed configuration is in force everywhere within a bound, whenever the
// reader is lost; zero is DefaultBound.
func New(bound time.Duration) Schedule {
	if bound <= 0 {
		bound = DefaultBound
	}
	s := Schedule{maxConfigAge: maxAge(bound), maxEndpointAge: maxAge(DefaultBound)}
	// An exact read that is not late must not make the next host read as well.
	s.ConfigInterval = min((s.maxConfigAge + rankDelay - announceTime).Truncate(Interval), maxConfigInterval)
	return s
}

// maxAge returns the age of the last exact read that leaves the rest of a bound for the last reader to notice, read and
// spread a change, with a margin of a twentieth.
func maxAge(bound time.Duration) time.Duration {
	return max(bound-bound/20-(MaxReaders-1)*rankDelay-CheckInterval-readTime-spreadTime, minConfigAge)
}

// Known is what a host knows of the age of its state, as boot times.
type Known struct {
	// ConfigAt and EndpointsAt are when the exact reads were sent of which this host has the result or a newer one.
	// Zero is never.
	ConfigAt, EndpointsAt time.Duration
	// StartedAt is when this host started. It first waits for the state of its peers.
	StartedAt time.Duration
}

// Due reports whether the host at a rank should read now, a boot time. A host that is stopping has a negative rank and
// reads last. readAt is when the host last read.
func (s Schedule) Due(now time.Duration, rank int, readAt time.Duration, k Known) bool {
	switch {
	case rank >= MaxReaders || readAt > 0 && now-readAt < Interval-CheckInterval/2:
		return false
	case rank == 0:
		return true
	case rank < 0:
		rank = MaxReaders
	}
	delay := time.Duration(rank) * rankDelay
	return now-max(k.ConfigAt, k.StartedAt) > s.maxConfigAge+delay || now-max(k.EndpointsAt, k.StartedAt) > s.maxEndpointAge+delay
}

// ConfigDue reports whether an exact read now, a boot time, should include the configuration. proving is set if the
// read serves as a proof that no key was taken away.
func (s Schedule) ConfigDue(now time.Duration, k Known, proving bool) bool {
	interval := s.ConfigInterval
	if proving {
		interval = min(interval, EndpointInterval)
	}
	return now-k.ConfigAt >= interval-CheckInterval
}
