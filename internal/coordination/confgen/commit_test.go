package confgen

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"pgregory.net/rapid"

	"oleanderfall.example/oleanderfall/internal/state/confstore"
	"oleanderfall.example/oleanderfall/internal/state/model"
)

// fakeObjectAPI simulates the object API as commits see it. Root writes may be delayed.
type fakeObjectAPI struct {
	root    confstore.Root
	version uint64
	content map[string]bool
	delayed []func()
	// accepted lists every root that was ever stored.
	accepted []confstore.Root
}

func (p *fakeObjectAPI) putRoot(root confstore.Root, expect uint64) bool {
	if p.version != expect {
		return false
	}
	p.root, p.version = root, p.version+1
	p.accepted = append(p.accepted, root)
	return true
}

// acceptedCount returns how many generations a request was accepted as, and the last one.
func (p *fakeObjectAPI) acceptedCount(id string) (n int, at model.Generation) {
	for _, r := range p.accepted {
		if r.History[0].RequestID == id {
			n, at = n+1, r.Generation
		}
	}
	return n, at
}

// operator is an operator with a commit in progress.
type operator struct {
	request Request
	commit  *Commit
	action  Action
	// restarted reports that an earlier commit of the same request was abandoned.
	restarted bool
}

func newOperator(id int, base model.Generation) *operator {
	name := fmt.Sprintf("r%d", id)
	o := &operator{request: Request{Base: base, Chunks: 2, Change: confstore.Change{RequestID: name, Operator: name, Digest: "digest-" + name}}}
	o.commit, o.action = NewCommit(o.request)
	return o
}

type fault string

const (
	noFault      fault = "none"
	answerLost   fault = "answer lost"
	requestLost  fault = "request lost"
	writeDelayed fault = "write delayed"
	refused      fault = "refused"
)

var faults = []fault{noFault, noFault, noFault, answerLost, requestLost, writeDelayed, refused}

// execute performs an operator's action on the fake under the given fault.
func (p *fakeObjectAPI) execute(o *operator, f fault) Answer {
	if f == refused {
		return Answer{Kind: NotApplied}
	}
	switch o.action.Kind {
	case ReadRoot:
		if f != noFault {
			return Answer{Kind: Indeterminate}
		}
		if p.version == 0 {
			return Answer{Kind: Missing}
		}
		return Answer{Kind: Done, Root: p.root, Version: p.version}
	case PutContent:
		if f == noFault || f == answerLost {
			p.content[ContentKey(o.action.Root.Generation, o.action.Root.Digest, o.action.Chunk)] = true
		}
		if f == noFault {
			return Answer{Kind: Done}
		}
		return Answer{Kind: Indeterminate}
	}
	return p.executePutRoot(o.action, f)
}

func (p *fakeObjectAPI) executePutRoot(a Action, f fault) Answer {
	switch f {
	case requestLost:
		return Answer{Kind: Indeterminate}
	case writeDelayed:
		p.delayed = append(p.delayed, func() { p.putRoot(a.Root, a.Expect) })
		return Answer{Kind: Indeterminate}
	}
	done := p.putRoot(a.Root, a.Expect)
	switch {
	case f == answerLost:
		return Answer{Kind: Indeterminate}
	case done:
		return Answer{Kind: Done}
	}
	return Answer{Kind: Conflict}
}

// Concurrent commits with lost answers, lost requests, delayed root writes and crashed
// operators: each accepted change is exactly one generation, its content is stored, and
// the result reported to the operator is true.
func TestCommit_EachChangeAcceptedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := &fakeObjectAPI{content: map[string]bool{}}
		var running []*operator
		for step := range rapid.IntRange(1, 120).Draw(t, "steps") {
			if len(running) < 3 {
				running = append(running, newOperator(step, p.root.Generation))
			}
			i := rapid.IntRange(0, len(running)-1).Draw(t, "operator")
			if len(p.delayed) > 0 && rapid.Bool().Draw(t, "deliver") {
				p.delayed[0]()
				p.delayed = p.delayed[1:]
			}
			o := running[i]
			if rapid.IntRange(0, 9).Draw(t, "crash") == 0 {
				o.restarted = true
				o.commit, o.action = NewCommit(o.request)
			} else {
				o.action = o.commit.Next(p.execute(o, rapid.SampledFrom(faults).Draw(t, "fault")))
			}
			p.checkInvariants(t)
			if o.action.Kind == Finish {
				p.checkResult(t, o)
				running = append(running[:i], running[i+1:]...)
			}
		}
	})
}

// checkInvariants checks the conditions that hold after every step.
func (p *fakeObjectAPI) checkInvariants(t *rapid.T) {
	seen := map[string]bool{}
	for i, r := range p.accepted {
		if r.Generation != model.Generation(i+1) {
			t.Fatalf("accepted root has generation %d, want %d", r.Generation, i+1)
		}
		if id := r.History[0].RequestID; seen[id] {
			t.Fatalf("request %s was accepted as two generations", id)
		} else {
			seen[id] = true
		}
	}
	for chunk := range p.root.Chunks {
		if !p.content[ContentKey(p.root.Generation, p.root.Digest, chunk)] {
			t.Fatalf("generation %d was accepted without its content", p.root.Generation)
		}
	}
	for _, key := range Garbage(p.root, keysOf(p.content)) {
		if key == ContentKey(p.root.Generation, p.root.Digest, 0) {
			t.Fatalf("content of the current generation is reported as garbage: %s", key)
		}
	}
}

func keysOf(m map[string]bool) []string {
	var out []string
	for k := range m {
		out = append(out, k)
	}
	return out
}

func (p *fakeObjectAPI) checkResult(t *rapid.T, o *operator) {
	n, at := p.acceptedCount(o.request.Change.RequestID)
	switch r := o.action.Result; r.Kind {
	case Accepted:
		if n != 1 || at != r.Generation {
			t.Fatalf("result accepted as generation %d, but stored %d times, last as %d", r.Generation, n, at)
		}
	case Raced:
		if n != 0 || r.Other.RequestID == o.request.Change.RequestID {
			t.Fatalf("result raced, but accepted %d times; other change %+v", n, r.Other)
		}
	case Outage:
		if n != 0 && !o.restarted {
			t.Fatalf("result outage (not applied), but accepted %d times", n)
		}
	case Unchanged, RequestIDReused:
		t.Fatalf("result kind %d for a new request", r.Kind)
	}
}

// Evaluate decides by the root's history whether a request was accepted, raced with
// another change, or is older than the history and therefore unknown.
func TestEvaluate_History(t *testing.T) {
	change := func(id string) confstore.Change { return confstore.Change{RequestID: id, Digest: "digest-" + id} }
	root := confstore.Root{}
	for i := range confstore.MaxHistory + 10 {
		root = NextRoot(root, Request{Change: change(fmt.Sprint(i)), Chunks: 1})
	}
	last := root.Generation
	cases := []struct {
		name    string
		base    model.Generation
		id      string
		want    ResultKind
		decided bool
	}{
		{"based on the newest generation", last, "new", Accepted, false},
		{"based on the previous generation", last - 1, "new", Raced, true},
		{"retry of an accepted request", 3, fmt.Sprint(last - 1), Accepted, true},
		{"based on a generation older than the history", 3, "new", Unknown, true},
	}
	for _, c := range cases {
		r, decided := Evaluate(root, Request{Base: c.base, Change: change(c.id), Chunks: 1})
		if decided != c.decided || r.Kind != c.want {
			t.Errorf("%s: result %+v, decided %t", c.name, r, decided)
		}
	}
	same := change("other")
	same.Digest = root.Digest
	if r, decided := Evaluate(root, Request{Base: last, Change: same}); !decided || r.Kind != Unchanged || r.Generation != last {
		t.Errorf("unchanged content: result %+v", r)
	}
}

// With the same member list every host computes the same order, so that each region has
// exactly WatchersPerRegion watchers. A host that knows no other member has rank 0.
func TestWatchRank_FixedNumberPerRegion(t *testing.T) {
	var members []model.Member
	for i := range 60 {
		members = append(members, model.Member{Host: model.HostID(fmt.Sprintf("h%d", i)), Zone: model.ZoneID(fmt.Sprintf("z%d", i%4)), State: model.HostAlive})
	}
	regionOf := func(z model.ZoneID) model.RegionID { return model.RegionID("r" + string(z[1]-'0'%2)) }
	watchers := map[model.RegionID]int{}
	for _, m := range members {
		if WatchRank(m.Host, regionOf(m.Zone), members, regionOf) < WatchersPerRegion {
			watchers[regionOf(m.Zone)]++
		}
	}
	for region, n := range watchers {
		if n != WatchersPerRegion {
			t.Errorf("%d watchers in region %s", n, region)
		}
	}
	if alone := WatchRank("h1", "r", nil, regionOf); alone != 0 {
		t.Errorf("a single host has rank %d, want 0", alone)
	}
}

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}
