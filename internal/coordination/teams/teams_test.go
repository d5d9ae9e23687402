package teams

import (
	"strings"
	"testing"

	"oleanderfall.example/oleanderfall/internal/state/catalog"
)

// Guards against a key that is found for the wrong team or not at all (keys of other teams, parts of keys, keys
// of several teams, unusable keys), and against the route's urgency in place of the team's.
func TestIndex(t *testing.T) {
	zero, route := 0, &catalog.Route{Urgency: 5}
	x := NewIndex([]catalog.Team{
		{Name: "a", Keys: []string{"key-a1", "key-a2", "shared", "key-a1"}, Urgency: &zero},
		{Name: "b", Keys: []string{"key-b", "shared", "", "bad-\uFFFD"}},
		{Name: "none"}, {Name: "line\nbreak", Keys: []string{"key-c"}}, {Name: " ", Keys: []string{"key-d"}},
	})
	for key, want := range map[string]string{
		"key-a1": "a", "key-a2": "a", "key-b": "b", "shared": "a", "": "", "key-a": "", "key-a11": "", "KEY-A1": "",
		"key-c": "", "key-d": "", "bad-\uFFFD": "", "bad-\xff": "", strings.Repeat("k", 1<<20): "",
	} {
		if team, ok := x.Find(key); ok != (want != "") || ok && team.Name != want {
			t.Errorf("key %.20q belongs to %v, want %q", key, team, want)
		}
	}
	for team, want := range map[string]int{"a": 0, "b": 5, "removed": 5, "": 5} {
		if got := x.Urgency(team, route); got != want {
			t.Errorf("team %q has the urgency %d, want %d", team, got, want)
		}
	}
	want := `team "b" has a key of team "a", to which it belongs; team "b" has an empty key or one that is not UTF-8; ` +
		`team "b" has an empty key or one that is not UTF-8; team "none" has no keys; team "line\nbreak" has no valid name; team " " has no valid name`
	if got := strings.Join(x.Faults(), "; "); got != want || x.Keys() != 4 {
		t.Errorf("%d keys, faults %s; want 4 keys, %s", x.Keys(), got, want)
	}
}
