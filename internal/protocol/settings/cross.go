package settings

import (
	"cmp"
	"fmt"
	"net"
	"slices"
	"strconv"

	"oleanderfall.example/oleanderfall/internal/state/model"
)

// reportFunc records one problem with a section's key.
type reportFunc func(section, key, reason string)

// tooLargeReason returns the message for a canonical form of n bytes, which exceeds
// MaxConfigBytes.
func tooLargeReason(n int) string {
	return fmt.Sprintf("the configuration has %d bytes; at most %d are allowed", n, MaxConfigBytes)
}

// crossCheck applies the rules that struct tags cannot express.
func crossCheck(c *model.Config, report reportFunc) {
	checkEndpoints(c, report)
	checkHosts(c, report)
	checkServices(c, report)
	for _, id := range sortedKeys(c.Deployments) {
		if c.Deployments[id].ServingFloor >= 1 {
			report("deployment."+string(id), "serving_floor", "a floor of 1 leaves no engine that may swap its weights")
		}
	}
	for _, id := range sortedKeys(c.Trainers) {
		if t := c.Trainers[id]; t.GroupSize > t.StepSamples {
			report("trainer."+string(id), "group_size", "a group is larger than a step")
		}
	}
	for _, id := range sortedKeys(c.Scorers) {
		checkConnectable("scorer."+string(id), "address", c.Scorers[id].Address, report)
	}
}

// checkEndpoints checks each endpoint's kind and address, and that no two endpoints
// share an address.
func checkEndpoints(c *model.Config, report reportFunc) {
	usedBy := map[string]string{}
	for _, id := range sortedKeys(c.Endpoints) {
		e := c.Endpoints[id]
		section := "endpoint." + string(id)
		checkEndpointKind(section, e, report)
		if e.Address == "" {
			continue
		}
		checkConnectable(section, "address", e.Address, report)
		if other, used := usedBy[e.Address]; used {
			report(section, "address", "the address is also that of endpoint "+other)
		}
		usedBy[e.Address] = string(id)
	}
}

// checkEndpointKind checks that an engine has only a deployment and a plain endpoint only
// a service.
func checkEndpointKind(section string, e model.Endpoint, report reportFunc) {
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

// checkHosts checks that no two programs share an address of the same protocol.
func checkHosts(c *model.Config, report reportFunc) {
	usedBy := map[string]string{}
	for _, id := range sortedKeys(c.Hosts) {
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
			checkConnectable(section, a.key, a.address, report)
			if other, used := usedBy[a.protocol+a.address]; used {
				report(section, a.key, "the address is also that of "+other)
			}
			usedBy[a.protocol+a.address] = "host " + string(id) + ", key " + a.key
		}
	}
}

func checkServices(c *model.Config, report reportFunc) {
	for _, id := range sortedKeys(c.Services) {
		seen := map[string]bool{}
		for _, call := range c.Services[id].NonIdempotent {
			if seen[call] {
				report("service."+string(id), "non_idempotent", fmt.Sprintf("the call %q stands twice", call))
			}
			seen[call] = true
		}
	}
}

// checkConnectable checks that an address has a host and a port other than 0, so that
// other hosts can connect to it. Text that is not host:port is left to checkAddress.
func checkConnectable(section, key, address string, report reportFunc) {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return
	}
	if n, err := strconv.Atoi(port); host == "" || err != nil || n == 0 {
		report(section, key, fmt.Sprintf("%q is not an address that others can connect to", address))
	}
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
