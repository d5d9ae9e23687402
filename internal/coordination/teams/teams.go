// Package teams finds the team to which a key belongs.
//
// Invariant: a lookup compares digests of whole keys, so its duration does not depend on how much
// of a key is right, and no text that this package returns contains a key.
package teams

import (
	"crypto/sha256"
	"fmt"
	"strings"
	"unicode"
	"unicode/utf8"

	"oleanderfall.example/oleanderfall/internal/state/catalog"
)

// Index finds teams by key and by name. It is immutable and safe for concurrent use.
type Index struct {
	byKey  map[[sha256.Size]byte]*catalog.Team
	byName map[string]*catalog.Team
	// longestKey is the length of the longest key in bytes. Longer ones are refused without
	// computing their digest.
	longestKey int
	faults     []string
}

// NewIndex returns the index of the teams of a configuration.
//
// Faults in the teams never make the configuration invalid, since that would also keep out the
// removal of a key that it contains. A key of several teams belongs to the first of them; empty keys,
// keys that are not valid UTF-8 and teams whose name cannot be sent in a header are left out.
func NewIndex(all []catalog.Team) *Index {
	x := &Index{byKey: map[[sha256.Size]byte]*catalog.Team{}, byName: map[string]*catalog.Team{}}
	for i := range all {
		x.add(&all[i])
	}
	return x
}

func (x *Index) add(t *catalog.Team) {
	if !validName(t.Name) {
		x.faults = append(x.faults, fmt.Sprintf("team %q has no valid name", t.Name))
		return
	}
	if x.byName[t.Name] == nil {
		x.byName[t.Name] = t
	}
	usable := 0
	for _, key := range t.Keys {
		if !validKey(key) {
			x.faults = append(x.faults, fmt.Sprintf("team %q has an empty key or one that is not UTF-8", t.Name))
			continue
		}
		usable++
		digest := sha256.Sum256([]byte(key))
		first := x.byKey[digest]
		if first == nil {
			x.byKey[digest], x.longestKey = t, max(x.longestKey, len(key))
		} else if first.Name != t.Name {
			x.faults = append(x.faults, fmt.Sprintf("team %q has a key of team %q, to which it belongs", t.Name, first.Name))
		}
	}
	if usable == 0 {
		x.faults = append(x.faults, fmt.Sprintf("team %q has no keys", t.Name))
	}
}

// validName reports whether a name can be sent in a header. An HTTP client refuses control
// characters, which would look like an unreachable endpoint.
func validName(name string) bool {
	return strings.TrimSpace(name) != "" && !strings.ContainsFunc(name, unicode.IsControl)
}

// validKey reports whether a key can be told from all others. The JSON decoder replaces bytes that
// are not UTF-8, after which different keys are equal.
func validKey(key string) bool {
	return key != "" && utf8.ValidString(key) && !strings.ContainsRune(key, utf8.RuneError)
}

// Find returns the team of a key.
func (x *Index) Find(key string) (team *catalog.Team, ok bool) {
	if key == "" || len(key) > x.longestKey {
		return nil, false
	}
	team, ok = x.byKey[sha256.Sum256([]byte(key))]
	return team, ok
}

// Urgency returns the urgency of a team's requests on a route: that of the team if it has one, else
// that of the route.
func (x *Index) Urgency(team string, route *catalog.Route) int {
	if t := x.byName[team]; t != nil && t.Urgency != nil {
		return *t.Urgency
	}
	return route.Urgency
}

// Keys returns the number of keys that are accepted.
func (x *Index) Keys() int { return len(x.byKey) }

// Faults describes what is wrong with the teams, without their keys.
func (x *Index) Faults() []string { return x.faults }
