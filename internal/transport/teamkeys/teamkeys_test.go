package teamkeys

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"oleanderfall.example/oleanderfall/internal/protocol/resultcode"
	"oleanderfall.example/oleanderfall/internal/state/catalog"
)

var background = context.Background()

// newChecker returns a checker for the configuration in *config, and its log.
func newChecker(config **catalog.Config) (*Checker, *bytes.Buffer) {
	var out bytes.Buffer
	return New(func() *catalog.Config { return *config }, slog.New(slog.NewTextHandler(&out, nil)), prometheus.NewRegistry()), &out
}

func codeOf(err error) resultcode.Code {
	var coded *resultcode.Error
	switch {
	case err == nil:
		return resultcode.OK
	case errors.As(err, &coded):
		return coded.Code
	}
	return resultcode.Internal
}

// Guards against a request that is admitted, refused or attributed wrongly because of the form of its
// header, and against a key in an error.
func TestAdmit_HeaderForms(t *testing.T) {
	config := &catalog.Config{Generation: 1, Teams: []catalog.Team{{Name: "a", Keys: []string{"key-a"}}, {Name: "none"}}}
	c, _ := newChecker(&config)
	for name, h := range map[string]struct {
		values []string
		team   string
	}{
		"valid": {[]string{"Token key-a"}, "a"}, "other case of the scheme": {[]string{"token  key-a"}, "a"},
		"none": {nil, ""}, "empty": {[]string{""}, ""}, "no key": {[]string{"Token"}, ""}, "empty key": {[]string{"Token  "}, ""},
		"other scheme": {[]string{"Bearer key-a"}, ""}, "no scheme": {[]string{"key-a"}, ""}, "more text": {[]string{"Token key-a x"}, ""},
		"twice": {[]string{"Token key-a", "Token key-a"}, ""}, "list": {[]string{"Token key-a, Token key-a"}, ""},
		"unknown": {[]string{"Token key-b"}, ""}, "not UTF-8": {[]string{"Token key-\xff"}, ""}, "very long": {[]string{"Token " + strings.Repeat("k", 1<<20)}, ""},
	} {
		got, err := c.Admit(background, Parse(h.values, "Token"), false, 0)
		if h.team != "" && (err != nil || got != (Admission{Enforced: true, Team: h.team})) || h.team == "" && codeOf(err) != resultcode.UnknownKey {
			t.Errorf("%s: %+v, %v; want the team %q", name, got, err, h.team)
		}
		if err != nil && strings.Contains(err.Error(), "key-") {
			t.Errorf("%s: the error contains the key: %v", name, err)
		}
		if got, err := c.Admit(background, Parse(h.values, "Token"), true, 0); err != nil || got != (Admission{Enforced: true, Team: h.team}) {
			t.Errorf("%s on a public route: %+v, %v; want the team %q", name, got, err, h.team)
		}
	}
}

// Guards against an answer that depends on another configuration than the one in force: none yet, none with
// teams, and keys that are removed and added again.
func TestAdmit_FollowsTheConfiguration(t *testing.T) {
	withKeys := func(generation uint64, keys ...string) *catalog.Config {
		return &catalog.Config{Generation: generation, Teams: []catalog.Team{{Name: "a", Keys: keys}}}
	}
	var config *catalog.Config
	c, _ := newChecker(&config)
	for i, step := range []struct {
		config *catalog.Config
		want   resultcode.Code
		team   string
	}{
		{nil, resultcode.StorageOutage, ""}, {&catalog.Config{Generation: 1}, resultcode.OK, ""},
		{withKeys(2, "k"), resultcode.OK, "a"}, {withKeys(3, "l"), resultcode.UnknownKey, ""}, {withKeys(4, "l", "k"), resultcode.OK, "a"},
		{withKeys(5), resultcode.UnknownKey, ""}, {&catalog.Config{Generation: 6}, resultcode.OK, ""},
	} {
		config = step.config
		got, err := c.Admit(background, Parse([]string{"Token k"}, "Token"), false, 0)
		if codeOf(err) != step.want || got.Team != step.team {
			t.Errorf("step %d: team %q, %v; want %q, %v", i, got.Team, err, step.team, step.want)
		}
		if err != nil && codeOf(err) == resultcode.StorageOutage && codeOf(err).Info().HTTPStatus != 503 {
			t.Errorf("step %d: %v", i, err)
		}
	}
}

// Guards against a key that is admitted or refused by a configuration that is too old: the check is called,
// its refusal says when to come again, and what it brings decides.
func TestAdmit_Freshness(t *testing.T) {
	config := &catalog.Config{Generation: 1, Teams: []catalog.Team{{Name: "a", Keys: []string{"old"}}}}
	c, _ := newChecker(&config)
	calls, stale := 0, error(nil)
	c.Fresh = func(_ context.Context, wait time.Duration) error {
		calls++
		if wait != time.Second {
			t.Errorf("the check may wait %v, want 1s", wait)
		}
		return stale
	}
	admit := func(value string, public bool) (Admission, error) {
		return c.Admit(background, Parse([]string{value}, "Token"), public, time.Second)
	}
	stale = errors.New("no proof")
	for _, key := range []string{"old", "new"} {
		_, err := admit("Token "+key, false)
		var coded *resultcode.Error
		if !errors.As(err, &coded) || coded.Code != resultcode.StorageOutage || coded.RetryAfterMillis <= 0 {
			t.Errorf("key %s with an old configuration: %v, want storage_outage with a delay", key, err)
		}
	}
	if _, err := admit("Token old", true); codeOf(err) != resultcode.StorageOutage {
		t.Errorf("known key on a public route with an old configuration: %v", err)
	}
	for name, value := range map[string]string{"malformed": "x", "unknown": "Token new"} {
		if _, err := admit(value, true); err != nil {
			t.Errorf("%s key on a public route with an old configuration: %v", name, err)
		}
	}
	if calls != 3 {
		t.Errorf("%d calls of the check, want 3: only keys that decide need it", calls)
	}
	stale = nil
	c.Fresh = func(context.Context, time.Duration) error {
		config = &catalog.Config{Generation: 2, Teams: []catalog.Team{{Name: "a", Keys: []string{"new"}}}}
		return nil
	}
	if _, err := admit("Token old", false); codeOf(err) != resultcode.UnknownKey {
		t.Errorf("key that the confirmed configuration has removed: %v", err)
	}
	config = &catalog.Config{Generation: 1, Teams: []catalog.Team{{Name: "a", Keys: []string{"old"}}}}
	if got, err := admit("Token new", false); err != nil || got.Team != "a" {
		t.Errorf("key that the confirmed configuration has added: %+v, %v", got, err)
	}
}

// Guards against random keys that fill memory or the log: the million keys of a minute, of which this test sends
// a tenth. A retained key takes at least its 32 bytes; the bound allows less than one byte for each.
func TestAdmit_RandomKeysLeaveNothingBehind(t *testing.T) {
	const keys = 100_000
	config := &catalog.Config{Generation: 1, Teams: []catalog.Team{{Name: "a", Keys: []string{strings.Repeat("k", 32)}}}}
	c, out := newChecker(&config)
	send := func(from, to int) {
		for i := from; i < to; i++ {
			if _, err := c.Admit(background, Parse([]string{fmt.Sprintf("Token %032d", i)}, "Token"), false, 0); codeOf(err) != resultcode.UnknownKey {
				t.Fatalf("key %d: %v", i, err)
			}
		}
	}
	heap := func() uint64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	began := time.Now()
	send(0, 1000)
	before := heap()
	send(1000, keys)
	if after := heap(); after > before+keys {
		t.Errorf("the heap grew from %d to %d bytes over %d random keys", before, after, keys)
	}
	allowed := 2 + int(time.Since(began)/refusalLogInterval) // that of the keys in force, and the first refusal
	if lines := strings.Count(out.String(), "\n"); lines > allowed {
		t.Errorf("%d lines in the log, want at most %d:\n%.2000s", lines, allowed, out)
	}
	if strings.Contains(out.String(), fmt.Sprintf("%032d", 0)) {
		t.Errorf("the log contains a key: %s", out)
	}
}
