package dissemination

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"oleanderfall.example/oleanderfall/internal/state/items"
	"oleanderfall.example/oleanderfall/internal/state/members"
	"oleanderfall.example/oleanderfall/internal/state/model"
)

var start = time.Unix(1000, 0)

func drainItem(key string, version uint64) items.Item {
	return items.Item{Kind: items.Drain, Key: key, Version: version, Drain: &items.DrainFact{Endpoint: model.EndpointID(key)}}
}

func loadItem(key string) items.Item {
	return items.Item{Kind: items.Load, Key: key, Version: 1, Load: &items.LoadFact{Running: 3}}
}

func TestUrgentNewsGoesTwiceToEachLinkButNotBack(t *testing.T) {
	q := NewQueue()
	q.AddItem(start, drainItem("e1", 1), "source")
	if n := q.Urgent(start, "source"); !n.Empty() {
		t.Fatalf("sent back: %+v", n)
	}
	if n := q.Urgent(start, "b"); len(n.Items) != 1 {
		t.Fatalf("first sending: %+v", n)
	}
	if n := q.Urgent(start.Add(repeatAfter/2), "b"); !n.Empty() {
		t.Fatalf("repeated too early: %+v", n)
	}
	second := q.Heartbeat(start.Add(repeatAfter), "b")
	if len(second.Items) != 1 || second.Items[0].AgeMillis != repeatAfter.Milliseconds() {
		t.Fatalf("second sending: %+v", second)
	}
	if n := q.Heartbeat(start.Add(3*repeatAfter), "b"); !n.Empty() {
		t.Fatalf("third sending: %+v", n)
	}
	q.Expire(start.Add(3*repeatAfter), []members.Record{{Host: "source"}, {Host: "b"}})
	if urgent, _ := q.Len(); urgent != 0 {
		t.Fatal("spread news is still queued")
	}
}

func TestHintsGoToAFewLinksWithHeartbeatsOnly(t *testing.T) {
	q := NewQueue()
	q.AddItem(start, loadItem("e1"), "")
	if n := q.Urgent(start, "a"); !n.Empty() {
		t.Fatalf("a hint was sent at once: %+v", n)
	}
	sent := 0
	for i := range 10 {
		sent += len(q.Heartbeat(start, model.HostID(fmt.Sprint(i))).Items)
	}
	if sent != hintFanout {
		t.Fatalf("sent to %d links", sent)
	}
}

func TestNewerNewsReplacesOlderInTheQueue(t *testing.T) {
	q := NewQueue()
	q.AddItem(start, drainItem("e1", 1), "")
	q.AddItem(start, drainItem("e1", 2), "")
	if n := q.Urgent(start, "b"); len(n.Items) != 1 || n.Items[0].Version != 2 {
		t.Fatalf("sent %+v", n)
	}
}

func TestMessagesStayWithinTheirBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewQueue()
		for i := range rapid.IntRange(0, 200).Draw(t, "news") {
			key := fmt.Sprintf("endpoint-%d", i)
			switch rapid.IntRange(0, 2).Draw(t, "kind") {
			case 0:
				q.AddItem(start, drainItem(key, 1), "")
			case 1:
				q.AddItem(start, loadItem(key), "")
			case 2:
				q.AddRecord(start, members.Record{Host: model.HostID(key)}, "")
			}
		}
		for {
			n := q.Heartbeat(start, "b")
			if n.Empty() {
				return
			}
			bytes, hints := 0, 0
			for _, r := range n.Records {
				bytes += r.Size()
			}
			for _, i := range n.Items {
				bytes += i.Size()
				if i.Kind == items.Load {
					hints += i.Size()
				}
			}
			if bytes > MessageBytes || hints > HeartbeatHintBytes {
				t.Fatalf("%d bytes, %d of hints", bytes, hints)
			}
		}
	})
}

func TestAFullQueueDropsItsOldestHint(t *testing.T) {
	q := NewQueue()
	for i := range maxHints + 5 {
		q.AddItem(start, loadItem(fmt.Sprint(i)), "")
	}
	if _, hints := q.Len(); hints != maxHints {
		t.Fatalf("%d hints queued", hints)
	}
	if n := q.Heartbeat(start, "b"); n.Items[0].Key != "5" {
		t.Fatalf("the oldest hint is %s", n.Items[0].Key)
	}
}
