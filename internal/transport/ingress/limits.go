package ingress

import (
	"cmp"
	"time"
)

// Limits bounds what the clients of a process hold. Sizes are in bytes.
type Limits struct {
	// Connections bounds the open connections of all listeners, Outbound is the number of descriptors that are left for
	// connections to others.
	Connections, Outbound int
	// HeadMemory bounds heads and small bodies, BodyMemory large bodies, and AnswerMemory large answers. A large
	// body or answer that is alone is always allowed.
	HeadMemory, BodyMemory, AnswerMemory int64
}

const (
	// defaultMemoryBytes and defaultDescriptors stand for what is not known.
	defaultMemoryBytes = 256 << 20
	defaultDescriptors = 4096
	// fileDescriptors are kept for files.
	fileDescriptors = 200
	// inboundShare is the share of the other descriptors for clients; endpoints, peers and the store need the rest.
	inboundShare = 0.75
	// connMemoryShare is the share of the memory for connections, each of which takes connMemoryBytes.
	connMemoryShare = 0.2
	connMemoryBytes = 40 << 10
	// The collector, the state of the process and everything else need the memory beyond these shares.
	headMemoryShare   = 0.08
	bodyMemoryShare   = 0.25
	answerMemoryShare = 0.1
	// minConnections is allowed in any case.
	minConnections = 16
)

// DefaultLimits returns the limits of a process with the given memory in bytes and number of file descriptors,
// either of which may be zero if it is not known.
func DefaultLimits(memoryBytes, descriptors int64) Limits {
	memory := float64(cmp.Or(max(memoryBytes, 0), defaultMemoryBytes))
	sockets := float64(cmp.Or(max(descriptors, 0), defaultDescriptors) - fileDescriptors)
	return Limits{
		Connections:  int(max(minConnections, min(inboundShare*sockets, connMemoryShare*memory/connMemoryBytes))),
		Outbound:     int(max(minConnections, (1-inboundShare)*sockets)),
		HeadMemory:   int64(headMemoryShare * memory),
		BodyMemory:   int64(bodyMemoryShare * memory),
		AnswerMemory: int64(answerMemoryShare * memory),
	}
}

// Or returns l with its zero values replaced by those of other.
func (l Limits) Or(other Limits) Limits {
	return Limits{
		Connections:  cmp.Or(l.Connections, other.Connections),
		Outbound:     cmp.Or(l.Outbound, other.Outbound),
		HeadMemory:   cmp.Or(l.HeadMemory, other.HeadMemory),
		BodyMemory:   cmp.Or(l.BodyMemory, other.BodyMemory),
		AnswerMemory: cmp.Or(l.AnswerMemory, other.AnswerMemory),
	}
}

// HeadLimits bounds the heads of requests at a listener, and the time without a request.
type HeadLimits struct {
	// MaxBytes bounds the length of a head.
	MaxBytes int
	// Timeout bounds the time from the first byte of a head to its end, IdleTimeout the time without a request.
	Timeout, IdleTimeout time.Duration
}

// DefaultHeadLimits are in force at listeners without limits of their own.
var DefaultHeadLimits = HeadLimits{MaxBytes: 64 << 10, Timeout: 10 * time.Second, IdleTimeout: 45 * time.Second}

// Or returns l with its zero values replaced by those of other.
func (l HeadLimits) Or(other HeadLimits) HeadLimits {
	return HeadLimits{
		MaxBytes:    cmp.Or(l.MaxBytes, other.MaxBytes),
		Timeout:     cmp.Or(l.Timeout, other.Timeout),
		IdleTimeout: cmp.Or(l.IdleTimeout, other.IdleTimeout),
	}
}
