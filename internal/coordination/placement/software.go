package placement

import "time"

// ObserveSoftware records the software versions of the endpoints in the table at now. Call it before
// and after endpoints are removed, so that a version counts as seen until then.
func (t *Table) ObserveSoftware(now time.Time) {
	for _, e := range t.entries {
		seen := t.softwareSeen[e.endpoint.Service]
		if seen == nil {
			seen = map[string]time.Time{}
			t.softwareSeen[e.endpoint.Service] = seen
		}
		seen[e.endpoint.Software] = now
	}
}

// OnlySoftware returns the software version of a service if no other one was seen since a time; ok
// is false if there were several or none.
func (t *Table) OnlySoftware(since time.Time, service string) (software string, ok bool) {
	for version, at := range t.softwareSeen[service] {
		if at.Before(since) && !t.hasSoftware(service, version) {
			continue
		}
		if ok {
			return "", false
		}
		software, ok = version, true
	}
	return software, ok
}

// SeenSince reports whether endpoints of a service were seen since a time.
func (t *Table) SeenSince(since time.Time, service string) bool {
	for version, at := range t.softwareSeen[service] {
		if !at.Before(since) || t.hasSoftware(service, version) {
			return true
		}
	}
	return false
}

func (t *Table) hasSoftware(service, version string) bool {
	for _, e := range t.services[service] {
		if e.endpoint.Software == version {
			return true
		}
	}
	return false
}
