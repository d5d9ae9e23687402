package ingress

import (
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/time/rate"
)

const (
	// reservedShare is the share of the connections of which each listener has some for itself: a crowd at one
	// listener does not disconnect the clients of another.
	reservedShare = 0.06
	// bodyStall and answerStall are the times without progress after which a client loses the room of its large
	// body or answer to others. Fast clients make progress within milliseconds.
	bodyStall   = time.Second
	answerStall = 500 * time.Millisecond
	// answerPoll is the time between two checks for room while an answer waits for it.
	answerPoll = 20 * time.Millisecond
	// admitWait bounds the wait of a new connection while handlers work on all others, admitPoll is the time between
	// two checks. Most requests end within milliseconds.
	admitWait = time.Second
	admitPoll = 5 * time.Millisecond
	// busyShare is the share of the connections from which each serves one request only, so that they go around.
	busyShare = 0.9
	// logInterval bounds the log lines of each cause.
	logInterval = 10 * time.Second
)

// pool is a resource of bytes.
type pool int

const (
	heads pool = iota
	bodies
	answers
	poolCount
)

var poolNames = [poolCount]string{"heads", "bodies", "answers"}

// ErrNoRoom means that no memory was left for a request and that no client could be disconnected for it.
var ErrNoRoom = errors.New("other requests take the memory for them")

// cause is a reason for which a client was refused or disconnected.
type cause string

const (
	causeConnections cause = "connections"
	causeHeadBytes   cause = "head_bytes"
	causeHeadTime    cause = "head_time"
	causeHeadMemory  cause = "head_memory"
	causeBodyMemory  cause = "body_memory"
	causeBodyTime    cause = "body_time"
	causeAnswers     cause = "answer_memory"
	causeAnswerTime  cause = "answer_time"
)

var causes = []cause{causeConnections, causeHeadBytes, causeHeadTime, causeHeadMemory, causeBodyMemory, causeBodyTime, causeAnswers, causeAnswerTime}

// Limiter owns what clients hold at the listeners of a process. It is safe for concurrent use.
type Limiter struct {
	limits Limits
	log    *slog.Logger
	// logging bounds the log lines of each cause.
	logging map[cause]*rate.Sometimes
	refused *prometheus.CounterVec

	mu    sync.Mutex
	conns map[*Conn]struct{}
	// perListener counts the connections of each listener.
	perListener map[string]int
	used        [poolCount]int64
}

// NewLimiter returns a limiter that registers its metrics with reg.
func NewLimiter(limits Limits, reg prometheus.Registerer, log *slog.Logger) *Limiter {
	l := &Limiter{limits: limits, log: log, conns: map[*Conn]struct{}{}, perListener: map[string]int{}, logging: map[cause]*rate.Sometimes{},
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "oleander_ingress_refused_total", Help: "Clients that were refused or disconnected, by cause.",
		}, []string{"cause"})}
	for _, c := range causes {
		l.logging[c] = &rate.Sometimes{Interval: logInterval}
		l.refused.WithLabelValues(string(c))
	}
	gauge := func(name, help string, labels prometheus.Labels, value func() float64) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help, ConstLabels: labels}, func() float64 {
			l.mu.Lock()
			defer l.mu.Unlock()
			return value()
		})
	}
	reg.MustRegister(l.refused, gauge("oleander_ingress_connections", "Open connections of clients.", nil, func() float64 { return float64(len(l.conns)) }))
	for p, name := range poolNames {
		reg.MustRegister(gauge("oleander_ingress_held_bytes", "Memory that requests and answers of clients take.", prometheus.Labels{"kind": name},
			func() float64 { return float64(l.used[p]) }))
	}
	return l
}

// Limits returns the limits in force.
func (l *Limiter) Limits() Limits { return l.limits }

// count counts and logs a client that is refused or disconnected.
func (l *Limiter) count(why cause, listener string) {
	l.refused.WithLabelValues(string(why)).Inc()
	l.logging[why].Do(func() {
		l.mu.Lock()
		connections, used := len(l.conns), l.used
		l.mu.Unlock()
		l.log.Warn("Client refused or disconnected", "cause", string(why), "listener", listener, "connections", connections,
			"head_bytes", used[heads], "body_bytes", used[bodies], "answer_bytes", used[answers])
	})
}

// admit adds a connection. If there are too many, it disconnects the one without progress for longest. It returns false
// if there is none for a time.
func (l *Limiter) admit(c *Conn) bool {
	for end := time.Now().Add(admitWait); ; time.Sleep(admitPoll) {
		if l.tryAdmit(c) {
			return true
		}
		if time.Now().After(end) {
			l.count(causeConnections, c.listener)
			return false
		}
	}
}

func (l *Limiter) tryAdmit(c *Conn) bool {
	l.mu.Lock()
	var victim *Conn
	if len(l.conns) >= l.limits.Connections {
		victim = l.victim(func(v *Conn) bool {
			return v.listener == c.listener || l.perListener[v.listener] > int(reservedShare*float64(l.limits.Connections))
		})
		if victim == nil {
			l.mu.Unlock()
			return false
		}
		l.remove(victim)
	}
	l.conns[c] = struct{}{}
	l.perListener[c.listener]++
	l.mu.Unlock()
	l.disconnect(victim, causeConnections)
	return true
}

// busy reports whether almost all connections are in use.
func (l *Limiter) busy() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return float64(len(l.conns)) > busyShare*float64(l.limits.Connections)
}

// victim returns the connection that has waited longest for its client among those that may be closed, or nil.
// l.mu must be held.
func (l *Limiter) victim(mayClose func(*Conn) bool) (oldest *Conn) {
	for c := range l.conns {
		if c.waiting.Load() > 0 && (oldest == nil || c.progress.Load() < oldest.progress.Load()) && mayClose(c) {
			oldest = c
		}
	}
	return oldest
}

// disconnect closes a connection that was removed. victim may be nil.
func (l *Limiter) disconnect(victim *Conn, why cause) {
	if victim == nil {
		return
	}
	l.count(why, victim.listener)
	_ = victim.Conn.Close() // the client is gone either way
}

// evict lets a connection that lost its room end: a handler that reads a body can still refuse the request.
func (l *Limiter) evict(victim *Conn, why cause) {
	if victim.readingBody.Load() {
		l.count(why, victim.listener)
		_ = victim.Conn.SetReadDeadline(past) // if it fails, the connection is closed already
		return
	}
	l.disconnect(victim, why)
}

// remove forgets a connection and what it holds. l.mu must be held.
func (l *Limiter) remove(c *Conn) {
	if _, ok := l.conns[c]; ok {
		delete(l.conns, c)
		l.perListener[c.listener]--
	}
	l.strip(c)
}

// strip takes all that a connection holds from it, and lets it hold nothing more. l.mu must be held.
func (l *Limiter) strip(c *Conn) {
	for p, n := range c.held {
		l.used[p] -= n
	}
	c.held = [poolCount]int64{}
	c.evicted.Store(true)
}

// closed forgets a connection that has been closed.
func (l *Limiter) closed(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.remove(c)
}

func (l *Limiter) limit(p pool) int64 {
	return [poolCount]int64{l.limits.HeadMemory, l.limits.BodyMemory, l.limits.AnswerMemory}[p]
}

// take takes n bytes of a pool for a connection. If there is no room, other connections that hold some and have made no
// progress for a time lose it. It returns false if that does not suffice.
func (l *Limiter) take(c *Conn, p pool, n int64, stall time.Duration, why cause) bool {
	l.mu.Lock()
	var victims []*Conn
	defer func() {
		l.mu.Unlock()
		for _, v := range victims {
			l.evict(v, why)
		}
	}()
	if c.evicted.Load() {
		return false
	}
	for l.used[p]+n > l.limit(p) && l.used[p] > c.held[p] {
		before := now() - int64(stall)
		v := l.victim(func(v *Conn) bool { return v != c && v.held[p] > 0 && v.progress.Load() <= before })
		if v == nil {
			return false
		}
		l.strip(v)
		victims = append(victims, v)
	}
	l.used[p] += n
	c.held[p] += n
	return true
}

// give gives n bytes of a pool back.
func (l *Limiter) give(c *Conn, p pool, n int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	n = min(n, c.held[p]) // nothing if it was evicted
	c.held[p] -= n
	l.used[p] -= n
}

// giveAll gives back all that a connection holds.
func (l *Limiter) giveAll(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p, n := range c.held {
		l.used[p] -= n
	}
	c.held = [poolCount]int64{}
}

// Held returns the memory that all requests and answers take.
func (l *Limiter) Held() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	sum := int64(0)
	for _, n := range l.used {
		sum += n
	}
	return sum
}
