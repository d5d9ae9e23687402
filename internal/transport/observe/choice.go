package observe

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"oleanderfall.example/oleanderfall/internal/coordination/membership"
	"oleanderfall.example/oleanderfall/internal/state/model"
)

const (
	// askers is the number of hosts that ask one endpoint.
	askers = 2
	// choiceInterval is the least time between two computations of the choice.
	choiceInterval = 2 * time.Second
)

// share is an endpoint that this host asks as the rank-th of its askers.
type share struct {
	endpoint model.EndpointID
	rank     int
}

// choice remembers for which hosts and configuration the shares were computed.
type choice struct {
	at         time.Time
	generation model.Generation
	hosts      uint64
	made       bool
	// sequence is that of the view looked at last.
	sequence uint64
}

// refresh computes this host's shares when the configuration or the live hosts
// changed.
func (c *choice) refresh(now time.Time, self model.HostID, view *model.FleetView) ([]share, bool) {
	if c.made && (now.Sub(c.at) < choiceInterval || view.Sequence == c.sequence) {
		return nil, false
	}
	c.at, c.sequence = now, view.Sequence
	hosts, digest := byRegion(view)
	if c.made && digest == c.hosts && view.Generation == c.generation {
		return nil, false
	}
	c.generation, c.hosts, c.made = view.Generation, digest, true
	return shares(self, view.Config, hosts), true
}

// byRegion lists the hosts that may ask, by region; "" lists them all.
func byRegion(view *model.FleetView) (map[model.RegionID][]model.HostID, uint64) {
	hosts := map[model.RegionID][]model.HostID{}
	digest := xxhash.New()
	for _, m := range view.Members {
		if m.State != model.HostAlive && m.State != model.HostSuspect {
			continue
		}
		region := view.Config.Zones[m.Zone].Region
		hosts[region] = append(hosts[region], m.Host)
		if region != "" {
			hosts[""] = append(hosts[""], m.Host)
		}
		_, _ = digest.WriteString(string(m.Host) + "\x00")
	}
	return hosts, digest.Sum64()
}

func shares(self model.HostID, config *model.Config, hosts map[model.RegionID][]model.HostID) []share {
	var out []share
	for id, e := range config.Endpoints {
		candidates := hosts[config.Zones[e.Zone].Region]
		if len(candidates) < askers {
			candidates = hosts[""]
		}
		for rank, h := range membership.RendezvousHosts(candidates, "observe/"+string(id), askers) {
			if h == self {
				out = append(out, share{id, rank})
			}
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].endpoint < out[j].endpoint })
	return out
}

// firstPoll spreads the polls over the interval; the askers of one endpoint are
// apart by an equal part of it.
func firstPoll(now time.Time, s share) time.Time {
	phase := time.Duration(xxhash.Sum64String(string(s.endpoint)) % uint64(pollInterval))
	phase += time.Duration(s.rank) * pollInterval / askers
	at := now.Truncate(pollInterval).Add(phase % pollInterval)
	if at.Before(now) {
		at = at.Add(pollInterval)
	}
	return at
}
