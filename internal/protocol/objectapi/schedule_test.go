package objectapi_test

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"testing"

	"pgregory.net/rapid"

	"oleanderfall.example/oleanderfall/internal/protocol/objectapi"
)

// TestMain fixes the seed, so that every run draws the same schedules unless the command line
// sets another seed.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "400")
	os.Exit(m.Run())
}

// faultyAPI randomly loses, delays and throttles calls, and lets another writer write before
// each of them.
type faultyAPI struct {
	objectapi.API
	t *rapid.T
	// otherWriter writes the same key through another client.
	otherWriter func()
	// delayed holds requests that arrive after their sender has timed out.
	delayed []func()
	// applied holds the stored values of the writes that took effect.
	applied [][]byte
}

func (f *faultyAPI) Get(ctx context.Context, key string) (objectapi.Object, error) {
	f.interleave()
	if rapid.IntRange(0, 3).Draw(f.t, "read fate") == 0 {
		return objectapi.Object{}, objectapi.ErrUnavailable
	}
	return f.API.Get(ctx, key)
}

// interleave may deliver a delayed request and lets the other writer write.
func (f *faultyAPI) interleave() {
	if len(f.delayed) > 0 && rapid.Bool().Draw(f.t, "deliver") {
		f.delayed[0]()
		f.delayed = f.delayed[1:]
	}
	for range rapid.SampledFrom([]int{0, 0, 0, 1, 2, 10}).Draw(f.t, "other writes") {
		f.otherWriter()
	}
}

func (f *faultyAPI) Put(ctx context.Context, key string, value []byte, expect uint64) (uint64, error) {
	f.interleave()
	ctx = context.WithoutCancel(ctx) // A delayed request arrives after its sender's context has ended.
	send := func() (uint64, error) {
		version, err := f.API.Put(ctx, key, value, expect)
		if err == nil {
			f.applied = append(f.applied, value)
		}
		return version, err
	}
	switch rapid.SampledFrom([]string{"ok", "ok", "answer lost", "request lost", "late", "throttled"}).Draw(f.t, "write fate") {
	case "answer lost":
		_, _ = send()
		return 0, objectapi.ErrUnavailable
	case "request lost":
		return 0, objectapi.ErrUnavailable
	case "late":
		f.delayed = append(f.delayed, func() { _, _ = send() })
		return 0, objectapi.ErrUnavailable
	case "throttled":
		return 0, objectapi.ErrThrottled
	}
	return send()
}

// countApplied returns how many times a payload took effect.
func (f *faultyAPI) countApplied(payload string) int {
	n := 0
	for _, v := range f.applied {
		if bytes.HasSuffix(v, []byte(payload)) {
			n++
		}
	}
	return n
}

// With any schedule of lost, delayed and throttled calls and of concurrent writes, a confirmed
// Put took effect exactly once, a Put with a definite error never, and any other at most once.
func TestPut_ResultMatchesEffectUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := newStore()
		other := newClient(store, 2)
		faulty := &faultyAPI{API: store, t: t}
		otherWrites := 0
		faulty.otherWriter = func() {
			otherWrites++
			o, err := other.Get(context.Background(), "k")
			if err != nil && !errors.Is(err, objectapi.ErrNotFound) {
				t.Fatal(err)
			}
			if _, err := other.Put(context.Background(), "k", fmt.Appendf(nil, "<other %d>", otherWrites), o.Version); err != nil {
				t.Fatal(err)
			}
		}
		c := newClient(faulty, 1)
		for i := range rapid.IntRange(1, 10).Draw(t, "writes") {
			o, err := c.Get(context.Background(), "k")
			if err != nil && !errors.Is(err, objectapi.ErrNotFound) {
				continue
			}
			payload := fmt.Sprintf("<mine %d>", i)
			version, err := c.Put(context.Background(), "k", []byte(payload), o.Version)
			n := faulty.countApplied(payload)
			switch {
			case err == nil && (n != 1 || version <= o.Version):
				t.Fatalf("%s confirmed as version %d after %d, but took effect %d times", payload, version, o.Version, n)
			case err != nil && !objectapi.Unresolved(err) && n != 0:
				t.Fatalf("%s failed with the definite error %v, but took effect %d times", payload, err, n)
			case n > 1:
				t.Fatalf("%s took effect %d times", payload, n)
			}
		}
	})
}
