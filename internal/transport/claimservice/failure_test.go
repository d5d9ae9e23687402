package claimservice

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

const sendTimeout = 15 * time.Second

// The store performs a commit but its response is lost; the retry must not run the key again.
func TestCommit_LostResponseRunsRequestOnce(t *testing.T) {
	c := newCluster(t, clusterOptions{entries: 2, shards: 1})
	c.store.SetFaults(standin.Faults{LoseAnswers: 3, LoseKeyPrefix: "claims/"})
	received := map[string][]result{}
	for _, e := range c.entries {
		received["k"] = append(received["k"], c.send(e, "k", sendTimeout))
	}
	for _, r := range received["k"] {
		if r.code != resultcode.OK {
			t.Errorf("got %v", r.code)
		}
	}
	c.checkResults(received)
}

// A request that reuses the key of a request with other content must neither run nor get the
// other answer.
func TestBegin_RejectsKeyReusedForOtherContent(t *testing.T) {
	c := newCluster(t, clusterOptions{entries: 2, shards: 1})
	c.send(c.entries[0], "k", sendTimeout)
	if _, err := c.entries[1].Begin(t.Context(), testKey("k"), 8); codeOf(err) != resultcode.KeyReused {
		t.Fatalf("other content: %v", err)
	}
}

// An owner that is paused while another host takes over must not grant the claim, nor report
// as not run what its successor granted.
func TestOwner_PausedDuringTakeoverGrantsNothing(t *testing.T) {
	c := newCluster(t, clusterOptions{entries: 3, shards: 1})
	owner, other := c.ownerOf("k")
	owner.objectAPI.pause()
	var first result
	var sends sync.WaitGroup
	sends.Go(func() { first = c.send(owner, "k", 1500*time.Millisecond) })
	c.waitFor("the paused owner has the call", func() bool { live, _ := owner.attempts.size(); return live == 1 })
	c.updateView(owner.name)
	second := c.send(other, "k", sendTimeout)
	if second.code != resultcode.OK {
		t.Fatalf("resend at the new owner: %v", second.code)
	}
	sends.Wait()
	owner.objectAPI.resume()
	third := c.send(owner, "k", sendTimeout)
	if third.code != resultcode.OK {
		t.Errorf("resend at the former owner: %v", third.code)
	}
	c.checkResults(map[string][]result{"k": {first, second, third}})
	if first.outcome() == resultcode.NotRun {
		t.Errorf("the paused owner returned %v", first.code)
	}
}

// killPoints are the stages of a request at which its entry host is killed.
var killPoints = []string{"during the claim write", "before dispatch", "after dispatch", "after the outcome is recorded"}

// The entry host of a request is killed at each kill point; resends at a remote host and at the
// restarted one must not run the request a second time.
func TestBegin_HolderKilledRunsAtMostOnce(t *testing.T) {
	for _, point := range killPoints {
		t.Run(point, func(t *testing.T) {
			c := newCluster(t, clusterOptions{entries: 3, shards: 1})
			owner, victim := c.ownerOf("k")
			killAt(t, c, owner, victim, point)
			c.updateView(victim.name)
			received := []result{c.send(owner, "k", sendTimeout)}
			restarted := c.start(victim.name+"-restarted", victim.mesh.Address())
			c.waitFor("the restarted host knows the shard owners", func() bool { return restarted.Ready() == nil })
			received = append(received, c.send(restarted, "k", sendTimeout))
			c.checkResults(map[string][]result{"k": received})
			for _, r := range received {
				if point == "after the outcome is recorded" && r.code != resultcode.OK || r.outcome() == resultcode.NotRun {
					t.Errorf("got %v", r.code)
				}
			}
			if point == "before dispatch" && c.runs()["k"] != 0 {
				t.Error("the claim of a killed host was run")
			}
		})
	}
}

// killAt advances a request of the victim to a kill point and kills the victim there.
func killAt(t *testing.T, c *cluster, owner, victim *entryHost, point string) {
	t.Helper()
	if point == killPoints[0] {
		killed := make(chan struct{})
		var once sync.Once
		owner.objectAPI.mu.Lock()
		owner.objectAPI.onWrite = func(key string) {
			if strings.Contains(key, "/entry/") {
				once.Do(func() { victim.kill(); close(killed) })
			}
		}
		owner.objectAPI.mu.Unlock()
		_, _ = victim.Begin(shortContext(t), testKey("k"), 7)
		<-killed
		return
	}
	claim, err := victim.Begin(t.Context(), testKey("k"), 7)
	if err != nil || claim.Verdict != VerdictRun {
		t.Fatalf("first Begin: %v %v", claim.Verdict, err)
	}
	if point != killPoints[1] {
		body, err := c.dispatch(t.Context(), "k")
		if err != nil {
			t.Fatal(err)
		}
		if point == killPoints[3] {
			victim.Settle(t.Context(), claim, resultcode.Ran, Answer{Status: 200, Body: body})
			c.waitFor("the outcome is durable", func() bool { live, _ := victim.attempts.size(); return live == 0 })
		}
	}
	victim.kill()
}

func shortContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	t.Cleanup(cancel)
	return ctx
}

// Claims requested during an outage are undecided; resends after it run each key once.
func TestBegin_OutageLeavesKeysUndecided(t *testing.T) {
	c := newCluster(t, clusterOptions{entries: 3, shards: 2})
	c.store.SetFaults(standin.Faults{Outage: true})
	received := map[string][]result{}
	for i := range 6 {
		key := fmt.Sprint("k", i)
		r := c.send(c.entries[i%3], key, 200*time.Millisecond)
		if r.code != resultcode.ClaimUnknown {
			t.Errorf("%s got %v during the outage", key, r.code)
		}
		received[key] = append(received[key], r)
	}
	c.store.SetFaults(standin.Faults{})
	for i := range 6 {
		key := fmt.Sprint("k", i)
		r := c.sendUntilDecided(c.entries[(i+1)%3], key)
		if r.code != resultcode.OK {
			t.Errorf("%s got %v after the outage", key, r.code)
		}
		received[key] = append(received[key], r)
	}
	c.checkResults(received)
}

// sendUntilDecided sends the key again until the result is not ClaimUnknown.
func (c *cluster) sendUntilDecided(e *entryHost, key string) (r result) {
	for end := time.Now().Add(sendTimeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if r = c.send(e, key, sendTimeout); r.code != resultcode.ClaimUnknown {
			return r
		}
	}
	return r
}

// While the owner knows of an outage, a new call fails well before its deadline with a
// retry delay, and a resend of an answered key gets its answer.
func TestBegin_KnownOutageFailsFastWithRetryAfter(t *testing.T) {
	c := newCluster(t, clusterOptions{entries: 2, shards: 1})
	owner, other := c.ownerOf("k")
	if r := c.send(other, "old", sendTimeout); r.code != resultcode.OK {
		t.Fatalf("before the outage: %v", r.code)
	}
	c.store.SetFaults(standin.Faults{Outage: true})
	for i, e := range []*entryHost{owner, other, owner, other} {
		ctx, cancel := context.WithTimeout(t.Context(), sendTimeout)
		_, err := e.Begin(ctx, testKey(fmt.Sprint("new", i/2)), 7)
		var coded *resultcode.Error
		if !errors.As(err, &coded) || coded.Code != resultcode.ClaimUnknown || coded.RetryAfterMillis <= 0 {
			t.Errorf("call %d during the outage: %v", i, err)
		}
		if ctx.Err() != nil {
			t.Errorf("call %d blocked until its deadline", i)
		}
		cancel()
	}
	if r := c.send(other, "old", sendTimeout); r.code != resultcode.OK {
		t.Errorf("resend of an answered key during the outage: %v", r.code)
	}
	c.store.SetFaults(standin.Faults{})
	if r := c.sendUntilDecided(other, "new0"); r.code != resultcode.OK {
		t.Errorf("after the outage: %v", r.code)
	}
	c.checkResults(nil)
}

// Calls that their callers cancel early do not count as failures of a healthy owner.
func TestBegin_CallerTimeoutsDoNotMoveShard(t *testing.T) {
	c := newCluster(t, clusterOptions{entries: 2, shards: 1})
	owner, other := c.ownerOf("k")
	before, _ := other.shardManager.Lookup(shardID(0))
	owner.objectAPI.pause()
	for i := range 100 {
		ctx, cancel := context.WithTimeout(t.Context(), 30*time.Millisecond)
		_, _ = other.Begin(ctx, testKey(fmt.Sprint("k", i)), 7)
		cancel()
	}
	owner.objectAPI.resume()
	after, _ := owner.shardManager.Lookup(shardID(0))
	if known, _ := other.shardManager.Lookup(shardID(0)); known.Epoch != before.Epoch || !after.Self {
		t.Errorf("the shard moved from epoch %d to %d", before.Epoch, known.Epoch)
	}
}

// Only consecutive failed calls make the holder of a running attempt count as dead: a reply
// resets the count.
func TestFollowHolder_ReplyResetsFailures(t *testing.T) {
	c := newCluster(t, clusterOptions{entries: 1, shards: 1})
	e := c.entries[0]
	claim, err := e.Begin(t.Context(), testKey("k"), 7)
	if err != nil {
		t.Fatal(err)
	}
	r := claimReply{Verdict: claims.InUse, Holder: e.holder()}
	if _, err := hex.Decode(r.Attempt[:], []byte(claim.Attempt)); err != nil {
		t.Fatal(err)
	}
	b := &beginCall{service: e.Service, attempt: &attempt{}, holderFailures: maxHolderFailures - 1}
	if _, done, _ := b.followHolder(shortContext(t), r); done || b.holderFailures != 0 {
		t.Errorf("done %v, %d failures after an answered call", done, b.holderFailures)
	}
}

// A key settled as not run must not stay blocked: a resend runs.
func TestSettle_NotRunFreesKey(t *testing.T) {
	c := newCluster(t, clusterOptions{entries: 2, shards: 1})
	claim, err := c.entries[0].Begin(t.Context(), testKey("k"), 7)
	if err != nil {
		t.Fatal(err)
	}
	c.entries[0].Settle(t.Context(), claim, resultcode.NotRun, Answer{})
	r := c.send(c.entries[1], "k", sendTimeout)
	if r.code != resultcode.OK {
		t.Fatalf("got %v", r.code)
	}
	c.checkResults(map[string][]result{"k": {r}})
}

// An answer too large for the journal is held by its entry host and is lost with that host.
func TestBegin_LargeAnswerFetchedFromHolder(t *testing.T) {
	c := newCluster(t, clusterOptions{entries: 2, shards: 1})
	body := strings.Repeat("x", 100<<10)
	claim, err := c.entries[0].Begin(t.Context(), testKey("k"), 7)
	if err != nil {
		t.Fatal(err)
	}
	c.entries[0].Settle(t.Context(), claim, resultcode.Ran, Answer{Status: 200, Body: []byte(body)})
	c.waitFor("the outcome is durable", func() bool { live, _ := c.entries[0].attempts.size(); return live == 0 })
	got, err := c.entries[1].Begin(t.Context(), testKey("k"), 7)
	if err != nil || got.Verdict != VerdictAnswered || string(got.Answer.Body) != body {
		t.Fatalf("verdict %v, %d bytes: %v", got.Verdict, len(got.Answer.Body), err)
	}
	c.entries[0].kill()
	c.updateView(c.entries[0].name)
	got, err = c.entries[1].Begin(t.Context(), testKey("k"), 7)
	if err != nil || got.Verdict != VerdictAnswerLost {
		t.Fatalf("verdict %v after the holder died: %v", got.Verdict, err)
	}
}

// Several hosts receive each key at the same time, while the store throttles writes and loses
// responses and an owner releases its shards. Each key must run once.
func TestClaims_DuplicatesUnderFaultsRunOnce(t *testing.T) {
	c := newCluster(t, clusterOptions{entries: 4, shards: 2, store: standin.ObjectStoreOptions{Latency: 2 * time.Millisecond, WritesPerSecond: 80}})
	c.store.SetFaults(standin.Faults{LoseAnswers: 10, LoseKeyPrefix: "claims/"})
	const keys, senders = 300, 3
	var mu sync.Mutex
	received := map[string][]result{}
	var all sync.WaitGroup
	for i := range keys {
		key := fmt.Sprint("k", i)
		for s := range senders {
			all.Go(func() {
				time.Sleep(time.Duration(i) * 5 * time.Millisecond)
				r := c.send(c.entries[(i+s)%4], key, sendTimeout)
				mu.Lock()
				defer mu.Unlock()
				received[key] = append(received[key], r)
			})
		}
	}
	owner, _ := c.ownerOf("k0")
	if err := owner.shardManager.Release(t.Context()); err != nil {
		t.Error(err)
	}
	all.Wait()
	c.checkResults(received)
	if n := len(c.runs()); n != keys {
		t.Errorf("%d of %d keys ran", n, keys)
	}
}

// memoryClaims keeps claims in the memory of one host, so that other hosts run them again.
type memoryClaims struct {
	mu      sync.Mutex
	answers map[Key]Answer
}

func (m *memoryClaims) Begin(_ context.Context, key Key, _ uint64) (Claim, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if a, ok := m.answers[key]; ok {
		return Claim{Key: key, Verdict: VerdictAnswered, Answer: a}, nil
	}
	return Claim{Key: key, Verdict: VerdictRun}, nil
}

func (m *memoryClaims) Settle(_ context.Context, t Claim, _ resultcode.Outcome, a Answer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.answers[t.Key] = a
}

// Claims kept in the memory of each host let a key run twice. The run count that the other
// tests rely on must show both runs.
func TestRunCount_DetectsDoubleRunOfLocalClaims(t *testing.T) {
	c := newCluster(t, clusterOptions{entries: 1, shards: 1})
	for range 2 {
		c.sendWith(t.Context(), &memoryClaims{answers: map[Key]Answer{}}, "k")
	}
	if n := c.runs()["k"]; n != 2 {
		t.Fatalf("with claims kept per host the key ran %d times, want 2", n)
	}
}
