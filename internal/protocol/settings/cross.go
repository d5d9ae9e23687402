package settings

import (
	"cmp"
	"fmt"
	"net"
	"slices"
	"strconv"

	"oleanderfall.example/oleanderfall/internal/state/model"
)

// reporter takes one problem of a section's key.
type reporter func(section, key, reason string)

func tooLarge(n int) string {
	return fmt.Sprintf("the configuration has %d bytes; at most %d are allowed", n, MaxConfigBytes)
}

// crossCheck finds what no single key shows.
func crossCheck(c *model.Config, report reporter) {
	checkEndpoints(c, report)
	checkHosts(c, report)
	checkServices(c, report)
	for _, id := range sorted(c.Deployments) {
		if c.Deployments[id].ServingFloor >= 1 {
			report("deployment."+string(id), "serving_floor", "a floor of 1 leaves no engine that may swap its weights")
		}
	}
	for _, id := range sorted(c.Trainers) {
		if t := c.Trainers[id]; t.GroupSize > t.StepSamples {
			report("trainer."+string(id), "group_size", "a group is larger than a step")
		}
	}
	for _, id := range sorted(c.Scorers) {
		checkReachable("scorer."+string(id), "address", c.Scorers[id].Address, report)
	}
}

func checkEndpoints(c *model.Config, report reporter) {
	owner := map[string]string{}
	for _, id := range sorted(c.Endpoints) {
		e := c.Endpoints[id]
		section := "endpoint." + string(id)
		checkKind(section, e, report)
		if e.Address == "" {
			continue
		}
		checkReachable(section, "address", e.Address, report)
		if other, taken := owner[e.Address]; taken {
			report(section, "address", "the address is also that of endpoint "+other)
		}
		owner[e.Address] = string(id)
	}
}

func checkKind(section string, e model.Endpoint, report reporter) {
	switch e.Kind {
	case model.EndpointEngine:
		if e.Deployment == "" {
			report(section, "deployment", "an engine names its deployment")
		}
		if e.Service != "" {
			report(section, "service", "an engine belongs to a deployment and to no service")
		}
	case model.EndpointPlain:
		if e.Service == "" {
			report(section, "service", "a plain endpoint names its service")
		}
		if e.Deployment != "" {
			report(section, "deployment", "a plain endpoint belongs to a service and to no deployment")
		}
	}
}

// checkHosts sees to it that no two programs share an address of one protocol.
func checkHosts(c *model.Config, report reporter) {
	owner := map[string]string{}
	for _, id := range sorted(c.Hosts) {
		h := c.Hosts[id]
		section := "host." + string(id)
		for _, a := range []struct{ key, protocol, address string }{
			{"entry", "tcp", h.Entry},
			{"entry_mesh", "udp", h.EntryMesh},
			{"control", "udp", h.Control},
			{"rollout", "tcp", h.Rollout},
		} {
			if a.address == "" {
				continue
			}
			checkReachable(section, a.key, a.address, report)
			if other, taken := owner[a.protocol+a.address]; taken {
				report(section, a.key, "the address is also that of "+other)
			}
			owner[a.protocol+a.address] = "host " + string(id) + ", key " + a.key
		}
	}
}

func checkServices(c *model.Config, report reporter) {
	for _, id := range sorted(c.Services) {
		seen := map[string]bool{}
		for _, call := range c.Services[id].NonIdempotent {
			if seen[call] {
				report("service."+string(id), "non_idempotent", fmt.Sprintf("the call %q stands twice", call))
			}
			seen[call] = true
		}
	}
}

// checkReachable wants an address that another host can connect to.
func checkReachable(section, key, address string, report reporter) {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return
	}
	if n, err := strconv.Atoi(port); host == "" || err != nil || n == 0 {
		report(section, key, fmt.Sprintf("%q is not an address that others can connect to", address))
	}
}

func sorted[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
