package membership

import (
	"sort"
	"time"

	"oleanderfall.example/oleanderfall/internal/state/members"
)

// contacts holds the state for contacting addresses outside the overlay: seeds, hosts
// in the configuration or the platform's host list that are missing from the view, and
// hosts recorded as dead. This lets a host join the fleet, and lets the sides of a
// network partition find each other once it heals.
type contacts struct {
	seeds   []string
	next    time.Time
	backoff int
}

// SetSeeds replaces the control addresses to contact in addition to those of dead
// members.
func (m *Machine) SetSeeds(addresses []string) { m.contacts.seeds = addresses }

// contactScaleHosts is the number of hosts that together make one contact attempt per
// contactHeartbeats heartbeat intervals. Scaling the interval with the size of the table keeps
// a large fleet from flooding addresses that are no longer in use.
const contactScaleHosts = 32

// scheduleContact periodically requests an exchange with a random address that is not
// in the view. While this host sees no other live host, the interval starts at one
// heartbeat and backs off exponentially. All intervals are jittered.
func (m *Machine) scheduleContact(now time.Time, out *Output) {
	c := &m.contacts
	if now.Before(c.next) {
		return
	}
	wait := m.heartbeats(contactHeartbeats) * time.Duration(1+m.table.Len()/contactScaleHosts)
	if m.isolated() {
		wait = min(wait, m.opt.Heartbeat<<c.backoff)
		c.backoff = min(c.backoff+1, maxContactBackoff)
	} else {
		c.backoff = 0
	}
	c.next = now.Add(wait/2 + time.Duration(m.opt.Random()%uint64(wait)))
	if absent := m.unreachedAddresses(); len(absent) > 0 {
		out.Contact = absent[m.opt.Random()%uint64(len(absent))]
	}
}

func (m *Machine) isolated() bool {
	for _, r := range m.table.All() {
		if r.State != members.Dead && r.Host != m.self.Host {
			return false
		}
	}
	return true
}

// unreachedAddresses returns the seeds and the addresses of dead hosts that belong to
// no live host, sorted.
func (m *Machine) unreachedAddresses() []string {
	live := map[string]bool{m.self.Control: true}
	candidates := map[string]bool{}
	for _, r := range m.table.All() {
		if r.State == members.Dead {
			candidates[r.Control] = true
		} else {
			live[r.Control] = true
		}
	}
	for _, s := range m.contacts.seeds {
		candidates[s] = true
	}
	var out []string
	for address := range candidates {
		if !live[address] && address != "" {
			out = append(out, address)
		}
	}
	sort.Strings(out)
	return out
}
