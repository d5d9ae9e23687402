package teams

import (
	"strings"
	"testing"

	"oleanderfall.example/oleanderfall/internal/state/catalog"
)

// Guards against a key that is found for the wrong team or not at all: keys of other teams, parts of
// keys, keys that several teams have, and keys that are unusable.
func TestIndex_Find(t *testing.T) {
	x := NewIndex([]catalog.Team{
		{Name: "a", Keys: []string{"key-a1", "key-a2", "shared", "key-a1"}},
		{Name: "b", Keys: []string{"key-b", "shared", "", "bad-\uFFFD"}},
		{Name: "none"},
		{Name: "line\nbreak", Keys: []string{"key-c"}},
		{Name: " ", Keys: []string{"key-d"}},
	})
	for key, want := range map[string]string{
		"key-a1": "a", "key-a2": "a", "key-b": "b", "shared": "a",
		"": "", "key-a": "", "key-a11": "", "KEY-A1": "", "key-c": "", "key-d": "", "bad-\uFFFD": "", "bad-\xff": "",
		strings.Repeat("k", 1<<20): "",
	} {
		team, ok := x.Find(key)
		if ok != (want != "") || ok && team.Name != want {
			t.Errorf("key %.20q belongs to %v, want %q", key, team, want)
		}
	}
	if x.Keys() != 4 {
		t.Errorf("%d keys are accepted, want 4", x.Keys())
	}
	faults := strings.Join(x.Faults(), "; ")
	for _, want := range []string{`"b" has a key of team "a"`, `"b" has an empty key`, `"none" has no keys`, `"line\nbreak" has no valid name`} {
		if !strings.Contains(faults, want) {
			t.Errorf("the faults %q lack %q", faults, want)
		}
	}
	if strings.Contains(faults, "shared") || strings.Contains(faults, "bad-") {
		t.Errorf("the faults %q contain a key", faults)
	}
}

// Guards against a team's priority that does not take precedence, in particular the most urgent one,
// which is zero.
func TestIndex_Urgency(t *testing.T) {
	zero, route := 0, &catalog.Route{Urgency: 5}
	x := NewIndex([]catalog.Team{{Name: "urgent", Urgency: &zero}, {Name: "plain"}})
	for team, want := range map[string]int{"urgent": 0, "plain": 5, "removed": 5, "": 5} {
		if got := x.Urgency(team, route); got != want {
			t.Errorf("team %q has the urgency %d, want %d", team, got, want)
		}
	}
}
