package upgrades

import (
	"hash/fnv"
	"time"
)

const (
	// demandWindow is the time over which submitted work counts. It covers several steps of
	// trainers that submit one each few seconds, so that the shares of the models do not
	// follow the moments of their submissions.
	demandWindow = 20 * time.Second
	// minDemandShare bounds the weight of a model from below, as a share of the average weight.
	// A trainer whose steps are small still needs engines with its newest version.
	minDemandShare = 0.4
)

// ModelKey returns the 32-bit hash that identifies a model in messages between hosts.
func ModelKey(model string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(model))
	return h.Sum32()
}

// Demand is the work that was submitted for each model within demandWindow. It is not safe for
// concurrent use.
type Demand struct {
	submitted []submittedWork
}

type submittedWork struct {
	at     time.Time
	model  uint32
	tokens int
}

// Add records work for a model, in expected tokens.
func (d *Demand) Add(now time.Time, model string, tokens int) {
	d.submitted = append(d.submitted, submittedWork{now, ModelKey(model), tokens})
}

// Recent returns the tokens submitted for each model within demandWindow, by ModelKey.
func (d *Demand) Recent(now time.Time) map[uint32]uint32 {
	for len(d.submitted) > 0 && now.Sub(d.submitted[0].at) > demandWindow {
		d.submitted = d.submitted[1:]
	}
	out := map[uint32]uint32{}
	for _, s := range d.submitted {
		out[s.model] += uint32(s.tokens)
	}
	return out
}

// weights returns the weight of each model in the distribution of loads: its share of the
// demand relative to an equal share, at least minDemandShare. Models without known demand
// weigh 1.
func weights(models map[string]int, demand map[uint32]uint32) map[string]float64 {
	total, known := 0.0, 0
	for model := range models {
		if tokens := demand[ModelKey(model)]; tokens > 0 {
			total += float64(tokens)
			known++
		}
	}
	out := map[string]float64{}
	for model := range models {
		out[model] = 1
		if tokens := demand[ModelKey(model)]; tokens > 0 {
			out[model] = max(float64(tokens)*float64(known)/total, minDemandShare)
		}
	}
	return out
}
