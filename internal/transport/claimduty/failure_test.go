package claimduty

import (
	"context"
	"encoding/hex"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"oleanderfall.example/oleanderfall/internal/coordination/claims"
	"oleanderfall.example/oleanderfall/internal/protocol/resultcode"
	"oleanderfall.example/oleanderfall/internal/standin"
)

const long = 15 * time.Second

func TestLostAnswerOfACommitRunsTheRequestOnce(t *testing.T) {
	c := newCluster(t, clusterOptions{entries: 2, shards: 1})
	c.store.SetFaults(standin.Faults{LoseAnswers: 3, LoseKeyPrefix: "claims/"})
	told := map[string][]result{}
	for _, e := range c.entries {
		told["k"] = append(told["k"], c.send(e, "k", long))
	}
	for _, r := range told["k"] {
		if r.code != resultcode.OK {
			t.Errorf("told %v", r.code)
		}
	}
	c.judge(told)
}

func TestKeyUsedForOtherContentIsRefused(t *testing.T) {
	c := newCluster(t, clusterOptions{entries: 2, shards: 1})
	c.send(c.entries[0], "k", long)
	if _, err := c.entries[1].Begin(t.Context(), testKey("k"), 8); codeOf(err) != resultcode.KeyReused {
		t.Fatalf("other content: %v", err)
	}
}

// A paused owner neither grants nor refuses as not run what its successor decides.
func TestOwnerPausedPastItsTakeoverGrantsNothing(t *testing.T) {
	c := newCluster(t, clusterOptions{entries: 3, shards: 1})
	owner, other := c.ownerOf("k")
	owner.gate.pause()
	var first result
	var asked sync.WaitGroup
	asked.Go(func() { first = c.send(owner, "k", 1500*time.Millisecond) })
	c.await("the paused owner has the call", func() bool { live, _ := owner.attempts.size(); return live == 1 })
	c.refresh(owner.name)
	second := c.send(other, "k", long)
	if second.code != resultcode.OK {
		t.Fatalf("resend at the new owner: %v", second.code)
	}
	asked.Wait()
	owner.gate.resume()
	third := c.send(owner, "k", long)
	if third.code != resultcode.OK {
		t.Errorf("resend at the former owner: %v", third.code)
	}
	c.judge(map[string][]result{"k": {first, second, third}})
	if first.outcome() == resultcode.NotRun {
		t.Errorf("the paused owner said %v", first.code)
	}
}

// killSteps are the moments of a request at which its entry host dies.
var killSteps = []string{"while the claim is written", "before dispatch", "after dispatch", "after the end is recorded"}

func TestRequestOfAKilledEntryHostRunsAtMostOnce(t *testing.T) {
	for _, step := range killSteps {
		t.Run(step, func(t *testing.T) {
			c := newCluster(t, clusterOptions{entries: 3, shards: 1})
			owner, victim := c.ownerOf("k")
			killAt(t, c, owner, victim, step)
			c.refresh(victim.name)
			told := []result{c.send(owner, "k", long)}
			again := c.start(victim.name+"-restarted", victim.mesh.Address())
			c.await("the restarted host knows the shards", func() bool { return again.Ready() == nil })
			told = append(told, c.send(again, "k", long))
			c.judge(map[string][]result{"k": told})
			for _, r := range told {
				if step == "after the end is recorded" && r.code != resultcode.OK || r.outcome() == resultcode.NotRun {
					t.Errorf("told %v", r.code)
				}
			}
			if step == "before dispatch" && c.runs()["k"] != 0 {
				t.Error("a claim of a dead host was run")
			}
		})
	}
}

// killAt brings a request of the victim to a step and kills the victim there.
func killAt(t *testing.T, c *cluster, owner, victim *entryHost, step string) {
	t.Helper()
	if step == killSteps[0] {
		killed := make(chan struct{})
		var once sync.Once
		owner.gate.mu.Lock()
		owner.gate.onWrite = func(key string) {
			if strings.Contains(key, "/entry/") {
				once.Do(func() { victim.kill(); close(killed) })
			}
		}
		owner.gate.mu.Unlock()
		_, _ = victim.Begin(shortContext(t), testKey("k"), 7)
		<-killed
		return
	}
	ticket, err := victim.Begin(t.Context(), testKey("k"), 7)
	if err != nil || ticket.Verdict != VerdictRun {
		t.Fatalf("first sending: %v %v", ticket.Verdict, err)
	}
	if step != killSteps[1] {
		body, err := c.dispatch(t.Context(), "k")
		if err != nil {
			t.Fatal(err)
		}
		if step == killSteps[3] {
			victim.Settle(t.Context(), ticket, resultcode.Ran, Answer{Status: 200, Body: body})
			c.await("the end is durable", func() bool { live, _ := victim.attempts.size(); return live == 0 })
		}
	}
	victim.kill()
}

func shortContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	t.Cleanup(cancel)
	return ctx
}

func TestOutageLeavesKeysUndecidedAndLaterRunsThemOnce(t *testing.T) {
	c := newCluster(t, clusterOptions{entries: 3, shards: 2})
	c.store.SetFaults(standin.Faults{Outage: true})
	told := map[string][]result{}
	for i := range 6 {
		key := fmt.Sprint("k", i)
		r := c.send(c.entries[i%3], key, 200*time.Millisecond)
		if r.code != resultcode.ClaimUnknown {
			t.Errorf("%s was told %v in the outage", key, r.code)
		}
		told[key] = append(told[key], r)
	}
	c.store.SetFaults(standin.Faults{})
	for i := range 6 {
		key := fmt.Sprint("k", i)
		r := c.sendUntilDecided(c.entries[(i+1)%3], key)
		if r.code != resultcode.OK {
			t.Errorf("%s was told %v after the outage", key, r.code)
		}
		told[key] = append(told[key], r)
	}
	c.judge(told)
}

// sendUntilDecided is a caller that comes back with the same key while it is told to.
func (c *cluster) sendUntilDecided(e *entryHost, key string) (r result) {
	for end := time.Now().Add(long); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if r = c.send(e, key, long); r.code != resultcode.ClaimUnknown {
			return r
		}
	}
	return r
}

// In an outage that the owner knows of, a new call gets its final answer while its
// deadline is far, and is told when to come back; an old one gets its answer.
func TestKnownOutageIsAnsweredAtOnceWithRetryAfter(t *testing.T) {
	c := newCluster(t, clusterOptions{entries: 2, shards: 1})
	owner, other := c.ownerOf("k")
	if r := c.send(other, "old", long); r.code != resultcode.OK {
		t.Fatalf("before the outage: %v", r.code)
	}
	c.store.SetFaults(standin.Faults{Outage: true})
	for i, e := range []*entryHost{owner, other, owner, other} {
		ctx, cancel := context.WithTimeout(t.Context(), long)
		_, err := e.Begin(ctx, testKey(fmt.Sprint("new", i/2)), 7)
		var coded *resultcode.Error
		if !errors.As(err, &coded) || coded.Code != resultcode.ClaimUnknown || coded.RetryAfterMillis <= 0 {
			t.Errorf("call %d in the outage: %v", i, err)
		}
		if ctx.Err() != nil {
			t.Errorf("call %d was held to its deadline", i)
		}
		cancel()
	}
	if r := c.send(other, "old", long); r.code != resultcode.OK {
		t.Errorf("resend of an answered key in the outage: %v", r.code)
	}
	c.store.SetFaults(standin.Faults{})
	if r := c.sendUntilDecided(other, "new0"); r.code != resultcode.OK {
		t.Errorf("after the outage: %v", r.code)
	}
	c.judge(nil)
}

// Callers that leave early don't make a host call a healthy owner gone.
func TestImpatientCallersDoNotMoveAShard(t *testing.T) {
	c := newCluster(t, clusterOptions{entries: 2, shards: 1})
	owner, other := c.ownerOf("k")
	before, _ := other.sharder.Lookup(shardID(0))
	owner.gate.pause()
	for i := range 100 {
		ctx, cancel := context.WithTimeout(t.Context(), 30*time.Millisecond)
		_, _ = other.Begin(ctx, testKey(fmt.Sprint("k", i)), 7)
		cancel()
	}
	owner.gate.resume()
	after, _ := owner.sharder.Lookup(shardID(0))
	if known, _ := other.sharder.Lookup(shardID(0)); known.Epoch != before.Epoch || !after.Self {
		t.Errorf("the shard moved from epoch %d to %d", before.Epoch, known.Epoch)
	}
}

// Only calls lost in a row make the holder of a running attempt count as gone.
func TestAnsweredCallClearsTheHoldersFailures(t *testing.T) {
	c := newCluster(t, clusterOptions{entries: 1, shards: 1})
	e := c.entries[0]
	ticket, err := e.Begin(t.Context(), testKey("k"), 7)
	if err != nil {
		t.Fatal(err)
	}
	r := claimReply{Verdict: claims.InUse, Holder: e.holder()}
	if _, err := hex.Decode(r.Attempt[:], []byte(ticket.Attempt)); err != nil {
		t.Fatal(err)
	}
	b := &begin{duty: e.Duty, attempt: &attempt{}, failures: followTries - 1}
	if _, done, _ := b.follow(shortContext(t), r); done || b.failures != 0 {
		t.Errorf("done %v, %d failures after an answered call", done, b.failures)
	}
}

func TestKeyIsFreeAfterItsRequestDidNotRun(t *testing.T) {
	c := newCluster(t, clusterOptions{entries: 2, shards: 1})
	ticket, err := c.entries[0].Begin(t.Context(), testKey("k"), 7)
	if err != nil {
		t.Fatal(err)
	}
	c.entries[0].Settle(t.Context(), ticket, resultcode.NotRun, Answer{})
	r := c.send(c.entries[1], "k", long)
	if r.code != resultcode.OK {
		t.Fatalf("told %v", r.code)
	}
	c.judge(map[string][]result{"k": {r}})
}

func TestLargeAnswerIsFetchedFromItsEntryHost(t *testing.T) {
	c := newCluster(t, clusterOptions{entries: 2, shards: 1})
	body := strings.Repeat("x", 100<<10)
	ticket, err := c.entries[0].Begin(t.Context(), testKey("k"), 7)
	if err != nil {
		t.Fatal(err)
	}
	c.entries[0].Settle(t.Context(), ticket, resultcode.Ran, Answer{Status: 200, Body: []byte(body)})
	c.await("the end is durable", func() bool { live, _ := c.entries[0].attempts.size(); return live == 0 })
	got, err := c.entries[1].Begin(t.Context(), testKey("k"), 7)
	if err != nil || got.Verdict != VerdictAnswered || string(got.Answer.Body) != body {
		t.Fatalf("verdict %v, %d bytes: %v", got.Verdict, len(got.Answer.Body), err)
	}
	c.entries[0].kill()
	c.refresh(c.entries[0].name)
	got, err = c.entries[1].Begin(t.Context(), testKey("k"), 7)
	if err != nil || got.Verdict != VerdictAnswerLost {
		t.Fatalf("verdict %v after the holder died: %v", got.Verdict, err)
	}
}

// Many callers send each key at several hosts at once, while the store throttles,
// loses answers and the owner is stopped in between.
func TestDoubledLoadWithFaultsRunsNothingTwice(t *testing.T) {
	c := newCluster(t, clusterOptions{entries: 4, shards: 2, store: standin.ObjectStoreOptions{Latency: 2 * time.Millisecond, WritesPerSecond: 80}})
	c.store.SetFaults(standin.Faults{LoseAnswers: 10, LoseKeyPrefix: "claims/"})
	const keys, senders = 300, 3
	var mu sync.Mutex
	told := map[string][]result{}
	var all sync.WaitGroup
	for i := range keys {
		key := fmt.Sprint("k", i)
		for s := range senders {
			all.Go(func() {
				time.Sleep(time.Duration(i) * 5 * time.Millisecond)
				r := c.send(c.entries[(i+s)%4], key, long)
				mu.Lock()
				defer mu.Unlock()
				told[key] = append(told[key], r)
			})
		}
	}
	owner, _ := c.ownerOf("k0")
	if err := owner.sharder.Release(t.Context()); err != nil {
		t.Error(err)
	}
	all.Wait()
	c.judge(told)
	if n := len(c.runs()); n != keys {
		t.Errorf("%d of %d keys ran", n, keys)
	}
}

// memoryClaims keeps claims in the memory of one host: the baseline that fails.
type memoryClaims struct {
	mu      sync.Mutex
	answers map[Key]Answer
}

func (m *memoryClaims) Begin(_ context.Context, key Key, _ uint64) (Ticket, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if a, ok := m.answers[key]; ok {
		return Ticket{Key: key, Verdict: VerdictAnswered, Answer: a}, nil
	}
	return Ticket{Key: key, Verdict: VerdictRun}, nil
}

func (m *memoryClaims) Settle(_ context.Context, t Ticket, _ resultcode.Outcome, a Answer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.answers[t.Key] = a
}

// The proofs above are worth something only if their judge sees a doubled run.
func TestJudgeSeesThatClaimsOfOneHostRunTwice(t *testing.T) {
	c := newCluster(t, clusterOptions{entries: 1, shards: 1})
	for range 2 {
		c.sendWith(t.Context(), &memoryClaims{answers: map[Key]Answer{}}, "k")
	}
	if n := c.runs()["k"]; n != 2 {
		t.Fatalf("claims in the memory of one host ran the key %d times, want 2", n)
	}
}
