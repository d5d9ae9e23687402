package front

import (
	"sync/atomic"
	"time"
)

// processStart is the time from which an instant counts.
var processStart = time.Now()

// instant is a time that one goroutine sets and others read. Unlike a Unix time it keeps the monotonic
// reading, so durations between two of them do not change with a step of the wall clock.
type instant struct{ sinceStart atomic.Int64 }

func (i *instant) set(t time.Time) { i.sinceStart.Store(int64(t.Sub(processStart))) }

func (i *instant) time() time.Time { return processStart.Add(time.Duration(i.sinceStart.Load())) }
