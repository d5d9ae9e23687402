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

// platform is the object API as far as commits see it. Root writes may arrive late.
type platform struct {
	root    confstore.Root
	version uint64
	content map[string]bool
	delayed []func()
	// accepted lists every root that was ever in place.
	accepted []confstore.Root
}

func (p *platform) putRoot(root confstore.Root, expect uint64) bool {
	if p.version != expect {
		return false
	}
	p.root, p.version = root, p.version+1
	p.accepted = append(p.accepted, root)
	return true
}

// times counts the generations that a request became.
func (p *platform) times(id string) (n int, at model.Generation) {
	for _, r := range p.accepted {
		if r.History[0].RequestID == id {
			n, at = n+1, r.Generation
		}
	}
	return n, at
}

// operator is one operator with a commit under way.
type operator struct {
	request Request
	commit  *Commit
	action  Action
	// uncertain says that an earlier commit of the same request was broken off.
	uncertain bool
}

func newOperator(id int, base model.Generation) *operator {
	name := fmt.Sprintf("r%d", id)
	o := &operator{request: Request{Base: base, Chunks: 2, Change: confstore.Change{RequestID: name, Operator: name, Digest: "digest-" + name}}}
	o.commit, o.action = NewCommit(o.request)
	return o
}

type fate string

const (
	fine        fate = "fine"
	answerLost  fate = "answer lost"
	requestLost fate = "request lost"
	late        fate = "arrives late"
	refused     fate = "refused"
)

var fates = []fate{fine, fine, fine, answerLost, requestLost, late, refused}

// carryOut does an operator's action on the platform.
func (p *platform) carryOut(o *operator, f fate) Answer {
	if f == refused {
		return Answer{Kind: NotDone}
	}
	switch o.action.Kind {
	case ReadRoot:
		if f != fine {
			return Answer{Kind: Unclear}
		}
		if p.version == 0 {
			return Answer{Kind: Missing}
		}
		return Answer{Kind: Done, Root: p.root, Version: p.version}
	case PutContent:
		if f == fine || f == answerLost {
			p.content[ContentKey(o.action.Root.Generation, o.action.Root.Digest, o.action.Chunk)] = true
		}
		if f == fine {
			return Answer{Kind: Done}
		}
		return Answer{Kind: Unclear}
	}
	return p.carryOutRoot(o.action, f)
}

func (p *platform) carryOutRoot(a Action, f fate) Answer {
	switch f {
	case requestLost:
		return Answer{Kind: Unclear}
	case late:
		p.delayed = append(p.delayed, func() { p.putRoot(a.Root, a.Expect) })
		return Answer{Kind: Unclear}
	}
	done := p.putRoot(a.Root, a.Expect)
	switch {
	case f == answerLost:
		return Answer{Kind: Unclear}
	case done:
		return Answer{Kind: Done}
	}
	return Answer{Kind: Conflict}
}

func TestAcceptedChangesAreOneGenerationEachAndNoneIsLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := &platform{content: map[string]bool{}}
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
				o.uncertain = true
				o.commit, o.action = NewCommit(o.request)
			} else {
				o.action = o.commit.Next(p.carryOut(o, rapid.SampledFrom(fates).Draw(t, "fate")))
			}
			p.check(t)
			if o.action.Kind == Finish {
				p.checkResult(t, o)
				running = append(running[:i], running[i+1:]...)
			}
		}
	})
}

// check holds the conditions that are true after every step.
func (p *platform) check(t *rapid.T) {
	seen := map[string]bool{}
	for i, r := range p.accepted {
		if r.Generation != model.Generation(i+1) {
			t.Fatalf("generation %d in place %d", r.Generation, i+1)
		}
		if id := r.History[0].RequestID; seen[id] {
			t.Fatalf("%s became two generations", id)
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
			t.Fatalf("the content in force is garbage: %s", key)
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

func (p *platform) checkResult(t *rapid.T, o *operator) {
	n, at := p.times(o.request.Change.RequestID)
	switch r := o.action.Result; r.Kind {
	case Accepted:
		if n != 1 || at != r.Generation {
			t.Fatalf("accepted as %d, but %d times, at %d", r.Generation, n, at)
		}
	case Raced:
		if n != 0 || r.Other.RequestID == o.request.Change.RequestID {
			t.Fatalf("raced, but accepted %d times; other %+v", n, r.Other)
		}
	case Outage:
		if n != 0 && !o.uncertain {
			t.Fatalf("called not applied, but accepted %d times", n)
		}
	case Unchanged, Reused:
		t.Fatalf("result %d of a fresh request", r.Kind)
	}
}

func TestARequestIsJudgedByTheHistory(t *testing.T) {
	change := func(id string) confstore.Change { return confstore.Change{RequestID: id, Digest: "digest-" + id} }
	root := confstore.Root{}
	for i := range confstore.MaxHistory + 10 {
		root = Successor(root, Request{Change: change(fmt.Sprint(i)), Chunks: 1})
	}
	last := root.Generation
	cases := []struct {
		name  string
		base  model.Generation
		id    string
		want  ResultKind
		ended bool
	}{
		{"a change of the newest", last, "new", Accepted, false},
		{"a change of the one before", last - 1, "new", Raced, true},
		{"its own repetition", 3, fmt.Sprint(last - 1), Accepted, true},
		{"older than the history", 3, "new", Unknown, true},
	}
	for _, c := range cases {
		r, ended := Judge(root, Request{Base: c.base, Change: change(c.id), Chunks: 1})
		if ended != c.ended || r.Kind != c.want {
			t.Errorf("%s: %+v, %t", c.name, r, ended)
		}
	}
	same := change("other")
	same.Digest = root.Digest
	if r, ended := Judge(root, Request{Base: last, Change: same}); !ended || r.Kind != Unchanged || r.Generation != last {
		t.Errorf("unchanged content: %+v", r)
	}
}

func TestWatchersAreFewAndEveryHostAgrees(t *testing.T) {
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
			t.Errorf("%d watchers in %s", n, region)
		}
	}
	if alone := WatchRank("h1", "r", nil, regionOf); alone != 0 {
		t.Errorf("a host alone has rank %d", alone)
	}
}

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}
