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

func withKeys(keys ...string) *catalog.Config {
	return &catalog.Config{Teams: []catalog.Team{{Name: "a", Keys: keys}, {Name: "none"}}}
}

// Guards against a request that is admitted, refused or attributed wrongly: because of the form of its header,
// by another configuration than the one in force, or by one that is too old. Also guards against a key in an
// error, and a refusal that may be repeated without a delay.
func TestAdmit(t *testing.T) {
	const refused, outage = resultcode.UnknownKey, resultcode.StorageOutage
	stale := errors.New("no proof")
	for name, c := range map[string]struct {
		config *catalog.Config
		header []string
		want   resultcode.Code
		team   string
		// fresh is the result of the check of the configuration, confirmed the configuration that it brings.
		fresh     error
		confirmed *catalog.Config
		// notPublic is set if the answer on a public route is not that of a request without a key.
		notPublic bool
	}{
		"valid":               {config: withKeys("k", "l"), header: []string{"Token l"}, team: "a", notPublic: true},
		"case of the scheme":  {config: withKeys("k"), header: []string{"token  k"}, team: "a", notPublic: true},
		"no header":           {config: withKeys("k"), want: refused},
		"empty header":        {config: withKeys("k"), header: []string{""}, want: refused},
		"no key":              {config: withKeys("k"), header: []string{"Token"}, want: refused},
		"empty key":           {config: withKeys(""), header: []string{"Token  "}, want: refused},
		"other scheme":        {config: withKeys("k"), header: []string{"Bearer k"}, want: refused},
		"no scheme":           {config: withKeys("k"), header: []string{"k"}, want: refused},
		"more text":           {config: withKeys("k"), header: []string{"Token k x"}, want: refused},
		"two headers":         {config: withKeys("k"), header: []string{"Token k", "Token k"}, want: refused},
		"not UTF-8":           {config: withKeys("k\uFFFD"), header: []string{"Token k\xff"}, want: refused},
		"very long":           {config: withKeys("k"), header: []string{"Token " + strings.Repeat("k", 1<<20)}, want: refused},
		"removed":             {config: withKeys("l"), header: []string{"Token k"}, want: refused},
		"no configuration":    {header: []string{"Token k"}, want: outage, notPublic: true},
		"no teams":            {config: &catalog.Config{}, header: []string{"Token k"}, notPublic: true},
		"too old":             {config: withKeys("k"), header: []string{"Token k"}, want: outage, fresh: stale, notPublic: true},
		"unknown and too old": {config: withKeys("l"), header: []string{"Token k"}, want: outage, fresh: stale},
		"removed since":       {config: withKeys("k"), header: []string{"Token k"}, want: refused, confirmed: withKeys("l")},
		"added since":         {config: withKeys("l"), header: []string{"Token k"}, team: "a", confirmed: withKeys("l", "k")},
		"no teams since":      {config: withKeys("k"), header: []string{"Token k"}, confirmed: &catalog.Config{}, notPublic: true},
	} {
		config := c.config
		checker := New(func() *catalog.Config { return config }, slog.New(slog.DiscardHandler), prometheus.NewRegistry())
		checker.Fresh = func(context.Context, time.Duration) error {
			if c.confirmed != nil {
				config = c.confirmed
			}
			return c.fresh
		}
		for _, public := range []bool{false, true} {
			config = c.config
			want := c
			if public && !c.notPublic {
				want.want, want.team = resultcode.OK, ""
			}
			got, err := checker.Admit(context.Background(), Parse(c.header, "Token"), public, 0)
			code, coded := resultcode.OK, (*resultcode.Error)(nil)
			if errors.As(err, &coded) {
				code = coded.Code
			}
			if code != want.want || got.Team != want.team || err != nil && coded == nil {
				t.Errorf("%s, public %v: %+v, %v; want the team %q, %v", name, public, got, err, want.team, want.want)
			}
			if coded != nil && (strings.Contains(coded.Detail, "Token") || (coded.RetryAfterMillis > 0) != (coded.Code == outage)) {
				t.Errorf("%s: refused with %+v", name, coded)
			}
		}
	}
}

// Guards against random keys that fill memory or the log: a tenth of the million keys of a minute. A retained
// key takes at least its 32 bytes; the bound allows less than one byte for each.
func TestAdmit_RandomKeysLeaveNothingBehind(t *testing.T) {
	const keys = 100_000
	var out bytes.Buffer
	config := withKeys(strings.Repeat("k", 32))
	c := New(func() *catalog.Config { return config }, slog.New(slog.NewTextHandler(&out, nil)), prometheus.NewRegistry())
	began := time.Now()
	heapAfter := func(from, to int) uint64 {
		for i := from; i < to; i++ {
			if _, err := c.Admit(context.Background(), Parse([]string{fmt.Sprintf("Token %032d", i)}, "Token"), false, 0); err == nil {
				t.Fatalf("key %d is admitted", i)
			}
		}
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	if before, after := heapAfter(0, 1000), heapAfter(1000, keys); after > before+keys {
		t.Errorf("the heap grew from %d to %d bytes over %d random keys", before, after, keys)
	}
	allowed := 3 + int(time.Since(began)/refusalLogInterval) // two about the teams, and the first refusal
	if lines := strings.Count(out.String(), "\n"); lines > allowed || strings.Contains(out.String(), "0000") {
		t.Errorf("%d lines in the log, want at most %d without keys:\n%.2000s", lines, allowed, out.String())
	}
}
