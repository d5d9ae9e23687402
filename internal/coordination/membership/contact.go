package membership

import (
	"sort"
	"time"

	"oleanderfall.example/oleanderfall/internal/state/members"
)

// contacts chooses addresses to try besides the overlay: seeds, hosts of the
// configuration and of the platform's list that are not in the view, and hosts
// thought dead. They let a host join, and halves of the fleet meet again.
type contacts struct {
	seeds   []string
	next    time.Time
	backoff int
}

// SetSeeds replaces the addresses to try besides those of dead members.
func (m *Machine) SetSeeds(addresses []string) { m.contacts.seeds = addresses }

// contactShareHosts is the number of hosts that together try one address in
// contactHeartbeats, so that a large fleet does not flood what is gone.
const contactShareHosts = 32

// contact asks now and then for an exchange with one address that is not in the view.
// While this host is alone it asks often, with a backoff.
func (m *Machine) contact(now time.Time, out *Output) {
	c := &m.contacts
	if now.Before(c.next) {
		return
	}
	wait := m.heartbeats(contactHeartbeats) * time.Duration(1+m.table.Len()/contactShareHosts)
	if m.alone() {
		wait = min(wait, m.opt.Heartbeat<<c.backoff)
		c.backoff = min(c.backoff+1, maxContactBackoff)
	} else {
		c.backoff = 0
	}
	c.next = now.Add(wait/2 + time.Duration(m.opt.Random()%uint64(wait)))
	if absent := m.absent(); len(absent) > 0 {
		out.Contact = absent[m.opt.Random()%uint64(len(absent))]
	}
}

func (m *Machine) alone() bool {
	for _, r := range m.table.All() {
		if r.State != members.Dead && r.Host != m.self.Host {
			return false
		}
	}
	return true
}

// absent returns the known addresses that no live host has, in order.
func (m *Machine) absent() []string {
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
