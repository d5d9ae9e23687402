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

var testStart = time.Unix(1000, 0)

func drainItem(key string, version uint64) items.Item {
	return items.Item{Kind: items.Drain, Key: key, Version: version, Drain: &items.DrainFact{Endpoint: model.EndpointID(key)}}
}

func loadItem(key string) items.Item {
	return items.Item{Kind: items.Load, Key: key, Version: 1, Load: &items.LoadFact{Running: 3}}
}

// An urgent update must be sent twice to each link, with resendInterval between the sends,
// must not be sent back to the host it came from, and must then leave the queue.
func TestQueue_UrgentSentTwicePerLink(t *testing.T) {
	q := NewQueue()
	q.AddItem(testStart, drainItem("e1", 1), "source")
	if u := q.TakeUrgent(testStart, "source"); !u.Empty() {
		t.Fatalf("sent back to the source: %+v", u)
	}
	if u := q.TakeUrgent(testStart, "b"); len(u.Items) != 1 {
		t.Fatalf("first send: %+v", u)
	}
	if u := q.TakeUrgent(testStart.Add(resendInterval/2), "b"); !u.Empty() {
		t.Fatalf("sent again before the resend interval: %+v", u)
	}
	second := q.TakeForHeartbeat(testStart.Add(resendInterval), "b")
	if len(second.Items) != 1 || second.Items[0].AgeMillis != resendInterval.Milliseconds() {
		t.Fatalf("second send: %+v", second)
	}
	if u := q.TakeForHeartbeat(testStart.Add(3*resendInterval), "b"); !u.Empty() {
		t.Fatalf("unexpected third send: %+v", u)
	}
	q.Expire(testStart.Add(3*resendInterval), []members.Record{{Host: "source"}, {Host: "b"}})
	if urgent, _ := q.Len(); urgent != 0 {
		t.Fatal("fully sent update is still queued")
	}
}

// A hint must be sent with heartbeats only, and to no more than hintFanout links.
func TestQueue_HintFanout(t *testing.T) {
	q := NewQueue()
	q.AddItem(testStart, loadItem("e1"), "")
	if u := q.TakeUrgent(testStart, "a"); !u.Empty() {
		t.Fatalf("hint sent without a heartbeat: %+v", u)
	}
	sent := 0
	for i := range 10 {
		sent += len(q.TakeForHeartbeat(testStart, model.HostID(fmt.Sprint(i))).Items)
	}
	if sent != hintFanout {
		t.Fatalf("hint sent to %d links", sent)
	}
}

// A newer version of an item must replace the queued one, so that only the newer is sent.
func TestQueue_NewerVersion(t *testing.T) {
	q := NewQueue()
	q.AddItem(testStart, drainItem("e1", 1), "")
	q.AddItem(testStart, drainItem("e1", 2), "")
	if u := q.TakeUrgent(testStart, "b"); len(u.Items) != 1 || u.Items[0].Version != 2 {
		t.Fatalf("sent %+v, want version 2 only", u)
	}
}

// No message may exceed the byte budgets for all updates and for hints.
func TestQueue_MessageBudgets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewQueue()
		for i := range rapid.IntRange(0, 200).Draw(t, "updates") {
			key := fmt.Sprintf("endpoint-%d", i)
			switch rapid.IntRange(0, 2).Draw(t, "kind") {
			case 0:
				q.AddItem(testStart, drainItem(key, 1), "")
			case 1:
				q.AddItem(testStart, loadItem(key), "")
			case 2:
				q.AddRecord(testStart, members.Record{Host: model.HostID(key)}, "")
			}
		}
		for {
			u := q.TakeForHeartbeat(testStart, "b")
			if u.Empty() {
				return
			}
			bytes, hints := 0, 0
			for _, r := range u.Records {
				bytes += r.Size()
			}
			for _, i := range u.Items {
				bytes += i.Size()
				if i.Kind == items.Load {
					hints += i.Size()
				}
			}
			if bytes > MessageBytes || hints > HeartbeatHintBytes {
				t.Fatalf("message of %d bytes, %d of them hints, exceeds its budget", bytes, hints)
			}
		}
	})
}

// A full hint queue must drop its oldest entries.
func TestQueue_Full(t *testing.T) {
	q := NewQueue()
	for i := range maxHints + 5 {
		q.AddItem(testStart, loadItem(fmt.Sprint(i)), "")
	}
	if _, hints := q.Len(); hints != maxHints {
		t.Fatalf("%d hints queued", hints)
	}
	if u := q.TakeForHeartbeat(testStart, "b"); u.Items[0].Key != "5" {
		t.Fatalf("oldest hint is %s, want 5", u.Items[0].Key)
	}
}
