package entry

import (
	"net/http"
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"

	"oleanderfall.example/oleanderfall/internal/protocol/resultcode"
	"oleanderfall.example/oleanderfall/internal/state/model"
	"oleanderfall.example/oleanderfall/internal/transport/httpapi"
)

// AddressAnswer lists the entry addresses, in order of preference, that a caller may use
// until the lifetime, in milliseconds, has passed.
type AddressAnswer struct {
	Addresses      []string `json:"addresses"`
	LifetimeMillis int64    `json:"lifetime_ms"`
}

func (s *Server) serveAddresses(w http.ResponseWriter, r *http.Request) {
	v := s.view.Load()
	if v == nil {
		httpapi.WriteFailure(w, noViewFailure(), "")
		return
	}
	httpapi.WriteJSON(w, http.StatusOK, AddressAnswer{
		Addresses:      s.addresses(v, r.Header.Get(httpapi.CallerHeader)),
		LifetimeMillis: v.Config.System.AddressLifetime.Milliseconds(),
	})
}

type candidate struct {
	address string
	ready   bool
	local   bool
	score   uint64
}

// addresses lists the addresses of the ready entry hosts that are neither dead nor draining,
// those of the local zone first.
// Within a zone the hosts are sorted by a hash of caller and host, so that the order is
// stable for a caller and callers spread over the hosts.
func (s *Server) addresses(v *model.FleetView, caller string) []string {
	draining := map[model.HostID]bool{}
	for _, d := range v.Drains {
		if d.Host != "" {
			draining[d.Host] = true
		}
	}
	if s.stopping.Load() {
		draining[s.opt.Host] = true
	}
	var found []candidate
	for _, m := range members(v) {
		if m.Entry == "" || draining[m.Host] || m.State == model.HostDraining || m.State == model.HostDead {
			continue
		}
		found = append(found, candidate{
			address: m.Entry,
			ready:   !m.EntryNotReady,
			local:   m.Zone == s.opt.Zone,
			score:   xxhash.Sum64String(caller + "|" + string(m.Host)),
		})
	}
	// Hosts whose entry program is not ready are listed only if there are no others: after a
	// restart of all control programs, none has received a report yet.
	if slices.ContainsFunc(found, func(c candidate) bool { return c.ready }) {
		found = slices.DeleteFunc(found, func(c candidate) bool { return !c.ready })
	}
	sort.Slice(found, func(i, j int) bool {
		if found[i].local != found[j].local {
			return found[i].local
		}
		return found[i].score < found[j].score
	})
	out := make([]string, 0, len(found))
	for _, c := range found {
		out = append(out, c.address)
	}
	return out
}

// members returns the members of the view, or the configured hosts if the view has no
// members.
func members(v *model.FleetView) []model.Member {
	if len(v.Members) > 0 {
		return v.Members
	}
	out := make([]model.Member, 0, len(v.Config.Hosts))
	for id, h := range v.Config.Hosts {
		out = append(out, model.Member{Host: id, Zone: h.Zone, Entry: h.Entry, State: model.HostAlive})
	}
	return out
}

// entryHosts returns the configured hosts that run an entry program, sorted by id.
func entryHosts(c *model.Config) []model.HostID {
	var out []model.HostID
	for id, h := range c.Hosts {
		if h.Entry != "" {
			out = append(out, id)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}

// liveEntryHostCount returns the number of entry hosts that are neither dead nor
// draining.
func liveEntryHostCount(v *model.FleetView) int {
	n := 0
	for _, m := range members(v) {
		if m.Entry != "" && m.State != model.HostDead && m.State != model.HostDraining {
			n++
		}
	}
	return n
}

func noViewFailure() *httpapi.Failure {
	f := httpapi.NewFailure(resultcode.NoEndpoint, "This host has no configuration yet.")
	f.RetryAfter = noViewRetryAfter
	return f
}
